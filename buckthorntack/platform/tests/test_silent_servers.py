"""Sound servers that fall silent for a while and go on."""

import asyncio
import socket

import logbook
import pytest

from buckthorntack import dispatch
from buckthorntack import http1
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENTS = 6
#: Shorter than the time for which the stand-in route's callers wait for an
#: event, 3.2 s.
SILENCE_S = 1.8
#: Longer than the time after which a silent server is left for another one.
LONG_SILENCE_S = 2.6
#: Time for which two servers may work on a stream.
MAX_OVERLAP_S = 0.4
#: A silence of a sound server at least, which no timeout of TCP may end.
SOUND_SILENCE_MS = 1500


def fall_silent_before(event, silence_s=SILENCE_S):
    """Behaviour: a stream with one long pause.

    :param event: number of the event before which it is.
    :param silence_s: its length.
    """

    async def behave(server, request, reply):
        headers = server.headers(request)
        headers.append((b"Content-Type", b"text/event-stream"))
        for number in range(EVENTS):
            if number == event:
                await asyncio.sleep(silence_s)
            if not number:
                reply.start(200, headers)
            reply.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(0.01)
        reply.end()

    return behave


# Guards against a second run of a stream whose server is silent for a moment.
@pytest.mark.parametrize("event", [0, 3])
def test_stream_stays_at_a_server_that_is_silent_for_a_moment(event):
    async def scenario(world):
        for server in world.servers.values():
            server.behave = fall_silent_before(event)
        answer = await world.ask("/talk/x", method="POST")
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert sum(len(s.requests) for s in world.servers.values()) == 1

    test_requests.run(scenario, ("s1", "text"), ("s2", "text"))


async def answer_late(server, request, reply):
    """Answer after a silence that is longer than the first byte's timeout."""
    await asyncio.sleep(LONG_SILENCE_S)
    await _standins.answer_whole(server, request, reply)


def spend_retries(world, service):
    """Leave no retry to the requests of a service."""
    node = world.nodes["e0"]
    now_s = node.clock.monotonic().total_seconds()
    while node.shared_state.budgets.take_retry(service, now_s):
        pass


def count_runs(world):
    """Number of requests that servers got."""
    return sum(len(server.requests) for server in world.servers.values())


# Guards against a response that is cut as its server is silent, although no
# other server may continue it.
@pytest.mark.parametrize("event", [0, 3])
@pytest.mark.parametrize("servers", [1, 2])
def test_stream_waits_for_a_silent_server_if_no_other_may_go_on(
    event, servers
):
    async def scenario(world):
        for server in world.servers.values():
            server.behave = fall_silent_before(event, LONG_SILENCE_S)
        if servers > 1:
            spend_retries(world, "text")
        answer = await world.ask("/talk/x", method="POST")
        assert answer.status == 200
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert count_runs(world) == 1

    names = [(f"s{number}", "text") for number in range(servers)]
    test_requests.run(scenario, *names)


# Guards against streams that are cut beside a silence of their server, as all
# of them leave it for the retry that only one of them gets.
def test_streams_that_leave_a_silent_server_have_a_retry_each():
    streams = 4

    async def behave(server, request, reply):
        if http1.find_header(request.headers, b"last-event-id"):
            await _standins.stream(EVENTS)(server, request, reply)
        else:
            await fall_silent_before(3, LONG_SILENCE_S)(server, request, reply)

    async def scenario(world):
        for server in world.servers.values():
            server.behave = behave
        spend_retries(world, "text")
        budgets = world.nodes["e0"].shared_state.budgets
        while not budgets.has_retry("text", 0.0):
            budgets.record_request("text")
        answers = await asyncio.gather(
            *(world.ask("/talk/x", method="POST") for _ in range(streams))
        )
        for answer in answers:
            assert answer.status == 200
            assert answer.whole
            assert answer.body == _standins.whole_stream(EVENTS)
        assert count_runs(world) == streams + 1

    test_requests.run(scenario, ("s0", "text"), ("s1", "text"))


