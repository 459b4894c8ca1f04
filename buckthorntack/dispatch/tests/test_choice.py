"""Eligibility and preference of servers in the choice of a server."""

import random

import pytest

from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages


@pytest.fixture
def world():
    return _world.World()


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "draining"},
        {"state": "gone"},
        {"failure_domain": "evacuated"},
        {"region": "kumamoto"},
    ],
)
def test_barred_server_gets_nothing(world, fields):
    world.dispatcher.set_evacuated(frozenset(["evacuated"]), world.now)
    world.add_server("s1", **fields)
    decision = world.choose(world.make_request())
    assert isinstance(decision, dispatch.Refuse)


def test_request_is_not_sent_twice_to_a_server(world):
    world.add_server("s1")
    request = world.make_request(tried_server_ids=frozenset(["s1"]))
    assert isinstance(world.choose(request), dispatch.Refuse)


def test_route_stays_in_its_regions(world):
    world.add_server("s1")
    route = _documents.route(allowed_regions=frozenset(["kumamoto"]))
    decision = world.choose(world.make_request(route=route))
    assert isinstance(decision, dispatch.Refuse)


def test_silent_server_is_used_only_if_there_is_no_other(world):
    world.add_server("s1", silent=True)
    assert world.choose(world.make_request()).server_id == "s1"
    world.add_server("s2")
    for _ in range(20):
        assert world.choose(world.make_request()).server_id == "s2"


def test_server_that_lost_requests_is_left_out_for_a_while(world):
    world.add_server("s1")
    world.add_server("s2")
    for _ in range(world.settings.eject_after_failures):
        flight = dispatch.InFlightRequest("s1", 0, 0, 100.0, world.now_s)
        world.fleet.on_request_sent(flight, None)
        world.fleet.on_request_ended(
            flight, dispatch.Outcome.LOST, world.now_s
        )
    for _ in range(20):
        assert world.choose(world.make_request()).server_id == "s2"
    world.now += 20 * _world.SECOND
    assert not world.fleet.state("s1").is_ejected(world.now_s)


# A service was refused for good, with its only server free, after connections
# to it had failed for some time: only requests lowered the failure share.
def test_failures_of_a_server_without_requests_are_forgotten(world):
    world.add_server("s1")
    for _ in range(60):
        flight = dispatch.InFlightRequest("s1", 0, 0, 100.0, world.now_s)
        world.fleet.on_request_sent(flight, None)
        world.fleet.on_request_ended(
            flight, dispatch.Outcome.LOST, world.now_s
        )
    assert isinstance(world.choose(world.make_request()), dispatch.Refuse)
    for _ in range(60):
        world.now += _world.SECOND / 4
        world.fleet.expire_reports(world.now_s)
    assert world.choose(world.make_request()).server_id == "s1"


def test_abandoned_requests_say_nothing_about_a_server(world):
    world.add_server("s1")
    for _ in range(20):
        flight = world.send(world.make_request())
        world.fleet.on_request_ended(
            flight, dispatch.Outcome.ABANDONED, world.now_s
        )
    assert not world.fleet.state("s1").is_ejected(world.now_s)
    assert world.fleet.state("s1").failure_share == 0.0


def test_usage_returns_to_nothing(world):
    world.add_server("s1")
    flights = [
        world.send(world.make_request(_world.prompt())) for _ in range(4)
    ]
    for number, flight in enumerate(flights):
        if number % 2:
            world.fleet.on_first_byte(flight, world.now_s)
        world.fleet.on_request_ended(flight, dispatch.Outcome.OK, world.now_s)
    assert not any(world.fleet.usage("s1"))


def test_reports_of_other_entry_vms_count_while_they_are_fresh(world):
    world.add_server("s1")
    world.add_server("s2")
    other = dispatch.Fleet(world.settings)
    for _ in range(3):
        flight = dispatch.InFlightRequest("s1", 20_000, 0, 100.0, world.now_s)
        other.on_request_sent(flight, None)
    report = messages.UseReport(
        1, "own", True, other.list_local_uses(), [], [], [], False, []
    )
    world.fleet.on_peer_report("peer", report, world.now_s)
    for _ in range(20):
        assert world.choose(world.make_request()).server_id == "s2"
    world.now += 5 * _world.SECOND
    world.fleet.expire_reports(world.now_s)
    assert not any(world.fleet.usage("s1"))


