"""Servers that connects fail to, and requests that neighbours take over."""

import random

import pytest

from buckthorntack import dispatch
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages


def fail_connects(world, *server_ids, times=2):
    for server_id in server_ids:
        for _ in range(times):
            world.dispatcher.reachability.on_connect_failed(
                server_id, world.now_s
            )


def make_world(**options):
    world = _world.World(**options)
    world.add_server("a")
    world.add_server("b")
    return world


def test_one_failed_connect_is_no_sign():
    world = make_world()
    fail_connects(world, "a", "b", times=1)
    assert isinstance(world.choose(world.make_request()), dispatch.Serve)


def test_unreachable_server_is_passed_over():
    world = make_world()
    fail_connects(world, "a")
    for _ in range(4):
        assert world.send(world.make_request()).server_id == "b"


# Guards against requests that are refused at an entry VM that is cut off while
# another one of its region reaches the servers.
def test_request_goes_to_a_neighbour_if_no_server_is_reachable():
    world = make_world()
    fail_connects(world, "a", "b")
    decision = world.choose(world.make_request(can_hop=True))
    assert isinstance(decision, dispatch.Forward)
    assert decision.region == "fukuoka"
    assert decision.expected_ms < 300


# Guards against failures of the link that count as a slow server.
def test_failures_of_the_link_do_not_delay_a_request_for_a_neighbour():
    world = make_world()
    request = world.make_request()
    for _ in range(20):
        flight = world.send(request)
        world.fleet.on_request_ended(
            flight, dispatch.Outcome.LOST, world.now_s
        )
        world.fleet.state(flight.server_id).ejection.until_s = None
    fail_connects(world, "a", "b")
    decision = world.choose(world.make_request(can_hop=True))
    assert isinstance(decision, dispatch.Forward)


def test_failed_connects_are_no_failures_of_the_server():
    world = make_world()
    for _ in range(20):
        flight = world.send(world.make_request())
        world.fleet.on_request_ended(
            flight, dispatch.Outcome.UNREACHABLE, world.now_s
        )
        state = world.fleet.state(flight.server_id)
        assert state.failure_share == 0.0
        assert not state.is_ejected(world.now_s)


def test_request_goes_to_another_region_if_no_neighbour_has_a_path():
    world = make_world()
    world.add_server("far", region="kumamoto", failure_domain="kumamoto-a")
    load = messages.RegionLoad(
        "kumamoto", [messages.ServerUse("far", 0, 0, 0, 0)], [], []
    )
    world.fleet.on_region_load(load, world.now_s)
    fail_connects(world, "a", "b")
    decision = world.choose(world.make_request())
    assert isinstance(decision, dispatch.Forward)
    assert decision.region == "kumamoto"


def test_request_that_no_entry_vm_can_serve_is_refused():
    world = make_world()
    fail_connects(world, "a", "b")
    decision = world.choose(world.make_request())
    assert isinstance(decision, dispatch.Refuse)
    assert decision.reason == "no server is reachable"


def test_new_connection_shows_that_a_server_is_reachable():
    reachability = dispatch.Reachability()
    assert not reachability.on_connect_failed("a", 1.0)
    assert reachability.on_connect_failed("a", 1.0)
    assert not reachability.on_connect_failed("a", 1.0)
    assert reachability.list_unreachable() == ["a"]
    assert reachability.on_connected("a")
    assert not reachability.on_connected("a")
    assert reachability.list_unreachable() == []


def test_first_failed_connect_is_probed_at_once():
    reachability = dispatch.Reachability()
    reachability.on_connect_failed("a", 1.0)
    assert reachability.take_due_probes(1.0) == ["a"]
    assert reachability.take_due_probes(1.1) == []
    assert reachability.take_due_probes(1.6) == ["a"]


# Guards against a flood of connects by an entry VM that has lost many servers.
@pytest.mark.parametrize("count", [3, 40])
def test_probes_are_bounded_and_reach_each_server(count):
    reachability = dispatch.Reachability()
    names = [f"s{number}" for number in range(count)]
    for name in random.Random(1).sample(names, count):
        reachability.on_connect_failed(name, 0.0)
    probed = set()
    for step in range(20):
        due = reachability.take_due_probes(step * 0.1)
        assert len(due) <= 4
        probed.update(due)
    assert probed == set(names)


def test_end_of_a_cut_is_sought_at_once_at_all_servers():
    reachability = dispatch.Reachability()
    for name in ("a", "b", "c"):
        for _ in range(2):
            reachability.on_connect_failed(name, 1.0)
    assert len(reachability.take_due_probes(1.0)) == 3
    reachability.on_connected("b")
    assert sorted(reachability.take_due_probes(1.1)) == ["a", "c"]
