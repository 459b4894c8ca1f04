"""Responses of faulty servers, over real sockets."""

import asyncio

import pytest

from buckthorntack import http1
from buckthorntack import transport

TEST_TIMEOUT_S = 20
ID_HEADER_NAME = b"x-id"
EXPECTED_ID_HEADER = b"X-Id: 7\r\n"
OTHER_ID_HEADER = b"X-Id: 6\r\n"
COMPLETE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\n"
    + EXPECTED_ID_HEADER
    + b"Content-Length: 2\r\n\r\nok"
)
LATE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\n" + OTHER_ID_HEADER + b"Content-Length: 4\r\n\r\nlate"
)


class ScriptedServer:
    """Server that executes one script for each connection.

    :param scripts: steps of each connection: bytes are sent, ``await`` waits
        for the head of a request, ``pause`` for the event ``paused``, None
        closes the connection and ``reset`` resets it.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.paused = asyncio.Event()

    async def __aenter__(self):
        sock = transport.bind_listener("127.0.0.1:0")
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self.server = await asyncio.start_server(self.serve, sock=sock)
        return self

    async def __aexit__(self, *exc_info):
        self.server.close()

    async def serve(self, reader, writer):
        try:
            await self._execute(reader, writer)
        except asyncio.IncompleteReadError:
            # The client has closed the connection.
            pass
        finally:
            writer.close()

    async def _execute(self, reader, writer):
        script = self.scripts[self.connections]
        self.connections += 1
        for step in script:
            if step is None:
                return
            if step == "reset":
                transport.set_reset_on_close(writer.transport, True)
                writer.transport.abort()
                return
            if step == "pause":
                await self.paused.wait()
                continue
            if step == "await":
                await reader.readuntil(b"\r\n\r\n")
                continue
            writer.write(step)
            await writer.drain()
        await reader.read()


def run(scenario, *scripts):
    async def bounded():
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            ScriptedServer(*scripts) as server,
        ):
            with http1.ConnectionPool(2.0, ID_HEADER_NAME) as pool:
                await scenario(server, pool)

    asyncio.run(bounded())


async def send_request(server, pool, request_id=b"7", avoided_id=None):
    connection = await pool.acquire("s", server.address, avoided_id)
    request = http1.encode_request(b"GET", b"/", [], b"")
    connection.send(request, request_id)
    try:
        head = await connection.read_head()
        body = b""
        while part := await connection.read():
            body += part
    finally:
        pool.release("s", connection)
    return head, body


def test_connection_is_kept():
    async def scenario(server, pool):
        for _ in range(3):
            head, body = await send_request(server, pool)
            assert (head.status, body) == (200, b"ok")
        assert server.connections == 1

    run(scenario, ["await", COMPLETE_RESPONSE] * 3)


def test_late_answer_to_another_request_is_passed_over():
    async def scenario(server, pool):
        _, body = await send_request(server, pool)
        assert body == b"ok"
        assert pool.idle_count("s") == 0

    run(scenario, ["await", LATE_RESPONSE, COMPLETE_RESPONSE])


def test_second_answer_poisons_the_connection():
    async def scenario(server, pool):
        _, body = await send_request(server, pool)
        assert body == b"ok"
        assert pool.idle_count("s") == 0
        _, body = await send_request(server, pool)
        assert body == b"ok"
        assert server.connections == 2

    run(
        scenario,
        ["await", COMPLETE_RESPONSE + LATE_RESPONSE],
        ["await", COMPLETE_RESPONSE],
    )


def test_bytes_on_an_idle_connection_end_it():
    async def scenario(server, pool):
        await send_request(server, pool)
        assert pool.idle_count("s") == 1
        server.paused.set()
        while pool._idle["s"][0].is_reusable():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        _, body = await send_request(server, pool)
        assert body == b"ok"
        assert server.connections == 2

    run(
        scenario,
        ["await", COMPLETE_RESPONSE, "pause", LATE_RESPONSE],
        ["await", COMPLETE_RESPONSE],
    )


@pytest.mark.parametrize(
    "script",
    [
        ["await", b"HTTP/1.1 200 OK\r\n" + EXPECTED_ID_HEADER, None],
        ["await", COMPLETE_RESPONSE[:-1], None],
        ["await", COMPLETE_RESPONSE[:-1], "reset"],
        ["await", b"no answer at all\r\n\r\n", None],
        ["await", LATE_RESPONSE, None],
        ["await", LATE_RESPONSE * 4, "await"],
        ["await", "reset"],
        ["await", None],
    ],
)
def test_answer_that_is_not_whole_is_an_error(script):
    async def scenario(server, pool):
        with pytest.raises(http1.IncompleteResponseError):
            await send_request(server, pool)
        assert pool.idle_count("s") == 0

    run(scenario, script)


def test_unframed_answer_ends_with_its_connection():
    head = b"HTTP/1.1 200 OK\r\n" + EXPECTED_ID_HEADER + b"\r\n"

    async def scenario(server, pool):
        _, body = await send_request(server, pool)
        assert body == b"whole"
        assert pool.idle_count("s") == 0

    run(scenario, ["await", head + b"whole", None])


def test_unframed_answer_that_is_reset_is_not_whole():
    head = b"HTTP/1.1 200 OK\r\n" + EXPECTED_ID_HEADER + b"\r\n"

    async def scenario(server, pool):
        with pytest.raises(http1.IncompleteResponseError):
            await send_request(server, pool)

    run(scenario, ["await", head + b"part", "reset"])


def test_error_of_a_server_that_names_no_request_is_taken():
    response = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"

    async def scenario(server, pool):
        head, _ = await send_request(server, pool)
        assert head.status == 400

    run(scenario, ["await", response])


# Guards against a refusal that a faulty server writes once more on a kept
# connection, and that was taken for the answer to the next request: its
# client was told that it had not run, while it ran.
def test_second_copy_of_a_refusal_without_id_is_passed_over():
    refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"

    async def scenario(server, pool):
        head, _ = await send_request(server, pool, b"6")
        assert head.status == 503
        head, body = await send_request(server, pool, b"7")
        assert (head.status, body) == (200, b"ok")
        assert server.connections == 1

    run(
        scenario,
        ["await", refusal, "await", refusal + COMPLETE_RESPONSE, None],
    )


# Guards against the same for a second attempt of a request at a server that
# refused the first, whose answers have the same id.
def test_second_attempt_is_not_sent_where_the_first_was_refused():
    refusal = (
        b"HTTP/1.1 503 Full\r\n"
        + EXPECTED_ID_HEADER
        + b"Content-Length: 0\r\n\r\n"
    )

    async def scenario(server, pool):
        head, _ = await send_request(server, pool, avoided_id=b"7")
        assert head.status == 503
        head, body = await send_request(server, pool, avoided_id=b"7")
        assert (head.status, body) == (200, b"ok")
        assert server.connections == 2

    run(
        scenario,
        ["await", refusal, "await", refusal + COMPLETE_RESPONSE, None],
        ["await", COMPLETE_RESPONSE, None],
    )


def test_success_that_names_no_request_is_not_taken():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"

    async def scenario(server, pool):
        with pytest.raises(http1.IncompleteResponseError):
            await send_request(server, pool)

    run(scenario, ["await", response, None])


def test_server_that_announces_its_close_is_not_used_again():
    response = COMPLETE_RESPONSE.replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )

    async def scenario(server, pool):
        await send_request(server, pool)
        assert pool.idle_count("s") == 0

    run(scenario, ["await", response])


def test_short_idle_limit_of_a_server_is_kept():
    response = COMPLETE_RESPONSE.replace(
        b"\r\n\r\n", b"\r\nKeep-Alive: timeout=0\r\n\r\n"
    )

    async def scenario(server, pool):
        await send_request(server, pool)
        await send_request(server, pool)
        assert server.connections == 2

    run(scenario, ["await", response], ["await", COMPLETE_RESPONSE])


def test_nobody_listens():
    async def scenario(server, pool):
        sock = transport.bind_listener("127.0.0.1:0")
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        sock.close()
        with pytest.raises(http1.ConnectError):
            await pool.acquire("x", address)

    run(scenario, [])


def test_hop_by_hop_fields_are_left_out():
    headers = [
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"TE", b"trailers"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Content-Length", b"3"),
        (b"X-End", b"2"),
    ]
    assert http1.strip_hop_by_hop_headers(headers) == [(b"X-End", b"2")]


def test_connections_are_used_sooner_after_one_was_dropped_while_idle():
    async def scenario(server, pool):
        await send_request(server, pool)
        [kept] = pool._idle["s"]
        kept.idle_since_s -= 2.0
        server.paused.set()
        with pytest.raises(http1.IncompleteResponseError):
            await send_request(server, pool)
        await send_request(server, pool)
        [kept] = pool._idle["s"]
        kept.idle_since_s -= 1.5
        # The idle timeout is now 1.4 s, so the pool opens a new connection.
        await send_request(server, pool)
        assert server.connections == 3

    run(
        scenario,
        ["await", COMPLETE_RESPONSE, "pause", "await", "reset"],
        ["await", COMPLETE_RESPONSE],
        ["await", COMPLETE_RESPONSE],
    )


def test_request_that_is_given_up_is_reset_not_delivered():
    """The server receives a reset, so that it does not run the request."""
    ended = asyncio.Queue()

    async def serve(reader, writer):
        try:
            await reader.read()
            ended.put_nowait("closed")
        except ConnectionResetError:
            ended.put_nowait("reset")
        writer.close()

    async def scenario(server, pool):
        sock = transport.bind_listener("127.0.0.1:0")
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        async with await asyncio.start_server(serve, sock=sock):
            connection = await pool.acquire("s", address)
            connection.send(b"POST / HTTP/1.1\r\n", b"7", False)
            await asyncio.sleep(0.01)
            pool.release("s", connection)
            assert await ended.get() == "reset"

    run(scenario)


LENGTH_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + EXPECTED_ID_HEADER + b"Content-Length: 0\r\n\r\n"
)
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n" + EXPECTED_ID_HEADER + b"\r\n"
INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"


# Guards against an answer with an empty body from a head that broke off.
@pytest.mark.parametrize("end", [None, "reset"])
@pytest.mark.parametrize(
    "head", [LENGTH_HEAD, UNFRAMED_HEAD, INTERIM_HEAD + UNFRAMED_HEAD]
)
def test_head_that_breaks_off_is_no_response(head, end):
    sizes = range(1, len(head))

    async def scenario(server, pool):
        for _ in sizes:
            with pytest.raises(http1.IncompleteResponseError):
                await send_request(server, pool)
        assert pool.idle_count("s") == 0

    run(scenario, *(["await", head[:size], end] for size in sizes))


# Guards against an internal error for the request that is sent to a server
# whose announced address cannot be connected to.
@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:²",
        "127.0.0.1:" + "9" * 5000,
        "127.0\0.0.1:80",
        "x" * 300 + ":80",
        "127.0.0.1",
    ],
)
def test_odd_address_fails_as_a_connect(address):
    async def scenario(server, pool):
        with pytest.raises(http1.ConnectError):
            await pool.open(address)

    run(scenario)
