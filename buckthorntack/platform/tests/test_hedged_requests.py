"""Late requests at two servers, with real connections."""

import asyncio
import contextlib

import pytest

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

#: Requests after which the usual time to an answer is known and a second send
#: is earned.
LEARNT_REQUESTS = 80
SHARE = 0.2
EVENTS = 6
#: Longer than what is late, shorter than the time to a retry.
LATE_S = 1.0
SERVERS = (("s1", "text"), ("s2", "text"))
DESKS = (("s1", "desk"), ("s2", "desk"))


async def learn(world, path, method="GET"):
    for _ in range(LEARNT_REQUESTS):
        answer = await world.ask(path, method=method)
        assert answer.status == 200
    # A late request may have been sent twice meanwhile.
    listeners = [server.listener for server in world.servers.values()]
    await world.until(
        lambda: not any(x.count_active_connections() for x in listeners)
    )
    for server in world.servers.values():
        server.requests.clear()
        server.left = 0
    world.learnt = read_hedges(world)


def set_first(world, first, second):
    """Let whichever server is asked first behave in one way."""

    async def behave(server, request, reply):
        is_first = sum(len(s.requests) for s in world.servers.values()) == 1
        await (first if is_first else second)(server, request, reply)

    for server in world.servers.values():
        server.behave = behave


def after(delay_s, behave):
    """Behaviour: another one after a delay."""

    async def behave_late(server, request, reply):
        await asyncio.sleep(delay_s)
        await behave(server, request, reply)

    return behave_late


def sends(world):
    return sum(len(server.requests) for server in world.servers.values())


def left(world):
    return sum(server.left for server in world.servers.values())


def waits(world):
    """Requests that the entry VM counts at its servers."""
    return world.nodes["e0"].shared_state.fleet.list_local_uses()


def read_hedges(world):
    registry = world.nodes["e0"].metrics_registry
    return {
        result: registry.get_sample_value(
            "gateway_hedges_total", {"result": result}
        )
        or 0
        for result in ("sent", "won", "cancelled")
    }


def hedges(world, result):
    """Second sends with a result since the usual time is known."""
    return read_hedges(world)[result] - world.learnt[result]


def run(scenario, servers=DESKS, **options):
    """Run a scenario with one entry VM."""
    options = {"entries": ("a1",), "hedge_share": SHARE, **options}
    test_requests.run(scenario, *servers, **options)


# Pattern: the first server hangs, the second one answers.
def test_second_server_answers_and_the_first_is_dropped():
    async def scenario(world):
        await learn(world, "/safe/x")
        set_first(world, _standins.hang, _standins.answer_whole)
        answer = await world.ask("/safe/x")
        assert (answer.status, answer.body) == (200, b"GET /safe/x ")
        assert sends(world) == 2
        assert all(len(s.requests) == 1 for s in world.servers.values())
        assert hedges(world, "won") == hedges(world, "cancelled") == 1
        await world.until(lambda: left(world) == 1)
        await world.until(lambda: not waits(world))

    run(scenario)


# Pattern: the first server answers late, before the second one does.
def test_first_answer_is_used_though_a_second_server_was_asked():
    async def scenario(world):
        await learn(world, "/safe/x")
        first = after(LATE_S, _standins.answer_with(200, body=b"first"))
        set_first(world, first, _standins.hang)
        answer = await world.ask("/safe/x")
        assert (answer.status, answer.body) == (200, b"first")
        assert sends(world) == 2
        assert hedges(world, "won") == 0
        assert hedges(world, "cancelled") == 1
        await world.until(lambda: left(world) == 1)
        await world.until(lambda: not waits(world))

    run(scenario)


# Pattern: one of the two servers refuses or fails, the other answers late.
@pytest.mark.parametrize(
    "failure", [_standins.answer_with(500), _standins.reset]
)
@pytest.mark.parametrize("fails_first", [False, True])
def test_failure_of_one_server_does_not_end_the_other(failure, fails_first):
    async def scenario(world):
        await learn(world, "/safe/x")
        late = after(LATE_S, _standins.answer_whole)
        if fails_first:
            set_first(world, after(LATE_S / 2, failure), late)
        else:
            set_first(world, late, failure)
        answer = await world.ask("/safe/x")
        assert (answer.status, answer.body) == (200, b"GET /safe/x ")
        assert sends(world) == 2
        assert hedges(world, "sent") == 1
        assert hedges(world, "cancelled") == 0
        await world.until(lambda: not waits(world))

    run(scenario)


