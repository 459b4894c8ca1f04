"""Valid, malformed and smuggled requests, over real sockets."""

import asyncio
import contextlib
import socket
import time

import logbook
import pytest

from buckthorntack import http1
from buckthorntack import transport
from buckthorntack.http1 import _server

TEST_TIMEOUT_S = 20


class ListenerHarness:
    """A listener, and the requests that its handler received."""

    def __init__(self, limits=http1.Limits, gate=None, **options):
        self.requests = []
        self.cancelled = 0
        self.gate = gate
        self.started = asyncio.Event()
        self.listener = http1.Listener(
            transport.bind_listener("127.0.0.1:0"),
            self.handle,
            limits,
            **options,
        )

    async def handle(self, request, reply):
        self.requests.append(request)
        self.started.set()
        if self.gate is not None:
            try:
                await self.gate.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        reply.send(200, [(b"X-Target", request.target)], request.body)

    async def connect(self):
        host, _, port = self.listener.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))


def run(scenario, **options):
    async def bounded():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            harness = ListenerHarness(**options)
            async with harness.listener:
                await scenario(harness)

    asyncio.run(bounded())


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head, await reader.readexactly(length)


def test_requests_on_one_connection_are_answered_in_order():
    async def scenario(harness):
        reader, writer = await harness.connect()
        for number in range(5):
            writer.write(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        for number in range(5):
            head, _ = await read_response(reader)
            assert b"X-Target: /%d\r\n" % number in head
        writer.close()

    run(scenario)


def test_body_in_chunks_is_read_whole():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\n")
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
        await writer.drain()
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        _, body = await read_response(reader)
        assert body == b"abcde"
        writer.close()

    run(scenario)


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: 3\r\nContent-Length: 3\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"Content-Length: +3\r\n",
        b"Content-Length: 3 3\r\n",
        b"Host: b\r\nContent-Length: 3\r\n",
    ],
)
def test_ambiguous_framing_is_refused(head):
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n")
        writer.write(b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 400 ")
        assert response.count(b"HTTP/1.1 ") == 1
        assert harness.requests == []
        writer.close()

    run(scenario)


def test_earlier_request_is_answered_before_a_malformed_one_is_refused():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n")
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 200 ")
        assert b"HTTP/1.1 400 " in response
        writer.close()

    run(scenario)


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 300 + b"\r\n\r\n", 431),
        (b"GET /" + b"x" * 400 + b" HTTP/1.1\r\nHost: a\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n28\r\n" + b"x" * 40 + b"\r\n",
            413,
        ),
    ],
)
def test_too_large_is_refused(payload, status):
    limits = http1.Limits(header_bytes=256, body_bytes=32)

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(payload)
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 %d " % status)
        assert harness.requests == []
        writer.close()

    run(scenario, limits=lambda: limits)


