"""Calls at a control VM during its planned stop."""

import asyncio
import contextlib
import datetime
import json

from buckthorntack.platform.tests import _standins

#: Grace period that ends before a proposal times out.
GRACE_S = 2.0
CALLS = [
    ("PUT", "/config", json.dumps(_standins.configuration(9)).encode()),
    ("POST", "/evacuations/a1", b""),
    ("DELETE", "/evacuations/a1", b""),
    ("GET", "/config", b""),
]


def run(scenario):
    _standins.run(scenario, entries=())


async def stop_within_grace(world, name):
    """Stop a node as the platform does: its grace period ends with a kill."""
    node = world.nodes[name]
    settings = node.settings
    grace = datetime.timedelta(seconds=GRACE_S)
    node.apply_settings(settings._replace(stop_grace=grace))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(GRACE_S):
            await node.stop()
    await world.kill(name)


class CallInTwoParts:
    """Call at a control VM whose last byte is sent later.

    :param world: the deployment.
    :param name: name of the control VM.
    :param call: method, target and body.
    """

    def __init__(self, world, name, call):
        self.world = world
        self.name = name
        method, target, body = call
        head = f"{method} {target} HTTP/1.1\r\nHost: control\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self.data = head.encode() + body
        self.reader = None
        self.writer = None

    async def begin(self):
        """Send all but the last byte."""
        host = self.world.ip(self.name)
        self.reader, self.writer = await asyncio.open_connection(
            host, _standins.CONTROL_PORT
        )
        self.writer.write(self.data[:-1])
        listener = self.world.nodes[self.name].listener
        await self.world.until(listener.count_active_connections)

    async def end(self):
        """Send the last byte; return the answer, None if there is none."""
        self.writer.write(self.data[-1:])
        try:
            return await _standins.read_answer(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            self.writer.close()


async def respond_never(*arguments):
    """Wait for a majority that does not respond."""
    await asyncio.Event().wait()


# Guards against calls that wait for a majority when their control VM gets the
# stop signal and are cut off at the end of a short grace period.
def test_calls_in_progress_are_cut_at_the_end_of_a_short_grace():
    async def scenario(world):
        document = _standins.configuration(7)
        assert (await world.publish(document)).status == 200
        for name in ("c0", "c1"):
            await world.kill(name)
        kept = [CallInTwoParts(world, "c2", call) for call in CALLS]
        for call in kept:
            await call.begin()
        asked = [asyncio.create_task(call.end()) for call in kept]
        await asyncio.sleep(0.1)
        await stop_within_grace(world, "c2")
        answers = await asyncio.gather(*asked)
        assert [answer and answer.status for answer in answers] == [503] * 4
        for answer in answers:
            assert answer.headers[b"connection"] == b"close"
            assert answer.whole

    run(scenario)


# Guards against calls that come late in the grace period of a control VM, are
# put before the group and get no answer although the group may accept them.
def test_calls_that_come_late_are_begun_without_time_to_end_them():
    asked = []

    async def ask_group(*arguments):
        asked.append(arguments)
        await respond_never()

    async def scenario(world):
        document = _standins.configuration(7)
        assert (await world.publish(document)).status == 200
        kept = [CallInTwoParts(world, "c2", call) for call in CALLS]
        for call in kept:
            await call.begin()
        replica = world.nodes["c2"].replica
        replica.propose = replica.read_barrier = ask_group
        stopping = asyncio.create_task(stop_within_grace(world, "c2"))
        await asyncio.sleep(0.5)
        answers = await asyncio.gather(*(call.end() for call in kept))
        await stopping
        assert [answer and answer.status for answer in answers] == [503] * 4
        assert not asked
        for answer in answers:
            assert answer.headers[b"connection"] == b"close"
            assert float(answer.headers[b"retry-after"]) > 0
            assert json.loads(answer.body)["kind"] == "control_stopping"

    run(scenario)