# Guards against a stream that is cut beside a silence of its server, as the
# server that it is left for has no room, in this or in another region.
@pytest.mark.parametrize("zone", ["a1", "b1"])
def test_stream_outlives_a_replacement_that_has_no_room(zone):
    refuse = _standins.answer_with(
        503, (b"X-Buckthorntack-Not-Executed", b"1")
    )

    async def behave(server, request, reply):
        if http1.find_header(request.headers, b"last-event-id"):
            await refuse(server, request, reply)
        else:
            await fall_silent_before(3, LONG_SILENCE_S)(server, request, reply)

    async def scenario(world):
        for server in world.servers.values():
            server.behave = behave
        answer = await world.ask("/talk/x", method="POST")
        assert answer.status == 200
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert count_runs(world) == 2

    test_requests.run(scenario, ("s0", "text"), ("s1", "text", zone))


def is_continued(request):
    """Whether a request continues a stream."""
    return http1.find_header(request.headers, b"last-event-id") is not None


def talk_route(max_attempts, timeout_ms=5000):
    """Route of resumable streams."""
    return _standins.route(
        "talk",
        "text",
        type="streaming",
        resumable=True,
        itl_target_ms=400,
        max_attempts=max_attempts,
        timeout_ms=timeout_ms,
    )


# Guards against two servers that work on one stream for long, as the one that
# is silent is left only when the next one sends its first event.
@pytest.mark.parametrize("zone", ["a1", "b1"])
def test_silent_server_is_left_soon_after_another_has_the_stream(zone):
    times_s = {}

    async def behave(server, request, reply):
        loop = asyncio.get_running_loop()
        if is_continued(request):
            times_s["begun"] = loop.time()
            await asyncio.sleep(1.0)
            await _standins.stream(EVENTS)(server, request, reply)
            return
        try:
            await fall_silent_before(3, 60.0)(server, request, reply)
        finally:
            times_s["left"] = loop.time()

    async def scenario(world):
        for server in world.servers.values():
            server.behave = behave
        answer = await world.ask("/talk/x", method="POST")
        assert answer.whole
        await world.until(lambda: "left" in times_s)
        assert times_s["left"] - times_s["begun"] < MAX_OVERLAP_S

    test_requests.run(scenario, ("s0", "text"), ("s1", "text", zone))


# Guards against the same overlap at a server that had replaced another one and
# falls silent as well.
def test_second_silent_server_is_left_soon_after_another_has_the_stream():
    times_s = {}

    async def behave(server, request, reply):
        loop = asyncio.get_running_loop()
        run = count_runs(world_of[0])
        times_s[f"begun {run}"] = loop.time()
        try:
            if run == 1:
                await fall_silent_before(1, 60.0)(server, request, reply)
            elif run == 2:
                silence = (2, 60.0)
                await _standins.stream(EVENTS, silence=silence)(
                    server, request, reply
                )
            else:
                await asyncio.sleep(1.0)
                await _standins.stream(EVENTS)(server, request, reply)
        finally:
            times_s[f"left {run}"] = loop.time()

    world_of = []

    async def scenario(world):
        world_of.append(world)
        for server in world.servers.values():
            server.behave = behave
        answer = await world.ask(
            "/talk/x", method="POST", X_Buckthorntack_Deadline_Ms="9000"
        )
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        await world.until(lambda: "left 2" in times_s)
        assert times_s["left 1"] - times_s["begun 2"] < MAX_OVERLAP_S
        assert times_s["left 2"] - times_s["begun 3"] < MAX_OVERLAP_S

    names = [(f"s{number}", "text") for number in range(3)]
    routes = [talk_route(max_attempts=4, timeout_ms=9000)]
    test_requests.run(scenario, *names, routes=routes)


# Guards against a stream that cannot return to its only server on a new
# connection, as its former run still holds the place there.
def test_stream_returns_to_a_server_with_one_place():
    running = []

    async def behave(server, request, reply):
        if running:
            full = (b"X-Buckthorntack-Not-Executed", b"1")
            await _standins.answer_with(503, full)(server, request, reply)
            return
        running.append(server)
        try:
            if is_continued(request):
                await _standins.stream(EVENTS)(server, request, reply)
            else:
                await fall_silent_before(3, 60.0)(server, request, reply)
        finally:
            running.remove(server)

    async def scenario(world):
        world.servers["s0"].behave = behave
        answer = await world.ask("/talk/x", method="POST")
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)

    routes = [talk_route(max_attempts=3)]
    test_requests.run(scenario, ("s0", "text"), routes=routes)


