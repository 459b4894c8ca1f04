"""Check of one object against the schema of its kind.

Most objects of a set are sound.  They are accepted by types that are built
once from the schema; only an object that those types refuse goes through the
slower validator, which tells all its faults.
"""

import functools
import json
import math
from typing import Annotated
from typing import Literal

import msgspec

from buckthorntack import schema
from buckthorntack.objects import _findings
from buckthorntack.objects import _kinds

_SCALARS = {"string": str, "integer": int, "number": float, "boolean": bool}
_LIMITS = {
    "pattern": "pattern",
    "minimum": "ge",
    "maximum": "le",
    "exclusiveMinimum": "gt",
    "minItems": "min_length",
}


def _field_type(field_schema):
    if "$ref" in field_schema:
        return _struct(field_schema["$ref"].rpartition("/")[2])
    if "enum" in field_schema:
        return Literal[tuple(field_schema["enum"])]
    if field_schema["type"] == "array":
        base = list[_field_type(field_schema["items"])]
    else:
        base = _SCALARS[field_schema["type"]]
    limits = {
        name: field_schema[keyword]
        for keyword, name in _LIMITS.items()
        if keyword in field_schema
    }
    return Annotated[base, msgspec.Meta(**limits)] if limits else base


@functools.cache
def _struct(kind):
    definition = _kinds.definition(kind)
    fields = []
    for field, field_schema in definition["properties"].items():
        field_type = _field_type(field_schema)
        if field in definition["required"]:
            fields.append((field, field_type))
        else:
            optional = field_type | msgspec.UnsetType
            fields.append((field, optional, msgspec.UNSET))
    return msgspec.defstruct(
        kind, fields, kw_only=True, forbid_unknown_fields=True
    )


@functools.cache
def _unique_fields(kind):
    properties = _kinds.definition(kind)["properties"]
    return [f for f, s in properties.items() if s.get("uniqueItems")]


def is_sound(kind, document):
    """Whether an object has the shape of its kind, without telling why not.

    :param kind: a known kind.
    :param document: the object.

    >>> is_sound("Region", {"name": "fukuoka"})
    True
    >>> is_sound("Region", {"name": "FUKUOKA"})
    False
    """
    try:
        msgspec.convert(document, _struct(kind))
    except msgspec.ValidationError:
        return False
    lists = (document.get(field, ()) for field in _unique_fields(kind))
    return all(len(set(found)) == len(found) for found in lists)


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
            _remedy(kind, path),
        )
        for path, message in found
    ]


def _remedy(kind, path):
    field = path.removeprefix("$.").split("[")[0].split(".")[0]
    definition = _kinds.definition(kind)
    field_schema = definition["properties"].get(field)
    if field_schema is None:
        known = ", ".join(definition["properties"])
        needed = ", ".join(definition["required"])
        return f"fields of {kind} are {known}; required are {needed}"
    rules = {k: v for k, v in field_schema.items() if k != "description"}
    return f"{field} must satisfy {json.dumps(rules)}"