def test_request_goes_to_an_idle_region_when_its_own_is_busy(world):
    world.add_server("s1")
    world.add_server("s2", region="kumamoto", failure_domain="kumamoto-a")
    request = world.make_request(_world.prompt())
    idle = dispatch.Fleet(world.settings)
    region = _region_load("kumamoto", idle.list_local_uses())
    world.fleet.on_region_load(region, world.now_s)
    other = _world.prompt("other", own="own0")
    world.send(world.make_request(other, can_forward=False))
    decision = world.choose(request)
    assert isinstance(decision, dispatch.Forward)
    assert decision.region == "kumamoto"


def test_region_of_which_nothing_is_known_gets_nothing(world):
    world.add_server("s2", region="kumamoto", failure_domain="kumamoto-a")
    assert isinstance(world.choose(world.make_request()), dispatch.Refuse)


def _region_load(region, uses):
    return messages.RegionLoad(region, uses, [], [])


def test_refusal_says_when_to_come_back(world):
    world.add_server("s1")
    request = world.make_request(_world.prompt(), can_forward=False)
    waits = set()
    for _ in range(60):
        decision = world.choose(request)
        if isinstance(decision, dispatch.Refuse):
            waits.add(decision.retry_after_ms)
        else:
            world.send(request)
    settings = world.settings
    assert len(waits) > 20
    assert min(waits) >= settings.min_retry_after_ms
    assert max(waits) <= settings.max_retry_after_ms


def test_urgent_requests_are_refused_last(world):
    world.add_server("s1")
    urgent = world.make_request(_world.prompt(), can_forward=False)
    other = urgent._replace(route=_documents.route(priority=2))
    while isinstance(world.choose(other), dispatch.Serve):
        world.send(other)
    assert isinstance(world.choose(urgent), dispatch.Serve)


@pytest.mark.parametrize("seed", range(5))
def test_sum_of_reports_is_that_of_the_newest_ones(seed):
    rng = random.Random(seed)
    world = _world.World()
    newest = {}
    for _ in range(60):
        peer = f"peer{rng.randrange(4)}"
        uses = [
            messages.ServerUse(f"s{n}", *(rng.randrange(5) for _ in range(4)))
            for n in rng.sample(range(5), 3)
        ]
        report = messages.UseReport(
            1, "own", True, uses, [], [], [], False, []
        )
        world.fleet.on_peer_report(peer, report, world.now_s)
        newest[peer] = uses
    for number in range(5):
        expected = [0, 0, 0, 0]
        for uses in newest.values():
            for use in uses:
                if use.server_id == f"s{number}":
                    expected = [
                        a + b for a, b in zip(expected, use[1:], strict=True)
                    ]
        assert list(world.fleet.usage(f"s{number}")) == expected


# Guards against requests to a server within the time for which it wants none
# (BUDGET).
def test_server_that_asked_for_a_pause_gets_nothing_until_its_end(world):
    world.add_server("s1")
    world.add_server("s2")
    world.fleet.state("s1").pause(world.now_s, 10.0)
    for _ in range(20):
        assert world.choose(world.make_request()).server_id == "s2"
    world.now += 10 * _world.SECOND
    chosen = {world.choose(world.make_request()).server_id for _ in range(40)}
    assert chosen == {"s1", "s2"}


def test_shorter_pause_does_not_end_a_longer_one(world):
    state = world.fleet.state("s1")
    state.pause(world.now_s, 10.0)
    state.pause(world.now_s, 1.0)
    assert state.is_paused(world.now_s + 5.0)


# Guards against a client that is told to return before the end of the pause.
def test_refusal_names_the_end_of_the_first_pause(world):
    for server_id, seconds in (("s1", 0.8), ("s2", 0.6)):
        world.add_server(server_id)
        world.fleet.state(server_id).pause(world.now_s, seconds)
    decision = world.choose(world.make_request())
    assert isinstance(decision, dispatch.Refuse)
    assert decision.reason == "all servers paused"
    assert 600 <= decision.retry_after_ms <= 1000
