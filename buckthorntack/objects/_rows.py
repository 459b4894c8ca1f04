"""Compact rows for objects: named tuples with absent fields as ``None``."""

import collections
import functools

from buckthorntack.objects import _kinds


@functools.cache
def row_type(kind):
    """Named tuple that holds an object of a kind.

    :param kind: its name.
    :returns: the type; its fields are those of the schema.

    >>> row_type("FailureDomain")._fields
    ('name', 'region')
    """
    fields = list(_kinds.definition(kind)["properties"])
    return collections.namedtuple(kind, fields)


@functools.cache
def _nested_kinds(kind):
    nested = {}
    for field, field_schema in _kinds.definition(kind)["properties"].items():
        reference = field_schema.get("items", {}).get("$ref", "")
        if reference:
            nested[field] = reference.rpartition("/")[2]
    return nested


def pack(kind, document):
    """Turn an object into its row.

    :param kind: the object's kind.
    :param document: the object, as checked JSON.
    :returns: a row with lists as tuples and hashes as bytes.

    >>> pack("ResidencyRule", {"name": "home", "regions": ["fukuoka"]})
    ResidencyRule(name='home', regions=('fukuoka',))
    """
    nested = _nested_kinds(kind)
    row = row_type(kind)
    values = [document.get(field) for field in row._fields]
    for place, value in enumerate(values):
        field = row._fields[place]
        if field in nested and value is not None:
            values[place] = tuple(pack(nested[field], item) for item in value)
        elif isinstance(value, list):
            values[place] = tuple(value)
        elif field == "token_sha256":
            values[place] = bytes.fromhex(value)
    return row._make(values)


def unpack(kind, row):
    """Turn a row back into the object.

    :param kind: the object's kind.
    :param row: what :func:`pack` gave.
    :returns: a new dictionary.

    >>> unpack("Region", pack("Region", {"name": "fukuoka"}))
    {'name': 'fukuoka'}
    """
    nested = _nested_kinds(kind)
    document = {}
    for field, value in zip(row._fields, row, strict=True):
        if value is None:
            continue
        if isinstance(value, tuple):
            item_kind = nested.get(field)
            value = [unpack(item_kind, v) if item_kind else v for v in value]
        elif isinstance(value, bytes):
            value = value.hex()
        document[field] = value
    return document
