"""Scenarios pass, and the checks detect deliberately faulty replicas."""

from typing import Any
from typing import NamedTuple

import pytest

from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _elections
from buckthorntack.consensus import _members
from buckthorntack.consensus import _proposals
from buckthorntack.consensus import _ranges
from buckthorntack.consensus import _reads
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _snapshots
from buckthorntack.consensus import _state
from buckthorntack.consensus.tests import scenarios
from buckthorntack.consensus.tests import simulation as simulations

SEEDS = 60
STEPS = 800
LARGE_NAMES = ("abc", "abcde")


@pytest.mark.parametrize("scenario", scenarios.ALL, ids=lambda s: s.__name__)
def test_scenario_holds(scenario):
    scenario()


class Fault(NamedTuple):
    """A deliberate fault: a function or class that replaces the real one."""

    name: str
    owner: Any
    attribute: str
    replacement: Any


def commits_by_count(state):
    matched = {n: p.match_index for n, p in state.progress.items()}
    matched[state.node_id] = state.persisted_index
    index = state.configuration.quorum_value(matched)
    _replication.commit(state, index)


def counts_learners(self, values):
    reached = sorted(values.values(), reverse=True)
    return reached[min(len(self.voters) // 2, len(reached) - 1)]


def answers_unconfirmed_reads(state):
    for _, index, read in state.unconfirmed_reads:
        _reads._send_read_index(state, index, read)
    state.unconfirmed_reads = []


def votes_anew(state, sender, request):
    if request.term < state.term:
        return False
    return _elections._is_up_to_date(state, request)


def allows_two_changes(state):
    return None if state.is_leader else Exception


_start_election = _elections.start_election


def starts_election_without_trial(state, trial, transfer=False):
    _start_election(state, False, transfer)


def votes_only_if_configured(state, voter_identity):
    if state.node_id not in state.configuration.voters:
        return False
    return voter_identity in ("", state.identity)


class ForgetsProposals:
    def add(self, name):
        return True


def decides_with_new_voters_alone(self):
    return [self.voters]


FAULTS = [
    Fault(
        "ignores_the_outgoing_voters",
        configurations.Configuration,
        "_voter_sets",
        decides_with_new_voters_alone,
    ),
    Fault("stays_joint", _members, "leave_joint", lambda state: None),
    Fault(
        "commits_by_count", _replication, "advance_commit", commits_by_count
    ),
    Fault(
        "counts_learners",
        configurations.Configuration,
        "quorum_value",
        counts_learners,
    ),
    Fault(
        "reads_at_once",
        _reads,
        "_answer_confirmed_reads",
        answers_unconfirmed_reads,
    ),
    Fault("allows_two_changes", _members, "_find_refusal", allows_two_changes),
    Fault(
        "installs_any_snapshot",
        _snapshots,
        "_is_already_covered",
        lambda state, chunk: chunk.index <= state.commit_index,
    ),
    Fault("any_disk_votes", _elections, "can_vote", lambda *_: True),
    Fault(
        "stands_at_once",
        _elections,
        "start_election",
        starts_election_without_trial,
    ),
    Fault(
        "ignores_the_leader",
        _state,
        "has_active_leader",
        lambda state: state.is_leader,
    ),
    Fault(
        "promoted_does_not_vote",
        _elections,
        "can_vote",
        votes_only_if_configured,
    ),
    Fault(
        "skips_log_matching",
        _replication,
        "_mismatch_hint",
        lambda state, request: (
            None
            if request.previous_index <= state.log.last_index
            else state.log.last_index
        ),
    ),
    Fault("proposes_twice", _proposals, "SeenProposals", ForgetsProposals),
]

FAULTS_IN_SCHEDULES = [
    Fault("votes_anew", _elections, "should_grant_vote", votes_anew),
    Fault("votes_for_any_log", _elections, "_is_up_to_date", lambda *_: True),
    Fault("passes_over_refused_reads", _ranges, "_RANGES", {}),
]


def counts_one_disk(self, values):
    return max(values[name] for name in self.voters if name in values)


FAULTS_IN_FINAL_LOSSES = [
    *FAULTS_IN_SCHEDULES,
    Fault(
        "counts_one_disk",
        configurations.Configuration,
        "quorum_value",
        counts_one_disk,
    ),
]


class SendsBeforeWrites(simulations.Simulation):
    """Replicas that send and apply before their write is durable."""

    def hold_writes(self, node, collected):
        kinds = simulations.DURABLE_COMMANDS
        node.held += [c for c in collected if isinstance(c, kinds)]
        return [c for c in collected if not isinstance(c, kinds)]


def run_scenarios():
    for scenario in scenarios.ALL:
        scenario()


def run_schedules(lost_commands=()):
    for seed in range(SEEDS):
        simulation = simulations.Simulation("abc", seed, lost_commands)
        simulations.Schedule(simulation, seed).run(STEPS)
        simulation.check_agreement()


def run_final_losses(seeds, kind=simulations.Simulation):
    for seed in seeds:
        names = LARGE_NAMES[seed % len(LARGE_NAMES)]
        simulation = kind(names, seed, holds_writes=True)
        simulations.FinalLosses(simulation, seed).run(seed * 7 % 200)
        simulation.check_agreement()


# Guards against what was acknowledged and is lost with the disks that may be
# lost, while all other replicas lose power at the same moment.
@pytest.mark.parametrize("block", range(4))
def test_acknowledged_entries_survive_final_losses(block):
    run_final_losses(range(block * SEEDS, (block + 1) * SEEDS))


def test_write_after_a_response_is_noticed_in_final_losses():
    with pytest.raises(simulations.ViolationError):
        run_final_losses(range(SEEDS), SendsBeforeWrites)


@pytest.mark.parametrize("fault", FAULTS_IN_FINAL_LOSSES, ids=lambda f: f.name)
def test_fault_is_noticed_in_final_losses(fault, monkeypatch):
    monkeypatch.setattr(fault.owner, fault.attribute, fault.replacement)
    with pytest.raises(simulations.ViolationError):
        run_final_losses(range(SEEDS))


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.name)
def test_fault_is_noticed_in_a_scenario(fault, monkeypatch):
    monkeypatch.setattr(fault.owner, fault.attribute, fault.replacement)
    with pytest.raises(simulations.ViolationError):
        run_scenarios()


@pytest.mark.parametrize("fault", FAULTS_IN_SCHEDULES, ids=lambda f: f.name)
def test_fault_is_noticed_in_a_schedule(fault, monkeypatch):
    monkeypatch.setattr(fault.owner, fault.attribute, fault.replacement)
    with pytest.raises(simulations.ViolationError):
        run_schedules()


@pytest.mark.parametrize(
    "lost", [commands.PersistHardState, commands.PersistEntries]
)
def test_disk_that_forgets_is_noticed(lost):
    with pytest.raises(simulations.ViolationError):
        run_schedules((lost,))
