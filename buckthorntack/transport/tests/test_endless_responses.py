"""Servers that send the entry role bytes without end that are no response."""

import asyncio

import httpx
import pytest

from buckthorntack import transport
from buckthorntack.http1.tests import endless
from buckthorntack.http1.tests import test_exchange

TEST_TIMEOUT_S = 20
NAMES = [name for name in endless.RESPONSES if not name.startswith("other")]
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

each_response = pytest.mark.parametrize("name", NAMES)


async def fetch(client, server):
    """Return the headers and the body of a response."""
    request = httpx.Request("GET", f"http://{server.address}/")
    response = await client.handle_async_request(request)
    try:
        body = b"".join([data async for data in response.stream])
    finally:
        await response.stream.aclose()
    return response.headers, body


def run(scenario, server):
    """Run a scenario with a transport and a server."""

    async def bounded():
        async with asyncio.timeout(TEST_TIMEOUT_S), server:
            client = transport.StreamingTransport()
            try:
                await scenario(client)
            finally:
                await client.aclose()

    asyncio.run(bounded())


# Guards against heads, chunk lines and trailers without end, which were read
# and kept until the caller gave up.
@each_response
def test_server_that_sends_no_response_without_end_is_left(name):
    server = endless.EndlessServer(*endless.RESPONSES[name])

    async def scenario(client):
        with pytest.raises(httpx.RemoteProtocolError):
            await fetch(client, server)
        while not server.closed:  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    run(scenario, server)


# Guards against an interim response that was taken for the answer.
def test_interim_response_is_passed_over():
    interim = b"HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n"
    server = test_exchange.ScriptedServer(["await", interim + RESPONSE])

    async def scenario(client):
        headers, body = await fetch(client, server)
        assert body == b"ok"
        assert "x-early" not in headers

    run(scenario, server)


# Guards against bytes on an idle connection, which were kept and taken for a
# part of the next answer.
def test_connection_with_bytes_between_responses_is_not_reused():
    server = test_exchange.ScriptedServer(
        ["await", RESPONSE, "pause", RESPONSE, "await"],
        ["await", RESPONSE],
    )

    async def scenario(client):
        await fetch(client, server)
        [idle] = client._idle.values()
        [kept] = idle
        server.paused.set()
        while not kept.transport.is_closing():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        await fetch(client, server)
        assert server.connections == 2

    run(scenario, server)
