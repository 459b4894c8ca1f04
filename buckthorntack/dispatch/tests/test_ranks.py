"""Order of ranks, and the limits that follow from it."""

import datetime
import itertools

import pytest

from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch import _ranks
from buckthorntack.dispatch import _scarcity
from buckthorntack.dispatch.tests import _world

MS = datetime.timedelta(milliseconds=1)
URGENT = _documents.route("urgent", objective=500 * MS)
SLOW = _documents.route(
    "slow", "/b/", objective=2000 * MS, timeout=8000 * MS, priority=2
)


def _organisation(priority):
    return directives.Organisation(f"o{priority}", frozenset(), priority)


def _configure(priorities, *routes):
    return _documents.configuration(*routes)._replace(
        organisations=tuple(map(_organisation, priorities))
    )


def test_organisations_precede_routes():
    table = _ranks.RankTable(
        _configure((0, 7), URGENT, SLOW), dispatch.DispatchSettings()
    )
    places = [
        table.position(_organisation(priority), route, "text")
        for priority in (0, 7)
        for route in (URGENT, SLOW)
    ]
    assert places == pytest.approx([0.0, 1 / 3, 2 / 3, 1.0])


@pytest.mark.parametrize("scarcity", [0.0, 0.1, 0.5, 0.9, 1.0])
def test_limits_fall_with_rank_and_scarcity(scarcity):
    def limit_ms(place, now):
        return _scarcity.compute_wait_limit_ms(2000.0, 600.0, place, now)

    places = [place / 20 for place in range(21)]
    for first, second in itertools.pairwise(places):
        step_ms = limit_ms(first, scarcity) - limit_ms(second, scarcity)
        assert 0 <= step_ms < 50
        assert limit_ms(second, scarcity) >= limit_ms(second, 1.0) > 0


def _choose(organisation, configuration, running, waiting_tokens, count=1):
    """Choose servers for requests to engines with the same load each."""
    world = _world.World()
    if configuration is not None:
        world.dispatcher.set_configuration(configuration)
    for number in range(4):
        server_id = f"10.0.0.{number}:80"
        world.add_server(server_id, service="text", slots=32)
        state = world.fleet.state(server_id, 100_000)
        state.usage = state.usage._replace(
            running=running, waiting=1, waiting_tokens=waiting_tokens
        )
    request = world.make_request(
        _world.prompt(pack_tokens=100, tokens=300),
        route=SLOW,
        remaining_ms=8000.0,
        organisation=organisation,
    )
    return [world.choose(request) for _ in range(count)]


# Guards against organisations that change decisions while there is room, or
# while all requests have the same rank.
@pytest.mark.parametrize(
    ("priorities", "routes", "running", "waiting_tokens"),
    [
        ((0, 5), (URGENT, SLOW), 4, 1000),
        ((0, 5), (URGENT, SLOW), 0, 0),
        ((5,), (SLOW,), 30, 40_000),
        ((5,), (SLOW,), 30, 200_000),
    ],
)
def test_decisions_stay_with_room_or_equal_ranks(
    priorities, routes, running, waiting_tokens
):
    (former,) = _choose(None, None, running, waiting_tokens)
    (ranked,) = _choose(
        _organisation(5),
        _configure(priorities, *routes),
        running,
        waiting_tokens,
    )
    assert type(ranked) is type(former)
    if isinstance(former, dispatch.Serve):
        assert ranked == former


def test_the_least_urgent_are_refused_first_when_room_is_short():
    configuration = _configure((0, 5), URGENT, SLOW)
    refusals = {}
    for priority in (0, 5):
        decisions = _choose(
            _organisation(priority), configuration, 2, 41_000, count=100
        )
        refusals[priority] = [
            decision
            for decision in decisions
            if isinstance(decision, dispatch.Refuse)
        ]
    assert not refusals[0]
    # The others are judged as the most urgent ones, so that none starves.
    assert 40 <= len(refusals[5]) <= 80
    for decision in refusals[5]:
        assert decision.rank_position == 1.0
        assert decision.scarcity > 0


# Guards against requests that wait for a silent server and use up the times at
# which refused callers may return.
def test_choice_that_is_not_used_promises_nothing():
    def promise_ms(times_looked):
        world = _world.World()
        world.dispatcher.set_configuration(_configure((0, 5), URGENT, SLOW))
        for number in range(4):
            server_id = f"10.0.0.{number}:80"
            world.add_server(server_id, service="text", slots=32)
            state = world.fleet.state(server_id, 100_000)
            state.usage = state.usage._replace(
                running=2, waiting=1, waiting_tokens=200_000
            )
        request = world.make_request(
            _world.prompt(pack_tokens=100, tokens=300),
            route=SLOW,
            remaining_ms=8000.0,
            organisation=_organisation(5),
        )
        views = list(world.registry.servers.values())
        for _ in range(times_looked):
            decision = world.dispatcher.choose_replacement(
                request, views, world.now
            )
            assert isinstance(decision, dispatch.Refuse)
        returns = world.dispatcher.ranked_limits.returns
        return returns.promise_ms(0.0, 100.0, 60_000.0, world.now_s)

    assert promise_ms(10) == promise_ms(0)
