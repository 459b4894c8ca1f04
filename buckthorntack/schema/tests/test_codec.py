import msgspec
import pytest

from buckthorntack import schema
from buckthorntack.schema import _documents
from buckthorntack.schema import messages
from tools import record_messages


def test_round_trip_of_nested_message():
    load = messages.ServerLoad(1, 2, 0.5, 10)
    record = messages.ServerRecord(
        server_id="s1",
        incarnation=3,
        sequence=4,
        state="ready",
        pool="p",
        service="pitchwriter",
        model_versions=["m"],
        adapters=[],
        role="both",
        region="fukuoka",
        failure_domain="fukuoka-a",
        url="http://127.0.0.1:1",
        slots=4,
        lease_ms=2000,
        load=load,
        limit_per_s=-1.0,
        rejections_per_s=-1.0,
    )
    assert schema.decode(*schema.encode(record)) == record


@pytest.mark.parametrize(
    ("name", "payload"),
    [
        (b"NoSuchMessage", b"\x90"),
        (b"Ping", b"\x91\xa1x"),
        (b"Ping", b"\x90"),
        (b"Ping", b"\xc1"),
        (b"Ping", b""),
    ],
)
def test_malformed_is_refused(name, payload):
    with pytest.raises(schema.MalformedMessageError, match=";"):
        schema.decode(name, payload)


def _lengthen(value):
    """Add a field to each message in an encoded one, and to itself."""
    if not isinstance(value, list):
        return value
    longer = [_lengthen(one) for one in value]
    is_list_of_messages = value and isinstance(value[0], list)
    return longer if is_list_of_messages else [*longer, {"new": [1]}]


# Builds refused each message to which a later one had added a field.
def test_fields_of_later_versions_are_left_out():
    node = messages.NodePresence(
        "n", 1, 2, "entry", "ready", "a", "b", "c", "d", False, []
    )
    server = messages.AnnouncedServer(
        "s", 1, 2, "ready", "x", "a", "d", "r", 4, 0, -1, False, "v"
    )
    changes = messages.RegistryChanges(1, 2, 3, [server, server], [node])
    name, payload = schema.encode(changes)
    fields = msgspec.msgpack.decode(payload)
    fields[3] = [_lengthen(one) for one in fields[3]]
    # The list of services is no message: what is added to it is malformed.
    fields[4] = [[*one, 1.5, "x"] for one in fields[4]]
    longer = msgspec.msgpack.encode([*fields, None])
    assert schema.decode(name, longer) == changes
    with pytest.raises(schema.MalformedMessageError):
        schema.decode_exactly(name, longer)


# Earlier builds sent reports of load without sums over all entry VMs.
def test_missing_fields_take_their_defaults():
    fields = [1, "own", True, [], [], [], [], False, []]
    report = schema.decode(b"UseReport", msgspec.msgpack.encode(fields))
    assert report == messages.UseReport(*fields)
    assert report.speeds == []


@pytest.mark.parametrize(
    ("name", "fields"),
    [
        (b"Ping", [5, *range(33)]),
        (b"Ping", ["5", 1]),
        (
            b"UseReport",
            [1, "all", True, [], [], [], [], False, [], [], [], [], 1],
        ),
        (b"VoteResponse", ["g", 1, "i", True, 5, 6, 7, 8, 9, 10]),
    ],
)
def test_longer_message_is_still_checked(name, fields):
    with pytest.raises(schema.MalformedMessageError):
        schema.decode(name, msgspec.msgpack.encode(fields))


@pytest.mark.parametrize("name", ["AppendRequest", "VoteRequest"])
def test_messages_of_replicated_groups_are_never_shortened(name):
    message = record_messages.make_message(getattr(messages, name))
    payload = msgspec.msgpack.encode([*message, 1])
    assert schema.decode(*schema.encode(message)) == message
    with pytest.raises(schema.MalformedMessageError):
        schema.decode(name.encode(), payload)


@pytest.mark.parametrize("roles", [[], ["entry"], ["entry", "entry"], "entry"])
def test_quick_check_looks_into_nested_documents(roles):
    node = {
        "node_id": "a",
        "link_address": "127.0.0.1:1",
        "region": "r",
        "failure_domain": "d",
        "roles": roles,
    }
    document = {
        "node_id": "a",
        "roles": ["entry"],
        "region": "r",
        "failure_domain": "d",
        "data_folder": "data",
        "links": {"listen_address": "127.0.0.1:1"},
        "nodes": [node],
        "control": ["a"],
        "ledger_homes": [],
        "keys": {"link_keys_file": "l", "token_key_file": "t"},
    }
    is_sound = schema.is_sound("settings", "Settings", document)
    violations = _documents.list_faults("settings", "Settings", document)
    assert is_sound == (not violations) == (roles == ["entry"])


def test_document_faults_are_told_together():
    document = {"name": "NOT VALID", "regions": [], "extra": 1}
    findings = schema.validate_document("objects", "ResidencyRule", document)
    assert len(findings) == 3


def test_unknown_schemas_are_left_to_the_validator(monkeypatch):
    family = {"$defs": {"A": {"properties": {"a": {"type": ["string"]}}}}}
    monkeypatch.setattr(_documents, "document_schema", lambda name: family)
    assert not schema.is_sound("unknown", "A", {"a": "x"})
