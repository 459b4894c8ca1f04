"""Records of other nodes that are out of range, as earlier builds send."""

import logbook
import pytest

from buckthorntack.discovery.tests import _records
from buckthorntack.gateway.tests import fleets
from buckthorntack.gateway.tests import test_directory
from buckthorntack.schema import messages

RECORD_REFUSED = 2246
CONTROL_VM = "10.1.0.9:80"
ODD_FIELDS_OF_SERVERS = [
    {"server_id": ""},
    {"server_id": "s\r\nx: y"},
    {"server_id": "s" * 300},
    {"born_ms": (1 << 63) - 1},
    {"born_ms": -1},
    {"sequence": (1 << 64) - 1},
    {"sequence": -1},
    {"address": ""},
    {"address": "10.1.0.1"},
    {"address": "10.1.0.1:99999"},
    {"address": "10.1.0.1:-1"},
    {"address": "10.1.0.1:0"},
    {"address": "10.1.0.1:80\r\nx: y"},
    {"slots": 0},
    {"slots": -(1 << 63)},
    {"slots": (1 << 64) - 1},
    {"cold_left_ms": (1 << 63) - 1},
    {"cold_left_ms": 1 << 60},
    {"cold_left_ms": -(1 << 63)},
    {"reclaim_left_ms": (1 << 63) - 1},
    {"reclaim_left_ms": -(1 << 63)},
]
ODD_FIELDS_OF_NODES = [
    {"node_id": ""},
    {"node_id": "n\r\nx: y"},
    {"incarnation": (1 << 63) - 1},
    {"incarnation": -1},
    {"sequence": (1 << 64) - 1},
    {"link_address": ""},
    {"link_address": "10.1.0.1:99999"},
    {"service_address": "10.1.0.1:99999"},
    {"service_address": "10.1.0.1:port"},
    {"capacity": float("nan")},
    {"capacity": float("inf")},
    {"capacity": -1.0},
    {"means": float("nan")},
    {"protocol_version": -1},
]


def make_changes(servers, nodes, stamp=3):
    return messages.RegistryChanges(1, 0, stamp, servers, nodes)


def lines_of(log):
    return [
        record.extra
        for record in log.records
        if record.extra.get("event") == RECORD_REFUSED
    ]


def surround(record, make_record):
    """Put a record between two sound ones."""
    return [make_record("10.1.0.3:80"), record, make_record("10.1.0.4:80")]


def make_entry():
    return test_directory._entry_node("ready", None)


def make_gathering():
    fleet = fleets.Fleet(6)
    return fleet, fleet.controls[fleet.addresses[0]]


# One record out of range cost an entry VM all others of its message, again
# and again.
@pytest.mark.parametrize("fields", ODD_FIELDS_OF_SERVERS)
@pytest.mark.parametrize("stamp", [0, 3])
def test_odd_server_costs_an_entry_vm_that_server(fields, stamp):
    entry = make_entry()
    odd = _records.server("odd")._replace(**fields)
    changes = make_changes(surround(odd, _records.server), [], stamp)
    with logbook.TestHandler() as log:
        entry.following.on_registry_changes(CONTROL_VM, changes)
    assert set(entry.registry.servers) == {"10.1.0.3:80", "10.1.0.4:80"}
    [line] = lines_of(log)
    assert line["told_by"] == CONTROL_VM
    assert line["fault"].startswith(next(iter(fields)))
    # The position advances, so that the control VM sends later changes.
    position = entry.following._merged_stamps.get(CONTROL_VM)
    assert position == ((1, 3) if stamp else None)


# The same at a control VM.
@pytest.mark.parametrize("fields", ODD_FIELDS_OF_SERVERS)
def test_odd_server_costs_a_control_vm_that_server(fields):
    fleet, control = make_gathering()
    odd = _records.server("odd")._replace(**fields)
    changes = make_changes(surround(odd, _records.server), [])
    with logbook.TestHandler() as log:
        control.on_registry_changes(CONTROL_VM, changes)
    assert set(control.registry.servers) == {"10.1.0.3:80", "10.1.0.4:80"}
    assert len(lines_of(log)) == 1


# A known server keeps what is known of it.
def test_odd_change_of_a_known_server_is_set_aside():
    entry = make_entry()
    entry.following.on_registry_changes(
        CONTROL_VM, make_changes([_records.server()], [])
    )
    odd = _records.server(sequence=2, state="gone", cold_left_ms=1 << 62)
    entry.following.on_registry_changes(CONTROL_VM, make_changes([odd], [], 4))
    assert entry.registry.servers["s1"].record.state == "ready"


