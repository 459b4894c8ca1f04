"""Named tuples that hold objects compactly; absent fields are ``None``."""

import collections
import functools

from buckthorntack.objects import _kinds

_HASH_FIELD = "token_sha256"


@functools.cache
def row_type(kind):
    """Return the named tuple type of the objects of a kind.

    :param kind: its name.
    :returns: the type; its fields are those of the schema.

    >>> row_type("FailureDomain")._fields
    ('name', 'region')
    """
    fields = list(_kinds.schema_of_kind(kind)["properties"])
    return collections.namedtuple(kind, fields)


@functools.cache
def _nested_kinds(kind):
    nested = {}
    for field, field_schema in _kinds.schema_of_kind(kind)[
        "properties"
    ].items():
        reference = field_schema.get("items", {}).get("$ref", "")
        if reference:
            nested[field] = reference.rpartition("/")[2]
    return nested


class InternTable:
    """Table that interns names and lists of names to save memory.

    :param tables: rows by kind and name; a name that refers to one of these
        rows is replaced by the string that the row holds.
    """

    def __init__(self, tables):
        self._tables = tables
        self._seen = {}

    def intern_name(self, name):
        """Return the interned string for the name of an object.

        :param name: the name.
        """
        return self._seen.setdefault(name, name)

    def intern_reference(self, target, name):
        """Return the interned string for a reference to an object.

        :param target: kind of the object referred to.
        :param name: the name.
        """
        row = self._tables[target].get(name)
        return self.intern_name(name) if row is None else row.name

    def intern_references(self, target, names):
        """Return the interned tuple for a list of references.

        :param target: kind of the objects referred to.
        :param names: the names.
        """
        found = self._seen.get(tuple(names))
        if found is None:
            found = tuple(
                self.intern_reference(target, name) for name in names
            )
            self._seen[found] = found
        return found


def _pack_name(_kind, _field, value, intern_table):
    return intern_table.intern_name(value)


def _pack_reference(kind, field, value, intern_table):
    target = _kinds.targets_by_field(kind)[field]
    if isinstance(value, str):
        return intern_table.intern_reference(target, value)
    return intern_table.intern_references(target, value)


def _pack_nested(kind, field, value, intern_table):
    inner = _nested_kinds(kind)[field]
    return tuple(pack(inner, item, intern_table) for item in value)


def _pack_list(_kind, _field, value, _sharing):
    return tuple(value)


def _pack_hash(_kind, _field, value, _sharing):
    return bytes.fromhex(value)


@functools.cache
def _packers(kind):
    """List fields of a kind, each with its pack function or ``None``."""
    packers = []
    for field, field_schema in _kinds.schema_of_kind(kind)[
        "properties"
    ].items():
        packer = None
        if field == "name":
            packer = _pack_name
        elif field in _kinds.targets_by_field(kind):
            packer = _pack_reference
        elif field in _nested_kinds(kind):
            packer = _pack_nested
        elif field_schema.get("type") == "array":
            packer = _pack_list
        elif field == _HASH_FIELD:
            packer = _pack_hash
        packers.append((field, packer))
    return packers


def pack(kind, document, intern_table):
    """Convert an object to a row.

    :param kind: the object's kind.
    :param document: the object, as validated JSON.
    :param intern_table: :class:`InternTable` of the index that gets the row.
    :returns: a row with lists as tuples and hashes as bytes.

    >>> table = InternTable({"Region": {}})
    >>> pack("ResidencyRule", {"name": "r", "regions": ["sonora"]}, table)
    ResidencyRule(name='r', regions=('sonora',))
    """
    values = []
    for field, packer in _packers(kind):
        value = document.get(field)
        if value is not None and packer is not None:
            value = packer(kind, field, value, intern_table)
        values.append(value)
    return row_type(kind)._make(values)


def unpack(kind, row):
    """Convert a row back to the object.

    :param kind: the object's kind.
    :param row: a row that :func:`pack` returned.
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
