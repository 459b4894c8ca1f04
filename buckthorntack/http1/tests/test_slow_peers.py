"""Clients and servers that read or send slowly, over real sockets."""

import asyncio
import contextlib
import socket

from buckthorntack import http1
from buckthorntack import transport
from buckthorntack.http1 import _memory
from buckthorntack.http1 import _server

TEST_TIMEOUT_S = 30
#: Socket buffers, so that the kernel holds little.
KERNEL_BYTES = 8192
ANSWER = bytes(range(256)) * 1024
READERS = 100
#: 16 MB for all.
MEMORY_MB = 64
#: What the two header fields of a request with such a body take in memory.
SENT_HEAD_BYTES = 2 * _memory.FIELD_BYTES + len(b"HostaContent-Length1000000")
REQUEST = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


def bind():
    sock = transport.bind_listener("127.0.0.1:0")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
    return sock


class Relay:
    """A listener that relays each request to a server, within a budget."""

    def __init__(self, memory_mb=MEMORY_MB):
        bounds = http1.compute_bounds(memory_mb)
        self.budget = http1.MemoryBudget(bounds)
        self.watch = http1.MemoryWatch(self.budget)
        self.pool = http1.ConnectionPool(2.0, b"", http1.READ_BYTES // 2)
        self.front = http1.Listener(
            bind(),
            self.relay,
            memory=http1.ListenerMemory(
                self.watch,
                lambda headers: "",
                lambda headers: [(b"Retry-After", b"1")],
            ),
        )
        self.server = http1.Listener(bind(), self.answer)
        self.errors = []
        self.handled = 0
        self.cancelled = 0

    async def answer(self, request, reply):
        self.handled += 1
        if request.target == b"/small":
            reply.send(200, [], request.body)
            return
        answer = ANSWER * (8 if request.target == b"/huge" else 1)
        reply.start(200, [], length=len(answer))
        for start in range(0, len(answer), 16_384):
            reply.write(answer[start : start + 16_384])
            await reply.flush()
        reply.end()

    async def relay(self, request, reply):
        connection = await self.pool.acquire("s", self.server.address)
        connection.hold_for(reply.account, self.watch)
        try:
            connection.send(
                http1.encode_request(b"POST", request.target, [], b""), b""
            )
            head = await connection.read_head()
            reply.start(head.status, [], length=head.length)
            while data := await connection.read():
                reply.write(data)
                await reply.flush()
            reply.end()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        except http1.IncompleteResponseError as error:
            self.errors.append(error)
            reply.abort()
        finally:
            self.pool.release("s", connection)

    async def connect(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        sock.setblocking(False)
        host, _, port = self.front.address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock, limit=KERNEL_BYTES)

    async def ask(self, target, body=b""):
        reader, writer = await self.connect()
        writer.write(REQUEST % (target, len(body)) + body)
        return reader, writer

    async def until(self, condition):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def run(scenario, **options):
    async def bounded():
        relay = Relay(**options)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            async with relay.server, relay.front:
                with relay.watch, relay.pool:
                    await scenario(relay)

    asyncio.run(bounded())


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    return head, await reader.readexactly(length)


# Load pattern: 100 callers that read nothing of a large answer at first.
def test_slow_readers_get_their_answers_within_the_budget():
    async def scenario(relay):
        clients = [await relay.ask(b"large") for _ in range(READERS)]
        await relay.until(lambda: len(relay.watch.slow_readers) == READERS)
        await relay.until(lambda: relay.budget.is_short)
        # One that reads at once is served meanwhile.
        reader, writer = await relay.ask(b"small")
        head, _ = await read_answer(reader)
        assert head.startswith(b"HTTP/1.1 200")
        writer.close()
        answers = await asyncio.gather(*(read_answer(r) for r, _ in clients))
        assert all(body == ANSWER for _, body in answers)
        bounds = relay.budget.bounds
        assert relay.budget.peak_bytes <= bounds.total_bytes
        assert not relay.errors
        for _, writer in clients:
            writer.close()
        await relay.until(lambda: relay.budget.held_bytes == 0)

    run(scenario)


# Guards against a server that cuts an answer as one slow caller is behind.
def test_answer_within_its_bound_is_read_whole_from_the_server():
    async def scenario(relay):
        reader, writer = await relay.ask(b"large")
        [server_side] = await wait_for_connections(relay.server, 1)
        await relay.until(lambda: relay.handled == 1)
        await relay.until(
            lambda: (
                server_side.task is None
                and server_side.transport.get_write_buffer_size() == 0
            )
        )
        _, body = await read_answer(reader)
        assert body == ANSWER
        writer.close()

    run(scenario, memory_mb=128)


# Failure: a client vanishes while much of its answer is held.
def test_what_is_held_for_a_vanished_client_is_given_back():
    async def scenario(relay):
        _, writer = await relay.ask(b"huge")
        await relay.until(lambda: relay.budget.held_bytes > 100_000)
        writer.transport.abort()
        await relay.until(lambda: relay.budget.held_bytes == 0)
        assert relay.cancelled == 1
        await relay.until(lambda: not relay.watch.slow_readers)
        assert not relay.watch.exchanges
        assert not any(relay.budget.by_purpose.values())

    run(scenario)


# Guards against a sound client that is closed as its window is shut for longer
# than a dead peer may be silent.
def test_slow_reader_is_told_from_a_dead_one():
    async def scenario(relay):
        reader, writer = await relay.ask(b"large")
        [connection] = await wait_for_connections(relay.front, 1)
        sock = connection.transport.get_extra_info("socket")

        def user_timeout_ms():
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

        assert user_timeout_ms() == _server.USER_TIMEOUT_MS
        await relay.until(
            lambda: user_timeout_ms() == _server.SLOW_USER_TIMEOUT_MS
        )
        _, body = await read_answer(reader)
        assert body == ANSWER
        await relay.until(lambda: user_timeout_ms() == _server.USER_TIMEOUT_MS)
        writer.close()

    run(scenario)


# Load pattern: bodies that are announced and trickle in.
def test_slow_senders_hold_only_what_has_arrived():
    async def scenario(relay):
        clients = []
        for _ in range(READERS):
            _, writer = await relay.connect()
            writer.write(REQUEST % (b"small", 1_000_000) + b"a" * 1000)
            clients.append(writer)
        arrived_bytes = READERS * (1000 + SENT_HEAD_BYTES)
        await relay.until(lambda: relay.budget.held_bytes == arrived_bytes)
        assert relay.budget.refusals == 0
        for writer in clients:
            writer.transport.abort()
        await relay.until(lambda: relay.budget.held_bytes == 0)

    run(scenario)


# Guards against header fields that are held and count for nothing, though
# each takes many times the memory of its bytes.
def test_open_heads_stay_within_the_budget():
    async def scenario(relay):
        writers = []
        for _ in range(READERS):
            _, writer = await relay.connect()
            writer.write(b"GET /small HTTP/1.1\r\n" + b"a:\r\n" * 3000)
            writers.append(writer)
        await relay.until(lambda: relay.budget.refusals > READERS / 2)
        budget = relay.budget
        assert budget.peak_bytes <= budget.bounds.total_bytes
        # One that holds little is served meanwhile.
        reader, writer = await relay.ask(b"small")
        head, _ = await read_answer(reader)
        assert head.startswith(b"HTTP/1.1 200")
        for each in [*writers, writer]:
            each.transport.abort()
        await relay.until(lambda: budget.held_bytes == 0)

    run(scenario, memory_mb=16)


# Guards against a lookup for each slice of a body.
def test_organisation_of_a_large_body_is_looked_up_once():
    async def scenario(relay):
        lookups = []

        def find_owner(headers):
            lookups.append(headers)
            return "shop"

        relay.front.memory = relay.front.memory._replace(find_owner=find_owner)
        reader, writer = await relay.ask(b"small", b"a" * 500_000)
        head, _ = await read_answer(reader)
        assert head.startswith(b"HTTP/1.1 200")
        assert len(lookups) == 1
        writer.close()

    run(scenario)


# Guards against large heads that wait as objects behind a slow request.
def test_large_heads_behind_a_request_stay_bytes():
    async def scenario(relay):
        reader, writer = await relay.ask(b"huge")
        await relay.until(lambda: relay.handled == 1)
        large = b"GET /small HTTP/1.1\r\n" + b"a: \r\n" * 3000 + b"\r\n"
        writer.write(large * 3)
        [connection] = await wait_for_connections(relay.front, 1)
        await relay.until(lambda: not connection.transport.is_reading())
        assert len(connection.waiting) == 1
        for _ in range(4):
            head, _ = await read_answer(reader)
            assert head.startswith(b"HTTP/1.1 200")
        writer.close()
        await relay.until(lambda: relay.budget.held_bytes == 0)

    run(scenario)


# Guards against a body that is read before it is refused, and a refusal that
# is lost as its connection is reset.
def test_body_without_room_is_refused_before_it_is_read():
    async def scenario(relay):
        free_bytes = relay.budget.free_bytes
        relay.budget.change(http1.Purpose.ANSWER, "", free_bytes - 100_000)
        body = b"a" * 200_000
        reader, writer = await relay.ask(b"small", body)
        head, _ = await read_answer(reader)
        assert head.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 1\r\n" in head
        assert await reader.read() == b""
        assert relay.handled == 0
        assert relay.budget.by_purpose[http1.Purpose.REQUEST] == 0
        assert relay.budget.refusals == 1
        writer.close()

    run(scenario)


# Guards against a client that waits for leave and gets it with its refusal.
def test_refused_body_is_not_asked_for():
    async def scenario(relay):
        relay.budget.change(
            http1.Purpose.ANSWER, "", relay.budget.bounds.total_bytes
        )
        reader, writer = await relay.connect()
        head = REQUEST % (b"small", 10)
        writer.write(head[:-2] + b"Expect: 100-continue\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        writer.close()

    run(scenario)


# Guards against a server that counts as crashed as its answer was not read.
def test_server_that_cuts_an_unread_answer_has_not_crashed():
    async def scenario(relay):
        reader, writer = await relay.ask(b"huge")
        [server_side] = await wait_for_connections(relay.server, 1)
        [exchange] = await wait_for(relay, lambda: relay.watch.exchanges)
        await relay.until(lambda: exchange.is_paused)
        await asyncio.sleep(0.6)
        server_side.transport.abort()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await read_answer(reader)
        await relay.until(lambda: relay.errors)
        assert isinstance(relay.errors[0], http1.UnreadResponseError)
        writer.close()

    run(scenario, memory_mb=4)


async def wait_for(relay, find):
    await relay.until(find)
    return list(find())


async def wait_for_connections(listener, count):
    while len(listener.connections) < count:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    return list(listener.connections)
