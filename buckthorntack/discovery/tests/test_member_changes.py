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


def status(voters, learners=(), retired=(), caught_up=(), silent_ms=None):
    """Status of a group that the first voter leads.

    :param silent_ms: time since the last response, by node id; 0 for others.
    """
    silent_ms = silent_ms or {}
    peers = [
        consensus.PeerStatus(
            node, 10, silent_ms.get(node, 0), node in caught_up, False
        )
        for node in (*voters[1:], *learners)
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


def present(*nodes, stopping=()):
    return discovery.ControlVms(
        {node: LOCATIONS[discovery.address_of(node)] for node in nodes},
        frozenset(stopping),
    )


@pytest.fixture
def planner():
    return discovery.MemberChangePlanner(3)


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
    planner = discovery.MemberChangePlanner(5)
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
        (
            status([A, B, C], [new], caught_up=[new]),
            discovery.Replace(C, new, retire=True),
        ),
        (status([A, B, new], [], [C]), None),
    ]
    for group, change in steps:
        assert planner.next_change(group, seen, S) == change


def test_nothing_changes_while_a_voter_is_being_replaced(planner):
    group = status([A, B, D], [C])._replace(outgoing=[A, B, C])
    new = f"{C}~5e"
    assert planner.next_change(group, present(A, B, D, new), S) is None


def test_retired_node_does_not_return(planner):
    group = status([A, B, D], retired=[C])
    assert planner.next_change(group, present(A, B, C, D), S) is None


def test_unresponsive_voter_is_replaced_and_becomes_a_learner(planner):
    seen = present(A, B, C, D)
    for silent_ms, change in (
        (1500, None),
        (1501, discovery.Replace(C, D, retire=False)),
    ):
        group = status([A, B, C], [D], caught_up=[D], silent_ms={C: silent_ms})
        assert planner.next_change(group, seen, 20 * S) == change


def test_voter_that_never_responded_counts_from_the_election(planner):
    group = status([A, B, C], [D], caught_up=[D], silent_ms={C: None})
    seen = present(A, B, D)
    assert planner.next_change(group, seen, 7 * S) is None
    assert planner.next_change(group, seen, 8 * S) is None
    change = planner.next_change(group, seen, 9 * S)
    assert change == discovery.Replace(C, D, retire=False)


def test_unresponsive_voter_without_a_learner_stays(planner):
    group = status([A, B, C], silent_ms={C: 90_000})
    assert planner.next_change(group, present(A, B), S) is None
    assert planner.next_change(group, present(A, B), 99 * S) is None


def test_voter_that_stops_is_replaced_at_once(planner):
    group = status([A, B, C], [D], caught_up=[D])
    seen = present(A, B, D, stopping=[C])
    change = planner.next_change(group, seen, S)
    assert change == discovery.Replace(C, D, retire=False)


def test_leader_that_stops_does_not_replace_itself(planner):
    group = status([A, B, C], [D], caught_up=[D])
    seen = present(B, C, D, stopping=[A])
    assert planner.next_change(group, seen, S) is None


def test_successor_is_where_the_group_has_the_fewest_voters(planner):
    spare = "10.3.0.9:80"
    group = status([A, B, C], [D, spare], caught_up=[D, spare])
    located = present(A, B, D)
    located.present[spare] = ("kagoshima", "kagoshima-b")
    seen = located._replace(stopping=frozenset([C]))
    change = planner.next_change(group, seen, S)
    assert change == discovery.Replace(C, spare, retire=False)


def test_voters_spread_over_regions_again(planner):
    group = status([A, B, D], [C], caught_up=[C])
    change = planner.next_change(group, present(A, B, C, D), S)
    assert change == discovery.Replace(D, C, retire=False)
    group = status([A, B, C], [D], caught_up=[D])
    assert planner.next_change(group, present(A, B, C, D), S) is None


def test_voters_do_not_spread_while_one_is_unresponsive(planner):
    group = status([A, B, D], [C], caught_up=[C], silent_ms={B: 1000})
    assert planner.next_change(group, present(A, C, D), S) is None


def test_learner_is_removed_only_after_a_long_absence(planner):
    group = status([A, B, C], [D])
    seen = present(A, B, C)
    assert planner.next_change(group, seen, S) is None
    assert planner.next_change(group, seen, 120 * S) is None
    assert planner.next_change(group, seen, 122 * S) == discovery.Remove(D)


def test_learner_whose_disk_was_lost_is_removed_at_once(planner):
    new = f"{D}~5e"
    group = status([A, B, C], [D, new])
    change = planner.next_change(group, present(A, B, C, new), S)
    assert change == discovery.Remove(D)


def test_learner_spreads_the_group_over_regions(planner):
    group = status([A, D], [B, C], caught_up=[B, C])
    change = planner.next_change(group, present(A, B, C, D), S)
    assert change.node_id in (B, C)
