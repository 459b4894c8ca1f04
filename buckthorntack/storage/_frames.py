"""Checksummed frames, and what a damaged one tells.

A frame is valid only at its own offset of its own file, so that stored bytes
that look like a frame are not taken for one.
"""

import enum
import struct
from typing import NamedTuple

import xxhash

_MAGIC = b"\xb7BtF"
_FIELDS = struct.Struct("<4sIQ")
_CHECKSUM = struct.Struct("<Q")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size
_SECTOR_BYTES = 512


class Fault(enum.Enum):
    """Kind of damage at the end of the readable frames."""

    TORN = "torn"
    CORRUPT = "corrupt"


class Scan(NamedTuple):
    """What could be read of a file."""

    payloads: list[bytes]
    end: int
    fault: Fault | None


class _Header(NamedTuple):
    length_bytes: int
    checksum: int


def _checksum(data, salt, offset):
    return xxhash.xxh3_64_intdigest(data, seed=salt ^ offset)


def frame(payload, salt, offset):
    """Make a frame.

    :param payload: bytes to carry.
    :param salt: number of the file, below 2 to the power of 64.
    :param offset: place in the file where it will stand.
    :returns: its bytes.
    """
    checksum = _checksum(payload, salt, offset)
    fields = _FIELDS.pack(_MAGIC, len(payload), checksum)
    return fields + _CHECKSUM.pack(_checksum(fields, salt, offset)) + payload


def _header(data, salt, offset):
    if len(data) - offset < HEADER_BYTES:
        return None
    fields = data[offset : offset + _FIELDS.size]
    (stored,) = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    magic, length_bytes, checksum = _FIELDS.unpack(fields)
    if magic != _MAGIC or stored != _checksum(fields, salt, offset):
        return None
    return _Header(length_bytes, checksum)


def payload_at(data, salt, offset):
    """Payload of the frame at an offset.

    :param data: contents of the file.
    :param salt: number of the file.
    :param offset: where the frame starts.
    :returns: the payload, or None if no valid frame stands there.
    """
    header = _header(data, salt, offset)
    if header is None:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + header.length_bytes]
    if len(payload) < header.length_bytes:
        return None
    if _checksum(payload, salt, offset) != header.checksum:
        return None
    return payload


def _frame_follows(data, salt, offset):
    found = data.find(_MAGIC, offset + 1)
    while found >= 0:
        if payload_at(data, salt, found) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False


def _has_empty_sector(data, start, end):
    while start < end:
        sector_end = min(end, start - start % _SECTOR_BYTES + _SECTOR_BYTES)
        if not any(data[start:sector_end]):
            return True
        start = sector_end
    return False


def _diagnose(data, salt, offset):
    if _frame_follows(data, salt, offset):
        return Fault.CORRUPT
    if len(data) - offset < HEADER_BYTES:
        return Fault.TORN
    header = _header(data, salt, offset)
    end = offset + HEADER_BYTES
    if header is not None:
        end += header.length_bytes
    if end > len(data) or _has_empty_sector(data, offset, end):
        return Fault.TORN
    return Fault.CORRUPT


def scan(data, salt, offset):
    """Read frames up to the end or the first damage.

    Each frame is synced before the next is written.  So damage before a valid
    frame is corruption; at the end, bytes that never reached the disk are
    missing or zero, while other differences are corruption too.

    :param data: contents of the file.
    :param salt: number of the file.
    :param offset: where the first frame starts.
    :returns: a :class:`Scan`.

    >>> scan(frame(b"a", 7, 0), 7, 0)
    Scan(payloads=[b'a'], end=25, fault=None)
    >>> scan(frame(b"a", 7, 0)[:-1], 7, 0).fault
    <Fault.TORN: 'torn'>
    """
    payloads = []
    while offset < len(data):
        payload = payload_at(data, salt, offset)
        if payload is None:
            return Scan(payloads, offset, _diagnose(data, salt, offset))
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(payloads, offset, None)
