"""Servers that come back under the id that they had."""

import asyncio
import contextlib

import pytest

from buckthorntack import tasks
from buckthorntack.dispatch import _restarts
from buckthorntack.platform import _headers
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests
from buckthorntack.schema import messages

EVENTS = 4
#: Requests while no server accepts connections, and after they are back.
REQUESTS = 60
PAUSE_S = 0.05
PATH = "/talk/x"
#: Entry VMs: three beside the servers, and one of another region.
ZONES = ("a1", "a1", "a1", "b1")
NEAR = ("e0", "e1", "e2")
#: As in the configuration of the service: how long a start is cold, and most
#: requests that may reach it in any second then.
WARMUP_S = 3.0
MAX_COLD = 5.0 * 1.5 + 3
#: Callers at each entry VM.
CALLERS = 10
#: How long a server is away, which entry VMs beside it notice.
AWAY_S = 0.3
#: Requests whose connections are reset at once.
CROWD = 12
#: A warm-up that does not end within a test.
LONG_WARMUP_S = 600.0
SHORT_WARMUP_S = 2.0


# Guards against a service that is refused for good, with all its servers
# free, after connections to each of them have failed for some time.
def test_servers_that_were_down_are_used_again():
    async def scenario(world):
        servers = list(world.servers.values())
        for server in servers:
            server.behave = _standins.stream(EVENTS)
        assert (await world.ask(PATH, method="POST")).status == 200
        for server in servers:
            server.crash()
        state = world.nodes["e0"].shared_state.fleet.state
        for _ in range(REQUESTS):
            for server in servers:
                state(server.server_id).ejection.until_s = None
            answer = await world.ask(PATH, method="POST")
            assert answer.status == 503
        for server in servers:
            await world.restart_server(server)
        statuses = []
        for _ in range(REQUESTS):
            answer = await world.ask(PATH, method="POST")
            statuses.append(answer.status)
            await asyncio.sleep(PAUSE_S)
        assert statuses[-1] == 200, statuses

    test_requests.run(scenario, ("s1", "text"), ("s2", "text"))


def now_s():
    """Monotonic time, as entry VMs have it."""
    return asyncio.get_running_loop().time()


def watches(world, names=NEAR):
    """What entry VMs know of starts of servers."""
    return [world.nodes[name].shared_state.fleet.restarts for name in names]


async def until_known(world):
    """Wait until no entry VM has still to ask what is left of its start."""
    await world.until(
        lambda: all(watch.knows_all(now_s()) for watch in watches(world))
    )


async def set_warmup(world, warmup_s):
    """Publish another warm-up of the service."""
    document = _standins.configuration(2)
    document["services"][0]["warmup_s"] = warmup_s
    answer = await world.publish(document)
    assert answer.status == 200
    await world.in_force(2)


def tell_cold(server):
    """Let a server tell on its health path that it is cold from now on."""
    until_s = now_s() + WARMUP_S

    def health_headers():
        left_ms = max(0, round((until_s - now_s()) * 1e3))
        return [
            (_headers.INSTANCE_ID, server.server_id.encode()),
            (_headers.WARMUP_MS, str(left_ms).encode()),
        ]

    server.health_headers = health_headers
    return until_s


async def start_cold(server):
    """Start a server again that is cold and tells it on its health path."""
    until_s = tell_cold(server)
    await server.start_again()
    return until_s


async def call_on(world, entry):
    """Send requests one after the other until cancelled."""
    while True:
        with contextlib.suppress(OSError, EOFError):
            await world.ask(PATH, entry, method="POST")


async def press(world, stack, entries):
    """Let callers send requests until a stack ends."""
    for entry in entries:
        for _ in range(CALLERS):
            running = tasks.running(call_on(world, entry))
            await stack.enter_async_context(running)


def note_arrivals(server):
    """Let a server answer with a short stream; return times of requests."""
    times = []

    async def behave(server, request, reply):
        times.append(now_s())
        await _standins.stream(EVENTS, pause_s=PAUSE_S)(server, request, reply)

    server.behave = behave
    return times


def most_in_a_second(times, begin_s, end_s):
    within = [at_s for at_s in times if begin_s <= at_s < end_s]
    return max(
        (
            sum(first <= at_s < first + 1 for at_s in within)
            for first in within
        ),
        default=0,
    )