# Guards against a stream that waits for its silent server once more, though a
# third server may continue it after the second one has refused it; and against
# a retry that is charged though no server got the request.
@pytest.mark.parametrize("refuses_connects", [False, True])
def test_stream_goes_to_a_third_server_after_a_refusal(refuses_connects):
    continued = []

    async def behave(server, request, reply):
        if not is_continued(request):
            await fall_silent_before(3, 60.0)(server, request, reply)
            return
        continued.append(server)
        if len(continued) == 1 and not refuses_connects:
            full = (b"X-Buckthorntack-Not-Executed", b"1")
            await _standins.answer_with(503, full)(server, request, reply)
        else:
            await _standins.stream(EVENTS)(server, request, reply)

    async def scenario(world):
        for server in world.servers.values():
            server.behave = behave
        budgets = world.nodes["e0"].shared_state.budgets
        take_retry = budgets.take_retry
        charged = []

        def record_charge(service, now_s):
            charged.append(service)
            return take_retry(service, now_s)

        budgets.take_retry = record_charge
        asked = asyncio.create_task(world.ask("/talk/x", method="POST"))
        await world.until(lambda: count_runs(world))
        if refuses_connects:
            idle = [s for s in world.servers.values() if not s.requests]
            idle[0].listener.abort()
        answer = await asked
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert len(charged) == len(continued)

    names = [(f"s{number}", "text") for number in range(3)]
    test_requests.run(scenario, *names, routes=[talk_route(max_attempts=4)])


# Guards against an error of the entry VM if the server that a silent one is
# left for answers with a failure, which is the final response.
def test_failure_of_the_next_server_ends_a_stream_without_events():
    async def behave(server, request, reply):
        if count_runs_of[0]() > 1:
            await _standins.answer_with(400, body=b"own")(
                server, request, reply
            )
            return
        headers = server.headers(request)
        headers.append((b"Content-Type", b"text/event-stream"))
        reply.start(200, headers)
        reply.write(b"id: 0\nda")
        await asyncio.sleep(60.0)

    count_runs_of = []

    async def scenario(world):
        count_runs_of.append(lambda: count_runs(world))
        for server in world.servers.values():
            server.behave = behave
        answer = await world.ask("/talk/x", method="POST")
        assert answer.status == 400
        assert answer.body == b"own"

    with logbook.TestHandler().applicationbound() as written:
        test_requests.run(scenario, ("s0", "text"), ("s1", "text"))
    names = [record.extra.get("name") for record in written.records]
    assert "request_ended" in names
    assert "handler_failed" not in names


# Guards against a stream that is cut as its server is silent, though it is not
# known where it began: its server was announced as another incarnation.
def test_stream_whose_origin_is_not_known_waits_for_a_silent_server():
    gate = asyncio.Event()

    async def behave(server, request, reply):
        await gate.wait()
        await fall_silent_before(3, LONG_SILENCE_S)(server, request, reply)

    async def scenario(world):
        for server in world.servers.values():
            server.behave = behave
        asked = asyncio.create_task(world.ask("/talk/x", method="POST"))
        await world.until(lambda: count_runs(world))
        [server] = [s for s in world.servers.values() if s.requests]
        server.born += _standins.INCARNATION_MS
        await world.announce(server)

        def is_known(node):
            view = node.registry.servers[server.server_id]
            return view.record.born_ms == server.born

        await world.until(lambda: all(map(is_known, world.nodes.values())))
        gate.set()
        answer = await asked
        assert answer.status == 200
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert count_runs(world) == 1

    test_requests.run(scenario, ("s0", "text"), ("s1", "text"))


# Guards against a stream that is cut as its server is silent, although no
# control VM can confirm that another one may continue it.
def test_stream_out_of_touch_with_control_vms_waits_for_a_silent_server():
    async def scenario(world):
        for server in world.servers.values():
            server.behave = fall_silent_before(3, LONG_SILENCE_S)
        for name in ("c0", "c1", "c2"):
            await world.kill(name)
        answer = await world.ask("/talk/x", method="POST")
        assert answer.status == 200
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert count_runs(world) == 1

    test_requests.run(scenario, ("s0", "text"), ("s1", "text"))


