"""Streams that a server ends without breaking its connection."""

import pytest

from buckthorntack import http1
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENTS = 6
INSIDE_EVENT = _standins.whole_stream(3) + b"id: 3\ndata: e"
RESUMABLE, NOT_RESUMABLE = "/talk/x", "/draft/x"
FRAMINGS = [
    http1.BodyFraming.CONNECTION_CLOSE,
    http1.BodyFraming.CHUNKED,
    http1.BodyFraming.LENGTH,
]
BOTH_SERVERS = (("s1", "text"), ("s2", "text"))

each_framing = pytest.mark.parametrize(
    "framing", FRAMINGS, ids=lambda framing: framing.value
)


def run(scenario, *servers):
    """Run a scenario with engines."""
    test_requests.run(scenario, *servers)


async def ask(world, path, entry="e0", server_region=""):
    """Send a request for a stream.

    :param server_region: region of the only server if the entry VM is in
        another one, which then has to know of the server.
    """
    fleet = world.nodes[entry].shared_state.fleet
    await world.until(
        lambda: (
            not server_region
            or fleet.remote_usage(server_region, "s1", 0) is not None
        )
    )
    return await world.ask(path, entry=entry, method="POST")


def break_first_attempt(world, body, framing):
    """Let the server that is asked first send these bytes only."""

    async def behave(server, request, reply):
        tried = sum(len(s.requests) for s in world.servers.values())
        if tried == 1:
            await _standins.raw_stream(body, framing)(server, request, reply)
        else:
            await _standins.stream(EVENTS)(server, request, reply)

    for server in world.servers.values():
        server.behave = behave


# Guards against a stream whose server ended it inside an event, and which
# reached its caller as complete.
@each_framing
def test_stream_that_ends_inside_an_event_looks_broken(framing):
    async def scenario(world):
        for server in world.servers.values():
            server.behave = _standins.raw_stream(INSIDE_EVENT, framing)
        answer = await ask(world, NOT_RESUMABLE)
        assert not answer.whole
        assert answer.body.startswith(_standins.whole_stream(3))
        assert sum(len(s.requests) for s in world.servers.values()) == 1

    run(scenario, *BOTH_SERVERS)


# Guards against a resumable stream that ended inside an event and was not
# continued at another server.
@each_framing
def test_stream_that_ends_inside_an_event_is_resumed(framing):
    async def scenario(world):
        break_first_attempt(world, INSIDE_EVENT, framing)
        answer = await ask(world, RESUMABLE)
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        requests = [r for s in world.servers.values() for r in s.requests]
        resumed = [
            http1.find_header(r.headers, b"last-event-id") for r in requests
        ]
        assert sorted(resumed, key=bool) == [None, b"2"]

    run(scenario, *BOTH_SERVERS)


# Guards against the same in a stream that another region's entry VM relays.
@each_framing
def test_forwarded_stream_that_ends_inside_an_event_looks_broken(framing):
    async def scenario(world):
        server = world.servers["s1"]
        server.behave = _standins.raw_stream(INSIDE_EVENT, framing)
        answer = await ask(world, NOT_RESUMABLE, server_region="south")
        assert server.requests
        assert not answer.whole

    run(scenario, ("s1", "text", "b1"))


# Guards against an empty answer as success when the server closed the
# connection of a stream without a length before its first event.
def test_unframed_stream_without_an_event_is_not_complete():
    closed = _standins.raw_stream(b"", http1.BodyFraming.CONNECTION_CLOSE)

    async def scenario(world):
        for server in world.servers.values():
            server.behave = closed
        answer = await ask(world, NOT_RESUMABLE)
        assert answer.status == 502

    run(scenario, *BOTH_SERVERS)


@pytest.mark.parametrize("path", [RESUMABLE, NOT_RESUMABLE])
@pytest.mark.parametrize(
    ("entry", "server_region"), [("e0", ""), ("e2", "north")]
)
@each_framing
def test_whole_stream_reaches_its_caller(path, entry, server_region, framing):
    whole = _standins.whole_stream(EVENTS)

    async def scenario(world):
        world.servers["s1"].behave = _standins.raw_stream(whole, framing)
        answer = await ask(world, path, entry, server_region)
        assert answer.whole
        assert answer.body == whole

    run(scenario, ("s1", "text"))


def stop_within_head(size, framing):
    """Behaviour: the head of an answer breaks off.

    :param size: bytes of it that are sent; negative to count from its end.
    :param framing: header field that tells the length; empty for none.
    """

    async def behave(server, request, reply):
        head = b"HTTP/1.1 200 OK\r\n"
        for name, value in server.headers(request):
            head += name + b": " + value + b"\r\n"
        head += framing + b"\r\n"
        transport = reply.connection.transport
        transport.write(head[:size])
        transport.close()

    return behave


# Guards against a 200 with an empty or short body, framed as whole, from a
# server that stopped within the head of its answer.
@pytest.mark.parametrize("entry", ["e0", "e2"])
@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/safe/x", "desk"),
        ("/unsafe/x", "desk"),
        (RESUMABLE, "text"),
        (NOT_RESUMABLE, "text"),
    ],
)
def test_answer_that_stops_within_its_head_is_a_failure(path, service, entry):
    framings = [b"", b"Content-Length: 0\r\n", b"Content-Length: 10\r\n"]

    async def scenario(world):
        fleet = world.nodes[entry].shared_state.fleet
        await world.until(
            lambda: (
                entry == "e0"
                or fleet.remote_usage("north", "s1", 0) is not None
            )
        )
        for size in (9, 15, 40, -3, -1):
            for framing in framings:
                for server in world.servers.values():
                    server.behave = stop_within_head(size, framing)
                answer = await world.ask(path, entry=entry, method="POST")
                assert answer.status in (502, 503)
                assert answer.body

    run(scenario, ("s1", service), ("s2", service))


# Guards against a stream whose continuation stops within its head and which
# then looks complete.
def test_stream_whose_continuation_stops_within_its_head_looks_broken():
    async def scenario(world):
        broken = _standins.raw_stream(
            INSIDE_EVENT, http1.BodyFraming.CONNECTION_CLOSE
        )

        async def behave(server, request, reply):
            if http1.find_header(request.headers, b"last-event-id"):
                await stop_within_head(-2, b"")(server, request, reply)
            else:
                await broken(server, request, reply)

        for server in world.servers.values():
            server.behave = behave
        answer = await ask(world, RESUMABLE)
        assert not answer.whole
        assert answer.body == _standins.whole_stream(3)

    run(scenario, *BOTH_SERVERS)
