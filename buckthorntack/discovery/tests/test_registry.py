"""Registries converge whatever the order and path of announcements."""

import datetime
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from buckthorntack import directives
from buckthorntack import discovery
from buckthorntack.discovery.tests import _records

S = datetime.timedelta(seconds=1)
NOW = 100 * S
OPEN = directives.HostResidency(False, frozenset(), frozenset())


def make_registry(epoch=1):
    return discovery.Registry(epoch, discovery.Timing(), NOW)


def state_of(registry, server_id="s1"):
    return registry.servers[server_id].record.state


def test_late_announcement_does_not_undo_draining():
    registry = make_registry()
    registry.merge_server(_records.server(sequence=5, state="draining"), NOW)
    assert not registry.merge_server(_records.server(sequence=4), NOW + S)
    assert state_of(registry) == "draining"


def test_announcement_after_leaving_is_passed_over():
    registry = make_registry()
    registry.merge_server(_records.server(sequence=5), NOW)
    assert registry.mark_server_gone("s1", 1000, NOW)
    assert not registry.merge_server(_records.server(sequence=6), NOW + S)
    assert state_of(registry) == "gone"


def test_server_that_starts_again_under_its_id_is_used():
    registry = make_registry()
    registry.merge_server(_records.server(sequence=9), NOW)
    registry.mark_server_gone("s1", None, NOW)
    again = _records.server(born_ms=2000, sequence=1)
    assert registry.merge_server(again, NOW + S)
    assert state_of(registry) == "ready"


def test_leaving_of_an_earlier_incarnation_is_passed_over():
    registry = make_registry()
    registry.merge_server(_records.server(born_ms=2000), NOW)
    assert not registry.mark_server_gone("s1", 1000, NOW)
    assert state_of(registry) == "ready"


def test_address_belongs_to_the_latest_server():
    registry = make_registry()
    old = _records.server("old", address="10.1.0.1:80")
    new = _records.server("new", address="10.1.0.1:80", born_ms=2000)
    registry.merge_server(old, NOW)
    registry.merge_server(new, NOW)
    assert state_of(registry, "old") == "gone"
    # An announcement delayed by a partition arrives after its sender's crash.
    registry.merge_server(old._replace(sequence=7), NOW + S)
    assert state_of(registry, "old") == "gone"
    assert state_of(registry, "new") == "ready"


def test_late_announcement_of_a_predecessor_that_was_unknown():
    registry = make_registry()
    new = _records.server("new", address="10.1.0.1:80", born_ms=2000)
    registry.merge_server(new, NOW)
    registry.merge_server(_records.server("old", address="10.1.0.1:80"), NOW)
    assert state_of(registry, "old") == "gone"
    assert state_of(registry, "new") == "ready"


def test_heartbeats_are_no_news():
    registry = make_registry()
    registry.merge_server(_records.server(), NOW)
    stamp = registry.stamp
    for number in range(2, 30):
        record = _records.server(sequence=number)
        assert not registry.merge_server(record, NOW + number * S)
    assert registry.stamp == stamp


def test_countdown_of_a_warmup_is_no_news_but_its_start_is():
    registry = make_registry()
    registry.merge_server(_records.server(cold_left_ms=3000), NOW)
    later = _records.server(sequence=2, cold_left_ms=2000)
    assert not registry.merge_server(later, NOW + S)
    assert registry.servers["s1"].is_cold(NOW + 2.9 * S)
    assert not registry.servers["s1"].is_cold(NOW + 3.1 * S)
    again = _records.server(sequence=3, cold_left_ms=3000)
    assert registry.merge_server(again, NOW + 5 * S)


def test_time_until_reclaim_is_passed_on_as_it_runs_out():
    registry = make_registry()
    record = _records.server(state="draining", reclaim_left_ms=2000)
    registry.merge_server(record, NOW)
    sent = registry.changes_since(0, NOW + S).servers[0]
    assert sent.reclaim_left_ms == 1000


def test_silent_server_is_told_and_comes_back():
    registry = make_registry()
    registry.merge_server(_records.server(), NOW)
    for step in range(1, 30):
        found = registry.mark_silent(NOW + step * 0.25 * S)
        if found:
            break
    assert found == ["s1"]
    assert registry.servers["s1"].record.silent
    registry.refresh_last_heard(["s1"], [], NOW + 9 * S)
    assert not registry.servers["s1"].record.silent


def test_pause_of_the_process_makes_nobody_silent():
    registry = make_registry()
    registry.merge_server(_records.server(), NOW)
    registry.merge_node(_records.node(), NOW)
    registry.mark_silent(NOW + 0.25 * S)
    assert registry.mark_silent(NOW + 20 * S) == []


