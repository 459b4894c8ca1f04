"""Membership under loss, partitions, crashes, restarts and late messages."""

import pytest

from buckthorntack import membership
from buckthorntack.membership.tests import fakes

#: Time within which every node stops giving work to a leaving backend server.
BOUND_MS = 3000


def ready_at(network, server_id="s1"):
    states = network.states(server_id)
    return [node for node, state in states.items() if state == "ready"]


def started(size=6, **fields):
    network = fakes.domain(size, **fields)
    server = fakes.Server(network)
    network.run(3000, server.step)
    assert len(ready_at(network)) == size
    return network, server


@pytest.mark.parametrize("state", ["draining", "withdrawn"])
@pytest.mark.parametrize("fault", ["none", "crash", "loss", "lone cut"])
def test_leaving_server_gets_no_new_work(state, fault):
    network, server = started()
    server.state = state
    if fault == "loss":
        network.loss = 0.3
    if fault == "lone cut":
        network.cut = {("e0", node) for node in network.views}
    server.announce()
    if fault == "crash":
        network._queue.clear()
        network.crash("e0")
    network.run(BOUND_MS)
    assert ready_at(network) == []
    network.run(5000)
    assert ready_at(network) == []


@pytest.mark.parametrize("seed", range(5))
def test_crashed_server_gets_no_new_work(seed):
    network, _ = started(seed=seed)
    network.run(seed * 130)
    network.run(BOUND_MS - seed * 130)
    assert ready_at(network) == []


def test_messages_held_up_do_not_extend_the_lease():
    network, server = started()
    network.delay_ms = (5000, 5000)
    other = fakes.Server(network, "s2")
    network.run(700, other.step)
    network.run(700, server.step)
    network.delay_ms = (1, 3)
    network.crash("e0")
    network.run(BOUND_MS)
    assert ready_at(network) == []
    seen = []

    def check():
        seen.extend(ready_at(network) + ready_at(network, "s2"))

    network.run(6000, check)
    assert seen == []


def test_late_announcement_with_echo_gets_no_lease():
    network = fakes.domain(2)
    view = network.views["e0"]
    echo = view.echo(network.local("e0"))
    network.run(5000)
    document = fakes.announcement(echo=echo, echo_age_ms=100)
    network.announce("e0", document)
    assert network.states() == {}
    unknown = fakes.announcement(sequence=9, echo="")
    assert network.announce("e1", unknown).is_error()
    network.announce(
        "e0", fakes.announcement(sequence=2, echo=echo, echo_age_ms=4990)
    )
    network.run(400)
    assert set(network.states()) == {"e0", "e1"}


@pytest.mark.parametrize("late_at", ["e0", "e5"])
def test_late_announcement_brings_nothing_back(late_at):
    network, server = started()
    late = fakes.announcement(sequence=server.sequence)
    server.state = "withdrawn"
    server.announce()
    network.run(500)
    assert network.announce(late_at, late).is_error()
    same_life = fakes.announcement(sequence=server.sequence + 1)
    assert network.announce(late_at, same_life).is_error()
    network.run(5000)
    assert network.states() == {}
    next_life = fakes.announcement(incarnation=2)
    assert network.announce(late_at, next_life).is_ok()
    network.run(400)
    assert len(ready_at(network)) == 6


def test_server_with_lower_incarnation_is_refused():
    network, _ = started()
    result = network.announce("e1", fakes.announcement(incarnation=0))
    assert result.is_error()
    assert isinstance(result.error, membership.StaleAnnouncementError)
    assert "incarnation" in str(result.error)


def test_repeated_announcement_is_accepted_but_renews_nothing():
    network = fakes.domain(2)
    network.announce("e0", fakes.announcement())
    network.run(1500)
    assert network.announce("e0", fakes.announcement()).is_ok()
    network.run(600)
    assert network.states() == {}


def test_foreign_server_is_refused():
    network = fakes.domain(1)
    document = fakes.announcement(failure_domain="kumamoto-a")
    error = network.announce("e0", document).error
    assert isinstance(error, membership.ForeignAnnouncementError)


def test_server_moves_to_another_entry_when_its_own_crashes():
    network, server = started()
    network.crash("e0")
    server.home = "e3"

    def check():
        server.step()
        assert len(ready_at(network)) == 5

    network.run(10_000, check)


def test_one_way_cut_is_healed_through_others():
    network, server = started()
    network.cut = {("e0", "e1")}
    network.run(4000, server.step)
    seen = []

    def check():
        server.step()
        seen.append("e1" in ready_at(network))

    network.run(10_000, check)
    assert sum(seen) / len(seen) > 0.9


@pytest.mark.parametrize("seed", range(3))
def test_isolation_ends_leases_and_heals(seed):
    network, server = started(seed=seed)
    network.isolate("e4", "e5")
    network.run(BOUND_MS, server.step)
    assert sorted(ready_at(network)) == ["e0", "e1", "e2", "e3"]
    near = [r.node_id for r in network.views["e4"].members()]
    assert near == ["e5"]
    network.heal()
    network.run(3000, server.step)
    assert len(ready_at(network)) == 6
    assert all(len(view.members()) == 5 for view in network.views.values())


def test_loss_and_duplication_and_reordering():
    network = fakes.domain(6, seed=3)
    network.loss = 0.1
    network.duplication = 0.3
    network.delay_ms = (1, 120)
    server = fakes.Server(network)
    network.run(3000, server.step)
    seen = []

    def check():
        server.step()
        seen.append(len(ready_at(network)) / 6)

    network.run(20_000, check)
    assert sum(seen) / len(seen) > 0.98


@pytest.mark.parametrize("incarnation", [0, 2])
def test_entry_vm_restarts(incarnation):
    network, server = started()
    network.crash("e2")
    network.run(500, server.step)
    record = fakes.entry("e2", incarnation=incarnation)
    network.add(record, [fakes.seed_of(fakes.entry("e0"))])
    network.run(3000, server.step)
    assert "e2" in ready_at(network)
    assert network.views["e2"].own.incarnation == 2
    for node_id in ("e0", "e1", "e5"):
        listed = network.views[node_id].members()
        assert "e2" in [record.node_id for record in listed]


def test_stopping_entry_vm_leaves_callers_lists_at_once():
    network = fakes.domain(4)
    view = network.views["e1"]
    commands = view.set_state("stopping", network.local("e1"))
    network.execute("e1", commands)
    network.run(20)
    for node_id, other in network.views.items():
        now = network.local(node_id)
        records = other.entry_list("fukuoka", "fukuoka-a", now)
        assert sorted(r.node_id for r in records) == ["e0", "e2", "e3"]


def test_silent_entry_vm_leaves_callers_lists():
    network = fakes.domain(4)
    network.crash("e1")
    network.run(4000)
    records = network.views["e0"].entry_list(
        "fukuoka", "fukuoka-a", network.local("e0")
    )
    assert sorted(r.node_id for r in records) == ["e0", "e2", "e3"]


def test_callers_are_spread():
    network = fakes.domain(4)
    first = {
        network.views["e0"]
        .entry_list("fukuoka", "fukuoka-a", network.local("e0"))[0]
        .node_id
        for _ in range(60)
    }
    assert first == set(network.views)


def test_tombstones_are_bounded():
    timing = membership.MembershipTiming(max_tombstones=10)
    network = fakes.domain(2, timing=timing)
    for number in range(50):
        document = fakes.announcement(f"s{number}", state="withdrawn")
        network.announce("e0", document)
    network.run(2000)
    for view in network.views.values():
        assert len(view._state.servers.tombstones) == 10
