"""Backend servers whose answers to attempts do not end."""

import asyncio

import pytest

from buckthorntack import retries
from buckthorntack.entry import _attempt
from buckthorntack.entry import _relay
from buckthorntack.entry.tests import test_attempt_client
from buckthorntack.http1.tests import endless

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
STREAM_HEAD = test_attempt_client.HEAD + b"\r\n"
#: Bytes that may arrive without a new event.
MAX_EVENT_BYTES = 1_048_576
MAX_FED_BYTES = 4 * MAX_EVENT_BYTES


async def fetch(first, repeated):
    """Fetch the whole answer of an attempt from an endless server."""
    client = _attempt.AttemptClient(
        test_attempt_client.clock.SystemClock(),
        test_attempt_client.IDLE_TIMEOUT,
    )
    async with (
        asyncio.timeout(test_attempt_client.TEST_TIMEOUT_S),
        endless.EndlessServer(first, repeated) as server,
        client,
    ):
        target = _attempt.Target("a1", "s1", f"http://{server.address}")
        result = await client.resume(target, None, None, lambda: None)
        while not server.closed:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        return result


# Guards against whole answers without end, which were kept in memory as long
# as bytes came.
@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (HEAD + b"\r\n", b"a"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"8\r\naaaaaaaa\r\n"),
        (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"a"),
        (STREAM_HEAD, b"data: a"),
        (STREAM_HEAD, b": a\n\n"),
    ],
    ids=["close", "chunked", "length", "event", "comments"],
)
def test_whole_answer_without_end_is_lost(first, repeated):
    result = asyncio.run(fetch(first, repeated))
    assert result == retries.LostMidStream("s1")


# Guards against an event without end, which the entry role kept in memory.
@pytest.mark.parametrize(
    "repeated",
    [b"data: a", b": a\n\n", b"id: a1/0\ndata: a\n\n"],
    ids=["event", "comments", "repeated-event"],
)
def test_stream_without_a_new_event_is_an_error(repeated):
    relay = _relay.EventRelay("a1", -1)
    assert relay.feed(b"id: a1/0\ndata: x\n\n")
    block = repeated * 1000
    fed_bytes = 0
    while relay.error is None and fed_bytes < MAX_FED_BYTES:
        relay.feed(block)
        fed_bytes += len(block)
    assert relay.error is not None
    assert fed_bytes <= MAX_EVENT_BYTES + len(block)


def test_long_stream_is_passed_on_and_replayed():
    relay = _relay.EventRelay("a1", -1)
    events = [
        b"id: a1/%d\ndata: %b\n\n" % (number, b"x" * 1000)
        for number in range(3000)
    ]
    assert b"".join(map(relay.feed, events)) == b"".join(events)
    relay.on_reconnected()
    assert b"".join(map(relay.feed, events)) == b""
    assert relay.error is None