def test_node_is_silent_after_a_while():
    registry = make_registry()
    registry.merge_node(_records.node(), NOW)
    found = []
    for step in range(1, 16):
        found += registry.mark_silent(NOW + step * 0.25 * S)
    assert found == ["10.1.0.9:80"]


def test_follower_takes_over_who_is_silent():
    source, copy = make_registry(1), make_registry(2)
    source.merge_server(_records.server(), NOW)
    copy.adopt_changes(source.changes_since(0, NOW), NOW)
    stamp = source.stamp
    for step in range(1, 24):
        source.mark_silent(NOW + step * 0.25 * S)
    copy.adopt_changes(source.changes_since(stamp, NOW), NOW)
    assert copy.servers["s1"].record.silent
    source.refresh_last_heard(["s1"], [], NOW + 9 * S)
    copy.adopt_changes(source.changes_since(stamp, NOW), NOW)
    assert not copy.servers["s1"].record.silent


def test_draining_survives_a_restart_of_all_control_vms():
    entry, control = make_registry(1), make_registry(2)
    entry.merge_server(_records.server(sequence=5, state="draining"), NOW)
    # The new registry is empty, and a delayed announcement arrives first.
    control.merge_server(_records.server(sequence=4), NOW)
    control.merge_changes(entry.changes_for_servers(["s1"], NOW), NOW)
    assert state_of(control) == "draining"


records = st.builds(
    _records.server,
    st.sampled_from(["s1", "s2"]),
    born_ms=st.sampled_from([1000, 2000]),
    sequence=st.integers(1, 4),
    state=st.sampled_from(["ready", "draining", "gone"]),
)


@given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
def test_registries_that_hear_the_same_agree(heard, rng):
    # An incarnation never uses one sequence number for two records.
    first_records = {}
    heard = [
        first_records.setdefault((r.server_id, r.born_ms, r.sequence), r)
        for r in heard
    ]
    shuffled = list(heard)
    rng.shuffle(shuffled)
    views = []
    for order in (heard, shuffled):
        registry = make_registry()
        for record in order:
            registry.merge_server(record, NOW)
        views.append(
            {
                key: (view.record.born_ms, view.record.state)
                for key, view in registry.servers.items()
            }
        )
    gone = {(r.server_id, r.born_ms) for r in heard if r.state == "gone"}
    for view in views:
        for key, (born_ms, state) in view.items():
            if (key, born_ms) in gone:
                assert state == "gone"
    if not gone:
        assert views[0] == views[1]


@pytest.mark.parametrize("lost", list(itertools.product([0, 1], repeat=4)))
def test_lost_changes_are_sent_again(lost):
    """A follower gets the changes that it missed after its next report."""
    registry, copy = make_registry(7), make_registry(8)
    followers = discovery.Followers(registry, discovery.Timing())
    node = _records.node("10.1.0.5:80")
    received_stamp = 0
    followers.on_report(_records.report(node, 7, received_stamp), NOW)
    for number, is_lost in enumerate(lost):
        registry.merge_server(_records.server(f"s{number}"), NOW)
        for _, changes in followers.take_due_changes(NOW):
            if not is_lost and changes.since_stamp <= received_stamp:
                copy.adopt_changes(changes, NOW)
                received_stamp = changes.stamp
    followers.on_report(_records.report(node, 7, received_stamp), NOW)
    for _, changes in followers.take_due_changes(NOW):
        assert changes.since_stamp <= received_stamp
        copy.adopt_changes(changes, NOW)
    assert copy.servers.keys() == registry.servers.keys()


def test_follower_of_another_run_gets_all():
    registry = make_registry(7)
    registry.merge_server(_records.server(), NOW)
    followers = discovery.Followers(registry, discovery.Timing())
    followers.on_report(_records.report(_records.node(), 6, 99), NOW)
    [(_, changes)] = followers.take_due_changes(NOW)
    assert changes.since_stamp == 0
    assert [s.server_id for s in changes.servers] == ["s1"]


def test_directory_names_ready_nodes_of_the_region():
    nodes = [
        _records.node("10.1.0.1:80"),
        _records.node("10.1.0.2:80", state="stopping"),
        _records.node("10.1.0.3:80", silent=True),
        _records.node("10.1.0.4:80"),
        _records.node("10.2.0.1:80", region="kumamoto"),
    ]
    rng = random.Random(5)
    found = discovery.select_entry_vms(
        nodes, "fukuoka", "fukuoka-a", OPEN, 64, rng
    ).addresses
    assert sorted(found) == ["10.1.0.1:80", "10.1.0.4:80"]


