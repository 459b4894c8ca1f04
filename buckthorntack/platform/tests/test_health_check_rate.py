"""Number of health checks at servers that may have started again."""

import asyncio

import pytest

from buckthorntack import http1
from buckthorntack.platform import _headers
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests
from buckthorntack.schema import messages

ENTRIES = 14
PATH = "/talk/x"
#: As the configuration and the rules have it: 5 per second, 1.5 of it and 3.
ALLOWED = 5.0 * 1.5 + 3
WARMUP_MS = b"2900"


def record_checks(server, behave):
    """Let a server's health path record its times and answer otherwise."""
    times = []

    async def record(server, request, reply):
        times.append(asyncio.get_running_loop().time())
        await behave(server, request, reply)

    server.behave_on_health = record
    return times


async def answer(server, request, reply):
    headers = [
        (_headers.INSTANCE_ID, server.server_id.encode()),
        (_headers.WARMUP_MS, WARMUP_MS),
    ]
    reply.send(200, headers, b"")


async def answer_late(server, request, reply):
    await asyncio.sleep(1.2)
    await answer(server, request, reply)


refuse = _standins.answer_with(503)


def most_in_a_second(times):
    return max(
        (sum(start <= time < start + 1.0 for time in times)) for start in times
    )


# Guards against health checks that flood the cold server which they ask, as
# they were sent without regard to its rate.
@pytest.mark.parametrize("behave", [answer, answer_late, refuse])
@pytest.mark.parametrize("away_s", [0.0, 1.7])
def test_checks_keep_the_rate_of_a_cold_server(behave, away_s):
    async def scenario(world):
        server = world.servers["s1"]
        server.behave = _standins.stream(200, pause_s=0.05)
        asked = [
            asyncio.create_task(
                world.ask(PATH, entry=f"e{number}", method="POST")
            )
            for number in range(ENTRIES)
        ]
        await world.until(lambda: len(server.requests) >= ENTRIES // 2)
        await asyncio.sleep(0.5)
        times = record_checks(server, behave)
        server.behave = _standins.stream(4)
        server.crash()
        await asyncio.sleep(away_s)
        await server.start_again()
        await asyncio.sleep(3.0)
        for task in asked:
            task.cancel()
        assert times
        assert most_in_a_second(times) <= ALLOWED

    test_requests.run(scenario, ("s1", "text"), entries=("a1",) * ENTRIES)


SERVED_S = 3.0
CALLERS = 8
FEWEST_SERVED = 3


# Guards against a sound server that gets nothing at all for seconds, as checks
# which it does not answer use up the rate that it is left.
def test_server_that_does_not_answer_checks_still_gets_requests():
    async def scenario(world):
        server = world.servers["s1"]
        record_checks(server, refuse)
        server.crash()
        await world.ask(PATH, method="POST")
        await server.start_again()
        server.behave = _standins.stream(4)
        served = []
        end_s = asyncio.get_running_loop().time() + SERVED_S

        async def call(number):
            while asyncio.get_running_loop().time() < end_s:
                entry = f"e{number % 4}"
                answered = await world.ask(PATH, entry=entry, method="POST")
                served.append(answered.status == 200)
                await asyncio.sleep(0.1)

        await asyncio.gather(*map(call, range(CALLERS)))
        assert sum(served) >= FEWEST_SERVED, served

    test_requests.run(scenario, ("s1", "text"), entries=("a1",) * 4)


# Guards against a second end of a server that is not noticed, as connects have
# failed since its first one, of which others told the end.
def test_refused_connection_after_an_answer_that_others_got_is_a_failure():
    async def scenario(world):
        server = world.servers["s1"]
        shared_state = world.nodes["e0"].shared_state
        restarts = shared_state.fleet.restarts
        now_s = asyncio.get_running_loop().time

        async def connect():
            with pytest.raises(http1.ConnectError):
                await shared_state.open_connection("s1", server.address)

        server.crash()
        await connect()
        [suspicion] = restarts.list_statements(now_s())
        told = messages.ServerRestart("s1", suspicion.version + 1, False, 0)
        assert restarts.merge([told], now_s()) == ["s1"]
        await connect()
        assert restarts.is_cold("s1", now_s())

    test_requests.run(scenario, ("s1", "text"), entries=("a1",))
