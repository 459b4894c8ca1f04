"""Quick acceptance of documents of the right shape.

Most documents are sound.  They are accepted by types that are built once
from the schema; only a document that those types refuse needs the slower
validator, which tells all its faults.
"""

import functools
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from buckthorntack.schema import _documents

_SCALARS = {"string": str, "integer": int, "number": float, "boolean": bool}
_LIMITS = {
    "pattern": "pattern",
    "minimum": "ge",
    "maximum": "le",
    "exclusiveMinimum": "gt",
    "minItems": "min_length",
    "minLength": "min_length",
    "maxLength": "max_length",
}
_KNOWN_KEYWORDS = {
    *_LIMITS,
    "$ref",
    "default",
    "description",
    "enum",
    "format",
    "items",
    "type",
    "uniqueItems",
}


def is_sound(name, definition, document) -> bool:
    """Whether a document fits its schema, without telling why not.

    ``False`` also for a sound document whose schema uses more than this
    module knows; the validator decides then.

    :param name: family of the document, such as ``objects``.
    :param definition: kind of document, such as ``Region``.
    :param document: the parsed JSON.

    >>> is_sound("objects", "Region", {"name": "fukuoka"})
    True
    >>> is_sound("objects", "Region", {"name": "FUKUOKA"})
    False
    """
    struct = _struct_if_known(name, definition)
    if struct is None:
        return False
    try:
        msgspec.convert(document, struct)
    except msgspec.ValidationError:
        return False
    return _has_unique_lists(name, definition, document)


class _UnknownSchemaError(Exception):
    """A schema uses what the quick check does not know."""


@functools.cache
def _struct_if_known(name, definition):
    try:
        return _struct(name, definition)
    except _UnknownSchemaError:
        return None


@functools.cache
def _struct(name, definition):
    found = _documents.document_schema(name)["$defs"][definition]
    fields = []
    for field, field_schema in found["properties"].items():
        field_type = _field_type(name, field_schema)
        if field in found.get("required", ()):
            fields.append((field, field_type))
        else:
            optional = field_type | msgspec.UnsetType
            fields.append((field, optional, msgspec.UNSET))
    return msgspec.defstruct(
        definition, fields, kw_only=True, forbid_unknown_fields=True
    )


def _field_type(name, field_schema):
    if not field_schema.keys() <= _KNOWN_KEYWORDS:
        raise _UnknownSchemaError(sorted(field_schema))
    if not isinstance(field_schema.get("type", ""), str):
        raise _UnknownSchemaError("type")
    if "$ref" in field_schema:
        return _struct(name, field_schema["$ref"].rpartition("/")[2])
    if "enum" in field_schema:
        return Literal[tuple(field_schema["enum"])]
    if field_schema["type"] == "array":
        base = list[_field_type(name, field_schema["items"])]
    elif field_schema["type"] == "object":
        base = dict[str, Any]
    else:
        base = _SCALARS[field_schema["type"]]
    limits = {
        limit: field_schema[keyword]
        for keyword, limit in _LIMITS.items()
        if keyword in field_schema
    }
    return Annotated[base, msgspec.Meta(**limits)] if limits else base


def _has_unique_lists(name, definition, document):
    """Whether lists that must hold each item once do so."""
    fields, nested = _list_fields(name, definition)
    for field in fields:
        found = document.get(field, ())
        if len(set(found)) != len(found):
            return False
    for field, inner in nested:
        found = document.get(field, ())
        parts = found if isinstance(found, list) else [found] * bool(found)
        if not all(_has_unique_lists(name, inner, part) for part in parts):
            return False
    return True


@functools.cache
def _list_fields(name, definition):
    """Fields of unique items, and fields of documents that have such."""
    found = _documents.document_schema(name)["$defs"][definition]
    properties = found["properties"].items()
    fields = [field for field, s in properties if s.get("uniqueItems")]
    nested = []
    for field, field_schema in properties:
        reference = field_schema.get("items", field_schema).get("$ref", "")
        inner = reference.rpartition("/")[2]
        if inner and any(_list_fields(name, inner)):
            nested.append((field, inner))
    return fields, nested
