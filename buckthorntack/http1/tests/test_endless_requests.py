"""Callers that send bytes without end that are no request."""

import asyncio
import tracemalloc

import pytest

from buckthorntack import http1
from buckthorntack import transport
from buckthorntack.http1 import _read_size
from buckthorntack.http1 import _server
from buckthorntack.http1.tests import endless

TEST_TIMEOUT_S = 20
#: No timeout ends a request, so that only sizes do.
LIMITS = http1.Limits(header_timeout_s=600.0)
#: Bytes that a caller may send of a piece without end.
MAX_TAKEN_BYTES = 2 * LIMITS.header_bytes + 65_536

each_request = pytest.mark.parametrize(
    "parts", endless.REQUESTS.values(), ids=endless.REQUESTS
)


async def handle(request, reply):
    """Answer with the names of the request's headers."""
    names = b",".join(name for name, _ in request.headers)
    reply.send(200, [], names)


async def exchange(parts):
    """Send bytes until the listener closes; return its response."""
    sock = transport.bind_listener("127.0.0.1:0")
    listener = http1.Listener(sock, handle, lambda: LIMITS)
    async with asyncio.timeout(TEST_TIMEOUT_S), listener:
        host, _, port = listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent_bytes = 0
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
                sent_bytes += len(part)
                # Gives the listener time, so that little is in transit.
                await asyncio.sleep(0.001)
        except ConnectionError:
            return sent_bytes, b""
        response = await reader.read()
        writer.close()
        return sent_bytes, response


# Guards against a caller that sends chunk lines or trailers without end,
# which were read and kept until a timeout.
@each_request
def test_request_without_end_is_rejected(parts):
    reads = endless.pieces(*parts, 4096)
    sent_bytes, _ = asyncio.run(exchange(reads))
    assert sent_bytes <= MAX_TAKEN_BYTES


# Guards against the same where a few bytes too many are sent and no more.
@each_request
def test_request_whose_framing_is_too_large_gets_an_error(parts):
    first, repeated = parts
    count = (LIMITS.header_bytes + 4096) // len(repeated)
    _, response = asyncio.run(exchange([first, repeated * count]))
    assert response.split(b" ")[1] in (b"400", b"431")


# Guards against a body in tiny chunks, each of which was kept as an object
# many times as large.
def test_body_of_tiny_chunks_holds_little_more_than_counts():
    async def scenario():
        sock = transport.bind_listener("127.0.0.1:0")
        listener = http1.Listener(sock, handle, lambda: LIMITS)
        chunks = 100_000
        size_bytes = 2 * chunks
        async with asyncio.timeout(TEST_TIMEOUT_S), listener:
            host, _, port = listener.address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            payload = endless.REQUEST_HEAD + b"2\r\nab\r\n" * chunks
            tracemalloc.start()
            try:
                writer.write(payload)
                while count_bytes(listener) < size_bytes:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                held_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            writer.close()
        # What is in transit counts as well.
        assert held_bytes < 2 * len(payload)

    asyncio.run(scenario())


# Guards against such a body that keeps all other requests waiting, as one read
# of it takes a hundred times as long to parse.
def test_reads_of_tiny_chunks_get_smaller():
    async def scenario():
        sock = transport.bind_listener("127.0.0.1:0")
        listener = http1.Listener(sock, handle, lambda: LIMITS)
        chunk = b"2\r\nab\r\n"
        async with asyncio.timeout(TEST_TIMEOUT_S), listener:
            host, _, port = listener.address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(endless.REQUEST_HEAD + chunk * 100_000)
            while count_bytes(listener) < 200_000:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            [connection] = listener.connections
            chunks = connection.transport.max_size // len(chunk)
            assert chunks <= 2 * _read_size.MAX_READ_PARTS
            writer.close()

    asyncio.run(scenario())


# Guards against work for each chunk of a body, with which few clients keep all
# others waiting for minutes.
def test_tiny_chunks_are_checked_slice_by_slice():
    checks = []

    def limits():
        checks.append(1)
        return LIMITS

    async def scenario():
        sock = transport.bind_listener("127.0.0.1:0")
        listener = http1.Listener(sock, handle, limits)
        body = b"2\r\nab\r\n" * 100_000
        async with asyncio.timeout(TEST_TIMEOUT_S), listener:
            host, _, port = listener.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(endless.REQUEST_HEAD + body + b"0\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            writer.close()
        return len(body)

    size_bytes = asyncio.run(scenario())
    # Each read ends with a slice that is not full.
    slices = size_bytes // (_server.SLICE_BYTES // 4)
    assert len(checks) < 4 * slices


def count_bytes(listener):
    """Bytes of bodies that a listener has read."""
    return sum(each._body_bytes for each in listener.connections)


# Guards against trailers that count as headers of the request.
def test_trailers_are_no_headers():
    request = endless.REQUEST_HEAD + b"0\r\nX-Late: 1\r\n\r\n"
    close = request.replace(b"Host", b"Connection: close\r\nHost")
    _, response = asyncio.run(exchange([close]))
    assert response.startswith(b"HTTP/1.1 200")
    assert b"X-Late" not in response


# Guards against a target over the limit that arrives in one read.
def test_large_target_is_rejected():
    request = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n" % (b"a" * 20_000)
    _, response = asyncio.run(exchange([request]))
    assert response.startswith(b"HTTP/1.1 431")


# Guards against a read of short lines that becomes many times as large in
# memory before its size is checked.
def test_lines_over_the_limit_are_not_all_parsed(monkeypatch):
    parsed = []
    monkeypatch.setattr(
        _server._ServerConnection,
        "on_header",
        lambda connection, name, value: parsed.append(name),
    )
    lines = b"GET / HTTP/1.1\r\n" + b"X-A: b\r\n" * 8000
    asyncio.run(exchange([lines]))
    limit_bytes = LIMITS.header_bytes + _server.SLICE_BYTES
    assert 0 < len(parsed) <= limit_bytes // len(b"X-A: b\r\n")


# Guards against a read of small requests that all wait as objects.
def test_requests_far_ahead_are_parsed_later():
    async def scenario():
        gate = asyncio.Event()

        async def answer_later(request, reply):
            await gate.wait()
            reply.send(200, [], b"")

        sock = transport.bind_listener("127.0.0.1:0")
        listener = http1.Listener(sock, answer_later, lambda: LIMITS)
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        count = 1000
        async with asyncio.timeout(TEST_TIMEOUT_S), listener:
            host, _, port = listener.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request * count)
            while not listener.connections:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            [connection] = listener.connections
            while connection.transport.is_reading():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            most = _server.MAX_PIPELINED_REQUESTS
            most += _server.SLICE_BYTES // len(request) + 1
            assert len(connection.waiting) <= most
            gate.set()
            for _ in range(count):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
            writer.close()

    asyncio.run(scenario())
