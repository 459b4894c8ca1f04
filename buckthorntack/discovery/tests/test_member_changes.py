"""Growth of the control group and replacement of lost disks and voters."""

import datetime

import pytest

from buckthorntack import consensus
from buckthorntack import discovery

S = datetime.timedelta(seconds=1)
A, B, C, D = (f"10.{n}.0.1:80" for n in range(1, 5))
LOCATIONS = {
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
        outgoing=[],
        peers=peers,
        failure="",
    )


def present(*nodes):
    return {node: LOCATIONS[discovery.address_of(node)] for node in nodes}


@pytest.fixture
def planner():
    return discovery.MemberChangePlanner(3, 10 * S)


def test_whole_group_is_left_alone(planner):
    group = status([A, B, C])
    assert planner.next_change(group, present(A, B, C), S) is None


def test_newcomer_becomes_a_learner(planner):
    group = status([A, B, C])
    change = planner.next_change(group, present(A, B, C, D), S)
    assert change == discovery.AddLearner(D)


def test_learner_is_not_promoted_beyond_the_wanted_voters(planner):
    group = status([A, B, C], [D], caught_up=[D])
    assert planner.next_change(group, present(A, B, C, D), S) is None


def test_group_grows_to_the_wanted_voters():
    planner = discovery.MemberChangePlanner(5, 10 * S)
    group = status([A, B, C], [D], caught_up=[D])
    change = planner.next_change(group, present(A, B, C, D), S)
    assert change == discovery.Promote(D)


def test_learner_that_lags_is_not_promoted(planner):
    group = status([A, B], [C])
    assert planner.next_change(group, present(A, B, C), S) is None


def test_lost_disk_is_replaced(planner):
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
        assert planner.next_change(group, seen, S) == change


def test_retired_node_does_not_return(planner):
    group = status([A, B, D], retired=[C])
    assert planner.next_change(group, present(A, B, C, D), S) is None


def test_absent_voter_is_replaced_after_a_while(planner):
    group = status([A, B, C], [D], caught_up=[D])
    seen = present(A, B, D)
    assert planner.next_change(group, seen, S) is None
    assert planner.next_change(group, seen, 10 * S) is None
    change = planner.next_change(group, seen, 12 * S)
    assert change == discovery.Remove(C)


def test_voter_that_returns_in_time_stays(planner):
    group = status([A, B, C], [D], caught_up=[D])
    planner.next_change(group, present(A, B, D), S)
    planner.next_change(group, present(A, B, C, D), 8 * S)
    assert planner.next_change(group, present(A, B, D), 12 * S) is None


def test_absent_voter_without_a_learner_stays(planner):
    group = status([A, B, C])
    planner.next_change(group, present(A, B), S)
    assert planner.next_change(group, present(A, B), 99 * S) is None


def test_learner_spreads_the_group_over_regions(planner):
    group = status([A, D], [B, C], caught_up=[B, C])
    change = planner.next_change(group, present(A, B, C, D), S)
    assert change.node_id in (B, C)
