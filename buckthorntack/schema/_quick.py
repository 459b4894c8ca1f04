"""Fast validation of documents.

Most documents are valid.  A type that is built once from the schema accepts
them quickly; only a document that this type rejects needs the slower JSON
validator, which lists all violations.
"""

import functools
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from buckthorntack.schema import _documents

_SCALARS = {"string": str, "integer": int, "number": float, "boolean": bool}
_CONSTRAINTS = {
    "pattern": "pattern",
    "minimum": "ge",
    "maximum": "le",
    "exclusiveMinimum": "gt",
    "minItems": "min_length",
    "minLength": "min_length",
    "maxLength": "max_length",
}
_SUPPORTED_KEYWORDS = {
    *_CONSTRAINTS,
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
    """Return whether a document matches its schema, without findings.

    A valid document is also rejected if its schema uses a keyword that this
    module does not support; the JSON validator decides then.

    :param name: family of the document, such as ``objects``.
    :param definition: kind of document, such as ``Region``.
    :param document: the parsed JSON.

    >>> is_sound("objects", "Region", {"name": "fukuoka"})
    True
    >>> is_sound("objects", "Region", {"name": "FUKUOKA"})
    False
    """
    struct = _build_supported_struct(name, definition)
    if struct is None:
        return False
    try:
        msgspec.convert(document, struct)
    except msgspec.ValidationError:
        return False
    return _has_unique_items(name, definition, document)


class _UnsupportedSchemaError(Exception):
    """A schema uses a keyword that the fast validation does not support."""


@functools.cache
def _build_supported_struct(name, definition):
    try:
        return _build_struct(name, definition)
    except _UnsupportedSchemaError:
        return None


@functools.cache
def _build_struct(name, definition):
    found = _documents.document_schema(name)["$defs"][definition]
    fields = []
    for field, field_schema in found["properties"].items():
        field_type = _build_field_type(name, field_schema)
        if field in found.get("required", ()):
            fields.append((field, field_type))
        else:
            optional = field_type | msgspec.UnsetType
            fields.append((field, optional, msgspec.UNSET))
    return msgspec.defstruct(
        definition, fields, kw_only=True, forbid_unknown_fields=True
    )


def _build_field_type(name, field_schema):
    if not field_schema.keys() <= _SUPPORTED_KEYWORDS:
        raise _UnsupportedSchemaError(sorted(field_schema))
    if not isinstance(field_schema.get("type", ""), str):
        raise _UnsupportedSchemaError("type")
    if "$ref" in field_schema:
        return _build_struct(name, field_schema["$ref"].rpartition("/")[2])
    if "enum" in field_schema:
        return Literal[tuple(field_schema["enum"])]
    if field_schema["type"] == "array":
        base = list[_build_field_type(name, field_schema["items"])]
    elif field_schema["type"] == "object":
        base = dict[str, Any]
    else:
        base = _SCALARS[field_schema["type"]]
    constraints = {
        constraint: field_schema[keyword]
        for keyword, constraint in _CONSTRAINTS.items()
        if keyword in field_schema
    }
    return (
        Annotated[base, msgspec.Meta(**constraints)] if constraints else base
    )


def _has_unique_items(name, definition, document):
    """Return whether all lists marked ``uniqueItems`` have unique items."""
    fields, nested = _find_unique_item_fields(name, definition)
    for field in fields:
        found = document.get(field, ())
        if len(set(found)) != len(found):
            return False
    for field, inner in nested:
        found = document.get(field, ())
        parts = found if isinstance(found, list) else [found] * bool(found)
        if not all(_has_unique_items(name, inner, part) for part in parts):
            return False
    return True


@functools.cache
def _find_unique_item_fields(name, definition):
    """Find fields of unique items, and fields of documents with such."""
    found = _documents.document_schema(name)["$defs"][definition]
    properties = found["properties"].items()
    fields = [field for field, s in properties if s.get("uniqueItems")]
    nested = []
    for field, field_schema in properties:
        reference = field_schema.get("items", field_schema).get("$ref", "")
        inner = reference.rpartition("/")[2]
        if inner and any(_find_unique_item_fields(name, inner)):
            nested.append((field, inner))
    return fields, nested
