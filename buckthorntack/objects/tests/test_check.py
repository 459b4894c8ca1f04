import random

import pytest

from buckthorntack import objects
from buckthorntack import schema
from buckthorntack.objects import _kinds
from buckthorntack.objects import _shape
from buckthorntack.objects.tests import sets
from buckthorntack.schema import _documents

EMPTY_HASH = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
COUNCIL_HASH = sets.sound_set()[-1]["object"]["token_sha256"]
POOL = {"cost_per_hour": 1, "checks_fencing": True}
CALL = {"method": "POST", "path": "/bookings", "idempotent": True}
MODEL = {"model": "pitch", "version": "1", "weights_bytes": 1}

CASES = [
    ("dangling_reference", ("FailureDomain", "fukuoka-a"), {"region": "x"}),
    ("dangling_reference", ("ResidencyRule", "home"), {"regions": ["x"]}),
    ("dangling_reference", ("Organisation", "council"), {"quota": "x"}),
    ("dangling_reference", ("Organisation", "council"), {"priority": "x"}),
    ("dangling_reference", ("Organisation", "council"), {"services": ["x"]}),
    ("dangling_reference", ("Service", "writer"), {"terms": "x"}),
    (
        "dangling_reference",
        ("BackendServerPool", "desks"),
        {"failure_domains": ["x"]},
    ),
    (
        "dangling_reference",
        ("CallerCredential", "council-key"),
        {"organisation": "x"},
    ),
    ("schema", ("ResidencyRule", "home"), {"regions": []}),
    ("schema", ("ResidencyRule", "home"), {"regions": ["fukuoka"] * 2}),
    ("schema", ("Region", "Fukuoka\n"), {}),
    ("schema", ("Region", "kumamoto\n"), {}),
    ("schema", ("Quota", "small"), {"requests_per_second": 0}),
    ("schema", ("Quota", "small"), {"tokens_per_minute": 10**30}),
    ("schema", ("Priority", "usual"), {"weight": float("nan")}),
    ("schema", ("Priority", "usual"), {"weight": float("inf")}),
    ("schema", ("Service", "desk"), {"calls": [CALL | {"method": "GETS"}]}),
    ("region_without_domain", ("Region", "kagoshima"), {}),
    (
        "contradictory_priorities",
        ("Priority", "also-usual"),
        {"rank": 5, "weight": 1},
    ),
    (
        "priority_weight_ratio",
        ("Priority", "starved"),
        {"rank": 5, "weight": 0.0001},
    ),
    ("quota_burst", ("Quota", "small"), {"burst_requests": 4}),
    ("quota_burst", ("Quota", "small"), {"burst_requests": 10**6}),
    (
        "terms_without_weight",
        ("DeploymentTerms", "terms"),
        {"tail_latency_weight": 0, "share_away_weight": 0},
    ),
    ("service_kind_fields", ("Service", "writer"), {"model_versions": None}),
    ("service_kind_fields", ("Service", "writer"), {"calls": [CALL]}),
    ("service_kind_fields", ("Service", "desk"), {"calls": []}),
    (
        "contradictory_calls",
        ("Service", "desk"),
        {
            "calls": [
                CALL | {"path": "/*"},
                CALL | {"idempotent": False},
            ]
        },
    ),
    ("duplicate_call", ("Service", "desk"), {"calls": [CALL, CALL]}),
    (
        "call_path",
        ("Service", "desk"),
        {"calls": [CALL | {"path": "/a/../b"}]},
    ),
    ("call_path", ("Service", "desk"), {"calls": [CALL | {"path": "/*/b"}]}),
    (
        "model_version_offered_twice",
        ("Service", "writer"),
        {"model_versions": ["pitch-1", "pitch-2"]},
    ),
    (
        "model_offered_twice",
        ("Service", "other"),
        {"kind": "model", "terms": "terms", "model_versions": ["pitch-1"]},
    ),
    (
        "service_without_pool",
        ("Service", "other"),
        {"kind": "plain", "terms": "terms", "calls": [CALL]},
    ),
    (
        "model_version_without_pool",
        ("Service", "writer"),
        {"model_versions": ["pitch-1", "pitch-2"]},
    ),
    (
        "pool_model_versions",
        ("BackendServerPool", "writers"),
        {"model_versions": ["pitch-2"]},
    ),
    (
        "pool_model_versions",
        ("BackendServerPool", "desks"),
        {"model_versions": ["pitch-1"]},
    ),
    (
        "no_servable_pool",
        ("BackendServerPool", "desks"),
        {"failure_domains": ["kumamoto-a"]},
    ),
    (
        "no_servable_pool",
        ("ResidencyRule", "home"),
        {"regions": ["kumamoto"]},
    ),
    (
        "shared_token",
        ("CallerCredential", "second-key"),
        {"organisation": "council", "token_sha256": COUNCIL_HASH},
    ),
    (
        "empty_token",
        ("CallerCredential", "council-key"),
        {"token_sha256": EMPTY_HASH},
    ),
    (
        "credential_expiry",
        ("CallerCredential", "council-key"),
        {"expires_at": "2027-01-01T00:00:00"},
    ),
]


