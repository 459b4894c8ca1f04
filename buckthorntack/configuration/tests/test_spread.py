"""Distribution of the configuration under random faults."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from buckthorntack import configuration
from buckthorntack.configuration.tests import _samples
from buckthorntack.configuration.tests import _simulation
from buckthorntack.schema import messages

EXAMPLES = int(os.environ.get("BUCKTHORNTACK_EXAMPLES", "100"))
NODES = (*_simulation.CONTROLS, *_simulation.ENTRIES)


def start_simulation(simulation=None):
    simulation = simulation or _simulation.Simulation()
    simulation.run(8)
    return simulation


def test_all_entry_vms_reach_the_revision():
    simulation = start_simulation()
    assert all(entry.is_serving() for entry in simulation.entries.values())
    simulation.edit_quota()
    simulation.run(1)
    assert set(simulation.highest_revisions.values()) == {2}


def test_isolated_domain_spreads_among_itself():
    simulation = start_simulation()
    simulation.isolated = {"e1", "e2"}
    simulation.edit_quota()
    simulation.run(4)
    simulation.isolated = {"e2"}
    simulation.run(8)
    simulation.isolated = {"e1", "e2"}
    simulation.run(8)
    assert simulation.highest_revisions == {"e1": 2, "e2": 2, "e3": 2}


def test_narrowing_is_accepted_once_confirmed():
    simulation = start_simulation()
    simulation.narrow_residency("fukuoka")
    simulation.run(4)
    assert simulation.controls["c1"].machine.pending is None
    assert simulation.accepted == {"fukuoka"}


def narrow_while_partitioned(simulation):
    simulation.isolated = {"e1", "e2"}
    simulation.narrow_residency("fukuoka")
    simulation.run(30)


def restart_diskless_beside_stale_control(simulation):
    simulation.isolated = {"c3"}
    simulation.edit_quota()
    simulation.run(4)
    simulation.isolated = {"c3", "e2"}
    simulation.restart("e2")
    simulation.run(20)


def restart_with_disk(simulation):
    simulation.edit_quota()
    simulation.run(4)
    simulation.isolated = {"e1"}
    simulation.restart("e1")


def test_narrowing_is_withdrawn_while_the_region_is_cut_off():
    simulation = start_simulation()
    narrow_while_partitioned(simulation)
    assert simulation.entries["e1"].is_serving()
    assert simulation.accepted == _simulation.REGIONS
    simulation.converge()


def test_long_absence_is_made_up_by_a_copy(monkeypatch):
    monkeypatch.setattr(configuration._log, "MAX_DELTAS", 2)
    monkeypatch.setattr(configuration._source, "CHUNK_BYTES", 200)
    simulation = start_simulation()
    simulation.isolated = {"e1", "e2"}
    for _ in range(5):
        simulation.edit_quota()
    simulation.converge()


def test_diskless_restart_beside_a_stale_control_vm():
    simulation = start_simulation()
    restart_diskless_beside_stale_control(simulation)
    assert not simulation.entries["e2"].is_serving()
    simulation.converge()


def test_restart_with_a_disk_while_cut_off():
    simulation = start_simulation()
    restart_with_disk(simulation)
    assert simulation.entries["e1"].is_serving()
    assert simulation.entries["e1"].published.revision == 2


def test_another_history_is_not_taken():
    simulation = start_simulation()
    entry = simulation.entries["e1"].follower
    other = _samples.CommittedLog()
    other.propose(_samples.change("x", 0, _samples.base_set()))
    other.propose(_samples.change("y", 1, [_samples.quota(burst=77)]))
    message = messages.ConfigurationDeltas(
        1,
        other.machine.log.digest_at(1),
        other.machine.log.deltas_after(1),
    )
    assert entry.receive("c1", message, simulation.now) == []
    assert entry.log.revision == 1


def test_left_entry_vm_is_not_taken_back_by_a_stale_control_vm():
    simulation = start_simulation()
    simulation.isolated = {"c3"}
    simulation.leave("e1")
    while simulation.network:
        simulation.deliver()
    simulation.isolated = {"c3", "e1"}
    simulation.restart("e1")
    simulation.narrow_residency("fukuoka")
    simulation.run(20)
    assert simulation.accepted == {"fukuoka"}
    assert not simulation.entries["e1"].is_serving()
    simulation.converge()


def test_late_leave_does_not_undo_a_new_registration():
    simulation = start_simulation()
    simulation.leave("e1")
    sender, to, message = simulation.network[-1]
    simulation.deliver(len(simulation.network) - 1)
    simulation.restart("e1")
    simulation.run(8)
    assert simulation.entries["e1"].is_serving()
    simulation.network.append((sender, to, message))
    simulation.run(1)
    simulation.isolated = {"e1"}
    simulation.narrow_residency("fukuoka")
    simulation.run(20)
    assert simulation.accepted == _simulation.REGIONS


class ConfigurationDistribution(stateful.RuleBasedStateMachine):
    """Random deliveries, faults and changes."""

    def __init__(self):
        super().__init__()
        self.simulation = start_simulation()

    @stateful.rule(index=st.integers(0, 50))
    def deliver(self, index):
        if self.simulation.network:
            self.simulation.deliver(index % len(self.simulation.network))

    @stateful.rule(index=st.integers(0, 50))
    def drop_message(self, index):
        if self.simulation.network:
            self.simulation.network.pop(index % len(self.simulation.network))

    @stateful.rule(index=st.integers(0, 50))
    def duplicate_message(self, index):
        network = self.simulation.network
        if network:
            network.append(network[index % len(network)])

    @stateful.rule(ticks=st.integers(1, 14))
    def run_ticks(self, ticks):
        self.simulation.run(ticks)

    @stateful.rule()
    def advance(self):
        self.simulation.advance()

    @stateful.rule(nodes=st.sets(st.sampled_from(NODES), max_size=3))
    def isolate(self, nodes):
        self.simulation.isolated = nodes

    @stateful.rule(name=st.sampled_from(tuple(_simulation.ENTRIES)))
    def restart(self, name):
        self.simulation.restart(name)

    @stateful.rule(name=st.sampled_from(tuple(_simulation.ENTRIES)))
    def leave(self, name):
        if self.simulation.entries[name].follower.source:
            self.simulation.leave(name)
            self.simulation.deliver(len(self.simulation.network) - 1)
            self.simulation.restart(name)

    @stateful.rule()
    def edit_quota(self):
        self.simulation.edit_quota()

    @stateful.rule(
        regions=st.sets(st.sampled_from(_samples.REGIONS), min_size=1)
    )
    def narrow_residency(self, regions):
        self.simulation.narrow_residency(*sorted(regions))

    def teardown(self):
        self.simulation.converge()


def test_no_revert_and_no_narrowed_service():
    stateful.run_state_machine_as_test(
        ConfigurationDistribution,
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
    ("make_simulation", "scenario"),
    [
        (
            lambda: _simulation.Simulation(_simulation.UncheckedPlanner),
            narrow_while_partitioned,
        ),
        (
            _simulation.UnconfirmedSimulation,
            restart_diskless_beside_stale_control,
        ),
        (_simulation.FirstWriteOnlySimulation, restart_with_disk),
    ],
)
def test_broken_variant_is_caught(make_simulation, scenario):
    simulation = start_simulation(make_simulation())
    with pytest.raises(_simulation.Violation):
        scenario(simulation)
