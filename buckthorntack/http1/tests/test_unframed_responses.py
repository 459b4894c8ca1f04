"""Responses whose body ends with the connection, as sent to HTTP/1.0."""

import asyncio

import pytest

from buckthorntack import http1
from buckthorntack import transport

TEST_TIMEOUT_S = 20
REQUEST = b"GET / HTTP/1.0\r\nHost: a\r\n\r\n"
#: More than the send buffer of a socket and the client's read buffer hold.
LARGE_BODY = bytes(8 * 1024 * 1024)


async def _start(reply, data):
    reply.start(200, [])
    reply.write(data)
    await reply.flush()


async def abort(request, reply):
    """Break the response off."""
    await _start(reply, b"part")
    reply.abort()


async def fail(request, reply):
    """Fail while the response is sent."""
    await _start(reply, b"part")
    raise RuntimeError("fault of a handler")


async def leave_unfinished(request, reply):
    """Return without ending the response."""
    await _start(reply, b"part")


async def hang(request, reply):
    """Never end the response."""
    await _start(reply, b"part")
    await asyncio.Event().wait()


async def send_whole(request, reply):
    """Send a large body."""
    await _start(reply, LARGE_BODY)
    reply.end()


async def receive(handle, stop_after_part=False):
    """Send a request and return the body of its response."""
    listener = http1.Listener(transport.bind_listener("127.0.0.1:0"), handle)
    async with asyncio.timeout(TEST_TIMEOUT_S), listener:
        host, _, port = listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        if stop_after_part:
            assert await reader.readexactly(4) == b"part"
            await listener.__aexit__()
        try:
            return await reader.read()
        finally:
            writer.close()


# Guards against a response to HTTP/1.0 that was broken off and looked
# complete, as its connection was closed and not reset.
@pytest.mark.parametrize("handle", [abort, fail, leave_unfinished])
def test_unframed_response_that_breaks_off_is_reset(handle):
    with pytest.raises(ConnectionResetError):
        asyncio.run(receive(handle))


# Guards against the same when the listener stops during the response.
def test_unframed_response_is_reset_when_its_listener_stops():
    with pytest.raises(ConnectionResetError):
        asyncio.run(receive(hang, stop_after_part=True))


def test_whole_unframed_response_is_closed():
    assert asyncio.run(receive(send_whole)) == LARGE_BODY
