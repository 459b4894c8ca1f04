"""Encoding of objects inside changes, deltas and copies."""

import hashlib

import msgspec

from buckthorntack.schema import documents

DIGEST_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_OBJECTS = msgspec.msgpack.Decoder(list[documents.NamedObject])
_RAW_OBJECTS = msgspec.msgpack.Decoder(list[msgspec.Raw])
_OBJECT = msgspec.msgpack.Decoder(documents.NamedObject)
_NAMES = msgspec.msgpack.Decoder(list[documents.ObjectName])
_FINDINGS = msgspec.msgpack.Decoder(list[documents.Finding])


def encode(value):
    """Encode named objects, object names or findings.

    :param value: list of dictionaries.
    :returns: msgpack bytes.
    """
    return _ENCODER.encode(value)


def decode_objects(data):
    """Decode named objects.

    :param data: what :func:`encode` gave.

    >>> decode_objects(encode([{"kind": "Region", "object": {"name": "a"}}]))
    [{'kind': 'Region', 'object': {'name': 'a'}}]
    """
    return _OBJECTS.decode(data)


def encode_each(values):
    """Encode many named objects, one at a time to save memory.

    :param values: iterable of dictionaries.
    :returns: the bytes that :func:`encode` gives for their list.
    """
    return _ENCODER.encode([msgspec.Raw(encode(value)) for value in values])


def decode_each(data):
    """Decode many named objects, one at a time to save memory.

    :param data: what :func:`encode` gave.
    :returns: generator of named objects.
    """
    return map(_OBJECT.decode, _RAW_OBJECTS.decode(data))


def decode_names(data):
    """Decode object names.

    :param data: what :func:`encode` gave.
    """
    return _NAMES.decode(data)


def decode_findings(data):
    """Decode findings.

    :param data: what :func:`encode` gave, or nothing.
    """
    return _FINDINGS.decode(data) if data else []


def digest(*parts):
    """Digest of byte strings.

    :param parts: the byte strings; their bounds count.
    :returns: :data:`DIGEST_BYTES` bytes.
    """
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()