async def crash_under_load(world, server, entries):
    """Let a server crash that callers use, and wait until that is known."""
    async with contextlib.AsyncExitStack() as stack:
        await press(world, stack, entries)
        seen = len(server.requests)
        await world.until(lambda: len(server.requests) > seen + CALLERS)
        server.crash()
        await world.until(
            lambda: all(
                watch.is_cold(server.server_id, now_s())
                for watch in watches(world)
            )
        )
        await asyncio.sleep(AWAY_S)


# Guards against a flood of a server that is back and has not announced itself,
# also by entry VMs that had no connection to it, and by another region.
@pytest.mark.parametrize("entries", [NEAR, ("e2",), ("e3",)])
def test_server_that_is_back_unannounced_gets_the_cold_rate(entries):
    async def scenario(world):
        returned, other = world.servers["s1"], world.servers["s2"]
        times, others = note_arrivals(returned), note_arrivals(other)
        await crash_under_load(world, returned, ("e0", "e1"))
        async with contextlib.AsyncExitStack() as stack:
            await press(world, stack, entries)
            begin_s = now_s()
            until_s = await start_cold(returned)
            await world.until(lambda: now_s() > until_s)
        assert most_in_a_second(others, begin_s, until_s) > MAX_COLD
        assert most_in_a_second(times, begin_s, until_s) <= MAX_COLD, [
            round(at_s - begin_s, 2) for at_s in times if at_s > begin_s
        ]

    servers = [("s1", "text"), ("s2", "text")]
    test_requests.run(scenario, *servers, entries=ZONES)


async def reset_one(world, server):
    """Reset the connection of one request."""
    server.behave = _standins.reset
    await world.ask(PATH, "e0", method="POST")
    server.behave = _standins.stream(EVENTS)


async def refuse_one(world, server):
    """Refuse the connection of one request, as a server that is away."""
    server.crash()
    await world.ask(PATH, "e0", method="POST")
    await server.start_again()


# Guards against a sound server that gets the rate of a cold one when one of
# its connections is reset, though others open at once.
def test_sound_server_keeps_its_rate_after_a_reset():
    async def scenario(world):
        await set_warmup(world, LONG_WARMUP_S)
        server = world.servers["s1"]
        await until_known(world)
        server.health_checks = 0
        server.behave_on_health = _standins.hang
        await reset_one(world, server)
        await world.until(lambda: server.health_checks)
        assert not any(
            watch.is_cold("s1", now_s()) for watch in watches(world)
        )

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


# Guards against a sound server that gets the rate of a cold one for a moment
# each time that it closes an idle connection at another age.
def test_server_that_has_outlived_the_end_of_a_connection_is_only_asked():
    async def scenario(world):
        await until_known(world)
        await set_warmup(world, LONG_WARMUP_S)
        server = world.servers["s1"]
        pool = world.nodes["e0"].shared_state.pool
        pool.on_early_close("s1", 0.3)
        await until_none_is_cold(world)
        server.behave_on_health = _standins.hang
        server.health_checks = 0
        pool.on_early_close("s1", 0.8)
        await world.until(lambda: server.health_checks)
        await until_none_is_cold(world)

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


async def until_none_is_cold(world):
    """Wait until no entry VM takes the server for cold."""
    await world.until(
        lambda: (
            not any(watch.is_cold("s1", now_s()) for watch in watches(world))
        )
    )


async def until_warm_rate(world, server):
    """Let callers press until a server gets more than a cold one may."""
    times = note_arrivals(server)
    async with contextlib.AsyncExitStack() as stack:
        await press(world, stack, NEAR)
        await world.until(
            lambda: most_in_a_second(times, 0.0, now_s()) > MAX_COLD
        )


# Guards against a sound server that gets the rate of a cold one for as long as
# a start is cold, as one of its connections was reset.
def test_sound_server_gets_its_rate_back_after_a_reset():
    async def scenario(world):
        await set_warmup(world, LONG_WARMUP_S)
        server = world.servers["s1"]
        await reset_one(world, server)
        await world.until(lambda: server.health_checks)
        await until_none_is_cold(world)
        await until_warm_rate(world, server)

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


async def write_garbage(server, request, reply):
    """Answer with what is no response."""
    reply.connection.transport.write(b"garbage without a meaning" + bytes(9))


HEALTH_FAULTS = {
    "500": _standins.answer_with(500),
    "garbage": write_garbage,
    "silent": _standins.answer_with(200),
    "reset": _standins.reset,
    "hang": _standins.hang,
}


