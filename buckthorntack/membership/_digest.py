"""Hashes of sets of records, by which two nodes find what differs."""

import zlib

#: Fewest and most buckets.
_MIN_BUCKETS = 16
MAX_BUCKETS = 256
#: Records that share a bucket, if there are not too many.
_RECORDS_PER_BUCKET = 8


def checksum(key):
    """Hash of a record's name and version.

    :param key: a ``RecordKey``.
    """
    name = f"{key.kind} {key.key} {key.incarnation} {key.sequence}"
    return zlib.crc32(name.encode())


def bucket_of(key, count):
    """Number of the bucket a record falls in, whatever its version.

    :param key: a ``RecordKey``.
    :param count: how many buckets there are.
    """
    return zlib.crc32(f"{key.kind} {key.key}".encode()) % count


def bucket_count(records):
    """How many buckets suit a number of records.

    :param records: how many records there are.

    >>> bucket_count(0), bucket_count(300), bucket_count(10**6)
    (16, 64, 256)
    """
    count = _MIN_BUCKETS
    while count < MAX_BUCKETS and count * _RECORDS_PER_BUCKET < records:
        count *= 2
    return count


def buckets(keys, count):
    """Hash of each bucket.

    :param keys: all ``RecordKey``, in any order.
    :param count: how many buckets there are.

    >>> buckets([], 2)
    [0, 0]
    """
    hashes = [0] * count
    for key in keys:
        hashes[bucket_of(key, count)] ^= checksum(key)
    return hashes


def differing_buckets(ours, theirs):
    """Numbers of the buckets that differ.

    :param ours: hashes of ours.
    :param theirs: hashes of theirs.

    >>> differing_buckets([1, 2], [1, 3])
    [1]
    """
    pairs = enumerate(zip(ours, theirs, strict=False))
    return [number for number, (a, b) in pairs if a != b]