# Guards against a 502 for a request whose server is only late, although no
# other server may run it.
@pytest.mark.parametrize("servers", [1, 2])
def test_request_waits_for_a_late_server_if_no_other_may_run_it(servers):
    async def scenario(world):
        for server in world.servers.values():
            server.behave = answer_late
        if servers > 1:
            spend_retries(world, "desk")
        answer = await world.ask("/safe/x")
        assert answer.status == 200
        assert count_runs(world) == 1

    names = [(f"s{number}", "desk") for number in range(servers)]
    test_requests.run(scenario, *names)


def refuse_after(world, choices):
    """Let requests that were sent before find no room after some choices."""
    dispatcher = world.nodes["e0"].shared_state.dispatcher
    choose = dispatcher.choose
    repeated = []

    def choose_or_refuse(request, servers, now):
        if request.tried_server_ids:
            repeated.append(now)
            if len(repeated) > choices:
                return dispatch.Refuse("expected too late", 400.0, True)
        return choose(request, servers, now)

    dispatcher.choose = choose_or_refuse


# Guards against a server that is left for another one, which the request is
# then refused, as choices differ at random while room is short.
@pytest.mark.parametrize(
    ("method", "path", "service"),
    [("GET", "/safe/x", "desk"), ("POST", "/talk/x", "text")],
)
def test_silent_server_is_left_for_the_server_that_was_chosen(
    method, path, service
):
    async def scenario(world):
        async def behave(server, request, reply):
            if count_runs(world) == 1:
                await asyncio.sleep(60.0)
            elif service == "text":
                await _standins.stream(EVENTS)(server, request, reply)
            else:
                await _standins.answer_whole(server, request, reply)

        for server in world.servers.values():
            server.behave = behave
        refuse_after(world, 1)
        answer = await world.ask(path, method=method)
        assert answer.status == 200
        assert answer.whole
        assert count_runs(world) == 2

    test_requests.run(scenario, ("s0", service), ("s1", service))


# A second server takes over from a silent one as soon as there is one.
def test_stream_leaves_a_silent_server_once_another_is_announced():
    async def scenario(world):
        world.servers["s0"].behave = fall_silent_before(3, 60.0)
        asked = asyncio.create_task(world.ask("/talk/x", method="POST"))
        await world.until(lambda: world.servers["s0"].requests)
        server = await world.add_server("s1", "text")
        server.behave = _standins.stream(EVENTS)
        answer = await asked
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert count_runs(world) == 2

    test_requests.run(scenario, ("s0", "text"))


# Guards against a stream that is cut as its connection went silent for good,
# though its server, the only one, answers on new ones.
def test_stream_returns_to_the_only_server_on_a_new_connection():
    async def behave(server, request, reply):
        if len(server.requests) > 1:
            await _standins.stream(EVENTS)(server, request, reply)
        else:
            await fall_silent_before(3, 60.0)(server, request, reply)

    async def scenario(world):
        world.servers["s0"].behave = behave
        answer = await world.ask("/talk/x", method="POST")
        assert answer.status == 200
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert count_runs(world) == 2

    test_requests.run(scenario, ("s0", "text"))


# Guards against a connection that ends with one unanswered keep-alive probe: a
# user timeout that is set counts from the last byte received.
def test_connection_outlives_a_silence_of_its_server():
    async def scenario(world):
        await world.ask("/safe/x")
        pool = world.nodes["e0"].shared_state.pool
        connection = pool.take_idle("s1")
        sock = connection.transport.get_extra_info("socket")
        tcp = socket.IPPROTO_TCP
        user_timeout_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        interval_s = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        pool.release("s1", connection)
        assert isinstance(connection, http1.Connection)
        assert user_timeout_ms > SOUND_SILENCE_MS
        assert interval_s * 1000 > SOUND_SILENCE_MS

    test_requests.run(scenario, ("s1", "desk"))
