"""Servers that send bytes without end that are no response."""

import asyncio
import tracemalloc

import logbook
import pytest

from buckthorntack import http1
from buckthorntack.http1 import _read_size
from buckthorntack.http1.tests import endless

TEST_TIMEOUT_S = 20
#: Head, framing and skipped bytes that a connection may take before it is
#: closed, and one read.
MAX_TAKEN_BYTES = 4_194_304 + 2 * 65_536 + 262_144
#: The same where nothing is skipped.
MAX_TAKEN_HEAD_BYTES = 2 * 65_536 + 65_536
SKIPPED_HEADS = [
    endless.OTHER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
]
REQUEST = http1.encode_request(b"GET", b"/", [], b"")

each_response = pytest.mark.parametrize(
    "parts", endless.RESPONSES.values(), ids=endless.RESPONSES
)
each_read_size = pytest.mark.parametrize(
    "read_size_bytes", endless.READ_SIZES_BYTES
)


def open_connection():
    """Return a connection that waits for the response to request 7."""
    connection = http1.Connection(b"x-id")
    fake = endless.FakeTransport()
    connection.connection_made(fake)
    connection.send(REQUEST, b"7")
    return connection, fake


async def read_all(connection):
    await connection.read_head()
    while await connection.read():
        pass


# Guards against a server that sends head, chunk lines, trailers or responses
# to other requests without end, which were read until the caller gave up.
@each_read_size
@each_response
def test_connection_that_sends_no_response_without_end_is_closed(
    parts, read_size_bytes
):
    async def scenario():
        connection, fake = open_connection()
        reads = endless.pieces(*parts, read_size_bytes)
        taken_bytes = endless.feed_until_closed(connection, fake, reads)
        assert fake.is_closed
        is_skipped = parts[0].startswith(endless.OTHER_HEAD)
        limit = MAX_TAKEN_BYTES if is_skipped else MAX_TAKEN_HEAD_BYTES
        assert taken_bytes <= limit
        with pytest.raises(http1.UnexpectedResponseError):
            await read_all(connection)

    asyncio.run(scenario())


# Guards against the same over real sockets, where it ended with the caller.
@pytest.mark.parametrize(
    "name", ["header-value", "interim-responses", "trailers"]
)
def test_server_that_sends_no_response_without_end_is_left(name):
    async def scenario():
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            endless.EndlessServer(*endless.RESPONSES[name]) as server,
        ):
            with http1.ConnectionPool(2.0, b"x-id") as pool:
                connection = await pool.acquire("s", server.address)
                connection.send(REQUEST, b"7")
                with pytest.raises(http1.UnexpectedResponseError):
                    await read_all(connection)
                pool.release("s", connection)
                assert pool.idle_count("s") == 0
                while not server.closed:  # noqa: ASYNC110
                    await asyncio.sleep(0.005)

    asyncio.run(scenario())


# Guards against a header of some hundred kilobytes that arrives in one read.
def test_large_head_in_one_read_is_not_taken():
    async def scenario():
        connection, fake = open_connection()
        head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-A: %b\r\n" % (b"a" * 200_000)
        connection.data_received(head + b"Content-Length: 1\r\n\r\na")
        assert fake.is_closed
        with pytest.raises(http1.UnexpectedResponseError):
            await read_all(connection)

    asyncio.run(scenario())


# Guards against trailers that count as headers of the response.
def test_trailers_are_no_headers():
    async def scenario():
        connection, _ = open_connection()
        trailers = b"0\r\nX-Late: 1\r\nKeep-Alive: timeout=9\r\n\r\n"
        connection.data_received(
            endless.CHUNKED_HEAD + b"1\r\na\r\n" + trailers
        )
        head = await connection.read_head()
        assert (b"X-Late", b"1") not in head.headers
        assert await connection.read() == b"a"
        assert await connection.read() == b""

    asyncio.run(scenario())


@each_read_size
@pytest.mark.parametrize(
    ("head", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", b"a"),
        (endless.CHUNKED_HEAD, b"8\r\naaaaaaaa\r\n"),
        (
            b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 99999999\r\n\r\n",
            b"a",
        ),
    ],
    ids=["close", "chunked", "length"],
)
def test_body_without_end_waits_for_its_reader(
    head, repeated, read_size_bytes
):
    async def scenario():
        connection, fake = open_connection()
        reads = endless.pieces(head, repeated, read_size_bytes)
        body_bytes = 0
        for _ in range(4):
            endless.feed_until_closed(connection, fake, reads)
            assert fake.is_paused
            assert not fake.is_closed
            part = await connection.read()
            assert len(part) <= 262_144 + read_size_bytes
            body_bytes += len(part)
        assert body_bytes > 4 * 262_144

    asyncio.run(scenario())


