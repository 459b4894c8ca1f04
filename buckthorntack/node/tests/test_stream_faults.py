"""Streams come whole, to their own caller alone."""

import asyncio

import httpx
import pytest

from buckthorntack.node.tests import _scenarios

TOKENS = 60
READ_BEFORE = 15
#: Another organisation that all regions may serve.
STRANGER = "sponsor-archive"


@pytest.fixture(scope="module")
def world():
    with _scenarios.Scenarios() as scenarios:
        yield scenarios


class _Reading:
    """Reads a stream until its connection breaks or it ends."""

    def __init__(self, caller, url, content):
        self.caller = caller
        self.url = url
        self.content = content
        self.body = b""
        self.broken = False

    async def run(self):
        headers = {"authorization": f"Bearer {self.caller.token}"}
        document = {
            "model": "pitchwriter",
            "messages": [{"role": "user", "content": self.content}],
            "stream": True,
            "max_tokens": TOKENS,
        }
        url = f"{self.url}/v1/chat/completions"
        try:
            async with (
                httpx.AsyncClient(timeout=60, trust_env=False) as client,
                client.stream(
                    "POST", url, json=document, headers=headers
                ) as answer,
            ):
                async for chunk in answer.aiter_raw():
                    self.body += chunk
        except httpx.TransportError:
            self.broken = True

    def received(self):
        """What came in whole events."""
        return self.body[: self.body.rfind(b"\n\n") + 2]

    def last_event_id(self):
        """Id of the last event that came whole."""
        at = self.received().rfind(b"id: ") + 4
        return self.body[at : self.body.find(b"\n", at)].decode()


async def _cut_by_death(world, region, content):
    """A stream whose entry VM dies in its middle."""
    caller = world.callers[_scenarios.WIDE]
    reading = _Reading(caller, world.url(region, 1), content)
    task = asyncio.create_task(reading.run())
    await _scenarios.until(
        lambda: len(_scenarios.event_numbers(reading.body)) >= READ_BEFORE
    )
    await world.deployment.kill_node(f"{region}-a-2")
    await task
    assert reading.broken
    return reading


async def _restart(world, node_id):
    await world.deployment.start_node(node_id)
    await _scenarios.until(world.deployment.nodes[node_id].is_ready)


async def _resume(world, url, event_id, organisation=_scenarios.WIDE):
    return await world.callers[organisation].stream(
        "POST",
        f"{url}/v1/chat/completions",
        {"last-event-id": event_id},
    )


@pytest.mark.parametrize("elsewhere", _scenarios.REGIONS)
def test_stream_of_dead_entry_vm_is_resumed(world, elsewhere):
    async def scenario():
        mark = f"entry VM dies, {elsewhere}"
        reading = await _cut_by_death(world, "fukuoka", mark)
        answer = await _resume(
            world, world.url(elsewhere), reading.last_event_id()
        )
        await _restart(world, "fukuoka-a-2")
        assert answer.status == 200, answer.body
        assert answer.whole
        whole = reading.received() + answer.body
        assert _scenarios.event_numbers(whole) == list(range(TOKENS + 1))
        assert len(world.runs_with(mark)) == 1

    world.run(scenario())


def test_other_organisation_cannot_touch_a_stream(world):
    async def scenario():
        mark = "not yours"
        reading = await _cut_by_death(world, "fukuoka", mark)
        event_id = reading.last_event_id()
        attempt_id = event_id.rpartition("/")[0]
        for region in _scenarios.REGIONS:
            url = world.url(region)
            resumed = await _resume(world, url, event_id, STRANGER)
            assert resumed.status in (401, 403, 404), resumed.status
            assert b"t1" not in resumed.body
            cancelled = await world.callers[STRANGER].request(
                "DELETE", f"{url}/v1/attempts/{attempt_id}"
            )
            assert cancelled.status in (401, 403, 404), cancelled.status
        answer = await _resume(world, world.url("kagoshima"), event_id)
        await _restart(world, "fukuoka-a-2")
        assert answer.whole
        whole = reading.received() + answer.body
        assert _scenarios.event_numbers(whole) == list(range(TOKENS + 1))

    world.run(scenario())


def _engines(world):
    return [server.fake for server in world.servers_of("pitchwriter")]


async def _ask(world, region, content):
    return await world.callers[_scenarios.WIDE].chat(
        world.url(region),
        "pitchwriter",
        content,
        stream=True,
        max_tokens=TOKENS,
    )


def test_stream_survives_a_silent_connection(world):
    async def scenario():
        mark = "connection goes silent"
        for engine in _engines(world):
            engine.faults.silent_connections = 1
        answer = await _ask(world, "kumamoto", mark)
        for engine in _engines(world):
            engine.faults.silent_connections = 0
        assert answer.whole, answer.body
        numbers = _scenarios.event_numbers(answer.body)
        assert numbers == list(range(TOKENS + 1))
        assert len(world.runs_with(mark)) == 1

    world.run(scenario())


@pytest.mark.parametrize("streamed", [True, False])
def test_crossed_answers_reach_no_caller(world, streamed):
    async def scenario():
        mark = f"crossed, {streamed}"
        for engine in _engines(world):
            engine.faults.crossed_answers = 1
        answer = await world.callers[_scenarios.WIDE].chat(
            world.url("kumamoto"),
            "pitchwriter",
            mark,
            stream=streamed,
            max_tokens=8,
        )
        for engine in _engines(world):
            engine.faults.crossed_answers = 0
        runs = {run[1] for run in world.runs_with(mark)}
        assert runs
        assert b"another-attempt" not in answer.body
        assert "another-attempt" not in str(answer.headers)
        assert answer.status == 200 or _scenarios.run_state(answer) != (
            "not_run"
        )
        if answer.status == 200:
            assert answer.headers["x-attempt-id"] in runs

    world.run(scenario())
