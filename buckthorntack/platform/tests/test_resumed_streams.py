"""Streams whose next server fails after a part has reached the caller."""

import asyncio

import pytest

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENTS = 6
CUT_AFTER = 3


# Guards against the head of a second answer within the body of a stream, when
# the server that should continue the stream fails.
@pytest.mark.parametrize("status", [404, 500, 502])
def test_failure_after_a_stream_has_begun_looks_broken(status):
    async def scenario(world):
        begin = _standins.stream(EVENTS, cut_after=CUT_AFTER)
        fail = _standins.answer_with(status, body=b"failed")

        async def behave(server, request, reply):
            tried = sum(len(s.requests) for s in world.servers.values())
            await (begin if tried == 1 else fail)(server, request, reply)

        for server in world.servers.values():
            server.behave = behave
        address = f"{world.ip('e0')}:{_standins.FRONT_PORT}"
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /talk/x HTTP/1.1\r\nHost: {_standins.HOST}\r\n"
            "X-Buckthorntack-Request-Id: 0123456789abcdef\r\n"
            "X-Buckthorntack-Deadline-Ms: 4000\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode())
        received = b""
        try:
            while data := await reader.read(65536):
                received += data
        except ConnectionError:
            pass
        finally:
            writer.close()
        assert sum(len(s.requests) for s in world.servers.values()) == 2
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.count(b"HTTP/1.1 ") == 1
        assert not received.endswith(b"\r\n0\r\n\r\n")

    test_requests.run(scenario, ("s1", "text"), ("s2", "text"))
