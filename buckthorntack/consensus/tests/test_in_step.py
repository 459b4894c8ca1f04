"""Replicas know whether they have what their leader has committed."""

import pytest

from buckthorntack.consensus.tests import scenarios
from buckthorntack.consensus.tests import simulation as simulations

ELECTION_TIMEOUT = simulations.TIMING.election_timeout


@pytest.fixture
def group():
    group = scenarios.start_group("abc")
    scenarios.make_leader(group, "a")
    return group


def is_in_step(group, name):
    return group.nodes[name].replica.is_in_step(group.now)


def send_heartbeat(group):
    """Let the leader start a heartbeat round."""
    group.envelopes.clear()
    heartbeat_due = group.nodes["a"].replica.state.heartbeat_due
    while group.nodes["a"].replica.state.heartbeat_due == heartbeat_due:
        group.tick("a")


@pytest.mark.parametrize("name", "abc")
def test_replica_is_in_step_while_its_leader_is_active(group, name):
    assert is_in_step(group, name)


# Guards against trust in a replica that stood still, or whose disk hangs.
@pytest.mark.parametrize("name", "abc")
def test_replica_that_has_not_acted_is_not_in_step(group, name):
    group.now += ELECTION_TIMEOUT
    assert group.nodes[name].replica.state.leader == "a"
    assert not is_in_step(group, name)


# Guards against trust in a replica that hears the leader but lacks entries.
def test_replica_is_in_step_again_once_it_has_caught_up(group):
    state = group.nodes["c"].replica.state
    former = state.in_step_at
    group.propose("a")
    scenarios.exchange(group, "ab")
    send_heartbeat(group)
    assert scenarios.deliver_only(group, "a", "c")
    assert state.heard_at == group.now
    assert state.in_step_at == former
    scenarios.exchange(group, "abc")
    assert state.in_step_at == group.now


def test_replica_without_a_leader_is_not_in_step(group):
    group.restart("c")
    assert not is_in_step(group, "c")