def invalid_set(key, fields):
    named_objects = sets.with_fields(*key, **fields)
    if "pitch-2" in str(fields):
        document = {"name": "pitch-2", **MODEL}
        named_objects.append({"kind": "ModelVersion", "object": document})
    return named_objects


def test_sound_set_passes():
    assert objects.check(sets.sound_set()) == []


@pytest.mark.parametrize(("rule", "key", "fields"), CASES)
def test_rule_tells_its_fault(rule, key, fields):
    findings = objects.check(invalid_set(key, fields))
    assert rule in [found["rule"] for found in findings]
    for found in findings:
        violations = schema.validate_document("admin", "Finding", found)
        assert violations == []
        assert found["message"] and found["remedy"]
        assert found["rule"] in objects.rule_meanings()


def test_every_rule_has_a_case():
    named = {rule.name for rule in objects.rules()}
    assert named <= {rule for rule, _, _ in CASES}


@pytest.mark.parametrize(
    "key",
    [(e["kind"], e["object"]["name"]) for e in sets.sound_set()],
)
def test_removing_what_is_needed_is_found(key):
    unneeded = {
        ("Priority", "urgent"),
        ("ResidencyRule", "all"),
        ("CallerCredential", "council-key"),
    }
    findings = objects.check(sets.without(*key))
    assert bool(findings) == (key not in unneeded)


def test_all_faults_are_told_at_once():
    named_objects = sets.with_fields("Organisation", "council", quota="x")
    named_objects += [
        named_objects[0],
        {"kind": "Planet", "object": {"name": "mars"}},
        {"kind": "Region"},
        "no object",
        {"kind": ["Region"], "object": {"name": {}}},
    ]
    found = {finding["rule"] for finding in objects.check(named_objects)}
    expected = {"dangling_reference", "duplicate_name", "known_kind"}
    assert found == expected | {"object_shape"}


def test_broken_object_causes_no_dangling_reference():
    named_objects = sets.with_fields("Quota", "small", burst_requests="x")
    rules = [found["rule"] for found in objects.check(named_objects)]
    assert rules == ["schema"]


def test_kinds_refer_only_to_kinds_before():
    for reference in _kinds.REFERENCES:
        kinds = objects.KINDS
        assert kinds.index(reference.target) < kinds.index(reference.kind)


def random_entry(random_source):
    entry = random_source.choice(sets.sound_set())
    other = random_source.choice(sets.sound_set())
    names = [e["object"]["name"] for e in sets.sound_set()] + ["new"]
    values = [*other["object"].values(), *names, names[:2], [], 0, 7, None]
    field = random_source.choice(list(entry["object"]))
    entry["object"][field] = random_source.choice(values)
    if random_source.random() < 0.5:
        entry["object"]["name"] = random_source.choice(names)
    return entry


@pytest.mark.parametrize("seed", range(300))
def test_check_of_change_equals_check_of_whole(seed):
    random_source = random.Random(seed)
    published = objects.PublishedSet(1, sets.sound_set())
    put = [random_entry(random_source) for _ in range(seed % 3)]
    put = [e for e in put if _shape.list_shape_findings(e) == []]
    put = list({(e["kind"], e["object"]["name"]): e for e in put}.values())
    put_keys = {(e["kind"], e["object"]["name"]) for e in put}
    candidates = [(e["kind"], e["object"]["name"]) for e in sets.sound_set()]
    keys = set(random_source.sample(candidates, k=1 + seed % 2)) - put_keys
    remove = [{"kind": kind, "name": name} for kind, name in keys]
    changed = published.with_changes(2, put, remove)
    whole = objects.check(changed.named_objects())
    assert objects.check_change(published, put, remove) == whole


@pytest.mark.parametrize("seed", range(300))
def test_quick_shape_check_agrees_with_validator(seed):
    entry = random_entry(random.Random(seed))
    violations = _documents.list_faults(
        "objects", entry["kind"], entry["object"]
    )
    assert _shape.is_sound(entry) == (violations == [])


def test_change_with_wrong_removal_is_refused():
    published = objects.PublishedSet(1, sets.sound_set())
    put = [{"kind": "Region", "object": {"name": "fukuoka"}}]
    remove = [
        {"kind": "Region", "name": "fukuoka"},
        {"kind": "Region", "name": "absent"},
        {"kind": "Planet", "name": "mars"},
    ]
    findings = objects.check_change(published, put, remove)
    names = [f["name"] for f in findings if f["rule"] == "removal"]
    assert names == ["absent", "fukuoka", "mars"]


def test_findings_do_not_depend_on_order():
    named_objects = sets.with_fields("Organisation", "council", quota="x")
    named_objects += sets.with_fields("Region", "kagoshima")[-1:]
    first = objects.check(named_objects)
    for seed in range(5):
        random.Random(seed).shuffle(named_objects)
        assert objects.check(named_objects) == first
