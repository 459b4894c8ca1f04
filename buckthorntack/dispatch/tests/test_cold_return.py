"""Total request rate of all entry VMs to cold servers."""

import datetime
import random

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


#: Time from the end of an entry VM until it serves again.
RESTART_S = 0.7


def _list_known(rng, names, known):
    """Entry VMs that each entry VM knows, itself included."""
    if known == "halves":
        return {
            name: sorted(names[number % 2 :: 2])
            for number, name in enumerate(names)
        }
    missing = {"all": 0.0, "most": 0.1}[known]
    return {
        name: [
            other
            for other in names
            if other == name or rng.random() >= missing
        ]
        for name in names
    }


def _send_while_cold(rng, known, limits, starts, restarts, all_members=None):
    """Let entry VMs send as often as they may, for 3 s from each start."""
    gates = {name: _make_gate(name) for name in known}
    sent = []
    for step in range(300 * len(starts)):
        now_s = starts[step // 300] + step % 300 * 0.01
        for name in rng.sample(sorted(known), len(known)):
            ended_s = restarts.get(name, now_s + 1.0)
            if ended_s <= now_s < ended_s + RESTART_S:
                gates[name] = _make_gate(name)
                continue
            gate = gates[name]
            gate.members = known[name]
            gate.all_members = all_members
            if rng.random() < 0.9 and gate.may_send("s1", limits, 0, now_s):
                gate.on_request_sent("s1", limits, now_s)
                sent.append(now_s)
    return sent


# Guards against senders that keep the slots of an earlier warm-up, and so all
# send at once when the server is cold again.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("per_s", [3.2, 5.1])
@pytest.mark.parametrize("count", [3, 6, 12, 30])
@pytest.mark.parametrize("known", ["all", "most", "halves"])
def test_rate_holds_when_a_server_is_cold_again(known, count, per_s, seed):
    rng = random.Random(seed)
    names = [f"10.1.{seed}.{number}:80" for number in range(count)]
    limits = dispatch.RateLimits(cold_per_s=per_s)
    sent = _send_while_cold(
        rng, _list_known(rng, names, known), limits, (0.0, 20.0), {}
    )
    assert most_in_a_second(sent) <= per_s * OVERRUN + SLACK
    for start_s in (0.0, 20.0):
        in_time = [time for time in sent if start_s <= time < start_s + 3.0]
        assert len(in_time) > per_s * 0.5 * 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("per_s", [3.2, 5.1])
@pytest.mark.parametrize("count", [3, 6, 12, 30])
@pytest.mark.parametrize("known", ["all", "most"])
def test_rate_holds_while_entry_vms_start_anew(known, count, per_s, seed):
    rng = random.Random(seed)
    names = [f"10.1.{seed}.{number}:80" for number in range(count)]
    restarts = {name: rng.uniform(-RESTART_S, 3.0) for name in names}
    limits = dispatch.RateLimits(cold_per_s=per_s)
    sent = _send_while_cold(
        rng, _list_known(rng, names, known), limits, (0.0,), restarts
    )
    assert most_in_a_second(sent) <= per_s * OVERRUN + SLACK


# Guards against entry VMs that are cut off from all others, but not from a
# cold server, and each take over the parts of those that they do not hear of.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("per_s", [3.2, 5.1])
@pytest.mark.parametrize("islands", [1, 3, 8])
def test_rate_holds_while_entry_vms_hear_of_no_other(islands, per_s, seed):
    rng = random.Random(seed)
    names = [f"10.1.{seed}.{number}:80" for number in range(12)]
    alone = set(rng.sample(names, islands))
    together = [name for name in names if name not in alone]
    heard = {name: [name] if name in alone else together for name in names}
    limits = dispatch.RateLimits(cold_per_s=per_s)
    sent = _send_while_cold(rng, heard, limits, (0.0,), {}, names)
    assert most_in_a_second(sent) <= per_s * OVERRUN + SLACK


# Guards against a sound server that stays limited for most of a second after a
# reset, as checks waited for slots that checks before them had used.
def test_doubt_after_a_warm_answer_is_cleared_up_at_once():
    name = "10.1.0.1:80"
    gate = _make_gate(name)
    for now_s in (7.0, 7.01, 7.02):
        assert gate.may_ask("s1", PER_S, now_s)
        gate.on_request_sent("s1", COLD, now_s)
        assert not gate.may_ask("s1", PER_S, now_s)
        gate.on_warm("s1")


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
