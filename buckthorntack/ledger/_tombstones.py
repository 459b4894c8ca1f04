"""Compact set of expired keys, with eight bytes for each."""

import array
import bisect
import sys

#: Limit of the set; a home that reaches it accepts a new key only if its
#: prefix has the issue time, because such a key needs no tombstone.
MAX_TOMBSTONES = 1_000_000
#: Keys in the set of recent ones at which it is merged into the array.
MERGE_SIZE = 4096

_DIGEST_BYTES = 8


class Tombstones:
    """Set of key digests, cut to eight bytes.

    A key that was never used is refused as expired if its digest collides
    with that of an expired key.  A collision never lets a request run twice.

    >>> tombstones = Tombstones()
    >>> tombstones.add(b"0123456789abcdef")
    >>> b"0123456789abcdef" in tombstones
    True
    """

    def __init__(self):
        self._sorted = array.array("Q")
        self._recent = set()

    def __len__(self):
        return len(self._sorted) + len(self._recent)

    def __contains__(self, digest):
        number = _to_integer(digest)
        if number in self._recent:
            return True
        index = bisect.bisect_left(self._sorted, number)
        return index < len(self._sorted) and self._sorted[index] == number

    def add(self, digest):
        """Add an expired key.

        :param digest: digest of the key.
        """
        if digest in self:
            return
        self._recent.add(_to_integer(digest))
        if len(self._recent) >= MERGE_SIZE:
            self._merge()

    def _merge(self):
        merged = sorted((*self._sorted, *self._recent))
        self._sorted = array.array("Q", merged)
        self._recent = set()

    def dump(self):
        """Return all digests as bytes."""
        self._merge()
        return _to_big_endian(self._sorted).tobytes()

    def load(self, data):
        """Replace the set.

        :param data: bytes returned by :meth:`dump`.
        """
        loaded = array.array("Q")
        loaded.frombytes(data)
        self._sorted = _to_big_endian(loaded)
        self._recent = set()


def _to_integer(digest):
    return int.from_bytes(digest[:_DIGEST_BYTES], "big")


def _to_big_endian(numbers):
    if sys.byteorder == "big":
        return numbers
    swapped = array.array("Q", numbers)
    swapped.byteswap()
    return swapped
