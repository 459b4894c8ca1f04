"""Bucket hashes, by which two nodes find the records that differ."""

import zlib

#: Smallest number of buckets.
_MIN_BUCKETS = 16
#: Largest number of buckets.
MAX_BUCKETS = 256
#: Records per bucket, up to the largest number of buckets.
_RECORDS_PER_BUCKET = 8


def checksum(key):
    """Compute the hash of a record's name and version.

    :param key: a ``RecordKey``.
    """
    name = f"{key.kind} {key.key} {key.incarnation} {key.sequence}"
    return zlib.crc32(name.encode())


def bucket_of(key, count):
    """Bucket number of a record, the same for each of its versions.

    :param key: a ``RecordKey``.
    :param count: number of buckets.
    """
    return zlib.crc32(f"{key.kind} {key.key}".encode()) % count


def bucket_count(records):
    """Choose the number of buckets for a number of records.

    :param records: number of records.

    >>> bucket_count(0), bucket_count(300), bucket_count(10**6)
    (16, 64, 256)
    """
    count = _MIN_BUCKETS
    while count < MAX_BUCKETS and count * _RECORDS_PER_BUCKET < records:
        count *= 2
    return count


def buckets(keys, count):
    """Compute the hash of each bucket.

    :param keys: all ``RecordKey``, in any order.
    :param count: number of buckets.

    >>> buckets([], 2)
    [0, 0]
    """
    hashes = [0] * count
    for key in keys:
        hashes[bucket_of(key, count)] ^= checksum(key)
    return hashes


def differing_buckets(ours, theirs):
    """Numbers of the buckets whose hashes differ.

    :param ours: bucket hashes of this node.
    :param theirs: bucket hashes of the other node.

    >>> differing_buckets([1, 2], [1, 3])
    [1]
    """
    pairs = enumerate(zip(ours, theirs, strict=False))
    return [number for number, (a, b) in pairs if a != b]
