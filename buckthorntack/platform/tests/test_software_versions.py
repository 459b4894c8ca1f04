"""Streams over servers of several software versions."""

import asyncio
import collections
import random

from buckthorntack import http1
from buckthorntack.gateway import _origin_tasks
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENTS = 8
CUT_AFTER = 4
STREAMS = 12
#: Tries of one client, its first one included.
MAX_TRIES = 8
RETRY_PAUSE_S = 0.15
#: Time after which control VMs have the origins of streams that began.
ORIGINS_SENT_S = 2 * _origin_tasks.SEND_INTERVAL.total_seconds()
#: How long a server wants no requests.
PAUSE_S = 0.8
SERVERS = (
    ("s1", "text", "a1", "v1"),
    ("s2", "text", "a1", "v2"),
    ("s3", "text", "a1", "v1"),
    ("s4", "text", "a1", "v2"),
)
REMOTE_SERVERS = tuple((*server[:2], "b1", server[3]) for server in SERVERS)


class Stream:
    """A stream as one client receives it, over all its tries.

    :param world: the ``Deployment``.
    """

    def __init__(self, world):
        self.world = world
        self.number = random.getrandbits(64)
        self.tries = 0
        #: Client attempt that brought the first event.
        self.began_as = ""
        #: Software version that wrote each event, in order.
        self.versions = []
        #: Status of each try; None without a response.
        self.statuses = []
        self.is_complete = False

    @property
    def is_joined(self):
        """Whether two software versions wrote its events."""
        return len(set(self.versions)) > 1

    async def play(self, entries):
        """Try at these entry VMs in turn until the stream is complete."""
        for entry in entries[:MAX_TRIES]:
            await self.attempt(entry)
            if self.is_complete:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def attempt(self, entry):
        """Make one try at an entry VM."""
        self.tries += 1
        request_id = f"{self.number + self.tries:016x}"[-16:]
        try:
            await self._receive(entry, request_id)
        except (OSError, asyncio.IncompleteReadError):
            if len(self.statuses) < self.tries:
                self.statuses.append(None)

    async def _receive(self, entry, request_id):
        lines = [
            "POST /talk/x HTTP/1.1",
            f"Host: {_standins.HOST}",
            f"X-Buckthorntack-Request-Id: {request_id}",
            "X-Buckthorntack-Deadline-Ms: 4000",
            "Content-Length: 0",
            "Connection: close",
        ]
        if self.versions:
            lines.append(f"Last-Event-Id: {len(self.versions) - 1}")
            lines.append(f"Resumes: {self.began_as}")
        reader, writer = await asyncio.open_connection(
            self.world.ip(entry), _standins.FRONT_PORT
        )
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode())
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            self.statuses.append(status)
            if status != 200:
                return
            self.began_as = self.began_as or request_id
            while True:
                line = await reader.readuntil(b"\n")
                if line.startswith(b"data: "):
                    self.versions.append(line[6:].strip().decode())
                elif line == b"0\r\n":
                    self.is_complete = len(self.versions) == EVENTS
                    return
        finally:
            writer.close()


def write_versions(events=EVENTS, cut_after=None, pause_s=0.02, cuts=None):
    """Behaviour: a stream whose events name the version that wrote them.

    :param events: how many.
    :param cut_after: event before which the connection breaks.
    :param pause_s: pause between two events.
    :param cuts: counter of how many streams break yet; None for all.
    """

    async def behave(server, request, reply):
        last = http1.find_header(request.headers, b"last-event-id")
        headers = server.headers(request)
        headers.append((b"Content-Type", b"text/event-stream"))
        reply.start(200, headers)
        for number in range(int(last) + 1 if last else 0, events):
            if number == cut_after and (cuts is None or cuts["left"] > 0):
                if cuts is not None:
                    cuts["left"] -= 1
                reply.abort()
                return
            data = server.software_version.encode()
            reply.write(b"id: %d\ndata: %b\n\n" % (number, data))
            await asyncio.sleep(pause_s)
        reply.end()

    return behave


def behave_all(world, behave):
    for server in world.servers.values():
        server.behave = behave