# Guards against a body in tiny chunks, each of which was kept as an object
# many times as large.
@each_read_size
def test_body_of_tiny_chunks_holds_little_more_than_counts(read_size_bytes):
    async def scenario():
        connection, fake = open_connection()
        reads = endless.pieces(
            endless.CHUNKED_HEAD, b"2\r\nab\r\n", read_size_bytes
        )
        tracemalloc.start()
        try:
            endless.feed_until_closed(connection, fake, reads)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert fake.is_paused
        part = await connection.read()
        assert part == b"ab" * (len(part) // 2)
        assert held_bytes < 2 * len(part)

    asyncio.run(scenario())


# Guards against a body in tiny chunks that keeps all other requests waiting,
# as one read of it takes a hundred times as long to parse.
@pytest.mark.parametrize(
    "head", [endless.CHUNKED_HEAD, *SKIPPED_HEADS], ids=["own", "skipped"]
)
def test_reads_of_tiny_chunks_get_smaller(head):
    async def scenario():
        connection, fake = open_connection()
        connection.data_received(head)
        chunk = b"2\r\nab\r\n"
        for _ in range(3):
            connection.data_received(chunk * (fake.max_size // len(chunk)))
        chunks = fake.max_size // len(chunk)
        assert 0 < chunks <= 2 * _read_size.MAX_READ_PARTS

    asyncio.run(scenario())


def test_reads_of_large_chunks_stay_large():
    async def scenario():
        connection, fake = open_connection()
        connection.data_received(endless.CHUNKED_HEAD)
        chunk = b"400\r\n" + b"a" * 1024 + b"\r\n"
        for _ in range(3):
            connection.data_received(chunk * (http1.READ_BYTES // len(chunk)))
            await connection.read()
        assert fake.max_size == http1.READ_BYTES

    asyncio.run(scenario())


@each_read_size
def test_bytes_without_end_after_a_response_close_the_connection(
    read_size_bytes,
):
    async def scenario():
        connection, fake = open_connection()
        head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\n"
        reads = endless.pieces(head + b"ok", b"a", read_size_bytes)
        taken_bytes = endless.feed_until_closed(connection, fake, reads)
        assert fake.is_closed
        assert taken_bytes <= len(head) + 2 + read_size_bytes
        await connection.read_head()
        assert await connection.read() == b"ok"
        assert not connection.is_reusable()

    asyncio.run(scenario())


def test_late_large_response_is_passed_over():
    async def scenario():
        connection, _ = open_connection()
        late = endless.OTHER_HEAD + b"Content-Length: 2000000\r\n\r\n"
        connection.data_received(late)
        for _ in range(20):
            connection.data_received(b"a" * 100_000)
        head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        connection.data_received(head)
        assert (await connection.read_head()).status == 200
        assert await connection.read() == b"ok"

    asyncio.run(scenario())


def test_large_body_of_small_chunks_is_taken():
    async def scenario():
        connection, fake = open_connection()
        connection.data_received(endless.CHUNKED_HEAD)
        body_bytes = 0
        for _ in range(2000):
            connection.data_received(b"1;name=value\r\na\r\n" * 100)
            body_bytes += len(await connection.read())
            assert not fake.is_closed
        connection.data_received(b"0\r\n\r\n")
        assert await connection.read() == b""
        assert body_bytes == 200_000

    asyncio.run(scenario())


# Guards against connections that are closed for such bytes without a log line.
def test_bytes_after_a_response_are_logged():
    head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\n"

    async def scenario():
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            endless.EndlessServer(head + b"ok", b"a") as server,
        ):
            with http1.ConnectionPool(2.0, b"x-id") as pool:
                connection = await pool.acquire("s", server.address)
                connection.send(REQUEST, b"7")
                await read_all(connection)
                while not connection.is_out_of_sync:  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
                pool.release("s", connection)

    with logbook.TestHandler() as handler:
        asyncio.run(scenario())
    assert any("foreign_answer" in line for line in handler.formatted_records)