# Guards against a server that is throttled for good, or for longer with each
# check, as its health path does not tell how long it is cold.
@pytest.mark.parametrize("fault", HEALTH_FAULTS)
def test_failing_health_path_throttles_no_longer_than_a_warmup(fault):
    async def scenario(world):
        await set_warmup(world, LONG_WARMUP_S)
        server = world.servers["s1"]
        server.behave_on_health = HEALTH_FAULTS[fault]
        await refuse_one(world, server)
        await world.until(lambda: server.health_checks)
        [watch, *_] = watches(world)
        reached_s = now_s()
        assert watch.is_suspected("s1", reached_s)
        seen = server.health_checks
        await world.until(lambda: server.health_checks >= seen + len(NEAR))
        # What others tell may renew the suspicion once more.
        late_s = reached_s + LONG_WARMUP_S + 2 * _restarts.PATIENCE_S
        await world.until(
            lambda: (
                not any(
                    watch.is_cold("s1", late_s) for watch in watches(world)
                )
            )
        )

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


# Guards against a server with a failing health path that stays throttled
# after its warm-up would be over.
def test_server_without_a_health_path_gets_its_rate_back():
    async def scenario(world):
        await set_warmup(world, SHORT_WARMUP_S)
        server = world.servers["s1"]
        server.behave_on_health = _standins.answer_with(500)
        await refuse_one(world, server)
        await world.until(lambda: server.health_checks)
        await until_none_is_cold(world)
        await until_warm_rate(world, server)

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


# Guards against a server that is asked late once it is back, as connects that
# failed while it was away counted as checks without an answer.
def test_failed_connects_do_not_put_off_the_next_check():
    async def scenario(world):
        await set_warmup(world, LONG_WARMUP_S)
        server = world.servers["s1"]
        await crash_under_load(world, server, NEAR)
        await asyncio.sleep(3 * _restarts.CHECK_PERIOD_S)
        longest_s = now_s() + 1.5 * _restarts.CHECK_PERIOD_S
        for watch in watches(world):
            assert watch.is_cold("s1", now_s())
            assert watch._states["s1"].check_at_s <= longest_s

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


# Guards against health checks without end, or one for each lost connection.
@pytest.mark.parametrize(
    ("behave", "checks_each"),
    [
        # The answer holds; one more for a loss that is told meanwhile.
        (_standins.tell_warmup, 2),
        (
            _standins.answer_with(500),
            SHORT_WARMUP_S / _restarts.CHECK_PERIOD_S + 1,
        ),
    ],
)
def test_lost_connections_lead_to_few_health_checks(behave, checks_each):
    async def scenario(world):
        await set_warmup(world, SHORT_WARMUP_S)
        server = world.servers["s1"]
        await until_known(world)
        server.health_checks = 0
        server.behave_on_health = behave
        gate = asyncio.Event()
        server.behave = _standins.reset_after(gate)
        async with asyncio.TaskGroup() as group:
            for number in range(CROWD):
                entry = NEAR[number % len(NEAR)]
                group.create_task(world.ask(PATH, entry, method="POST"))
            await world.until(lambda: len(server.requests) >= len(NEAR))
            gate.set()
        await world.until(lambda: server.health_checks)
        await until_none_is_cold(world)
        await asyncio.sleep(2 * _restarts.CHECK_PERIOD_S)
        assert server.health_checks <= len(ZONES) * checks_each

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


async def press_until(world, server, until_s, entries):
    """Let callers press; return the most requests of a server in a second."""
    times = note_arrivals(server)
    async with contextlib.AsyncExitStack() as stack:
        await press(world, stack, entries)
        await world.until(lambda: now_s() > until_s)
    return most_in_a_second(times, 0.0, until_s)


def lose_reports(world, name):
    """Drop usage reports to an entry VM, as before it has links to others."""
    links = world.nodes[name].links
    handle = links.delivery.handle
    links.delivery.handle = lambda sender, message: (
        None
        if isinstance(message, messages.UseReport)
        else handle(sender, message)
    )