async def begin(world, entry, count=STREAMS, pause_s=0.3):
    """Begin streams at one entry VM; return when each has an event."""
    behave_all(world, write_versions(pause_s=pause_s))
    streams = [Stream(world) for _ in range(count)]
    tasks = [asyncio.create_task(s.attempt(entry)) for s in streams]
    await world.until(lambda: all(s.versions for s in streams))
    await asyncio.sleep(ORIGINS_SENT_S)
    assert len({s.versions[0] for s in streams}) > 1 or count == 1
    return streams, tasks


async def go_on(world, streams, tasks, entries):
    """Let the clients of streams that broke off take them up again."""
    await asyncio.gather(*tasks)
    behave_all(world, write_versions())
    # Entry VMs draw the same random numbers.
    shuffled = random.Random(3).sample(streams, len(streams))
    await asyncio.gather(*(s.play(entries) for s in shuffled))


def check_all_go_on(streams):
    assert not [s.versions for s in streams if s.is_joined]
    left = [s.statuses for s in streams if not s.is_complete]
    assert len(left) <= len(streams) // 2, left


# Guards against a stream that another software version continues after its
# server has broken off.
def test_stream_goes_on_at_its_version_within_one_answer():
    async def scenario(world):
        cuts = collections.Counter(left=STREAMS)
        behave_all(world, write_versions(cut_after=CUT_AFTER, cuts=cuts))
        streams = [Stream(world) for _ in range(STREAMS)]
        await asyncio.gather(*(s.play(["e0"] * MAX_TRIES) for s in streams))
        check_all_go_on(streams)

    test_requests.run(scenario, *SERVERS)


# Guards against a stream that no server of its version can continue and that
# another version does.
def test_stream_without_a_server_of_its_version_is_cut():
    async def scenario(world):
        cuts = collections.Counter(left=1)
        behave_all(world, write_versions(cut_after=CUT_AFTER, cuts=cuts))
        stream = Stream(world)
        attempt = asyncio.create_task(stream.attempt("e0"))
        await world.until(lambda: stream.versions)
        began_at = stream.versions[0]
        for server in world.servers.values():
            if server.software_version == began_at:
                path = f"/instances/{server.server_id}"
                await world.control("c0", "DELETE", path)
        await attempt
        assert stream.statuses == [200]
        assert not stream.is_complete
        assert set(stream.versions) == {began_at}

    test_requests.run(scenario, *SERVERS[:2])


# Guards against a hop that continues a stream at another software version.
def test_stream_goes_on_at_its_version_in_another_region():
    async def scenario(world):
        await world.until(
            lambda: (
                world.nodes["e0"].shared_state.fleet.remote_usage(
                    "south", "s4", 0
                )
                is not None
            )
        )
        cuts = collections.Counter(left=STREAMS)
        behave_all(world, write_versions(cut_after=CUT_AFTER, cuts=cuts))
        streams = [Stream(world) for _ in range(STREAMS)]
        await asyncio.gather(
            *(s.play(["e0", "e1"] * MAX_TRIES) for s in streams)
        )
        check_all_go_on(streams)

    test_requests.run(scenario, *REMOTE_SERVERS)


# Guards against a client whose entry VM was killed and whose stream another
# entry VM continues at any software version.
def test_client_of_a_killed_entry_vm_finds_its_version_elsewhere():
    async def scenario(world):
        streams, tasks = await begin(world, "e0")
        await world.kill("e0")
        await go_on(world, streams, tasks, ["e1", "e2"] * MAX_TRIES)
        check_all_go_on(streams)

    test_requests.run(scenario, *SERVERS)


# Guards against clients that take their streams up after all entry VMs were
# killed at once, when none of them remembers a stream.
def test_versions_outlive_all_entry_vms():
    async def scenario(world):
        streams, tasks = await begin(world, "e0")
        for name, zone in zip(("e0", "e1"), ("a1", "a1"), strict=True):
            await world.kill(name)
            await world.start_entry(name, zone)
        await world.in_force(1)
        await go_on(world, streams, tasks, ["e1", "e0"] * MAX_TRIES)
        check_all_go_on(streams)

    test_requests.run(scenario, *SERVERS, entries=("a1", "a1"))


