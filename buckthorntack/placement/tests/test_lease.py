"""Issuer leases: at most one holder at a time under all faults."""

import hypothesis
from hypothesis import strategies
import pytest

from buckthorntack import placement
from buckthorntack.placement import _granter
from buckthorntack.placement import _lease
from buckthorntack.placement.tests import worlds
from buckthorntack.schema import messages

ACTIONS = ("isolate", "heal", "restart", "restart control", "lose", "slow")


def command(holder, fencing=0, renewal=0, least=0):
    fields = (worlds.DOMAIN, holder, 15_000, fencing, renewal, least)
    return placement.encode_command(messages.LeaseCommand(*fields))


def test_machine_grants_renews_and_hands_over():
    machine = placement.LeaseMachine()
    assert machine.apply(1, command("a#1")).row.fencing == 1
    assert not machine.apply(2, command("b#1")).granted
    assert machine.apply(3, command("a#1", 1, 1)).row.fencing == 1
    assert not machine.apply(4, command("b#1", 1, 1)).granted
    taken = machine.apply(5, command("b#1", 1, 2))
    assert (taken.granted, taken.row.holder, taken.row.fencing) == (
        True,
        "b#1",
        2,
    )
    assert machine.apply(6, command("c#1", 2, 3, least=7)).row.fencing == 8
    copy = placement.LeaseMachine()
    copy.restore(machine.snapshot())
    assert copy.snapshot() == machine.snapshot()
    assert copy.row(worlds.DOMAIN).holder == "c#1"


def test_one_issuer_holds_and_keeps_the_lease():
    world = worlds.LeaseWorld()
    world.run(1000)
    (first,) = world.holders()
    world.run(60_000)
    assert world.holders() == [first]
    assert world.leases[first].fencing == 1


def test_crashed_issuer_is_replaced():
    world = worlds.LeaseWorld()
    world.run(1000)
    (first,) = world.holders()
    world.restart(first)
    world.run(25_000)
    assert len(world.holders()) == 1
    assert world.machine.row(worlds.DOMAIN).fencing == 2


def test_isolated_issuer_stops_before_another_starts():
    world = worlds.LeaseWorld()
    world.run(1000)
    (old,) = world.holders()
    world.isolated = {old}
    world.run(40_000)
    (new,) = world.holders()
    assert new != old
    world.isolated = set()
    world.run(10_000)
    assert world.holders() == [new]
    assert world.most_holders == 1


def run_faults(seed, actions):
    """Simulate a sequence of faults.

    :returns: the ``LeaseWorld`` after the last fault.
    """
    world = worlds.LeaseWorld(seed)
    world.run(1000)
    for action, node, duration_ms in actions:
        name = f"e{node}"
        if action == "isolate":
            world.isolated = set(world.holders())
        if action == "heal":
            world.isolated = set()
            world.loss, world.delay_ms = 0.0, (1, 50)
        if action == "restart":
            world.restart(name)
        if action == "restart control":
            world.restart_control(node)
        if action == "lose":
            world.loss = 0.5
        if action == "slow":
            world.delay_ms = (1, 20_000)
        world.run(duration_ms)
    return world


def check_exclusion(world):
    assert world.most_holders <= 1
    for engine in world.engines:
        assert engine.effects == sorted(engine.effects)


FAULTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ACTIONS),
        strategies.integers(0, 2),
        strategies.integers(500, 25_000),
    ),
    max_size=10,
)


@hypothesis.settings(
    max_examples=40, deadline=None, derandomize=True, database=None
)
@hypothesis.given(strategies.integers(0, 1000), FAULTS)
def test_at_most_one_issuer_and_orders_in_turn(seed, actions):
    world = run_faults(seed, actions)
    check_exclusion(world)
    run_on = [("heal", 0, 60_000)]
    assert len(run_faults(seed, [*actions, *run_on]).holders()) == 1


TAKEOVER = [("isolate", 0, 40_000), ("heal", 0, 5000)] * 3


def no_wait_for_lease(watch, row, holder, now_ms):
    return 0


def lease_counted_from_answer(lease, grant, now_ms):
    lease._requested_at_ms = dict.fromkeys(
        lease._requested_at_ms, now_ms + 8000
    )
    original(lease, grant, now_ms)


def no_wait_for_flight(lease, checks_fencing, now_ms):
    return lease.is_held(now_ms)


original = _lease.IssuerLease.on_grant


@pytest.mark.parametrize(
    ("owner", "name", "variant"),
    [
        (_granter.LeaseWatch, "wait_ms", no_wait_for_lease),
        (_lease.IssuerLease, "on_grant", lease_counted_from_answer),
        (_lease.IssuerLease, "may_issue", no_wait_for_flight),
    ],
)
def test_broken_variant_is_caught(owner, name, variant, monkeypatch):
    check_exclusion(run_faults(1, TAKEOVER))
    monkeypatch.setattr(owner, name, variant)
    with pytest.raises(AssertionError):
        for seed in range(20):
            check_exclusion(run_faults(seed, TAKEOVER))
