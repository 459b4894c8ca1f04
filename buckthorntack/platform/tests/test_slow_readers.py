"""Callers that read slowly and bodies without room, over a deployment."""

import asyncio
import contextlib

import logbook

from buckthorntack import http1
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENT = b"data: " + b"e" * 20_000
EVENTS = 320
READERS = 4
#: Size of an event that has not ended, and time for it to arrive.
EVENT_START_BYTES = 800_000
ARRIVAL_S = 10.0
MEMORY_MB = 64.0
#: Of a VM that may hold 500 kB for a connection.
SMALL_MEMORY_MB = 32.0
RELAY = http1.Purpose.RELAY


async def long_stream(server, request, reply):
    """Answer with a stream of six megabytes, more than the kernel holds."""
    headers = server.headers(request)
    headers.append((b"Content-Type", b"text/event-stream"))
    reply.start(200, headers)
    for number in range(EVENTS):
        reply.write(b"id: %d\n%b\n\n" % (number, EVENT))
        await reply.flush()
    reply.end()


async def endless_event(server, request, reply):
    """Answer with the start of an event of which nothing more comes."""
    headers = server.headers(request)
    headers.append((b"Content-Type", b"text/event-stream"))
    reply.start(200, headers)
    reply.write(b"id: 0\ndata: " + b"e" * EVENT_START_BYTES)
    await asyncio.Event().wait()


def run(scenario, *servers, memory_mb=MEMORY_MB):
    routes = [
        _standins.route("talk", "text", type="streaming", timeout_ms=30_000),
        _standins.route(
            "kept",
            "text",
            type="streaming",
            resumable=True,
            timeout_ms=30_000,
        ),
        _standins.route("safe", "desk"),
        _standins.route("unsafe", "desk", type="unsafe"),
    ]
    test_requests.run(scenario, *servers, routes=routes, memory_mb=memory_mb)


# Load pattern: callers that read nothing of their streams for a while.
def test_slow_callers_get_their_whole_streams():
    async def scenario(world):
        world.servers["s1"].behave = long_stream
        watch = world.nodes["e0"].memory_watch
        callers = [await world.begin_to_ask() for _ in range(READERS)]
        await world.until(lambda: len(watch.slow_readers) == READERS)
        answers = await asyncio.gather(
            *(_standins.read_answer(reader) for reader, _ in callers)
        )
        for answer in answers:
            assert answer.whole
            assert answer.body.count(b"id: ") == EVENTS
        for _, writer in callers:
            writer.close()
        budget = watch.budget
        assert budget.peak_bytes <= budget.bounds.total_bytes
        await world.until(lambda: not budget.held_bytes)
        assert sum(len(s.requests) for s in world.servers.values()) == READERS

    run(scenario, ("s1", "text"))


# Failure: the caller vanishes while its answer is held.
def test_work_for_a_vanished_caller_is_cancelled_and_given_back():
    async def scenario(world):
        world.servers["s1"].behave = long_stream
        budget = world.nodes["e0"].memory_watch.budget
        _, writer = await world.begin_to_ask()
        await world.until(lambda: budget.held_bytes > 0)
        writer.transport.abort()
        await world.until(lambda: not budget.held_bytes)
        assert not any(budget.by_purpose.values())

    run(scenario, ("s1", "text"))


async def wait_for_relayed(budget, expected_bytes):
    """Wait for bytes to be held; return how many are if they do not come."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ARRIVAL_S):
            while budget.by_purpose[RELAY] < expected_bytes:  # noqa: ASYNC110
                await asyncio.sleep(_standins.POLL_S)
    return budget.by_purpose[RELAY]


# Guards against events without end that are kept until they can be passed on
# and do not count as held.
def test_events_that_do_not_end_count_as_held():
    async def scenario(world):
        world.servers["s1"].behave = endless_event
        budget = world.nodes["e0"].memory_watch.budget
        asking = [await world.begin_to_ask("/kept/x") for _ in range(READERS)]
        expected_bytes = READERS * EVENT_START_BYTES
        assert await wait_for_relayed(budget, expected_bytes) >= expected_bytes
        assert (await world.ask("/safe/x")).status == 200
        for _, writer in asking:
            writer.transport.abort()
        await world.until(lambda: not budget.held_bytes)
        assert not any(budget.by_purpose.values())

    run(scenario, ("s1", "text"), ("s2", "desk"))


# Guards against a stream that waits for room that a small VM never has.
def test_event_that_a_small_vm_cannot_hold_fails_at_once():
    async def scenario(world):
        world.servers["s1"].behave = endless_event
        reader, writer = await world.begin_to_ask("/kept/x")
        answer = await _standins.read_answer(reader)
        assert answer.status == 502
        writer.close()
        await world.until(lambda: world.servers["s1"].left == 1)

    with logbook.TestHandler() as handler:
        run(scenario, ("s1", "text"), memory_mb=SMALL_MEMORY_MB)
    lines = handler.formatted_records
    assert any("too large for this VM" in line for line in lines)


# Guards against a body that reaches a server though memory is short.
def test_body_without_room_is_refused_with_its_request_id():
    async def scenario(world):
        budget = world.nodes["e0"].memory_watch.budget
        budget.change(http1.Purpose.ANSWER, "", budget.free_bytes - 1000)
        answer = await world.ask("/unsafe/x", method="POST", body=b"a" * 9000)
        assert answer.status == 503
        assert float(answer.headers[b"retry-after"]) > 0
        assert b"x-buckthorntack-request-id" in answer.headers
        assert not world.servers["s1"].requests
        assert budget.refusals == 1

    run(scenario, ("s1", "desk"))


# Guards against a refusal at another entry VM that counts as run there.
def test_forwarded_body_without_room_was_not_run():
    async def scenario(world):
        budget = world.nodes["e2"].memory_watch.budget
        budget.change(http1.Purpose.ANSWER, "", budget.free_bytes - 1000)
        asking = world.ask("/unsafe/x", method="POST", body=b"a" * 9000)
        answer = await asyncio.wait_for(asking, 10)
        assert answer.status == 503
        assert not world.servers["s1"].requests

    run(scenario, ("s1", "desk", "b1"))
