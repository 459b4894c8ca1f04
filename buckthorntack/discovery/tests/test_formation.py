"""The control group grows, and replaces lost disks one step at a time."""

import datetime

import pytest

from buckthorntack import consensus
from buckthorntack import discovery

S = datetime.timedelta(seconds=1)
A, B, C, D = (f"10.{n}.0.1:80" for n in range(1, 5))
PLACES = {
    A: ("fukuoka", "fukuoka-a"),
    B: ("kumamoto", "kumamoto-a"),
    C: ("kagoshima", "kagoshima-a"),
    D: ("fukuoka", "fukuoka-b"),
}


def status(voters, learners=(), retired=(), caught_up=()):
    peers = [
        consensus.PeerStatus(node, 10, 0, node in caught_up, False)
        for node in (*voters, *learners)
    ]
    return consensus.ReplicaStatus(
        group="g",
        node_id=voters[0],
        identity="i",
        role="leader",
        term=1,
        leader=voters[0],
        can_vote=True,
        last_index=10,
        commit_index=10,
        applied_index=10,
        snapshot_index=0,
        voters=list(voters),
        learners=list(learners),
        retired=list(retired),
        peers=peers,
        failure="",
    )


def present(*nodes):
    return {node: PLACES[discovery.address_of(node)] for node in nodes}


@pytest.fixture
def formation():
    return discovery.Formation(3, 10 * S)


def test_whole_group_is_left_alone(formation):
    group = status([A, B, C])
    assert formation.next_change(group, present(A, B, C), S) is None


def test_newcomer_becomes_a_learner(formation):
    group = status([A, B, C])
    change = formation.next_change(group, present(A, B, C, D), S)
    assert change == discovery.AddLearner(D)


def test_learner_is_not_promoted_beyond_the_wanted_voters(formation):
    group = status([A, B, C], [D], caught_up=[D])
    assert formation.next_change(group, present(A, B, C, D), S) is None


def test_group_grows_to_the_wanted_voters():
    formation = discovery.Formation(5, 10 * S)
    group = status([A, B, C], [D], caught_up=[D])
    change = formation.next_change(group, present(A, B, C, D), S)
    assert change == discovery.Promote(D)


def test_learner_that_lags_is_not_promoted(formation):
    group = status([A, B], [C])
    assert formation.next_change(group, present(A, B, C), S) is None


def test_lost_disk_is_replaced(formation):
    new = f"{C}~5e"
    seen = present(A, B, new)
    steps = [
        (status([A, B, C]), discovery.AddLearner(new)),
        (status([A, B, C], [new]), None),
        (status([A, B, C], [new], caught_up=[new]), discovery.Remove(C)),
        (
            status([A, B], [new], [C], caught_up=[new]),
            discovery.Promote(new),
        ),
        (status([A, B, new], [], [C]), None),
    ]
    for group, change in steps:
        assert formation.next_change(group, seen, S) == change


def test_retired_node_does_not_return(formation):
    group = status([A, B, D], retired=[C])
    assert formation.next_change(group, present(A, B, C, D), S) is None


def test_absent_voter_is_replaced_after_a_while(formation):
    group = status([A, B, C], [D], caught_up=[D])
    seen = present(A, B, D)
    assert formation.next_change(group, seen, S) is None
    assert formation.next_change(group, seen, 10 * S) is None
    change = formation.next_change(group, seen, 12 * S)
    assert change == discovery.Remove(C)


def test_voter_that_returns_in_time_stays(formation):
    group = status([A, B, C], [D], caught_up=[D])
    formation.next_change(group, present(A, B, D), S)
    formation.next_change(group, present(A, B, C, D), 8 * S)
    assert formation.next_change(group, present(A, B, D), 12 * S) is None


def test_absent_voter_without_a_learner_stays(formation):
    group = status([A, B, C])
    formation.next_change(group, present(A, B), S)
    assert formation.next_change(group, present(A, B), 99 * S) is None


def test_learner_spreads_the_group_over_regions(formation):
    group = status([A, D], [B, C], caught_up=[B, C])
    change = formation.next_change(group, present(A, B, C, D), S)
    assert change.node_id in (B, C)
