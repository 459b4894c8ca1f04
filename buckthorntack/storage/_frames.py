"""Checksummed frames, and detection of damaged ones.

The checksums of a frame depend on its file and offset.  A copy of a frame
inside a payload is therefore not valid.
"""

import enum
import struct
from typing import NamedTuple

import xxhash

_MAGIC = b"\xb7BtF"
_FIELDS = struct.Struct("<4sIQ")
_CHECKSUM = struct.Struct("<Q")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size
#: Unit of disk writes; a sector that was not written reads as zeros.
_SECTOR_BYTES = 512


class Fault(enum.Enum):
    """Kind of damage after the last readable frame."""

    #: An incomplete last write, for example because of a crash.
    TORN = "torn"
    #: Loss or change of bytes that were synced.
    CORRUPT = "corrupt"


class Scan(NamedTuple):
    """Readable frames of a file."""

    payloads: list[bytes]
    end_offset: int
    fault: Fault | None


class _Header(NamedTuple):
    length_bytes: int
    checksum: int


def _checksum(data, salt, offset):
    return xxhash.xxh3_64_intdigest(data, seed=salt ^ offset)


def encode_frame(payload, salt, offset):
    """Encode a frame.

    :param payload: payload of the frame.
    :param salt: number of the file, below 2 to the power of 64.
    :param offset: offset in the file at which the frame will be written.
    :returns: bytes of the frame.
    """
    checksum = _checksum(payload, salt, offset)
    fields = _FIELDS.pack(_MAGIC, len(payload), checksum)
    return fields + _CHECKSUM.pack(_checksum(fields, salt, offset)) + payload


def _parse_header(data, salt, offset):
    if len(data) - offset < HEADER_BYTES:
        return None
    fields = data[offset : offset + _FIELDS.size]
    (stored,) = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    magic, length_bytes, checksum = _FIELDS.unpack(fields)
    if magic != _MAGIC or stored != _checksum(fields, salt, offset):
        return None
    return _Header(length_bytes, checksum)


def read_payload(data, salt, offset):
    """Read the payload of the frame at an offset.

    :param data: contents of the file.
    :param salt: number of the file.
    :param offset: offset of the frame.
    :returns: the payload, or None if there is no valid frame.
    """
    header = _parse_header(data, salt, offset)
    if header is None:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + header.length_bytes]
    if len(payload) < header.length_bytes:
        return None
    if _checksum(payload, salt, offset) != header.checksum:
        return None
    return payload


def _has_later_frame(data, salt, offset):
    found = data.find(_MAGIC, offset + 1)
    while found >= 0:
        if read_payload(data, salt, found) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False


def _has_zero_sector(data, start, end):
    while start < end:
        sector_end = min(end, start - start % _SECTOR_BYTES + _SECTOR_BYTES)
        if not any(data[start:sector_end]):
            return True
        start = sector_end
    return False


def _classify_damage(data, salt, offset):
    if _has_later_frame(data, salt, offset):
        return Fault.CORRUPT
    if len(data) - offset < HEADER_BYTES:
        return Fault.TORN
    header = _parse_header(data, salt, offset)
    end = offset + HEADER_BYTES
    if header is not None:
        end += header.length_bytes
    if end > len(data) or _has_zero_sector(data, offset, end):
        return Fault.TORN
    return Fault.CORRUPT


def scan(data, salt, offset):
    """Read frames up to the end of the file or the first damage.

    Each frame is synced before the next one is written.  Damage before a
    valid frame is therefore corruption.  In the last frame, bytes that never
    reached the disk are missing or zero; any other damage is corruption.

    :param data: contents of the file.
    :param salt: number of the file.
    :param offset: offset of the first frame.
    :returns: a :class:`Scan`.

    >>> scan(encode_frame(b"a", 7, 0), 7, 0)
    Scan(payloads=[b'a'], end_offset=25, fault=None)
    >>> scan(encode_frame(b"a", 7, 0)[:-1], 7, 0).fault
    <Fault.TORN: 'torn'>
    """
    payloads = []
    while offset < len(data):
        payload = read_payload(data, salt, offset)
        if payload is None:
            return Scan(payloads, offset, _classify_damage(data, salt, offset))
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(payloads, offset, None)
