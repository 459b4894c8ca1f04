"""Validation of one object against the schema of its kind."""

import math

from buckthorntack import schema
from buckthorntack.objects import _findings
from buckthorntack.objects import _kinds


def is_sound(entry):
    """Return whether an entry matches its schema, without findings.

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


def list_shape_findings(entry):
    """List the schema violations of one object.

    :param entry: a ``NamedObject``, as parsed JSON.
    :returns: list of findings, empty if the object matches its schema.
    """
    violations = schema.validate_document("admin", "NamedObject", entry)
    if violations:
        return [
            _findings.finding(
                "object_shape",
                _find_string_field(entry, "kind"),
                "",
                violation.path,
                violation.message,
                'write {"kind": "<kind>", "object": {<fields>}}',
            )
            for violation in violations
        ]
    return _check_kind(entry) or _field_findings(entry)


def _find_string_field(document, field):
    value = document.get(field) if isinstance(document, dict) else None
    return value if isinstance(value, str) else ""


def _check_kind(entry):
    if entry["kind"] in _kinds.KINDS:
        return []
    return [
        _findings.finding(
            "known_kind",
            entry["kind"],
            _find_string_field(entry["object"], "name"),
            "kind",
            f"kind {entry['kind']!r} is unknown",
            f"use one of {', '.join(_kinds.KINDS)}",
        )
    ]


def _field_findings(entry):
    kind, document = entry["kind"], entry["object"]
    violations = schema.validate_document("objects", kind, document)
    found = [(violation.path, violation.message) for violation in violations]
    found += [
        (f"$.{field}", f"{field} is not a finite number")
        for field, value in document.items()
        if isinstance(value, float) and not math.isfinite(value)
    ]
    return [
        _findings.finding(
            "schema",
            kind,
            _find_string_field(document, "name"),
            path,
            message,
            schema.describe_field("objects", kind, path),
        )
        for path, message in found
    ]
