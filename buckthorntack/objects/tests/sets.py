"""A small valid set of objects that tests modify."""

import copy
import hashlib

_VALID_OBJECTS = [
    ("Region", {"name": "fukuoka"}),
    ("Region", {"name": "kumamoto"}),
    ("FailureDomain", {"name": "fukuoka-a", "region": "fukuoka"}),
    ("FailureDomain", {"name": "kumamoto-a", "region": "kumamoto"}),
    ("ResidencyRule", {"name": "home", "regions": ["fukuoka"]}),
    ("ResidencyRule", {"name": "all", "regions": ["fukuoka", "kumamoto"]}),
    ("Priority", {"name": "urgent", "rank": 0, "weight": 1.0}),
    ("Priority", {"name": "usual", "rank": 5, "weight": 1.0}),
    (
        "Quota",
        {
            "name": "small",
            "requests_per_second": 5,
            "burst_requests": 10,
            "tokens_per_minute": 1000,
        },
    ),
    (
        "DeploymentTerms",
        {
            "name": "terms",
            "tail_latency_weight": 1,
            "cost_weight": 0,
            "share_away_weight": 0.5,
        },
    ),
    (
        "ModelVersion",
        {"name": "pitch-1", "model": "pitch", "version": "1"}
        | {"weights_bytes": 1000},
    ),
    (
        "Service",
        {"name": "writer", "kind": "model", "terms": "terms"}
        | {"model_versions": ["pitch-1"]},
    ),
    (
        "Service",
        {
            "name": "desk",
            "kind": "plain",
            "terms": "terms",
            "calls": [
                {"method": "POST", "path": "/bookings", "idempotent": False},
                {"method": "GET", "path": "/free/*", "idempotent": True},
            ],
        },
    ),
    (
        "BackendServerPool",
        {
            "name": "writers",
            "service": "writer",
            "failure_domains": ["fukuoka-a", "kumamoto-a"],
            "model_versions": ["pitch-1"],
            "cost_per_hour": 3.5,
            "checks_fencing": True,
        },
    ),
    (
        "BackendServerPool",
        {
            "name": "desks",
            "service": "desk",
            "failure_domains": ["fukuoka-a"],
            "cost_per_hour": 0.1,
            "checks_fencing": False,
        },
    ),
    (
        "Organisation",
        {
            "name": "council",
            "residency_rule": "home",
            "priority": "usual",
            "quota": "small",
            "services": ["writer", "desk"],
        },
    ),
    (
        "CallerCredential",
        {
            "name": "council-key",
            "organisation": "council",
            "token_sha256": hashlib.sha256(b"council").hexdigest(),
        },
    ),
]


def sound_set():
    """Return a new copy of the valid set."""
    return [
        {"kind": kind, "object": copy.deepcopy(document)}
        for kind, document in _VALID_OBJECTS
    ]


def with_fields(object_kind, object_name, **fields):
    """Return the valid set with fields of one object changed.

    :param object_kind: the object's kind.
    :param object_name: its name; an unknown one adds an object.
    :param fields: fields to set; ``None`` removes a field.
    """
    named_objects = sound_set()
    found = [
        entry["object"]
        for entry in named_objects
        if (entry["kind"], entry["object"]["name"])
        == (object_kind, object_name)
    ]
    if not found:
        found = [{"name": object_name}]
        named_objects.append({"kind": object_kind, "object": found[0]})
    for field, value in fields.items():
        found[0][field] = value
        if value is None:
            del found[0][field]
    return named_objects


def without(kind, name):
    """Return the valid set without one object.

    :param kind: the object's kind.
    :param name: its name.
    """
    return [
        entry
        for entry in sound_set()
        if (entry["kind"], entry["object"]["name"]) != (kind, name)
    ]
