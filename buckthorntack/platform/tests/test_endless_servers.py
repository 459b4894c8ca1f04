"""Servers that send bytes without end that are no answer."""

import asyncio
import gc

import logbook
import pytest

from buckthorntack.gateway import _request_handler
from buckthorntack.platform import _headers
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

#: More than the limits on what cannot be a part of an answer.
ENOUGH_BYTES = 16 * 1024 * 1024
#: More of a body than is kept to repeat its request.
PASSED_ON_BYTES = 2 * _request_handler.MAX_BUFFERED_BODY_BYTES
MIN_PART_BYTES = 1000
SERVER = ("s1", "desk")
SERVERS = (SERVER, ("s2", "desk"))
ENGINE = ("s1", "text")
ENGINES = (ENGINE, ("s2", "text"))
CHUNKED = (b"Transfer-Encoding: chunked",)
#: First line and fields of a response, and what follows without end.
NO_ANSWERS = {
    "head": (b"200 OK", (b"",), b"X-A: b\r\n"),
    "body-of-refusal": (
        b"503 Full",
        (_headers.NOT_EXECUTED + b": 1", b"", b""),
        b"a" * 1000,
    ),
    "chunk-extension": (b"200 OK", (*CHUNKED, b"", b"1;x="), b"y" * 1000),
    "trailers": (b"200 OK", (*CHUNKED, b"", b"0", b""), b"X-A: b\r\n"),
}
EVENT_STREAM = (b"Content-Type: text/event-stream", b"", b"")
#: Streams that never tell the end of an event with data.
NO_EVENTS = {
    "line": b"data" * 250,
    "lines": b"data: a\n" * 100,
    "comment-lines": b": a\n" * 100,
    "comments": b": a\n\n" * 100,
}

each_answer = pytest.mark.parametrize(
    "sent", NO_ANSWERS.values(), ids=NO_ANSWERS
)
each_stream = pytest.mark.parametrize(
    "repeated", NO_EVENTS.values(), ids=NO_EVENTS
)


