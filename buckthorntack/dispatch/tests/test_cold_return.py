"""Total request rate of all entry VMs to cold servers."""

import datetime

import pytest

from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch.tests import _world

PER_S = 5.1
#: Limit of the platform on requests in any second: ``OVERRUN`` times the rate
#: plus ``SLACK``.
OVERRUN, SLACK = 1.5, 3


def most_in_a_second(times):
    return max(
        sum(start <= time < start + 1.0 for time in times) for start in times
    )


COLD = dispatch.RateLimits(cold_per_s=PER_S)


def _make_gate(name):
    return dispatch.ServerRates(name, dispatch.DispatchSettings())


@pytest.mark.parametrize("members", [1, 2, 3, 8, 30])
def test_rate_holds_over_all_entry_vms(members):
    names = [f"10.1.0.{number}:80" for number in range(members)]
    gates = [_make_gate(name) for name in names]
    sent = []
    for step in range(400):
        now_s = step * 0.01
        for gate in gates:
            gate.members = names
            if gate.may_send("s1", COLD, 0, now_s):
                gate.on_request_sent("s1", COLD, now_s)
                sent.append(now_s)
    assert most_in_a_second(sent) <= PER_S * OVERRUN + SLACK
    assert len(sent) > PER_S * 0.5 * 4


def test_rate_holds_while_entry_vms_know_different_members():
    names = [f"10.1.0.{number}:80" for number in range(6)]
    gates = [_make_gate(name) for name in names]
    sent = []
    for step in range(400):
        now_s = step * 0.01
        for number, gate in enumerate(gates):
            gate.members = names[: max(2, number + 1)]
            if gate.may_send("s1", COLD, 0, now_s):
                gate.on_request_sent("s1", COLD, now_s)
                sent.append(now_s)
    assert most_in_a_second(sent) <= PER_S * OVERRUN + SLACK


def test_warm_server_takes_what_a_cold_one_may_not():
    world = _world.World()
    world.add_server("cold", cold_left_ms=3000)
    world.add_server("warm")
    used = [world.send(world.make_request()).server_id for _ in range(4)]
    assert "warm" in used
    world.now += datetime.timedelta(seconds=4)
    assert not world.registry.servers["cold"].is_cold(world.now)


def test_domain_that_is_taken_back_counts_as_cold_until_it_tells():
    world = _world.World()
    world.add_server("s1")
    world.dispatcher.set_evacuated(frozenset(["fukuoka-a"]), world.now)
    assert isinstance(world.choose(world.make_request()), dispatch.Refuse)
    world.dispatcher.set_evacuated(frozenset(), world.now)
    request = world.make_request(
        service=_documents.service(warmup_per_s=PER_S), can_forward=False
    )
    sent = []
    for _ in range(240):
        world.now += 0.01 * _world.SECOND
        if isinstance(world.choose(request), dispatch.Serve):
            view = world.registry.servers["s1"]
            world.dispatcher.on_request_sent(request, view, world.now)
            sent.append(world.now_s)
    assert sent
    assert most_in_a_second(sent) <= PER_S * OVERRUN + SLACK
    world.now += 0.2 * _world.SECOND
    for _ in range(20):
        assert isinstance(world.choose(request), dispatch.Serve)