# Guards against an entry VM that starts while a server is back unannounced,
# and takes the record that control VMs have of its former start for its state.
def test_entry_vm_that_starts_anew_sends_the_cold_rate():
    async def scenario(world):
        server = world.servers["s1"]
        note_arrivals(world.servers["s2"])
        note_arrivals(server)
        await world.kill("e2")
        async with contextlib.AsyncExitStack() as stack:
            await press(world, stack, ("e0", "e1"))
            await world.until(lambda: len(server.requests) > CALLERS)
            server.crash()
            await world.until(
                lambda: all(
                    watch.is_cold("s1", now_s())
                    for watch in watches(world, ("e0", "e1"))
                )
            )
        await world.start_entry("e2", "a1")
        lose_reports(world, "e2")
        until_s = await start_cold(server)
        assert await press_until(world, server, until_s, ("e2",)) <= MAX_COLD

    servers = [("s1", "text"), ("s2", "text")]
    test_requests.run(scenario, *servers, entries=ZONES)


# Guards against an entry VM that starts and takes the first announcement of a
# start that has ended, which control VMs without state pass on late, for news.
def test_late_announcement_of_a_former_start_is_no_news():
    async def scenario(world):
        note_arrivals(world.servers["s1"])
        await world.kill("e2")
        await world.start_entry("e2", "a1")
        lose_reports(world, "e2")
        [watch] = watches(world, ("e2",))
        await world.until(lambda: "s1" in world.nodes["e2"].registry.servers)
        assert not watch.is_informed
        returned = _standins.Server("s2", world.ip("s2"), "text")
        async with returned:
            late = returned.announcement()
            returned.crash()
            until_s = await start_cold(returned)
            answer = await world.control("c0", "PUT", "/instances/s2", late)
            assert answer.status == 200
            most = await press_until(world, returned, until_s, ("e2",))
        assert most <= MAX_COLD

    test_requests.run(scenario, ("s1", "text"), entries=ZONES)


async def evacuate(world, method):
    """Begin or end an evacuation, and wait until entry VMs know."""
    answer = await world.control("c0", method, "/evacuations/a1")
    assert answer.status == 200
    evacuated = {"a1"} if method == "POST" else set()
    await world.until(
        lambda: all(
            world.nodes[name].shared_state.dispatcher.evacuated == evacuated
            for name in NEAR
        )
    )


# Guards against a flood of servers that are cold after an evacuation of their
# failure domain and announce it late, also by an entry VM that starts then.
@pytest.mark.parametrize("is_started_anew", [False, True])
def test_servers_are_asked_after_an_evacuation(is_started_anew):
    async def scenario(world):
        servers = list(world.servers.values())
        arrivals = [note_arrivals(server) for server in servers]
        await until_known(world)
        await evacuate(world, "POST")
        until_s = max(tell_cold(server) for server in servers)
        await evacuate(world, "DELETE")
        if is_started_anew:
            await world.kill("e2")
            await world.start_entry("e2", "a1")
        async with contextlib.AsyncExitStack() as stack:
            await press(world, stack, NEAR)
            await world.until(lambda: now_s() > until_s)
        for times in arrivals:
            assert 0 < most_in_a_second(times, 0.0, until_s) <= MAX_COLD

    servers = [("s1", "text"), ("s2", "text")]
    test_requests.run(scenario, *servers, entries=ZONES)


# Guards against a crash that ends connections without requests only, so that
# the next start is taken for the former one; "again" is one while it is cold.
@pytest.mark.parametrize("is_again", [False, True])
def test_crash_that_ends_idle_connections_only_is_noticed(is_again):
    async def scenario(world):
        server = world.servers["s1"]
        for one in world.servers.values():
            note_arrivals(one)
        if is_again:
            await crash_under_load(world, server, NEAR)
            first_until_s = await start_cold(server)
            await world.until(
                lambda: (
                    not any(
                        watch.is_suspected("s1", now_s())
                        for watch in watches(world)
                    )
                )
            )
            await world.until(lambda: now_s() > first_until_s - PAUSE_S)
        else:
            async with contextlib.AsyncExitStack() as stack:
                await press(world, stack, NEAR)
                await world.until(lambda: len(server.requests) > CALLERS)
        while not is_idle(world, "s1"):
            await asyncio.gather(
                *(world.ask(PATH, "e0", method="POST") for _ in range(CROWD))
            )
        server.crash()
        until_s = await start_cold(server)
        most = await press_until(world, server, until_s, NEAR)
        assert most <= MAX_COLD

    servers = [("s1", "text"), ("s2", "text")]
    test_requests.run(scenario, *servers, entries=ZONES)


def is_idle(world, server_id):
    """Whether a server runs no request, and some connection is kept."""
    counts = [
        world.nodes[name].shared_state.pool.idle_count(server_id)
        for name in NEAR
    ]
    active = world.servers[server_id].listener.count_active_connections()
    return any(counts) and not active