# A capacity that is no number failed each request that was forwarded.
@pytest.mark.parametrize("fields", ODD_FIELDS_OF_NODES)
def test_odd_node_costs_an_entry_vm_that_node(fields):
    entry = make_entry()
    odd = _records.node("10.1.0.5:80")._replace(**fields)
    changes = make_changes([], surround(odd, _records.node))
    with logbook.TestHandler() as log:
        entry.following.on_registry_changes(CONTROL_VM, changes)
    assert set(entry.registry.nodes) == {"10.1.0.3:80", "10.1.0.4:80"}
    [line] = lines_of(log)
    assert line["fault"].startswith(next(iter(fields)))


@pytest.mark.parametrize("fields", ODD_FIELDS_OF_NODES)
def test_odd_node_costs_a_control_vm_that_node(fields):
    fleet, control = make_gathering()
    odd = _records.node("10.1.0.5:80")._replace(**fields)
    changes = make_changes([], surround(odd, _records.node))
    with logbook.TestHandler() as log:
        control.on_registry_changes(CONTROL_VM, changes)
    assert {"10.1.0.3:80", "10.1.0.4:80"} == set(control.registry.nodes)
    assert len(lines_of(log)) == 1


@pytest.mark.parametrize("fields", ODD_FIELDS_OF_NODES)
def test_odd_report_of_a_node_is_set_aside(fields):
    fleet, control = make_gathering()
    odd = _records.node("10.1.0.5:80")._replace(**fields)
    with logbook.TestHandler() as log:
        control.on_presence_report("10.1.0.5:80", _records.report(odd))
        sound = _records.report(_records.node("10.1.0.4:80"))
        control.on_presence_report("10.1.0.4:80", sound)
    assert set(control.registry.nodes) == {"10.1.0.4:80"}
    assert len(lines_of(log)) == 1


# A node took over an incarnation that it could then not send.
def test_odd_incarnation_of_a_reply_is_not_taken_over():
    entry = make_entry()
    incarnation = entry.following.presence().incarnation
    reply = messages.PresenceReply(
        (1 << 64) - 1, False, 1, 1, True, False, False
    )
    with logbook.TestHandler() as log:
        entry.following.on_presence_reply(CONTROL_VM, reply)
    assert entry.following.presence().incarnation == incarnation
    assert len(lines_of(log)) == 1


def test_incarnation_of_an_earlier_start_is_exceeded():
    entry = make_entry()
    incarnation = entry.following.presence().incarnation
    reply = messages.PresenceReply(
        incarnation + 5000, False, 1, 1, True, False, False
    )
    entry.following.on_presence_reply(CONTROL_VM, reply)
    assert entry.following.presence().incarnation == incarnation + 5001


# Values at the ends of their ranges are true ones.
def test_extreme_records_are_kept():
    entry = make_entry()
    servers = [
        _records.server("a", born_ms=0, sequence=0, reclaim_left_ms=0),
        _records.server("b", cold_left_ms=86_400_000, slots=1_000_000),
        _records.server("c", reclaim_left_ms=86_400_000, state="gone"),
    ]
    nodes = [
        _records.node("10.1.0.3:80", sequence=1 << 52, state="gone"),
        _records.node(
            "10.1.0.4:80~3f", service_address="10.1.0.4:80", capacity=1.5
        ),
    ]
    with logbook.TestHandler() as log:
        entry.following.on_registry_changes(
            CONTROL_VM, make_changes(servers, nodes)
        )
    assert lines_of(log) == []
    assert len(entry.registry.servers) == 3
    assert len(entry.registry.nodes) == 2


# A speed that was no number failed all requests of the region.
def test_odd_report_of_an_entry_vm_costs_a_part_of_it():
    entry = make_entry()
    odd = messages.SpeedSample("s1", 1, float("nan"), 1.0)
    use = messages.ServerUse("s2", 1, 1, 5, 5)
    report = messages.UseReport(
        1, "own", True, [use], [], [], [], False, [], [], [odd], [odd]
    )
    with logbook.TestHandler() as log:
        entry._on_message("10.1.0.3:80", report)
    lines = lines_of(log)
    assert [line["record"] for line in lines] == ["'s1'"] * 2
    assert entry.shared_state.fleet.usage("s2").running == 1
    assert not entry.shared_state.fleet.speeds.list_statements()
