"""Check of one object against the schema of its kind."""

import math

from buckthorntack import schema
from buckthorntack.objects import _findings
from buckthorntack.objects import _kinds


def is_sound(entry):
    """Whether an entry has the right shape, without telling why not.

    :param entry: a ``NamedObject``, as parsed JSON.

    >>> is_sound({"kind": "Region", "object": {"name": "fukuoka"}})
    True
    >>> is_sound({"kind": "Planet", "object": {"name": "mars"}})
    False
    """
    if not isinstance(entry, dict) or entry.keys() != {"kind", "object"}:
        return False
    kind, document = entry["kind"], entry["object"]
    if kind not in _kinds.KINDS or not isinstance(document, dict):
        return False
    return schema.is_sound("objects", kind, document)


def shape_findings(entry):
    """Faults of one object's shape.

    :param entry: a ``NamedObject``, as parsed JSON.
    :returns: list of findings, empty if the shape is right.
    """
    faults = schema.validate_document("admin", "NamedObject", entry)
    if faults:
        return [
            _findings.finding(
                "object_shape",
                _text(entry, "kind"),
                "",
                fault.path,
                fault.message,
                'write {"kind": "<kind>", "object": {<fields>}}',
            )
            for fault in faults
        ]
    return _known_kind(entry) or _field_findings(entry)


def _text(document, field):
    value = document.get(field) if isinstance(document, dict) else None
    return value if isinstance(value, str) else ""


def _known_kind(entry):
    if entry["kind"] in _kinds.KINDS:
        return []
    return [
        _findings.finding(
            "known_kind",
            entry["kind"],
            _text(entry["object"], "name"),
            "kind",
            f"kind {entry['kind']!r} is not known",
            f"use one of {', '.join(_kinds.KINDS)}",
        )
    ]


def _field_findings(entry):
    kind, document = entry["kind"], entry["object"]
    faults = schema.validate_document("objects", kind, document)
    found = [(fault.path, fault.message) for fault in faults]
    found += [
        (f"$.{field}", f"{field} is not a finite number")
        for field, value in document.items()
        if isinstance(value, float) and not math.isfinite(value)
    ]
    return [
        _findings.finding(
            "schema",
            kind,
            _text(document, "name"),
            path,
            message,
            schema.describe_field("objects", kind, path),
        )
        for path, message in found
    ]