def send_without_end(status, lines, repeated, enough_bytes=ENOUGH_BYTES):
    """Behaviour: a response that goes on until the connection closes.

    :param status: status code and reason phrase.
    :param lines: what follows the fields that each response has.
    :param repeated: what follows again and again.
    :param enough_bytes: bytes after which the server falls silent.
    """

    async def behave(server, request, reply):
        fields = [n + b": " + v for n, v in server.headers(request)]
        head = [b"HTTP/1.1 " + status, *fields, *lines]
        write = reply.connection.transport.write
        write(b"\r\n".join(head))
        block = repeated * (65_536 // len(repeated) + 1)
        for _ in range(enough_bytes // len(block)):
            write(block)
            await reply.flush()
            await asyncio.sleep(0)
        await asyncio.Event().wait()

    return behave


def count_failures(world, entry="e0"):
    """Failure shares of the servers as an entry VM has learned them."""
    fleet = world.nodes[entry].shared_state.fleet
    return {s: fleet.state(s).failure_share for s in world.servers}


def behave_once(world, behave, otherwise):
    """Let the server that is asked first behave in another way."""

    async def choose(server, request, reply):
        tried = sum(len(s.requests) for s in world.servers.values())
        chosen = behave if tried == 1 else otherwise
        await chosen(server, request, reply)

    for server in world.servers.values():
        server.behave = choose


def check_cut_at_the_deadline(answer):
    """Check that nothing of an unfinished body looks like the whole of it.

    Up to the first ``MAX_BUFFERED_BODY_BYTES`` nothing is passed on, so that
    the client gets 504; later its response is cut.
    """
    if answer.status == 504:
        assert b"aa" not in answer.body
        assert _headers.NOT_EXECUTED.lower() not in answer.headers
    else:
        assert not answer.whole


# Guards against bytes without end that held a request up to its deadline and
# from which nothing was learned of the server.
@each_answer
def test_request_that_may_not_repeat_ends_as_unknown(sent):
    async def scenario(world):
        for server in world.servers.values():
            server.behave = send_without_end(*sent)
        answer = await world.ask(test_requests.UNSAFE, method="POST")
        assert answer.status == 502
        assert _headers.NOT_EXECUTED.lower() not in answer.headers
        assert sum(len(s.requests) for s in world.servers.values()) == 1
        assert max(count_failures(world).values()) > 0
        await world.until(
            lambda: sum(s.left for s in world.servers.values()) == 1
        )

    test_requests.run(scenario, *SERVERS)


# Guards against the same for a request that another server can answer.
@each_answer
def test_request_that_may_repeat_gets_its_answer_elsewhere(sent):
    async def scenario(world):
        behave_once(world, send_without_end(*sent), _standins.answer_whole)
        answer = await world.ask(test_requests.SAFE)
        assert answer.status == 200
        assert answer.body == b"GET " + test_requests.SAFE.encode() + b" "
        assert max(count_failures(world).values()) > 0

    test_requests.run(scenario, *SERVERS)


# Guards against an event without end, which was kept or passed on for as long
# as the stream lasted.
@each_stream
def test_stream_without_an_event_looks_broken(repeated):
    async def scenario(world):
        behave = send_without_end(b"200 OK", EVENT_STREAM, repeated)
        world.servers["s1"].behave = behave
        answer = await world.ask("/draft/x", method="POST")
        assert not answer.whole
        assert len(answer.body) < ENOUGH_BYTES // 4
        assert len(world.servers["s1"].requests) == 1
        assert count_failures(world)["s1"] > 0

    test_requests.run(scenario, ENGINE)


@each_stream
def test_stream_without_an_event_goes_on_elsewhere(repeated):
    async def scenario(world):
        behave = send_without_end(b"200 OK", EVENT_STREAM, repeated)
        behave_once(world, behave, _standins.stream(6))
        answer = await world.ask("/talk/x", method="POST")
        assert answer.whole
        assert answer.body.endswith(_standins.whole_stream(6))
        assert max(count_failures(world).values()) > 0

    test_requests.run(scenario, *ENGINES)


# Guards against a large body that breaks off and counts as a success of its
# server.
def test_large_body_that_breaks_off_is_a_failure_of_its_server():
    async def break_off(server, request, reply):
        reply.start(200, server.headers(request))
        for _ in range(16):
            reply.write(b"a" * 65_536)
            await reply.flush()
        await asyncio.sleep(0.2)
        reply.abort()

    async def scenario(world):
        world.servers["s1"].behave = break_off
        answer = await world.ask(test_requests.SAFE)
        assert not answer.whole
        assert len(world.servers["s1"].requests) == 1
        assert count_failures(world)["s1"] > 0

    test_requests.run(scenario, SERVER)


@pytest.mark.parametrize(
    "lines",
    [(b"", b""), (*CHUNKED, b"", b"")],
    ids=["close", "chunked"],
)
def test_body_without_end_ends_at_the_deadline(lines):
    async def scenario(world):
        repeated = b"a" * 1000
        if lines[0]:
            repeated = b"3e8\r\n" + repeated + b"\r\n"
        world.servers["s1"].behave = send_without_end(
            b"200 OK", lines, repeated, enough_bytes=2**40
        )
        answer = await world.ask(
            test_requests.SAFE, X_Buckthorntack_Deadline_Ms="500"
        )
        check_cut_at_the_deadline(answer)
        assert len(world.servers["s1"].requests) == 1
        await world.until(lambda: world.servers["s1"].left == 1)

    test_requests.run(scenario, SERVER)


def count_listed_bytes():
    """Bytes of large parts of data that are kept in lists."""
    gc.collect()
    lists = [each for each in gc.get_objects() if type(each) is list]
    return sum(
        len(part)
        for each in lists
        for part in each
        if type(part) is bytes and len(part) >= MIN_PART_BYTES
    )


# Guards against the start of a body that was kept for as long as the body
# lasted, though it had been passed on.
def test_start_of_a_large_body_is_not_kept():
    async def scenario(world):
        sent = (b"200 OK", (b"", b""), b"a" * 1000)
        world.servers["s1"].behave = send_without_end(
            *sent, enough_bytes=2 * PASSED_ON_BYTES
        )
        # Other tests of this process may have left some.
        before_bytes = count_listed_bytes()
        reader, writer = await world.begin_to_ask("/safe/x")
        taken_bytes = 0
        while taken_bytes < PASSED_ON_BYTES:
            taken_bytes += len(await reader.read(65_536))
        kept_bytes = count_listed_bytes() - before_bytes
        writer.close()
        assert kept_bytes < _request_handler.MAX_BUFFERED_BODY_BYTES

    test_requests.run(scenario, SERVER)


# Guards against the first bytes of such a body being passed off as the whole
# of it, or being left out of the answer to the deadline without a trace.
def test_body_that_was_not_passed_on_by_the_deadline_gets_504():
    async def send_a_little(server, request, reply):
        reply.start(200, server.headers(request))
        reply.write(b"a" * 1000)
        await reply.flush()
        await asyncio.Event().wait()

    async def scenario(world):
        world.servers["s1"].behave = send_a_little
        answer = await world.ask(
            test_requests.SAFE, X_Buckthorntack_Deadline_Ms="500"
        )
        assert answer.status == 504
        check_cut_at_the_deadline(answer)
        assert len(world.servers["s1"].requests) == 1
        await world.until(lambda: world.servers["s1"].left == 1)

    test_requests.run(scenario, SERVER)


#: Route, failure domain of its server and what that sends without end, as
#: valid parts of an answer.
VALID_PARTS = {
    "events": ("/draft/x", "a1", EVENT_STREAM, b"data: a\n\n"),
    "forwarded-events": ("/talk/x", "b1", EVENT_STREAM, b"data: a\r\r"),
    "tiny-chunks": ("/safe/x", "a1", (*CHUNKED, b"", b""), b"2\r\nab\r\n"),
}


# Failure: a server that sends what is valid without end; other requests are
# served meanwhile, and nothing is left of it afterwards.
@pytest.mark.parametrize("valid", VALID_PARTS.values(), ids=VALID_PARTS)
def test_valid_parts_without_end_end_at_the_deadline(valid):
    path, zone, lines, repeated = valid
    service = "desk" if path.startswith("/safe") else "text"

    async def scenario(world):
        await wait_until_known(world, "s1", zone)
        world.servers["s1"].behave = send_without_end(
            b"200 OK", lines, repeated, enough_bytes=2**40
        )
        asking = asyncio.create_task(
            world.ask(path, method="POST", X_Buckthorntack_Deadline_Ms="400")
        )
        await world.until(lambda: world.servers["s1"].requests)
        assert (await world.ask("/other/x")).status == 200
        answer = await asking
        assert answer.status == 504 or not answer.whole
        assert len(world.servers["s1"].requests) == 1
        await world.until(lambda: world.servers["s1"].left == 1)
        budget = world.nodes["e0"].memory_watch.budget
        await world.until(lambda: not budget.held_bytes)
        assert budget.peak_bytes <= budget.bounds.total_bytes

    routes = [
        _standins.route("safe", "desk"),
        _standins.route("talk", "text", type="streaming", resumable=True),
        _standins.route("draft", "text", type="streaming"),
        _standins.route("other", "desk" if service == "text" else "text"),
    ]
    others = ("s2", "desk" if service == "text" else "text")
    test_requests.run(
        scenario,
        ("s1", service, zone),
        others,
        routes=routes,
        memory_mb=64.0,
    )


async def wait_until_known(world, server_id, zone):
    """Wait until requests can be forwarded to a server of another region."""
    region = _standins.REGIONS[zone]
    node = world.nodes["e0"]
    if region != node.settings.region:
        fleet = node.shared_state.fleet
        await world.until(
            lambda: fleet.remote_usage(region, server_id, 0) is not None
        )


# Failure: a server that sends bytes without end after a whole answer, at once
# or on the idle connection.
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_bytes_without_end_after_an_answer_harm_no_request(pause_s):
    async def behave(server, request, reply):
        await _standins.answer_whole(server, request, reply)
        await asyncio.sleep(pause_s)
        write = reply.connection.transport.write
        while not reply.connection.transport.is_closing():
            write(b"a" * 65_536)
            await reply.flush()
            await asyncio.sleep(0)

    async def scenario(world):
        server = world.servers["s1"]
        server.behave = behave
        for _ in range(3):
            answer = await world.ask(test_requests.SAFE)
            assert answer.status == 200
            assert answer.body == b"GET /safe/x?y=1 "
            await world.until(lambda: not server.listener.connections)
        assert len(server.requests) == 3

    test_requests.run(scenario, SERVER)


# Guards against the same between entry VMs, whose answers pass through.
def test_forwarded_request_gets_the_outcome_of_its_server():
    async def scenario(world):
        fleet = world.nodes["e0"].shared_state.fleet
        await world.until(
            lambda: fleet.remote_usage("south", "s1", 0) is not None
        )
        sent = NO_ANSWERS["trailers"]
        world.servers["s1"].behave = send_without_end(*sent)
        answer = await world.ask(test_requests.UNSAFE, method="POST")
        assert answer.status == 502
        assert len(world.servers["s1"].requests) == 1
        assert count_failures(world, "e2")["s1"] > 0

    test_requests.run(scenario, ("s1", "desk", "b1"))


def test_framing_of_large_answers_is_not_limited():
    async def send_large(server, request, reply):
        reply.start(200, server.headers(request))
        for _ in range(256):
            reply.write(b"a" * 16_384)
            await reply.flush()
        reply.end()

    async def scenario(world):
        world.servers["s1"].behave = send_large
        answer = await world.ask(test_requests.SAFE)
        assert answer.whole
        assert len(answer.body) == 256 * 16_384

    test_requests.run(scenario, SERVER)


# Guards against a failed attempt whose log line does not tell why.
@each_answer
def test_reason_of_the_failed_attempt_is_logged(sent):
    async def scenario(world):
        world.servers["s1"].behave = send_without_end(*sent)
        await world.ask(test_requests.UNSAFE, method="POST")

    with logbook.TestHandler() as handler:
        test_requests.run(scenario, SERVER)
    lines = handler.formatted_records
    failed = [line for line in lines if "attempt_failed" in line]
    assert len(failed) == 1
    assert "too large" in failed[0]
