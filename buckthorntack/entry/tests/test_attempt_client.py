"""Answers of backend servers, over real sockets."""

import asyncio
import datetime

import pytest

from buckthorntack import clock
from buckthorntack import retries
from buckthorntack.entry import _attempt
from buckthorntack.http1.tests import test_exchange

TEST_TIMEOUT_S = 20
IDLE_TIMEOUT = datetime.timedelta(seconds=5)
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
    b"Content-Type: text/event-stream\r\n"
)
EVENTS = b"data: 1\n\ndata: 2\n\n"


async def fetch(response):
    """Fetch the whole answer of an attempt from a server that sends this."""
    client = _attempt.AttemptClient(clock.SystemClock(), IDLE_TIMEOUT)
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        test_exchange.ScriptedServer(["await", response, None]) as server,
        client,
    ):
        url = f"http://{server.address}"
        target = _attempt.Target("a1", "s1", url)
        return await client.resume(target, None, None, lambda: None)


def _frame(body, framing):
    if framing == "length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return HEAD + b"\r\n" + body


# Guards against events that end inside one and are stored as a whole answer.
@pytest.mark.parametrize("framing", ["length", "close"])
def test_buffered_events_that_end_inside_one_are_not_an_answer(framing):
    result = asyncio.run(fetch(_frame(EVENTS[:-3], framing)))
    assert result == retries.LostMidStream("s1")


@pytest.mark.parametrize("framing", ["length", "close"])
def test_whole_buffered_events_are_an_answer(framing):
    result = asyncio.run(fetch(_frame(EVENTS, framing)))
    assert result.body == EVENTS
