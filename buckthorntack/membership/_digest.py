"""Hashes of sets of records, by which two nodes find what differs."""

import zlib

BUCKETS = 16


def checksum(key):
    """Hash of a record's name and version.

    :param key: a ``RecordKey``.
    """
    return zlib.crc32(f"{key}".encode())


def bucket_of(key):
    """Number of the bucket a record falls in, whatever its version.

    :param key: a ``RecordKey``.
    """
    return zlib.crc32(f"{key.kind} {key.key}".encode()) % BUCKETS


def buckets(keys):
    """Hash of each bucket.

    :param keys: all ``RecordKey``, in any order.

    >>> buckets([])[:2]
    [0, 0]
    """
    hashes = [0] * BUCKETS
    for key in keys:
        hashes[bucket_of(key)] ^= checksum(key)
    return hashes


def differing(ours, theirs):
    """Numbers of the buckets that differ.

    :param ours: hashes of ours.
    :param theirs: hashes of theirs.

    >>> differing([1, 2], [1, 3])
    [1]
    """
    pairs = enumerate(zip(ours, theirs, strict=False))
    return [number for number, (a, b) in pairs if a != b]
