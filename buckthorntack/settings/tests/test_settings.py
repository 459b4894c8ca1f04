import copy
import json
import os
import random

import pytest

from buckthorntack import settings

NODES = [
    {
        "node_id": f"node-{number}",
        "link_address": f"10.0.0.{number}:7400",
        "region": region,
        "failure_domain": f"{region}-a",
        "roles": ["entry", "control"],
    }
    for number, region in enumerate(["fukuoka", "kumamoto"])
]
VALID = {
    "node_id": "node-0",
    "roles": ["entry", "control"],
    "region": "fukuoka",
    "failure_domain": "fukuoka-a",
    "data_folder": "data",
    "links": {"listen_address": "0.0.0.0:7400"},
    "callers": {"listen_address": "10.0.0.0:8080"},
    "backends": {"listen_address": "10.0.0.0:8081"},
    "admin": {"listen_address": "10.0.0.0:8082"},
    "nodes": NODES,
    "control": ["node-0", "node-1"],
    "ledger_homes": [
        {"home_id": "f", "region": "fukuoka", "replicas": ["node-0"]}
    ],
    "keys": {
        "link_keys_file": "links.json",
        "token_key_file": "/keys/tokens.json",
        "operator_tokens_file": "operators.json",
    },
}


def build_document(path, value):
    document = copy.deepcopy(VALID)
    *parts, last = path
    node = document
    for part in parts:
        node = (
            node.setdefault(part, {}) if isinstance(part, str) else node[part]
        )
    node[last] = value
    if value is None:
        del node[last]
    return document


FAULTS = [
    (["node_id"], "node-9", "$.node_id"),
    (["region"], "kumamoto", "$.region"),
    (["roles"], ["entry"], "$.roles"),
    (["callers"], None, "$.callers"),
    (["admin"], None, "$.admin"),
    (["keys", "operator_tokens_file"], None, "$.keys.operator_tokens_file"),
    (["keys", "token_key_file"], "links.json", "$.keys.token_key_file"),
    (["links", "listen_address"], "0.0.0.0:7401", "$.links.listen_address"),
    (["links", "listen_address"], "here:7400", "$.links.listen_address"),
    (["admin", "listen_address"], "10.0.0.0:8080", "$.admin.listen_address"),
    (["admin", "listen_address"], "10.0.0.0:99999", "$.admin.listen_address"),
    (["admin", "certificate_file"], "c.pem", "$.admin"),
    (["admin", "public_url"], "ftp://x", "$.admin.public_url"),
    (["nodes", 1, "node_id"], "node-0", "$.nodes[1].node_id"),
    (["nodes", 1, "link_address"], "10.0.0.0:7400", "$.nodes[1].link_address"),
    (["nodes", 1, "link_address"], "10.0.0.999:74", "$.nodes[1].link_address"),
    (["nodes", 1, "failure_domain"], "fukuoka-a", "$.nodes[1].region"),
    (["nodes", 1, "roles"], ["entry"], "$.control[1]"),
    (["control"], ["node-7"], "$.control[0]"),
    (
        ["ledger_homes", 0, "replicas"],
        ["node-1"],
        "$.ledger_homes[0].replicas[0]",
    ),
    (
        ["ledger_homes"],
        VALID["ledger_homes"] * 2,
        "$.ledger_homes[1].home_id",
    ),
    (["timing", "election_ms"], 400, "$.timing.election_ms"),
    (["timing", "server_lease_ms"], 300, "$.timing.server_lease_ms"),
    (["timing", "drain_ms"], 10, "$.timing.drain_ms"),
    (["timing", "drain_ms"], "10", "$.timing.drain_ms"),
    (["log", "level"], "loud", "$.log.level"),
    (["unknown"], 1, "$"),
]


def test_sound_settings_get_defaults():
    loaded = settings.from_document(VALID).ok
    assert loaded["timing"] == settings.default_timing()
    assert loaded["timing"]["heartbeat_ms"] == 150
    assert loaded["limits"]["connections"] == 4000
    assert loaded["links"]["queue_messages"] == 10000
    assert "timing" not in VALID
    assert settings.check_settings(loaded) == []


@pytest.mark.parametrize(("path", "value", "found"), FAULTS)
def test_fault_is_told_with_its_path(path, value, found):
    findings = settings.check_settings(build_document(path, value))
    assert found in [finding.path for finding in findings]
    assert all(finding.remedy for finding in findings)


def test_all_faults_are_told_at_once():
    document = build_document(["region"], "kumamoto")
    document["control"] = ["node-8", "node-9"]
    document["callers"]["listen_address"] = "x"
    error = settings.from_document(document, "a.json").error
    assert len(error.findings) == 4
    assert str(error).count("a.json: $.") == 4


def test_load_reads_comments_and_resolves_paths(tmp_path):
    file = tmp_path / "node.json"
    file.write_text("// node\n" + json.dumps(VALID))
    loaded = settings.load(file).ok
    assert loaded["data_folder"] == str(tmp_path / "data")
    assert loaded["keys"]["link_keys_file"] == str(tmp_path / "links.json")
    assert loaded["keys"]["token_key_file"] == "/keys/tokens.json"
    assert loaded["nodes"] == NODES


@pytest.mark.parametrize("text", ["", "{", "[]", "null", '{"a":1,"a":1}'])
def test_malformed_file_is_told(tmp_path, text):
    file = tmp_path / "node.json"
    file.write_text(text)
    assert str(file) in str(settings.load(file).error)
    assert settings.load(tmp_path / "absent.json").is_error()


@pytest.mark.parametrize("seed", range(100))
def test_check_survives_any_json(seed):
    rng = random.Random(seed)
    values = [None, [], {}, "x", 0, -1, [{}], {"a": 1}, ["node-0"], True]
    document = copy.deepcopy(VALID)
    for field in rng.sample(list(VALID), k=2):
        document[field] = rng.choice(values)
    assert isinstance(settings.check_settings(document), list)


def test_secret_is_read_but_not_shown(tmp_path):
    file = tmp_path / "secret"
    assert settings.write_secret(file, "swordfish").is_ok()
    assert file.stat().st_mode & 0o777 == 0o600
    secret = settings.read_secret(file).ok
    assert secret.reveal() == "swordfish"
    assert "swordfish" not in f"{secret} {secret!r} {[secret]}"
    assert not hasattr(secret, "__dict__")
    assert os.listdir(tmp_path) == ["secret"]


def test_secret_is_replaced_only_when_asked(tmp_path):
    file = tmp_path / "secret"
    settings.write_secret(file, "one")
    assert "exists" in str(settings.write_secret(file, "two").error)
    assert settings.write_secret(file, "three", replace=True).is_ok()
    assert settings.read_secret(file).ok.reveal() == "three"
    assert os.listdir(tmp_path) == ["secret"]


def test_unusable_secret_files_are_refused(tmp_path):
    file = tmp_path / "secret"
    file.write_text("swordfish")
    for mode in (0o644, 0o640, 0o602):
        file.chmod(mode)
        error = settings.read_secret(file).error
        assert "lets others" in str(error) and "swordfish" not in str(error)
    file.chmod(0o600)
    file.write_bytes(b"\xff")
    assert "UTF-8" in str(settings.read_secret(file).error)
    file.write_text("x" * 70_000)
    assert "larger" in str(settings.read_secret(file).error)
    assert settings.read_secret(tmp_path).is_error()
    os.mkfifo(tmp_path / "pipe", 0o600)
    assert "regular" in str(settings.read_secret(tmp_path / "pipe").error)
    assert settings.read_secret(tmp_path / "absent").is_error()