def test_directory_of_a_region_without_nodes_names_others():
    nodes = [_records.node("10.2.0.1:80", region="kumamoto")]
    rng = random.Random(5)
    found = discovery.select_entry_vms(
        nodes, "fukuoka", "fukuoka-a", OPEN, 64, rng
    ).addresses
    assert found == ["10.2.0.1:80"]


def test_directory_is_bounded():
    nodes = [_records.node(f"10.1.0.{n}:80") for n in range(200)]
    rng = random.Random(5)
    found = discovery.select_entry_vms(
        nodes, "fukuoka", "fukuoka-a", OPEN, 64, rng
    ).addresses
    assert len(set(found)) == 64


def test_directory_of_a_region_without_nodes_prefers_homes():
    nodes = [
        _records.node("10.1.0.1:80", state="stopping"),
        _records.node("10.2.0.1:80", region="kumamoto"),
        _records.node("10.3.0.1:80", region="kagoshima"),
    ]
    kumamoto = frozenset({"kumamoto"})
    homes = directives.HostResidency(True, kumamoto, kumamoto)
    rng = random.Random(5)
    found = discovery.select_entry_vms(
        nodes, "fukuoka", "fukuoka-a", homes, 64, rng
    ).addresses
    assert found == ["10.2.0.1:80"]


def test_lost_disk_ends_the_former_node_at_once():
    registry = make_registry()
    address = "10.1.0.7:80"
    old = _records.node(address, "control", sequence=40)
    new = _records.node(f"{address}~1", "control", incarnation=2)
    new = new._replace(service_address=address)
    registry.merge_node(old, NOW)
    registry.merge_node(new, NOW)
    assert registry.nodes[address].record.state == "gone"
    # Another registry still sends a newer record of the old node id.
    changes = registry.changes_since(0, NOW)._replace(
        stamp=0, servers=[], nodes=[old._replace(sequence=41)]
    )
    registry.merge_changes(changes, NOW)
    assert registry.nodes[address].record.state == "gone"
    other = make_registry()
    other.merge_node(new, NOW)
    other.merge_changes(changes, NOW)
    assert other.nodes[address].record.state == "gone"


def test_silence_found_by_another_registry_is_not_taken_over():
    near, far = make_registry(1), make_registry(2)
    node = _records.node()
    near.merge_node(node, NOW)
    far.merge_node(node, NOW)
    for step in range(1, 24):
        near.mark_silent(NOW + step * 0.25 * S)
        far.refresh_last_heard([], [node.node_id], NOW + step * 0.25 * S)
    assert near.nodes[node.node_id].record.silent
    far.merge_changes(near.changes_since(0, NOW + 6 * S), NOW + 6 * S)
    assert not far.nodes[node.node_id].record.silent


# Guards against a server that said in an answer that it leaves, and that an
# announcement made ready again.
# Guards against news of a node's silence that count as a sign of life.
def test_registries_note_the_silence_of_a_node_at_the_same_time():
    timing = discovery.Timing()
    registries = [make_registry(epoch) for epoch in (1, 2, 3)]
    lag = 0.3 * S
    for number, registry in enumerate(registries):
        last = _records.node(sequence=7 - number)
        registry.merge_node(last, NOW + number * lag)
    end = NOW + timing.node_silence_timeout + 2 * lag
    now = NOW
    while now < end:
        now += 0.1 * S
        for registry in registries:
            registry.mark_silent(now)
        for sender in registries:
            changes = sender.changes_since(0, now)
            for receiver in registries:
                if receiver is not sender:
                    receiver.merge_changes(changes, now)
    now += 0.1 * S
    for registry in registries:
        registry.mark_silent(now)
    assert all(
        registry.nodes["10.1.0.9:80"].record.silent for registry in registries
    )


def test_server_that_leaves_stays_draining_for_its_incarnation():
    registry = make_registry()
    registry.merge_server(_records.server(sequence=5), NOW)
    assert registry.mark_server_leaving("s1", NOW)
    assert not registry.mark_server_leaving("s1", NOW)
    registry.merge_server(_records.server(sequence=6), NOW + S)
    assert state_of(registry) == "draining"
    successor = _records.server(sequence=1, born_ms=2000)
    registry.merge_server(successor, NOW + 2 * S)
    assert state_of(registry) == "ready"


def test_unknown_or_gone_server_is_not_marked_as_leaving():
    registry = make_registry()
    assert not registry.mark_server_leaving("s1", NOW)
    registry.merge_server(_records.server(state="gone"), NOW)
    assert not registry.mark_server_leaving("s1", NOW)
    assert state_of(registry) == "gone"
