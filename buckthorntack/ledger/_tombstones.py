"""Keys past their retention, in eight bytes each."""

import array
import bisect
import sys

#: Most keys remembered; beyond it a home takes only keys with a prefix.
MAX_TOMBSTONES = 1_000_000
#: Keys collected before they are merged into the sorted array.
MERGE_SIZE = 4096

_DIGEST_BYTES = 8


class Tombstones:
    """Set of key digests.

    Two keys of equal digest are taken for one; then a key that was never
    used is refused as expired, which is safe.

    >>> stones = Tombstones()
    >>> stones.add(b"0123456789abcdef")
    >>> b"0123456789abcdef" in stones
    True
    """

    def __init__(self):
        self._sorted = array.array("Q")
        self._recent = set()

    def __len__(self):
        return len(self._sorted) + len(self._recent)

    def __contains__(self, digest):
        number = _number(digest)
        if number in self._recent:
            return True
        place = bisect.bisect_left(self._sorted, number)
        return place < len(self._sorted) and self._sorted[place] == number

    def add(self, digest):
        """Remember a key.

        :param digest: its digest.
        """
        if digest in self:
            return
        self._recent.add(_number(digest))
        if len(self._recent) >= MERGE_SIZE:
            self._merge()

    def _merge(self):
        merged = sorted((*self._sorted, *self._recent))
        self._sorted = array.array("Q", merged)
        self._recent = set()

    def dump(self):
        """All digests as bytes."""
        self._merge()
        return _big_endian(self._sorted).tobytes()

    def load(self, data):
        """Replace the set.

        :param data: what :meth:`dump` gave.
        """
        loaded = array.array("Q")
        loaded.frombytes(data)
        self._sorted = _big_endian(loaded)
        self._recent = set()


def _number(digest):
    return int.from_bytes(digest[:_DIGEST_BYTES], "big")


def _big_endian(numbers):
    if sys.byteorder == "big":
        return numbers
    swapped = array.array("Q", numbers)
    swapped.byteswap()
    return swapped