# Pattern: both servers fail late; attempts of the route are used up.
def test_both_fail():
    async def scenario(world):
        await learn(world, "/safe/x")
        failure = after(LATE_S / 2, _standins.reset)
        set_first(world, failure, failure)
        answer = await world.ask("/safe/x")
        assert answer.status == 502
        assert sends(world) == 2
        assert hedges(world, "sent") == 1
        assert hedges(world, "cancelled") == 0
        await world.until(lambda: not waits(world))

    run(scenario)


async def send_without_end(server, request, reply):
    """Behaviour: a body without end."""
    reply.start(200, server.headers(request))
    while True:
        reply.write(b"a" * 65_536)
        await reply.flush()
        await asyncio.sleep(0)


# Pattern: the first server hangs, the second one sends a body without end.
def test_body_without_end_of_the_second_server_ends_both():
    async def scenario(world):
        await learn(world, "/safe/x")
        set_first(world, _standins.hang, send_without_end)
        answer = await world.ask("/safe/x", X_Buckthorntack_Deadline_Ms="800")
        assert answer.status == 504 or not answer.whole
        assert hedges(world, "won") == 1
        await world.until(lambda: left(world) == 2)
        await world.until(lambda: not waits(world))

    run(scenario)


# Pattern: the first server hangs before the first event of a stream.
def test_resumable_stream_is_hedged_before_its_first_event():
    async def scenario(world):
        await learn(world, "/talk/x", "POST")
        set_first(world, _standins.hang, _standins.stream(EVENTS))
        answer = await world.ask("/talk/x", method="POST")
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert sends(world) == 2
        assert hedges(world, "won") == 1
        await world.until(lambda: left(world) == 1)

    async def begun(world):
        for server in world.servers.values():
            server.behave = _standins.stream(EVENTS)
        await scenario(world)

    run(begun, SERVERS)


# Pattern: the first server is silent for long within its stream.
def test_stream_is_not_hedged_after_its_first_event():
    async def scenario(world):
        for server in world.servers.values():
            server.behave = _standins.stream(EVENTS)
        await learn(world, "/talk/x", "POST")
        slow = _standins.stream(3, pause_s=LATE_S)
        set_first(world, slow, _standins.hang)
        answer = await world.ask("/talk/x", method="POST")
        assert answer.whole
        assert answer.body == _standins.whole_stream(3)
        assert sends(world) == 1
        assert hedges(world, "sent") == 0

    run(scenario, SERVERS)


# Pattern: the first server answers late; the request may not be repeated, or
# its route has one attempt, or hedging is off.
@pytest.mark.parametrize(
    ("route", "options"),
    [
        (_standins.route("unsafe", "desk", type="unsafe"), {}),
        (_standins.route("once", "desk", max_attempts=1), {}),
        (_standins.route("safe", "desk"), {"hedge_share": 0.0}),
    ],
)
def test_request_is_sent_once(route, options):
    path = f"/{route['name']}/x"

    async def scenario(world):
        await learn(world, path)
        late = after(LATE_S, _standins.answer_with(200, body=b"first"))
        set_first(world, late, _standins.answer_whole)
        answer = await world.ask(path)
        assert (answer.status, answer.body) == (200, b"first")
        assert sends(world) == 1
        assert hedges(world, "sent") == 0

    run(scenario, routes=(route,), **options)


# Pattern: the client leaves while two servers run its request.
def test_client_that_leaves_ends_both():
    async def scenario(world):
        await learn(world, "/safe/x")
        set_first(world, _standins.hang, _standins.hang)
        client = asyncio.create_task(world.ask("/safe/x"))
        await world.until(lambda: sends(world) == 2)
        assert hedges(world, "sent") == 1
        client.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await client
        await world.until(lambda: left(world) == 2)
        await world.until(lambda: not waits(world))

    run(scenario)
