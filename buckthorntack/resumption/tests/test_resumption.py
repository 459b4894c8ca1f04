"""Origins of streams: kept, spread and looked up."""

import datetime

import pytest

from buckthorntack import resumption
from buckthorntack.discovery.tests import _records

SECOND = datetime.timedelta(seconds=1)
START = 100 * SECOND
RETENTION = datetime.timedelta(seconds=30)
V1 = resumption.StreamOrigin("text", "v1")
V2 = resumption.StreamOrigin("text", "v2")
KEYS = [resumption.derive_key(b"%d" % number) for number in range(5)]


def control(name, zone, **fields):
    return _records.node(
        name, "control", region=zone, failure_domain=f"{zone}-a", **fields
    )


def test_origin_is_kept_for_the_retention_at_least():
    store = resumption.OriginStore(START)
    store.record(KEYS[0], V1, START + RETENTION - SECOND)
    for seconds in range(30):
        store.expire(START + RETENTION + seconds * SECOND)
        assert store.find(KEYS[0]) == V1


@pytest.mark.parametrize("steps", [1, 60])
def test_origin_is_dropped_after_twice_the_retention(steps):
    store = resumption.OriginStore(START)
    store.record(KEYS[0], V1, START)
    for step in range(steps):
        store.expire(START + 2 * RETENTION * (step + 1) / steps)
    assert store.find(KEYS[0]) is None
    assert len(store) == 0


# Guards against memory that grows with the rate of streams.
def test_store_stays_within_its_bound():
    store = resumption.OriginStore(START, max_records=10)
    for number in range(1000):
        store.record(b"%08d" % number, V1, START)
        assert len(store) <= 20
    assert store.find(b"00000999") == V1
    assert store.take_cuts() > 0
    assert store.take_cuts() == 0


def test_origins_are_the_same_after_their_way():
    pairs = [(KEYS[0], V1), (KEYS[1], V2), (KEYS[2], V1)]
    groups = resumption.group_origins(pairs)
    assert len(groups) == 2
    assert dict(resumption.ungroup_origins(groups)) == dict(pairs)


# Guards against two holders that are lost together with a failure domain.
@pytest.mark.parametrize("zone", ["north", "south", "east", "west"])
def test_holders_are_near_and_in_two_failure_domains(zone):
    nodes = [
        control(f"c{number}", place)
        for number, place in enumerate(
            ["north", "north", "south", "south", "east", "east"]
        )
    ]
    holders = resumption.choose_holders(nodes, "e0", zone, f"{zone}-a")
    places = {node.node_id: node.region for node in nodes}
    assert len({places[node_id] for node_id in holders}) == 2
    if zone != "west":
        assert places[holders[0]] == zone


def test_holders_are_ready_and_heard_of():
    nodes = [
        control("c0", "north", silent=True),
        control("c1", "south", state="stopping"),
        control("c2", "east"),
    ]
    holders = resumption.choose_holders(nodes, "e0", "north", "north-a")
    assert holders == ["c2"]


def test_entry_vms_spread_over_holders():
    nodes = [control(f"c{number}", "north") for number in range(4)]
    chosen = {
        resumption.choose_holders(nodes, f"e{number}", "north", "north-a")[0]
        for number in range(40)
    }
    assert len(chosen) == 4


def test_first_reply_that_knows_a_stream_ends_its_lookup():
    lookups = resumption.OriginLookups()
    lookups.begin(KEYS[0], ["c0", "c1", "c2"])
    assert lookups.on_reply("c0", [], [KEYS[0]]) == []
    [answer] = lookups.on_reply("c1", [(KEYS[0], V1)], [])
    assert answer == (KEYS[0], V1)
    assert lookups.on_reply("c2", [(KEYS[0], V2)], []) == []


# Guards against a guess while a control VM that may know has not replied.
def test_lookup_without_success_waits_for_all_replies():
    lookups = resumption.OriginLookups()
    lookups.begin(KEYS[0], ["c0", "c1"])
    assert lookups.on_reply("c0", [], [KEYS[0]]) == []
    assert lookups.on_reply("c0", [], [KEYS[0]]) == []
    [answer] = lookups.on_reply("c1", [], [KEYS[0]])
    assert answer == (KEYS[0], None)


def test_reply_after_the_end_of_a_lookup_changes_nothing():
    lookups = resumption.OriginLookups()
    lookups.begin(KEYS[0], ["c0"])
    lookups.end(KEYS[0])
    assert lookups.on_reply("c0", [(KEYS[0], V1)], [KEYS[1]]) == []


@pytest.mark.parametrize(
    ("known_born_ms", "expected"),
    [(None, False), (4, True), (5, True), (6, False)],
)
def test_origin_by_an_old_record_is_not_credible(known_born_ms, expected):
    [group] = resumption.group_beginnings(
        [(KEYS[0], resumption.Beginning(V1, "s1", 5))]
    )
    assert resumption.is_credible(group, known_born_ms) is expected


def test_origin_without_its_server_is_credible():
    [group] = resumption.group_origins([(KEYS[0], V1)])
    assert resumption.is_credible(group, None)


def test_streams_of_two_incarnations_are_grouped_apart():
    pairs = [
        (KEYS[0], resumption.Beginning(V1, "s1", 5)),
        (KEYS[1], resumption.Beginning(V1, "s1", 6)),
        (KEYS[2], resumption.Beginning(V1, "s1", 5)),
    ]
    groups = resumption.group_beginnings(pairs)
    assert [group.born_ms for group in groups] == [5, 6]
    assert dict(resumption.ungroup_origins(groups)) == dict.fromkeys(
        KEYS[:3], V1
    )


def check_of(states, asked=3, known=3):
    """Result of a check after these states, one of each control VM."""
    check = resumption.IncarnationCheck([f"c{n}" for n in range(asked)], known)
    for number, state in enumerate(states):
        check.on_reply(f"c{number}", resumption.IncarnationState(state))
    return check


@pytest.mark.parametrize(
    ("states", "expected", "is_complete"),
    [
        ([], "unknown", False),
        (["newest"], "unknown", False),
        (["newest", "newest"], "newest", False),
        (["newest", "unknown"], "newest", False),
        (["unknown", "unknown", "newest"], "newest", True),
        (["unknown", "unknown", "unknown"], "unknown", True),
        (["newest", "newest", "replaced"], "replaced", True),
        (["replaced"], "replaced", True),
    ],
)
def test_incarnation_needs_a_majority_and_no_objection(
    states, expected, is_complete
):
    check = check_of(states)
    assert check.result.value == expected
    assert check.is_complete is is_complete


def test_incarnation_is_unknown_if_a_minority_can_be_asked():
    check = check_of(["newest"], asked=1)
    assert check.is_complete
    assert check.result is resumption.IncarnationState.UNKNOWN
    assert check_of([], asked=0, known=0).is_complete


def test_reply_counts_once():
    check = check_of(["newest"])
    check.on_reply("c0", resumption.IncarnationState.NEWEST)
    assert check.result is resumption.IncarnationState.UNKNOWN


@pytest.mark.parametrize(
    ("known_born_ms", "expected"),
    [(None, "unknown"), (4, "unknown"), (5, "newest"), (6, "replaced")],
)
def test_incarnations_are_compared(known_born_ms, expected):
    state = resumption.compare_incarnation(5, known_born_ms)
    assert state.value == expected