# Guards against a refusal of a legal head whose lines have no optional space.
def test_head_of_short_lines_below_the_limit_is_read():
    async def scenario(harness):
        limit = http1.Limits().header_bytes
        head = b"GET / HTTP/1.1\r\nHost: a\r\n"
        head += b"a:\r\n" * ((limit - len(head) - 2) // 4)
        reader, writer = await harness.connect()
        writer.write(head + b"\r\n")
        response, _ = await read_response(reader)
        assert response.startswith(b"HTTP/1.1 200 ")
        writer.close()

    run(scenario)


def test_request_that_stops_arriving_is_refused():
    limits = http1.Limits(header_timeout_s=0.1)

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET / HT")
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 408 ")
        writer.close()

    run(scenario, limits=lambda: limits)


def test_idle_connection_is_closed():
    limits = http1.Limits(idle_timeout_s=0.1)

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await read_response(reader)
        assert await reader.read() == b""
        writer.close()

    run(scenario, limits=lambda: limits)


def test_handler_ends_when_its_client_leaves():
    gate = asyncio.Event()

    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await harness.started.wait()
        writer.close()
        while not harness.cancelled:  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    run(scenario, gate=gate)


# Guards against work for clients that left while the process stood still.
@pytest.mark.parametrize("count", [1, 3])
def test_request_of_a_client_that_has_left_is_not_handled(count):
    async def scenario(harness):
        host, _, port = harness.listener.address.rpartition(":")
        # The event loop does not run until the client has left.
        with socket.create_connection((host, int(port))) as client:
            client.sendall(b"GET /left HTTP/1.1\r\nHost: a\r\n\r\n" * count)
        reader, writer = await harness.connect()
        writer.write(b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
        await read_response(reader)
        writer.close()
        assert [r.target for r in harness.requests] == [b"/next"]
        unanswered = harness.listener.unanswered
        assert unanswered[_server.EndReason.CLIENT_CLOSED] == count

    run(scenario, is_client_checked=True)


# Guards against notices that are lost, as their sender does not wait.
def test_handler_that_does_not_wait_answers_a_client_that_closed_its_side():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET /half HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write_eof()
        head, _ = await read_response(reader)
        assert head.startswith(b"HTTP/1.1 200 ")
        writer.close()

    run(scenario)


def test_expectation_is_met():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n")
        writer.write(b"Expect: 100-continue\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 100 ")
        await reader.readline()
        writer.write(b"ok")
        _, body = await read_response(reader)
        assert body == b"ok"
        writer.close()

    run(scenario)


def test_closing_listener_answers_what_it_read():
    async def scenario(harness):
        gate = harness.gate = asyncio.Event()
        reader, writer = await harness.connect()
        idle_reader, idle_writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await harness.started.wait()
        harness.listener.stop_accepting()
        assert await idle_reader.read() == b""
        assert harness.listener.count_active_connections() == 1
        gate.set()
        head, _ = await read_response(reader)
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close\r\n" in head
        assert await reader.read() == b""
        for each in (writer, idle_writer):
            each.close()

    run(scenario)


def test_answer_that_is_cut_does_not_look_whole():
    async def scenario(harness):
        async def handle(request, reply):
            reply.start(200, [])
            reply.write(b"begun")

        harness.listener.handle = handle
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        data = b""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(100):
                data += part
        assert b"chunked" in data
        assert not data.endswith(b"0\r\n\r\n")
        writer.close()

    run(scenario)


def test_failure_of_a_handler_is_answered():
    async def scenario(harness):
        async def handle(request, reply):
            raise LookupError("fault")

        harness.listener.handle = handle
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 500 ")
        writer.close()

    run(scenario)


async def cut(request, reply):
    reply.start(200, [])
    reply.abort()


async def return_early(request, reply):
    reply.start(200, [])


async def cancel(request, reply):
    raise asyncio.CancelledError


async def fail(request, reply):
    reply.start(200, [])
    raise LookupError("fault")


# Guards against a request that ends without a response or a trace of it.
@pytest.mark.parametrize(
    ("handle", "reason"),
    [
        (cut, http1.EndReason.RESPONSE_BROKEN),
        (return_early, http1.EndReason.HANDLER_INCOMPLETE),
        (cancel, http1.EndReason.HANDLER_CANCELLED),
        (fail, http1.EndReason.HANDLER_FAILED),
    ],
)
def test_unanswered_request_is_reported_with_its_reason(handle, reason):
    async def scenario(harness):
        harness.listener.handle = handle
        harness.listener.id_header = b"x-id"
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX-Id: 7f\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()
        assert dict(harness.listener.unanswered) == {reason: 1}

    with logbook.TestHandler().applicationbound() as written:
        run(scenario)
    [line] = [
        record.extra
        for record in written.records
        if record.extra.get("event") == 1907
    ]
    assert line["request"] == "7f"
    assert line["reason"] == reason.value


def test_answered_requests_are_not_reported():
    async def scenario(harness):
        reader, writer = await harness.connect()
        for _ in range(2):
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await read_response(reader)
        writer.close()
        while harness.listener.connections:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        assert not harness.listener.unanswered
        assert not harness.listener.unread

    run(scenario)


def test_requests_of_a_client_that_leaves_are_reported():
    gate = asyncio.Event()

    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
        await harness.started.wait()
        writer.close()
        while harness.listener.connections:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        assert dict(harness.listener.unanswered) == {
            http1.EndReason.CLIENT_CLOSED: 2
        }

    run(scenario, gate=gate)


SHORT_LIMITS = http1.Limits(header_timeout_s=0.1, idle_timeout_s=0.2)


# Guards against a request that is dropped unread, as the process was held up
# while it arrived until its connection counted as idle.
def test_request_that_arrived_before_the_idle_timeout_is_answered():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await read_response(reader)
        loop = asyncio.get_running_loop()
        # Both the request and the timer are due when the loop goes on.
        loop.call_later(0.01, time.sleep, 0.3)
        loop.call_later(
            0.02, writer.write, b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        head, _ = await read_response(reader)
        assert b"X-Target: /2\r\n" in head
        writer.close()

    run(scenario, limits=lambda: SHORT_LIMITS)


# Guards against a request that is dropped unread by a planned stop.
def test_request_that_arrived_before_the_stop_is_answered():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await read_response(reader)
        writer.write(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
        harness.listener.stop_accepting()
        assert harness.listener.count_active_connections() == 1
        head, _ = await read_response(reader)
        assert b"X-Target: /2\r\n" in head
        assert b"Connection: close\r\n" in head
        assert await reader.read() == b""
        writer.close()

    run(scenario)


class ChangingLimits:
    """Limits of a configuration that changes."""

    def __init__(self, current):
        self.current = current

    def __call__(self):
        return self.current


# Guards against a request that meets the close of its connection, as an idle
# timeout was raised after the connection had become idle.
def test_raised_idle_timeout_holds_for_idle_connections():
    limits = ChangingLimits(SHORT_LIMITS)

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await read_response(reader)
        limits.current = http1.Limits(idle_timeout_s=15.0)
        await asyncio.sleep(0.4)
        writer.write(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
        head, _ = await read_response(reader)
        assert b"X-Target: /2\r\n" in head
        writer.close()

    run(scenario, limits=limits)


async def begin_response(harness):
    """Begin a response that announces no close.

    :returns: reader, writer, and the event that lets the response end.
    """
    gate = asyncio.Event()

    async def handle(request, reply):
        reply.start(200, [], length=0)
        await gate.wait()
        reply.end()

    harness.listener.handle = handle
    reader, writer = await harness.connect()
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    head, _ = await read_response(reader)
    assert b"Connection: close" not in head
    return reader, writer, gate


# Guards against a request that meets the close of its connection right after
# a response that had not announced a close, as a planned stop began meanwhile.
def test_connection_stays_open_until_a_response_announces_its_end():
    async def scenario(harness):
        reader, writer, gate = await begin_response(harness)
        harness.listener.disable_keep_alive()
        gate.set()
        await asyncio.sleep(0.05)
        writer.write(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
        head, _ = await read_response(reader)
        assert b"Connection: close\r\n" in head
        assert await reader.read() == b""
        writer.close()

    run(scenario)


# Guards against a request on a new connection that a planned stop resets, as
# the connection was not accepted yet or only in the same turn.
@pytest.mark.parametrize("turns", range(4))
def test_connections_that_wait_at_the_stop_are_answered(turns):
    gate = asyncio.Event()

    async def scenario(harness):
        host, _, port = harness.listener.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        for _ in range(turns):
            await asyncio.sleep(0)
        harness.listener.stop_accepting()
        reader, writer = await asyncio.open_connection(sock=sock)
        while not harness.started.is_set():
            assert not reader.at_eof()
            assert reader.exception() is None
            await asyncio.sleep(0.005)
        assert harness.listener.count_active_connections() == 1
        gate.set()
        head, _ = await read_response(reader)
        assert b"X-Target: /1\r\n" in head
        assert b"Connection: close\r\n" in head
        assert await reader.read() == b""
        writer.close()
        while harness.listener.count_active_connections():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))

    run(scenario, gate=gate)


LARGE_BODY = b"x" * 3_000_000


# Guards against a request that is refused as late, or reset, as the process
# was held up.
def test_body_that_arrived_while_the_process_was_held_up_is_read():
    limits = http1.Limits(header_timeout_s=0.2)

    def send(address):
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(
                b"POST /1 HTTP/1.1\r\nHost: a\r\n"
                b"Connection: close\r\nContent-Length: %d\r\n\r\n"
                % len(LARGE_BODY)
            )
            sock.sendall(LARGE_BODY)
            response = b""
            while data := sock.recv(65536):
                response += data
            return response

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        sending = loop.run_in_executor(None, send, harness.listener.address)
        listener = harness.listener
        while not listener.count_active_connections():  # noqa: ASYNC110
            await asyncio.sleep(0)
        loop.call_soon(time.sleep, 0.6)
        response = await sending
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.endswith(LARGE_BODY)

    run(scenario, limits=lambda: limits)


# Guards against a refusal that is lost by a reset, as its client still sends.
def test_client_that_still_sends_is_told_that_it_is_late():
    limits = http1.Limits(header_timeout_s=0.1)

    def send(address):
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b"POST /1 HTTP/1.1\r\nHost: a\r\n")
            sock.sendall(b"Content-Length: 100000\r\n\r\n")
            for _ in range(10):
                sock.sendall(b"x")
                time.sleep(0.04)
            response = b""
            while data := sock.recv(65536):
                response += data
            return response

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        response = await loop.run_in_executor(
            None, send, harness.listener.address
        )
        assert response.startswith(b"HTTP/1.1 408 ")

    run(scenario, limits=lambda: limits)


# Guards against a request that meets the close of its connection right after a
# response that began before a planned stop and ended after it.
@pytest.mark.parametrize("has_next", [True, False])
def test_stopped_listener_waits_for_clients_that_were_not_told(has_next):
    async def scenario(harness):
        reader, writer, gate = await begin_response(harness)
        harness.listener.disable_keep_alive()
        harness.listener.stop_accepting()
        gate.set()
        await asyncio.sleep(0.05)
        assert harness.listener.count_active_connections() == 1
        if has_next:
            writer.write(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
            head, _ = await read_response(reader)
            assert b"Connection: close\r\n" in head
        assert await reader.read() == b""
        writer.close()
        while harness.listener.count_active_connections():  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    run(scenario)


def find_events(written, number):
    """Return the fields of the log events with a number."""
    return [
        record.extra
        for record in written.records
        if record.extra.get("event") == number
    ]


# Guards against requests that a stop cuts late in its grace period, and that
# look in the log like those that it found in progress.
def test_unanswered_request_is_reported_with_the_time_since_the_stop():
    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await harness.started.wait()
        harness.listener.disable_keep_alive()
        await asyncio.sleep(0.05)
        harness.listener.abort()
        writer.close()
        while harness.listener.connections:  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    with logbook.TestHandler().applicationbound() as written:
        run(scenario, gate=asyncio.Event())
    [line] = find_events(written, 1907)
    assert line["reason"] == "listener_closed"
    assert line["stopping_ms"] >= 50


# Guards against a complete response that a stop drops without a trace, as its
# client reads slowly.
@pytest.mark.parametrize("is_kept", [True, False])
def test_response_that_is_not_taken_is_reported(is_kept):
    async def handle(request, reply):
        reply.keep_alive = is_kept
        reply.send(200, [], b"a" * 16 * 1024 * 1024)

    async def scenario(harness):
        harness.listener.handle = handle
        harness.listener.id_header = b"x-id"
        _, writer = await harness.connect()
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX-Id: 7f\r\n\r\n")
        await asyncio.sleep(0.2)
        harness.listener.abort()
        writer.close()
        assert dict(harness.listener.undelivered) == {
            http1.EndReason.LISTENER_CLOSED: 1
        }
        assert not harness.listener.unanswered

    with logbook.TestHandler().applicationbound() as written:
        run(scenario)
    [line] = find_events(written, 1910)
    assert line["request"] == "7f"
    assert line["left_bytes"] > 0


# Guards against a complete response that a stop drops, as its client reads
# slowly; its process is gone before the client reads on.
@pytest.mark.parametrize("is_kept", [True, False])
def test_response_that_a_client_reads_slowly_outlasts_the_listener(is_kept):
    body = b"a" * 150_000

    async def handle(request, reply):
        reply.keep_alive = is_kept
        reply.send(200, [], body)

    async def scenario(harness):
        harness.listener.handle = handle
        # Connections inherit it; the kernel holds little, as on slow links.
        harness.listener.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 8192
        )
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setblocking(False)
        host, _, port = harness.listener.address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.1)
        [connection] = harness.listener.connections
        assert connection.transport.get_write_buffer_size() > 0
        harness.listener.stop_accepting()
        assert harness.listener.count_active_connections() == 1
        await harness.listener.hand_over()
        harness.listener.abort()
        while harness.listener.connections:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        assert not harness.listener.undelivered
        reader, writer = await asyncio.open_connection(sock=sock)
        _, received = await read_response(reader)
        assert received == body
        writer.close()

    run(scenario)


# Guards against a pipelined request that was read whole and gets no response,
# as a stop lets the response before it announce the close.
def test_pipelined_requests_are_answered_before_a_stop_closes():
    gate = asyncio.Event()

    async def scenario(harness):
        reader, writer = await harness.connect()
        for number in range(3):
            writer.write(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        await harness.started.wait()
        [connection] = harness.listener.connections
        while len(connection.waiting) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        harness.listener.disable_keep_alive()
        harness.listener.stop_accepting()
        gate.set()
        for number in range(3):
            head, _ = await read_response(reader)
            assert b"X-Target: /%d\r\n" % number in head
            assert (b"Connection: close\r\n" in head) is (number == 2)
        assert await reader.read() == b""
        writer.close()
        assert not harness.listener.unanswered

    run(scenario, gate=gate)
