"""Requests that meet the planned stop of an entry VM."""

import asyncio
import contextlib
import random

import pytest

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

#: Connections are accepted for 2 s and closed 1.3 s later.
GRACE_S = 4.0
LONG_MS, SHORT_MS = 20_000, 700
EVENTS = 3
KINDS = ("safe", "unsafe", "talk", "draft")
ROUTES = [
    _standins.route(
        "open", "text", type="streaming", timeout_ms=LONG_MS, max_attempts=1
    ),
    _standins.route("safe", "desk", timeout_ms=LONG_MS),
    _standins.route(
        "unsafe", "desk", type="unsafe", timeout_ms=LONG_MS, max_attempts=2
    ),
    _standins.route(
        "talk", "desk", type="streaming", timeout_ms=LONG_MS, resumable=True
    ),
    _standins.route(
        "draft", "desk", type="streaming", timeout_ms=LONG_MS, max_attempts=1
    ),
]


class KeptConnection:
    """A connection to an entry VM for one request after the other.

    :param address: IP address and port.
    """

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        return self

    async def __aexit__(self, *exc_info):
        self.writer.close()

    def send(self, kind, deadline_ms=LONG_MS, fields=()):
        """Send a request."""
        request_id = f"{random.getrandbits(64):016x}"
        method = "GET" if kind == "safe" else "POST"
        lines = [
            f"{method} /{kind}/{request_id} HTTP/1.1",
            f"Host: {_standins.HOST}",
            f"X-Buckthorntack-Request-Id: {request_id}",
            f"X-Buckthorntack-Deadline-Ms: {deadline_ms}",
            "Content-Length: 0",
            *fields,
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode())

    async def read_head(self):
        """Read the head of a response."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        return _standins.Answer(head[:-4], b"", False)

    async def read(self):
        """Read a response; the connection stays open."""
        answer = await self.read_head()
        if answer.headers.get(b"transfer-encoding") != b"chunked":
            length = int(answer.headers[b"content-length"])
            answer.body = await self.reader.readexactly(length)
            answer.whole = True
            return answer
        while not answer.whole:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            answer.body += (await self.reader.readexactly(size + 2))[:-2]
            answer.whole = not size
        return answer


def front(world, entry="e0"):
    """Address of an entry VM for clients."""
    return f"{world.ip(entry)}:{_standins.FRONT_PORT}"


def forward(world, entry):
    """Address of an entry VM for others that forward requests to it."""
    return f"{world.ip(entry)}:{_standins.LINK_PORT + 1}"


async def begin_streams(server, connections):
    """Begin a stream on each connection; return the gate of their ends."""
    gate = asyncio.Event()

    async def behave(server, request, reply):
        reply.start(200, server.headers(request))
        reply.write(b"id: 0\ndata: e0\n\n")
        await gate.wait()
        reply.end()

    server.behave = behave
    for connection in connections:
        connection.send("open")
        head = await connection.read_head()
        assert b"connection" not in head.headers
    return gate


async def begin_stop(world, entry="e0"):
    """Stop an entry VM, until no more connections are accepted.

    :returns: the task of the stop.
    """
    node = world.nodes[entry]
    stopping = asyncio.create_task(node.stop())
    await world.until(lambda: node.front_listener.is_stopped)
    return stopping


async def end_streams(gate, connections):
    """Read the rest of the streams that :func:`begin_streams` began."""
    gate.set()
    for connection in connections:
        while await connection.reader.readuntil(b"\r\n") != b"0\r\n":
            pass
        await connection.reader.readuntil(b"\r\n")


@contextlib.asynccontextmanager
async def connect(address):
    """Open a connection for each kind of request."""
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(KeptConnection(address))
            for _ in KINDS
        ]


def run(scenario, *servers, **options):
    options.setdefault("stop_grace_s", GRACE_S)
    servers = servers or (("s1", "desk"), ("s2", "text"))
    test_requests.run(scenario, *servers, routes=ROUTES, **options)


# Guards against a request that comes late in the grace period of a planned
# stop on a kept connection, is passed on and cut within its response.
def test_late_requests_are_refused_instead_of_cut():
    async def scenario(world):
        server = world.servers["s1"]
        server.behave = _standins.hang
        async with connect(front(world)) as connections:
            gate = await begin_streams(world.servers["s2"], connections)
            stopping = await begin_stop(world)
            await end_streams(gate, connections)
            for kind, connection in zip(KINDS, connections, strict=True):
                connection.send(kind)
                answer = await connection.read()
                assert answer.status == 503, kind
                assert answer.headers[b"connection"] == b"close"
                assert float(answer.headers[b"retry-after"]) > 0
            assert not server.requests
            await stopping

    run(scenario)


# Guards against a refusal of what can be served before the stop ends.
@pytest.mark.parametrize(
    ("grace_s", "deadline_ms"), [(GRACE_S, SHORT_MS), (60.0, LONG_MS)]
)
def test_late_requests_with_time_enough_are_served(grace_s, deadline_ms):
    async def scenario(world):
        world.servers["s1"].behave = _standins.stream(EVENTS)
        async with connect(front(world)) as connections:
            gate = await begin_streams(world.servers["s2"], connections)
            stopping = await begin_stop(world)
            await end_streams(gate, connections)
            for kind, connection in zip(KINDS, connections, strict=True):
                connection.send(kind, deadline_ms)
                answer = await connection.read()
                assert answer.status == 200, answer.body
                assert answer.body == _standins.whole_stream(EVENTS)
                assert answer.headers[b"connection"] == b"close"
            await stopping

    run(scenario, stop_grace_s=grace_s)


# Guards against a request whose client gets no answer, as the stop of its
# entry VM ends while a server still works on it.
def test_requests_in_progress_are_answered_before_the_stop_ends():
    async def scenario(world):
        server = world.servers["s1"]
        server.behave = _standins.hang
        async with connect(front(world)) as connections:
            for kind, connection in zip(KINDS, connections, strict=True):
                connection.send(kind)
            await world.until(lambda: len(server.requests) == len(KINDS))
            stopping = await begin_stop(world)
            for kind, connection in zip(KINDS, connections, strict=True):
                answer = await connection.read()
                assert answer.status == 504, kind
                assert answer.headers[b"connection"] == b"close"
            assert not stopping.done()
            await stopping

    run(scenario)


# Guards against a forwarded request that is passed on late and cut, though
# its client's entry VM knows nothing of the stop.
def test_late_forwarded_requests_are_refused_as_not_run():
    async def scenario(world):
        server = world.servers["s1"]
        server.behave = _standins.hang
        async with connect(forward(world, "e2")) as connections:
            gate = await begin_streams(world.servers["s2"], connections)
            stopping = await begin_stop(world, "e2")
            await end_streams(gate, connections)
            for kind, connection in zip(KINDS, connections, strict=True):
                connection.send(kind)
                answer = await connection.read()
                assert answer.status == 503, kind
                assert answer.headers[b"x-gateway-run-state"] == b"not_run"
            assert not server.requests
            await stopping

    run(scenario, ("s1", "desk", "b1"), ("s2", "text", "b1"))


# Guards against a retry that is begun without the time to end it.
def test_request_that_was_refused_late_is_not_sent_again():
    gate = asyncio.Event()

    async def refuse(server, request, reply):
        await gate.wait()
        full = _standins.answer_with(
            503, (b"X-Buckthorntack-Not-Executed", b"1")
        )
        await full(server, request, reply)

    async def scenario(world):
        servers = world.servers.values()
        for server in servers:
            server.behave = refuse
        async with KeptConnection(front(world)) as connection:
            connection.send("unsafe")
            await world.until(lambda: any(s.requests for s in servers))
            stopping = await begin_stop(world)
            gate.set()
            answer = await connection.read()
            assert answer.status == 503
            assert sum(len(s.requests) for s in servers) == 1
            await stopping

    run(scenario, ("s1", "desk"), ("s2", "desk"))


# Guards against a late resumption that is cut while it is asked where its
# stream began.
def test_late_resumption_is_refused_before_its_origin_is_asked_for():
    async def scenario(world):
        async with KeptConnection(front(world)) as connection:
            gate = await begin_streams(world.servers["s2"], [connection])
            stopping = await begin_stop(world)
            await end_streams(gate, [connection])
            fields = ("Last-Event-Id: 2", "Resumes: 0123456789abcdef")
            connection.send("talk", fields=fields)
            answer = await connection.read()
            assert answer.status == 503
            assert answer.body == b"the entry VM stops\n"
            await stopping

    run(scenario)
