"""Versions of the messages that nodes understand."""

import datetime

from buckthorntack import discovery
from buckthorntack.schema import messages

START = datetime.timedelta()


def presence(node_id, version, role="entry", state="ready", sequence=1):
    return messages.NodePresence(
        node_id=node_id,
        incarnation=1,
        sequence=sequence,
        role=role,
        state=state,
        link_address=f"{node_id}:1",
        service_address=f"{node_id}:2",
        failure_domain="d",
        region="r",
        silent=False,
        unreachable_services=[],
        protocol_version=version,
    )


def registry_of(*records):
    registry = discovery.Registry(1, discovery.Timing(), START)
    for record in records:
        registry.merge_node(record, START)
    return registry


def test_no_known_member_follows_nothing():
    assert not discovery.can_all_follow(registry_of(), 0)


def test_one_old_member_holds_a_version_back_until_it_is_replaced():
    registry = registry_of(presence("a", 2), presence("b", 1))
    assert discovery.can_all_follow(registry, 1)
    assert not discovery.can_all_follow(registry, 2)
    gone = presence("b", 1, state="gone", sequence=2)
    registry.merge_node(gone, START)
    assert discovery.can_all_follow(registry, 2)
    registry.merge_node(presence("c", 0), START)
    assert not discovery.can_all_follow(registry, 1)
    assert discovery.count_protocol_versions(registry) == {2: 1, 0: 1}


# A silent old node may come back, and would not follow what was switched on.
def test_silent_members_count():
    registry = registry_of(presence("a", 2), presence("b", 1))
    registry.merge_node(
        presence("b", 1, sequence=2)._replace(silent=True), START
    )
    assert not discovery.can_all_follow(registry, 2)


def test_roles_are_asked_of_by_themselves():
    registry = registry_of(presence("a", 2), presence("b", 1, role="control"))
    assert discovery.can_all_follow(registry, 2, role="entry")
    assert not discovery.can_all_follow(registry, 2, role="control")


# Guards against a command that stops the replicas of older builds: a control
# VM that has just started knows no member but itself.
def test_members_that_are_not_known_hold_a_version_back():
    registry = registry_of(presence("a", 2, role="control"))
    assert discovery.can_members_follow(registry, 2, ["a"])
    assert not discovery.can_members_follow(registry, 2, ["a", "b"])
    registry.merge_node(presence("b", 1, role="control"), START)
    assert not discovery.can_members_follow(registry, 2, ["a", "b"])
    registry.merge_node(presence("b", 2, "control", sequence=2), START)
    assert discovery.can_members_follow(registry, 2, ["a", "b"])
    assert not discovery.can_members_follow(registry, 2, [])
