import pytest

from buckthorntack import schema
from buckthorntack.schema import _documents
from buckthorntack.schema import messages


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
