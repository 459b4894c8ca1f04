"""Compact rows for objects: named tuples with absent fields as ``None``."""

import collections
import functools

from buckthorntack.objects import _kinds

_HASH_FIELD = "token_sha256"


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


class Sharing:
    """Holds equal names and lists of names only once.

    :param tables: rows by kind and name; their names are taken first.
    """

    def __init__(self, tables):
        self._tables = tables
        self._seen = {}

    def own_name(self, name):
        """The one string for the name of an object.

        :param name: the name.
        """
        return self._seen.setdefault(name, name)

    def name(self, target, name):
        """The one string for a name that is referred to.

        :param target: kind that it refers to.
        :param name: the name.
        """
        row = self._tables[target].get(name)
        return self.own_name(name) if row is None else row.name

    def names(self, target, names):
        """The one tuple for a list of names that are referred to.

        :param target: kind that they refer to.
        :param names: the names.
        """
        found = self._seen.get(tuple(names))
        if found is None:
            found = tuple(self.name(target, name) for name in names)
            self._seen[found] = found
        return found


def _pack_name(_kind, _field, value, sharing):
    return sharing.own_name(value)


def _pack_reference(kind, field, value, sharing):
    target = _kinds.references_of(kind)[field]
    if isinstance(value, str):
        return sharing.name(target, value)
    return sharing.names(target, value)


def _pack_nested(kind, field, value, sharing):
    inner = _nested_kinds(kind)[field]
    return tuple(pack(inner, item, sharing) for item in value)


def _pack_list(_kind, _field, value, _sharing):
    return tuple(value)


def _pack_hash(_kind, _field, value, _sharing):
    return bytes.fromhex(value)


@functools.cache
def _packers(kind):
    """Fields of a kind, each with what packs it, or ``None``."""
    packers = []
    for field, field_schema in _kinds.definition(kind)["properties"].items():
        packer = None
        if field == "name":
            packer = _pack_name
        elif field in _kinds.references_of(kind):
            packer = _pack_reference
        elif field in _nested_kinds(kind):
            packer = _pack_nested
        elif field_schema.get("type") == "array":
            packer = _pack_list
        elif field == _HASH_FIELD:
            packer = _pack_hash
        packers.append((field, packer))
    return packers


def pack(kind, document, sharing):
    """Turn an object into its row.

    :param kind: the object's kind.
    :param document: the object, as checked JSON.
    :param sharing: :class:`Sharing` of the rows that it joins.
    :returns: a row with lists as tuples and hashes as bytes.

    >>> sharing = Sharing({"Region": {}})
    >>> pack("ResidencyRule", {"name": "r", "regions": ["sonora"]}, sharing)
    ResidencyRule(name='r', regions=('sonora',))
    """
    values = []
    for field, packer in _packers(kind):
        value = document.get(field)
        if value is not None and packer is not None:
            value = packer(kind, field, value, sharing)
        values.append(value)
    return row_type(kind)._make(values)


def unpack(kind, row):
    """Turn a row back into the object.

    :param kind: the object's kind.
    :param row: what :func:`pack` gave.
    :returns: a new dictionary.

    >>> unpack("Region", row_type("Region")("fukuoka"))
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
