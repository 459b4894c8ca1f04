"""Rate of all entry VMs together to a server that names a limit."""

import random

import pytest

from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages

WINDOW_S = 4.0
STEP_S = 0.02
LENGTH_S = 40.0
NAMES = [f"10.1.0.{number}:80" for number in range(30)]


def _allowed(per_s):
    """Requests that may arrive in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def _most_in_window(times):
    return max(
        sum(start <= time < start + WINDOW_S for time in times)
        for start in times
    )


def _statement(per_s, server_id="s1", version=1):
    is_named = per_s is not None
    return messages.ServerLimit(
        server_id, 1000, version, is_named, per_s or 0.0, False, 0.0, 0
    )


def _make_senders(names):
    settings = dispatch.DispatchSettings()
    return [dispatch.ServerRates(name, settings) for name in names]


def _send(names, members_of, limits):
    """Let entry VMs send as often as they may.

    :param members_of: function of the entry VM's number and the time.
    :param limits: ``dispatch.RateLimits`` of the server.
    :returns: times at which requests were sent.
    """
    senders = _make_senders(names)
    sent = []
    rng = random.Random(3)
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = 100.0 + step * STEP_S
        for number in rng.sample(range(len(senders)), len(senders)):
            rates = senders[number]
            rates.members = members_of(number, now_s)
            if rates.may_send("s1", limits, 0, now_s):
                rates.on_request_sent("s1", limits, now_s)
                sent.append(now_s)
    return sent


@pytest.mark.parametrize("count", [1, 2, 3, 8, 30])
@pytest.mark.parametrize("per_s", [0.2, 1.1, 2.9, 6.0, 25.0])
def test_limit_holds_and_is_used(count, per_s):
    names = NAMES[:count]
    limits = dispatch.RateLimits(named_per_s=per_s)
    sent = _send(names, lambda number, now_s: names, limits)
    assert _most_in_window(sent) <= _allowed(per_s)
    assert len(sent) >= 0.9 * per_s * LENGTH_S


# Guards against senders that add up while membership views differ.
@pytest.mark.parametrize("per_s", [0.2, 1.1, 2.9, 6.0])
def test_limit_holds_while_entry_vms_come_and_go(per_s):
    def members_of(number, now_s):
        known = [0, 1, 2, 3, 4, 5]
        # Each entry VM hears of the others at a time of its own.
        if now_s > 110.0 + 0.3 * number:
            known.append(6)
        if now_s > 120.0 + 0.3 * number:
            known = known[1:]
        if now_s > 130.0 + 0.3 * number:
            known.append(7)
        return [NAMES[member] for member in {*known, number}]

    limits = dispatch.RateLimits(named_per_s=per_s)
    sent = _send(NAMES[:8], members_of, limits)
    assert _most_in_window(sent) <= _allowed(per_s)


# Guards against requests by chance so late that they meet those after them.
@pytest.mark.parametrize("per_s", [1.1, 6.0])
def test_limit_holds_for_requests_that_come_by_chance(per_s):
    names = NAMES[:8]
    senders = _make_senders(names)
    limits = dispatch.RateLimits(named_per_s=per_s)
    rng = random.Random(9)
    sent = []
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = 100.0 + step * STEP_S
        for rates in senders:
            rates.members = names
            comes = rng.random() < 0.04
            if comes and rates.may_send("s1", limits, 0, now_s):
                rates.on_request_sent("s1", limits, now_s)
                sent.append(now_s)
    assert _most_in_window(sent) <= _allowed(per_s)
    assert len(sent) >= 0.8 * per_s * LENGTH_S


def test_server_that_takes_none_is_only_probed():
    names = NAMES[:8]
    limits = dispatch.RateLimits(named_per_s=0.0)
    sent = _send(names, lambda number, now_s: names, limits)
    assert 3 <= len(sent) <= 8


def test_cold_server_with_a_limit_keeps_both():
    names = NAMES[:3]
    limits = dispatch.RateLimits(cold_per_s=2.0, named_per_s=8.0)
    sent = _send(names, lambda number, now_s: names, limits)
    assert len(sent) <= 2.0 * LENGTH_S
    limits = dispatch.RateLimits(cold_per_s=20.0, named_per_s=1.0)
    sent = _send(names, lambda number, now_s: names, limits)
    assert _most_in_window(sent) <= _allowed(1.0)


# Guards against less urgent requests that leave nothing to urgent ones.
def test_urgent_requests_take_the_rate_of_a_limited_server():
    names = NAMES[:3]
    senders = _make_senders(names)
    limits = dispatch.RateLimits(named_per_s=2.0)
    sent = {0: 0, 1: 0}
    rng = random.Random(3)
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = 100.0 + STEP_S * step
        for rates in senders:
            rates.members = names
            # Three in four requests are less urgent.
            priority = rng.choice([0, 1, 1, 1])
            comes = rng.random() < 0.8
            if comes and rates.may_send("s1", limits, priority, now_s):
                rates.on_request_sent("s1", limits, now_s)
                sent[priority] += 1
    assert sent[0] > 10 * sent[1]


def test_limited_servers_are_passed_over_for_those_with_room():
    world = _world.World()
    world.add_server("s1")
    world.add_server("s2")
    world.fleet.limits.merge([_statement(0.1)], world.now_s)
    view = world.registry.servers["s1"]
    world.dispatcher.on_request_sent(world.make_request(), view, world.now)
    for _ in range(20):
        assert world.choose(world.make_request()).server_id == "s2"


# Guards against callers that all come back to limited servers at once.
def test_refusals_of_limited_servers_spread_the_return():
    world = _world.World()
    world.add_server("s1")
    world.fleet.limits.merge([_statement(0.5)], world.now_s)
    view = world.registry.servers["s1"]
    world.dispatcher.on_request_sent(world.make_request(), view, world.now)
    request = world.make_request(
        route=_documents.route(), can_forward=False, remaining_ms=9000.0
    )
    waits = []
    for _ in range(100):
        decision = world.choose(request)
        assert decision.reason == "all servers limited"
        waits.append(decision.retry_after_ms)
    assert max(waits) - min(waits) > 1000.0


# Guards against requests that are forwarded to servers that take none.
def test_limited_servers_of_other_regions_get_no_forwards():
    world = _world.World()
    world.add_server("s1")
    world.fleet.limits.merge([_statement(0.0)], world.now_s)
    view = world.registry.servers["s1"]
    world.dispatcher.on_request_sent(world.make_request(), view, world.now)
    world.add_server("s2", region="kumamoto")
    load = messages.RegionLoad(
        "kumamoto", [messages.ServerUse("s2", 0, 0, 0, 0)], [], []
    )
    world.fleet.on_region_load(load, world.now_s)
    assert isinstance(world.choose(world.make_request()), dispatch.Forward)
    limited = load._replace(limits=[_statement(1.0, "s2")])
    world.fleet.on_region_load(limited, world.now_s)
    assert isinstance(world.choose(world.make_request()), dispatch.Refuse)


# Guards against a region without servers of its own that gets nothing.
def test_limited_servers_of_other_regions_are_used_if_there_are_no_others():
    world = _world.World()
    world.add_server("s2", region="kumamoto")
    load = messages.RegionLoad(
        "kumamoto",
        [messages.ServerUse("s2", 0, 0, 0, 0)],
        [],
        [_statement(1.0, "s2")],
    )
    world.fleet.on_region_load(load, world.now_s)
    assert isinstance(world.choose(world.make_request()), dispatch.Forward)


# Guards against statements on a server that has gone which go round for ever.
def test_statement_on_an_unknown_server_is_passed_over():
    limits = dispatch.ServerLimits(lambda server_id: server_id == "s2")
    assert not limits.merge([_statement(1.0)], 1.0)
    assert limits.merge([_statement(1.0, "s2")], 1.0)
    assert [known.server_id for known in limits.list_statements()] == ["s2"]


# Guards against an old statement that comes back by way of another entry VM.
def test_statement_that_more_changes_led_to_holds():
    limits = dispatch.ServerLimits()
    limits.on_answer("s1", 1000, 2.0, sent_s=1.0, now_s=2.0)
    limits.on_answer("s1", 1000, None, sent_s=3.0, now_s=4.0)
    assert not limits.merge([_statement(2.0, version=1)], 5.0)
    assert limits.per_s("s1", 1000) is None
    assert limits.merge([_statement(4.0, version=3)], 5.0)
    assert limits.merge([_statement(3.0, version=3)], 5.0)
    assert not limits.merge([_statement(4.0, version=3)], 5.0)
    assert limits.per_s("s1", 1000) == 3.0
