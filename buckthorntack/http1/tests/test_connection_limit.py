"""More connections of clients than a process has descriptors for."""

import asyncio

from buckthorntack import http1
from buckthorntack import transport

TEST_TIMEOUT_S = 20
MOST = 2
REQUEST = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"


class Crowd:
    """A listener with few connections, and its clients."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.handled = 0
        self.writers = []
        self.listener = http1.Listener(
            transport.bind_listener("127.0.0.1:0"),
            self.handle,
            connection_limit=http1.ConnectionLimit(lambda: MOST),
        )

    async def handle(self, request, reply):
        self.handled += 1
        if request.target == b"/slow":
            await self.gate.wait()
        reply.send(200, [], b"")

    async def connect(self, data):
        """Open a connection and send bytes; return it once they were read."""
        host, _, port = self.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.05)
        return reader, writer


def run(scenario):
    async def bounded():
        crowd = Crowd()
        async with asyncio.timeout(TEST_TIMEOUT_S), crowd.listener:
            await scenario(crowd)
            for writer in crowd.writers:
                writer.close()

    asyncio.run(bounded())


async def read_status(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    return head.split(b" ")[1]


# Guards against clients that wait, with which no new one is served.
def test_unfinished_request_gives_way_and_was_not_run():
    async def scenario(crowd):
        first, _ = await crowd.connect(b"GET /first")
        await crowd.connect(b"GET /second")
        reader, _ = await crowd.connect(REQUEST % b"third")
        assert await read_status(reader) == b"200"
        assert await read_status(first) == b"503"
        assert crowd.handled == 1
        assert len(crowd.listener.connections) <= MOST

    run(scenario)


# Guards against the same of clients that keep connections for later.
def test_connection_used_longest_ago_gives_way():
    async def scenario(crowd):
        first, writer = await crowd.connect(REQUEST % b"a")
        assert await read_status(first) == b"200"
        second, _ = await crowd.connect(REQUEST % b"a")
        assert await read_status(second) == b"200"
        writer.write(REQUEST % b"a")
        assert await read_status(first) == b"200"
        third, _ = await crowd.connect(REQUEST % b"a")
        assert await read_status(third) == b"200"
        assert await second.read() == b""
        assert not first.at_eof()

    run(scenario)


# Guards against a request that is cut for a newer one.
def test_requests_in_progress_stay_and_the_new_client_is_refused():
    async def scenario(crowd):
        slow = [await crowd.connect(REQUEST % b"slow") for _ in range(MOST)]
        try:
            late, _ = await crowd.connect(REQUEST % b"late")
            refused = await late.read() == b""
        except ConnectionError:
            refused = True
        assert refused
        crowd.gate.set()
        for reader, _ in slow:
            assert await read_status(reader) == b"200"
        assert crowd.handled == MOST

    run(scenario)


# Guards against a limit that takes all descriptors, or none of a process that
# may open any number.
def test_limit_leaves_descriptors_for_others(monkeypatch):
    limits = http1._connection_limit
    for descriptors, most in ((4_100, 2_733), (-1, None)):
        monkeypatch.setattr(
            limits.resource, "getrlimit", lambda _, n=descriptors: (n, n)
        )
        assert limits.compute_max_connections() == most