# Guards against a stream whose version has left and that a client waits for,
# or that another version continues.
def test_client_is_told_at_once_that_its_version_has_left():
    async def scenario(world):
        streams, tasks = await begin(world, "e0", count=1)
        await world.kill("e0")
        await asyncio.gather(*tasks)
        stream = streams[0]
        for server in world.servers.values():
            if server.software_version == stream.versions[0]:
                path = f"/instances/{server.server_id}"
                await world.control("c0", "DELETE", path)
        await world.until(
            lambda: (
                len(world.nodes["e1"].shared_state.list_servers("text")) == 1
            )
        )
        sent = sum(len(s.requests) for s in world.servers.values())
        await stream.attempt("e1")
        assert stream.statuses == [200, 503]
        assert sum(len(s.requests) for s in world.servers.values()) == sent

    test_requests.run(scenario, *SERVERS[:2])


# Guards against events that are skipped after those of a server were dropped,
# as it started again at another version since the request was sent.
def test_dropped_events_are_asked_for_again():
    async def scenario(world):
        asked_after = []

        async def behave(server, request, reply):
            last = http1.find_header(request.headers, b"last-event-id")
            asked_after.append(last)
            if len(asked_after) == 2:
                server.born += _standins.INCARNATION_MS
                server.software_version = "v2"
                await world.announce(server)
                views = world.nodes["e0"].registry.servers
                await world.until(
                    lambda: (
                        views[server.server_id].record.born_ms == server.born
                    )
                )
            cut_after = CUT_AFTER if len(asked_after) == 1 else None
            await write_versions(cut_after=cut_after)(server, request, reply)

        behave_all(world, behave)
        stream = Stream(world)
        await stream.attempt("e0")
        assert stream.versions == ["v1"] * EVENTS
        assert asked_after == [None, b"3", b"3"]

    route = _standins.route(
        "talk",
        "text",
        type="streaming",
        resumable=True,
        itl_target_ms=400,
        max_attempts=3,
    )
    servers = [(f"s{number}", "text") for number in range(3)]
    test_requests.run(scenario, *servers, routes=[route])


# Guards against a stream that is refused, or goes on at another version, when
# the only server of its version is busy for a moment.
def test_stream_waits_for_a_busy_server_of_its_version():
    async def scenario(world):
        streams, tasks = await begin(world, "e0", count=1)
        await world.kill("e0")
        await asyncio.gather(*tasks)
        stream = streams[0]
        state = world.nodes["e1"].shared_state.fleet.state
        for server in world.servers.values():
            if server.software_version == stream.versions[0]:
                now_s = asyncio.get_running_loop().time()
                state(server.server_id).pause(now_s, PAUSE_S)
        behave_all(world, write_versions())
        await stream.attempt("e1")
        assert stream.statuses == [200, 200]
        assert stream.is_complete
        assert not stream.is_joined

    test_requests.run(scenario, *SERVERS[:2])


# Guards against an entry VM that guesses the version of a stream that no node
# knows.
def test_stream_of_an_unknown_version_is_not_run():
    async def scenario(world):
        answer = await world.ask(
            "/talk/x",
            Last_Event_Id="3",
            Resumes="00000000000000ff",
        )
        assert answer.status == 503
        assert b"retry-after" in answer.headers
        assert world.servers["s1"].requests == []

    test_requests.run(scenario, SERVERS[0])


# Guards against a server that started again under its id at another software
# version and is taken for the one that began a stream.
def test_server_that_restarts_at_another_version_continues_no_stream():
    async def scenario(world):
        streams, tasks = await begin(world, "e0", count=1)
        server = world.servers["s1"]
        server.crash()
        await asyncio.gather(*tasks)
        server.software_version = "v2"
        await world.restart_server(server)
        behave_all(world, write_versions())
        await streams[0].play(["e1"] * MAX_TRIES)
        assert not streams[0].is_joined

    test_requests.run(scenario, SERVERS[0])
