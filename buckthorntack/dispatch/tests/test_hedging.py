"""Second sends of late requests, over patterns of slow servers."""

import datetime
import random

import pytest

from buckthorntack import dispatch
from buckthorntack.dispatch import _server_speeds
from buckthorntack.dispatch.tests import _world

SERVERS = [f"s{number}" for number in range(10)]
EXPECTED_MS = 100.0
#: Second sends allowed in the tests.
SHARE = 0.05
RANDOM_SEED = 11
#: Time between two requests, short of filling the servers' slots.
INTERVAL_S = 0.02
REQUESTS = 3000


class Pattern:
    """Requests one after the other, each hedged if it is late.

    :param answer_ms: function of server and time that gives the time to an
        answer.
    :param share: allowed second sends per request.
    """

    def __init__(self, answer_ms, share=SHARE):
        self.world = _world.World()
        for server_id in SERVERS:
            self.world.add_server(server_id, slots=40)
        self.views = list(self.world.registry.servers.values())
        self.answer_ms = answer_ms
        self.hedging = dispatch.Hedging(share)
        self.rng = random.Random(RANDOM_SEED)
        self.request = self.world.make_request()
        self.now_s = self.world.now_s
        self.retries_left = 10**9
        self.sent = 0
        self.withheld = {}
        self.waits_ms = []
        #: Steps yet to come: time, number and what to do then.
        self._steps = []
        self._number = 0

    def play(self, requests=REQUESTS):
        """Play a number of requests to their ends."""
        start_s = self.now_s
        for number in range(requests):
            self.at(start_s + number * INTERVAL_S, self._begin)
        while self._steps:
            self._steps.sort()
            self.now_s, _, step = self._steps.pop(0)
            self.world.now = datetime.timedelta(seconds=self.now_s)
            step()

    def at(self, time_s, step):
        """Do something at a time."""
        self._number += 1
        self._steps.append((time_s, self._number, step))

    def _begin(self):
        self.hedging.record_request("text")
        race = _Race(self, self.rng.choice(SERVERS))
        late_after_s = self.hedging.late_after_s("text", race.flights[0])
        if late_after_s is not None:
            self.at(self.now_s + late_after_s, race.hedge)

    def fly(self, server_id, expected_ms, race):
        """Send one copy and let its answer come."""
        flight = dispatch.InFlightRequest(
            server_id, 0, 0, expected_ms, self.now_s
        )
        self.world.fleet.on_request_sent(flight, None)
        self.hedging.on_request_sent("text", flight)
        answer_ms = self.answer_ms(server_id, self.now_s, self.rng)
        self.at(self.now_s + answer_ms / 1e3, lambda: race.on_answer(flight))
        return flight


class _Race:
    """One request and its copies."""

    def __init__(self, pattern, server_id):
        self.pattern = pattern
        self.started_s = pattern.now_s
        self.flights = [pattern.fly(server_id, EXPECTED_MS, self)]

    def on_answer(self, flight):
        pattern = self.pattern
        if not self.flights:
            return
        pattern.hedging.on_answer("text", flight, pattern.now_s)
        for copy in self.flights:
            if copy is not flight:
                pattern.hedging.on_request_ended("text", copy, pattern.now_s)
            pattern.world.fleet.on_request_ended(
                copy, dispatch.Outcome.ABANDONED, pattern.now_s
            )
        self.flights = []
        pattern.waits_ms.append((pattern.now_s - self.started_s) * 1e3)

    def hedge(self):
        pattern = self.pattern
        if not self.flights:
            return
        decision = pattern.hedging.choose(
            pattern.world.dispatcher,
            pattern.request,
            pattern.views,
            self.flights[0],
            pattern.world.now,
        )
        if not isinstance(decision, dispatch.Withheld):
            assert decision.server_id != self.flights[0].server_id
            decision = (
                pattern.hedging.take("text", pattern.now_s, self._take_retry)
                or decision
            )
        if isinstance(decision, dispatch.Withheld):
            reasons = pattern.withheld
            reasons[decision.reason] = reasons.get(decision.reason, 0) + 1
            waited_s = pattern.now_s - self.started_s
            pattern.at(pattern.now_s + waited_s, self.hedge)
            return
        pattern.sent += 1
        self.flights.append(
            pattern.fly(decision.server_id, decision.expected_ms, self)
        )

    def _take_retry(self):
        self.pattern.retries_left -= 1
        return self.pattern.retries_left >= 0


def usual_ms(server_id, now_s, rng):
    return EXPECTED_MS * rng.uniform(0.7, 1.3)


def one_slow_ms(server_id, now_s, rng):
    factor = 10 if server_id == "s3" and rng.random() < 0.4 else 1
    return usual_ms(server_id, now_s, rng) * factor


def quantile(waits_ms, share):
    return sorted(waits_ms)[int(share * len(waits_ms))]


# Pattern: one server in ten answers 40 % of its requests ten times as late.
def test_one_slow_server_is_hedged_within_the_share():
    plain, hedged = Pattern(one_slow_ms, 0), Pattern(one_slow_ms)
    plain.play()
    hedged.play()
    assert plain.sent == 0
    assert 0 < hedged.sent <= SHARE * REQUESTS
    assert quantile(hedged.waits_ms, 0.98) < 0.5 * quantile(
        plain.waits_ms, 0.98
    )


