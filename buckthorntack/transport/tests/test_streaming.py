"""Responses of backend servers as the entry role reads them."""

import asyncio

import httpx
import pytest

from buckthorntack import transport
from buckthorntack.http1.tests import test_exchange

TEST_TIMEOUT_S = 20
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"


async def fetch(script):
    """Read the body of a response that a server sends by a script."""
    client = transport.StreamingTransport()
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        test_exchange.ScriptedServer(script) as server,
    ):
        request = httpx.Request("GET", f"http://{server.address}/")
        try:
            response = await client.handle_async_request(request)
            body = b"".join([data async for data in response.stream])
            await response.stream.aclose()
        finally:
            await client.aclose()
    return body


# Guards against an answer without a length that counted as lost when its
# server closed the connection after it.
def test_unframed_response_ends_with_its_connection():
    script = ["await", UNFRAMED_HEAD + b"whole", None]
    assert asyncio.run(fetch(script)) == b"whole"


def test_unframed_response_that_is_reset_is_an_error():
    script = ["await", UNFRAMED_HEAD + b"part", "reset"]
    with pytest.raises(httpx.TransportError):
        asyncio.run(fetch(script))


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 9", b"Transfer-Encoding: chunked"]
)
def test_framed_response_that_ends_early_is_an_error(framing):
    head = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n"
    with pytest.raises(httpx.TransportError):
        asyncio.run(fetch(["await", head + b"4\r\npart", None]))


# Guards against an answer with an empty body from a head that broke off.
@pytest.mark.parametrize("head", [b"Content-Length: 0\r\n\r\n", b"\r\n"])
def test_head_that_breaks_off_is_an_error(head):
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + head
    for size in range(1, len(head)):
        with pytest.raises(httpx.TransportError):
            asyncio.run(fetch(["await", head[:size], None]))
