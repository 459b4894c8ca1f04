"""Readiness, directory and metrics listeners of a node that stops."""

import asyncio
import datetime

import pytest

from buckthorntack.platform.tests import _standins

STOP_GRACE = datetime.timedelta(seconds=3)
METRICS = ("GET /metrics", _standins.LINK_PORT + 2)
CALLS = {
    "e0": [
        ("GET /ready", _standins.READY_PORT),
        ("GET /resolve?name=x", _standins.DIRECTORY_PORT),
        METRICS,
    ],
    "c2": [METRICS],
}


async def read_head(reader):
    """Read the head of a response; None if the connection ends before."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


# Guards against requests at the other listeners of a node that stops, which
# were cut off as soon as its main listener had no requests.
@pytest.mark.parametrize("name", CALLS)
def test_requests_at_other_listeners_are_cut_by_a_stop(name):
    async def scenario(world):
        await world.begin()
        node = world.nodes[name]
        node.apply_settings(node.settings._replace(stop_grace=STOP_GRACE))
        opened = []
        for call, port in CALLS[name]:
            reader, writer = await asyncio.open_connection(
                world.ip(name), port
            )
            writer.write(f"{call} HTTP/1.1\r\nHost: node\r\n".encode())
            opened.append((reader, writer))

        async def stop():
            await node.stop()
            await world.kill(name)

        stopping = asyncio.create_task(stop())
        is_entry = node.settings.role == "entry"
        listener = node.front_listener if is_entry else node.listener
        await world.until(lambda: listener.is_stopped)
        await asyncio.sleep(0.3)
        for _, writer in opened:
            writer.write(b"\r\n")
        heads = [await read_head(reader) for reader, _ in opened]
        for _, writer in opened:
            writer.close()
        await stopping
        assert None not in heads
        for head in heads:
            assert b"\r\nConnection: close\r\n" in head

    _standins.run(scenario, entries=("a1",))