# Pattern: all servers pause together for 2 s, once every 10 s.
def test_pauses_of_all_servers_are_not_hedged():
    def answer_ms(server_id, now_s, rng):
        left_s = 2.0 - now_s % 10.0
        return max(0.0, left_s) * 1e3 + usual_ms(server_id, now_s, rng)

    pattern = Pattern(answer_ms)
    pattern.play()
    assert pattern.withheld.get("all_slow", 0) > 0
    assert pattern.sent <= 0.01 * REQUESTS


# Pattern: after a quiet time all servers are five times as slow, for good.
def test_wave_of_slowness_ends_hedging():
    def answer_ms(server_id, now_s, rng):
        return usual_ms(server_id, now_s, rng) * (5 if now_s > 130 else 1)

    pattern = Pattern(answer_ms)
    pattern.play(2000)
    before = pattern.sent
    pattern.play(2000)
    assert pattern.sent - before <= 0.01 * 2000


# Pattern: one slow server, with a share that is used up at once.
def test_share_of_a_service_is_kept():
    pattern = Pattern(one_slow_ms, 0.01)
    pattern.play()
    assert 0 < pattern.sent <= 0.01 * REQUESTS
    assert pattern.withheld["share_used_up"] > 0


# Pattern: one slow server, with few retries left to all entry VMs.
def test_retry_budget_is_kept():
    pattern = Pattern(one_slow_ms)
    pattern.retries_left = 4
    pattern.play()
    assert pattern.sent == 4
    assert pattern.withheld["no_retries"] > 0


@pytest.fixture
def late():
    """A pattern with one request that is late at s0, and its flight."""
    pattern = Pattern(usual_ms)
    pattern.play(500)
    pattern.world.now += datetime.timedelta(seconds=10)
    flight = dispatch.InFlightRequest(
        "s0", 0, 0, EXPECTED_MS, pattern.world.now_s - 1.0
    )
    pattern.hedging.on_request_sent("text", flight)
    return pattern, flight


def choose(pattern, flight, **fields):
    return pattern.hedging.choose(
        pattern.world.dispatcher,
        pattern.request._replace(**fields),
        list(pattern.world.registry.servers.values()),
        flight,
        pattern.world.now,
    )


def test_late_request_goes_to_another_server(late):
    pattern, flight = late
    decision = choose(pattern, flight)
    assert isinstance(decision, dispatch.Serve)
    assert decision.server_id != "s0"


# Pattern: the servers have more than half of their slots in use.
def test_nothing_is_hedged_when_room_is_short(late):
    pattern, flight = late
    for server_id in SERVERS:
        for _ in range(21):
            copy = dispatch.InFlightRequest(server_id, 0, 0, 1.0, 0.0)
            pattern.world.fleet.on_request_sent(copy, None)
    assert choose(pattern, flight) == dispatch.Withheld("no_room")


# Pattern: all servers but the late one are cold, limited, brittle or leave.
@pytest.mark.parametrize("case", ["cold", "limited", "brittle", "leaving"])
def test_unsound_servers_get_no_second_send(late, case):
    pattern, flight = late
    fields = {
        "cold": {"cold_left_ms": 60_000},
        "limited": {},
        "brittle": {},
        "leaving": {"state": "draining"},
    }[case]
    now_s = pattern.world.now_s
    for server_id in SERVERS[1:]:
        pattern.world.add_server(server_id, slots=40, sequence=2, **fields)
        limits = pattern.world.fleet.limits
        if case == "limited":
            limits.on_answer(server_id, 1000, 5.0, now_s, now_s, None)
        if case == "brittle":
            limits.on_answer(server_id, 1000, None, now_s, now_s, 1.0)
    assert choose(pattern, flight) == dispatch.Withheld("no_server")


def test_nothing_is_hedged_that_would_come_too_late(late):
    pattern, flight = late
    decision = choose(pattern, flight, remaining_ms=1010.0)
    assert decision == dispatch.Withheld("too_late")


# Guards against a slow server that looks fast as its late answers never count.
def test_overtaken_request_teaches_that_its_server_is_slow(late):
    pattern, flight = late
    fleet = pattern.world.fleet
    flight.speed_work = _server_speeds.SpeedWork(1000, EXPECTED_MS, 0.0, 0.0)
    known = fleet.speeds.slowdown("s0")
    fleet.on_request_sent(flight, None)
    fleet.on_answer_overtaken(flight, pattern.world.now_s)
    fleet.on_request_ended(
        flight, dispatch.Outcome.ABANDONED, pattern.world.now_s
    )
    state = fleet.state("s0")
    assert fleet.speeds.slowdown("s0") > known
    assert state.failure_share == 0
    assert not any(state.usage)


# Guards against hedging before the usual time of answers is known.
def test_lateness_is_unknown_after_few_answers():
    pattern = Pattern(usual_ms)
    pattern.play(40)
    flight = dispatch.InFlightRequest("s0", 0, 0, EXPECTED_MS, 0.0)
    assert pattern.hedging.late_after_s("text", flight) is None
