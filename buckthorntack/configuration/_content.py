"""Encoding of objects inside changes, deltas and copies."""

import hashlib
import itertools

import msgspec

from buckthorntack.schema import documents

DIGEST_BYTES = 16
#: Objects in one part of a copy; a reader decodes one part at a time to
#: bound its memory.
PART_OBJECTS = 1000

_ENCODER = msgspec.msgpack.Encoder()
_OBJECTS = msgspec.msgpack.Decoder(list[documents.NamedObject])
_NAMES = msgspec.msgpack.Decoder(list[documents.ObjectName])
_FINDINGS = msgspec.msgpack.Decoder(list[documents.Finding])


def encode(value):
    """Encode named objects, object names or findings.

    :param value: list of dictionaries.
    :returns: msgpack bytes.
    """
    return _ENCODER.encode(value)


def encode_parts(named_objects):
    """Encode named objects in parts of bounded size.

    :param named_objects: iterable of named objects.
    :returns: parts as msgpack bytes.

    >>> [len(part) for part in encode_parts([])]
    []
    """
    remaining = iter(named_objects)
    while part := list(itertools.islice(remaining, PART_OBJECTS)):
        yield encode(part)


def decode_objects(data):
    """Decode named objects.

    :param data: bytes returned by :func:`encode`.

    >>> decode_objects(encode([{"kind": "Region", "object": {"name": "a"}}]))
    [{'kind': 'Region', 'object': {'name': 'a'}}]
    """
    return _OBJECTS.decode(data)


def decode_names(data):
    """Decode object names.

    :param data: bytes returned by :func:`encode`.
    """
    return _NAMES.decode(data)


def decode_findings(data):
    """Decode findings.

    :param data: bytes returned by :func:`encode`, or empty.
    """
    return _FINDINGS.decode(data) if data else []


def digest(*parts):
    """Return a digest of byte strings.

    Each string is hashed with its length, so ``(b"a", b"b")`` and ``(b"ab",)``
    have different digests.

    :param parts: the byte strings.
    :returns: :data:`DIGEST_BYTES` bytes.
    """
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()
