"""Spread of the configuration, with faults chosen by hypothesis."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from buckthorntack import configuration
from buckthorntack.configuration.tests import _samples
from buckthorntack.configuration.tests import _spread_world
from buckthorntack.schema import messages

EXAMPLES = int(os.environ.get("BUCKTHORNTACK_EXAMPLES", "100"))
NODES = (*_spread_world.CONTROLS, *_spread_world.ENTRIES)


def started(world=None):
    world = world or _spread_world.World()
    world.run(8)
    return world


def test_all_entry_vms_reach_the_revision():
    world = started()
    assert all(entry.serves() for entry in world.entries.values())
    world.edit()
    world.run(1)
    assert set(world.highest.values()) == {2}


def test_isolated_domain_spreads_among_itself():
    world = started()
    world.cut = {"e1", "e2"}
    world.edit()
    world.run(4)
    world.cut = {"e2"}
    world.run(8)
    world.cut = {"e1", "e2"}
    world.run(8)
    assert world.highest == {"e1": 2, "e2": 2, "e3": 2}


def test_narrowing_is_accepted_once_confirmed():
    world = started()
    world.narrow("fukuoka")
    world.run(4)
    assert world.controls["c1"].machine.pending is None
    assert world.accepted == {"fukuoka"}


def narrow_while_cut_off(world):
    world.cut = {"e1", "e2"}
    world.narrow("fukuoka")
    world.run(30)


def restart_diskless_beside_stale_control(world):
    world.cut = {"c3"}
    world.edit()
    world.run(4)
    world.cut = {"c3", "e2"}
    world.restart("e2")
    world.run(20)


def restart_with_disk(world):
    world.edit()
    world.run(4)
    world.cut = {"e1"}
    world.restart("e1")


def test_narrowing_is_withdrawn_while_the_region_is_cut_off():
    world = started()
    narrow_while_cut_off(world)
    assert world.entries["e1"].serves()
    assert world.accepted == _spread_world.REGIONS
    world.converge()


def test_long_absence_is_made_up_by_a_copy(monkeypatch):
    monkeypatch.setattr(configuration._log, "MAX_DELTAS", 2)
    monkeypatch.setattr(configuration._source, "CHUNK_BYTES", 200)
    world = started()
    world.cut = {"e1", "e2"}
    for _ in range(5):
        world.edit()
    world.converge()


def test_diskless_restart_beside_a_stale_control_vm():
    world = started()
    restart_diskless_beside_stale_control(world)
    assert not world.entries["e2"].serves()
    world.converge()


def test_restart_with_a_disk_while_cut_off():
    world = started()
    restart_with_disk(world)
    assert world.entries["e1"].serves()
    assert world.entries["e1"].published.revision == 2


def test_another_history_is_not_taken():
    world = started()
    entry = world.entries["e1"].follower
    other = _samples.Log()
    other.propose(_samples.change("x", 0, _samples.base_set()))
    other.propose(_samples.change("y", 1, [_samples.quota(burst=77)]))
    message = messages.ConfigurationDeltas(
        1,
        other.machine.log.digest_at(1),
        other.machine.log.deltas_after(1),
    )
    assert entry.receive("c1", message, world.now) == []
    assert entry.log.revision == 1


def test_left_entry_vm_is_not_taken_back_by_a_stale_control_vm():
    world = started()
    world.cut = {"c3"}
    world.leave("e1")
    while world.network:
        world.deliver()
    world.cut = {"c3", "e1"}
    world.restart("e1")
    world.narrow("fukuoka")
    world.run(20)
    assert world.accepted == {"fukuoka"}
    assert not world.entries["e1"].serves()
    world.converge()


def test_late_leave_does_not_undo_a_new_registration():
    world = started()
    world.leave("e1")
    sender, to, message = world.network[-1]
    world.deliver(len(world.network) - 1)
    world.restart("e1")
    world.run(8)
    assert world.entries["e1"].serves()
    world.network.append((sender, to, message))
    world.run(1)
    world.cut = {"e1"}
    world.narrow("fukuoka")
    world.run(20)
    assert world.accepted == _spread_world.REGIONS


class Spread(stateful.RuleBasedStateMachine):
    """Random steps, faults and changes."""

    def __init__(self):
        super().__init__()
        self.world = started()

    @stateful.rule(place=st.integers(0, 50))
    def deliver(self, place):
        if self.world.network:
            self.world.deliver(place % len(self.world.network))

    @stateful.rule(place=st.integers(0, 50))
    def lose(self, place):
        if self.world.network:
            self.world.network.pop(place % len(self.world.network))

    @stateful.rule(place=st.integers(0, 50))
    def repeat(self, place):
        network = self.world.network
        if network:
            network.append(network[place % len(network)])

    @stateful.rule(ticks=st.integers(1, 14))
    def run_on(self, ticks):
        self.world.run(ticks)

    @stateful.rule()
    def advance(self):
        self.world.advance()

    @stateful.rule(nodes=st.sets(st.sampled_from(NODES), max_size=3))
    def cut(self, nodes):
        self.world.cut = nodes

    @stateful.rule(name=st.sampled_from(tuple(_spread_world.ENTRIES)))
    def restart(self, name):
        self.world.restart(name)

    @stateful.rule(name=st.sampled_from(tuple(_spread_world.ENTRIES)))
    def leave(self, name):
        if self.world.entries[name].follower.source:
            self.world.leave(name)
            self.world.deliver(len(self.world.network) - 1)
            self.world.restart(name)

    @stateful.rule()
    def edit(self):
        self.world.edit()

    @stateful.rule(
        regions=st.sets(st.sampled_from(_samples.REGIONS), min_size=1)
    )
    def narrow(self, regions):
        self.world.narrow(*sorted(regions))

    def teardown(self):
        self.world.converge()


def test_no_revert_and_no_narrowed_service():
    stateful.run_state_machine_as_test(
        Spread,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=25,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


@pytest.mark.parametrize(
    ("make_world", "scenario"),
    [
        (
            lambda: _spread_world.World(_spread_world.HastySettling),
            narrow_while_cut_off,
        ),
        (_spread_world.BlindWorld, restart_diskless_beside_stale_control),
        (_spread_world.WritelessWorld, restart_with_disk),
    ],
)
def test_broken_variant_is_caught(make_world, scenario):
    world = started(make_world())
    with pytest.raises(_spread_world.Violation):
        scenario(world)
