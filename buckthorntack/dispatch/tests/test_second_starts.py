"""What was learnt of a server does not outlive the start it was learnt of."""

import pytest

from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch.tests import _world

PLAIN = _documents.service(engine=False)


@pytest.fixture
def world():
    world = _world.World()
    world.add_server("s1")
    return world


# Guards against a server that stays unused for what a former start asked for.
def test_pause_ends_with_the_start_that_asked_for_it(world):
    world.fleet.state("s1").pause(world.now_s, 60.0)
    assert isinstance(world.choose(world.make_request()), dispatch.Refuse)
    world.fleet.on_server_restarted("s1")
    assert world.choose(world.make_request()).server_id == "s1"


# Guards against a server that is avoided for how slow a former start was.
def test_duration_of_answers_is_learnt_anew(world):
    request = world.make_request(service=PLAIN)
    first = world.choose(request).expected_ms
    flight = world.send(request)
    world.now += 2 * _world.SECOND
    world.fleet.on_request_ended(flight, dispatch.Outcome.OK, world.now_s)
    assert world.choose(request).expected_ms > 2 * first
    world.fleet.on_server_restarted("s1")
    assert world.choose(request).expected_ms == first


# Guards against a sound start that is ejected for the end of the former one,
# whose broken connections are noticed one after the other.
@pytest.mark.parametrize(
    "outcome", [dispatch.Outcome.LOST, dispatch.Outcome.ERROR]
)
def test_ends_of_requests_at_a_former_start_say_nothing(world, outcome):
    flights = [world.send(world.make_request()) for _ in range(4)]
    before = world.choose(world.make_request())
    world.fleet.on_server_restarted("s1")
    for flight in flights:
        world.fleet.on_request_ended(flight, outcome, world.now_s)
    state = world.fleet.state("s1")
    assert not state.is_ejected(world.now_s)
    assert state.failure_share == 0.0
    after = world.choose(world.make_request())
    assert after.expected_ms <= before.expected_ms


def test_long_answers_of_a_former_start_say_nothing(world):
    request = world.make_request(service=PLAIN)
    first = world.choose(request).expected_ms
    flight = world.send(request)
    world.fleet.on_server_restarted("s1")
    world.now += 2 * _world.SECOND
    world.fleet.on_request_ended(flight, dispatch.Outcome.OK, world.now_s)
    assert world.choose(request).expected_ms == first


def test_requests_at_a_server_count_until_they_end(world):
    """They may be at the new start, which is told of later."""
    flights = [world.send(world.make_request()) for _ in range(3)]
    world.fleet.on_server_restarted("s1")
    assert world.fleet.usage("s1").waiting == 3
    for flight in flights:
        world.fleet.on_request_ended(
            flight, dispatch.Outcome.LOST, world.now_s
        )
    assert not any(world.fleet.usage("s1"))


# Guards against a usage below zero, by which a server that is back under its
# id seems to have more room than it has.
@pytest.mark.parametrize("has_first_byte", [False, True])
@pytest.mark.parametrize("answers", [False, True])
def test_requests_that_outlive_a_server_are_not_subtracted_from_the_next(
    world, has_first_byte, answers
):
    request = world.make_request(_world.prompt())
    flights = [world.send(request) for _ in range(4)]
    for flight in flights:
        if has_first_byte:
            world.fleet.on_first_byte(flight, world.now_s)
    world.fleet.remove_server("s1")
    outcome = dispatch.Outcome.OK if answers else dispatch.Outcome.LOST
    for flight in flights:
        if answers:
            world.fleet.on_first_byte(flight, world.now_s)
        world.fleet.on_request_ended(flight, outcome, world.now_s)
    assert world.fleet.list_local_uses() == []
    assert not any(world.fleet.usage("s1"))
    state = world.fleet.state("s1")
    assert not state.is_ejected(world.now_s)
    assert state.failure_share == 0.0
    assert state.duration_ms is None
