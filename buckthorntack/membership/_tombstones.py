"""Remembered order of records that are gone, bounded in time and count."""

import collections
from typing import NamedTuple


class Tombstone(NamedTuple):
    """Order up to which announcements of a gone record are refused."""

    incarnation: int
    sequence: int
    expires_at_ms: int
    #: Whether no later announcement of the incarnation counts either.
    is_final: bool


class TombstoneTable:
    """Floors of records that were withdrawn or whose lease lapsed.

    :param keep_ms: how long each is kept.
    :param max_floors: most of them.
    """

    def __init__(self, keep_ms, max_tombstones):
        self.keep_ms = keep_ms
        self.max_tombstones = max_tombstones
        self._tombstones = collections.OrderedDict()

    def __len__(self):
        return len(self._tombstones)

    def put(self, key, incarnation, sequence, is_final, now_ms):
        """Remember the order of a record.

        :param key: its name.
        :param incarnation: its incarnation.
        :param sequence: its last sequence.
        :param final: whether the incarnation is over.
        :param now_ms: monotonic time.
        """
        expires_at_ms = now_ms + self.keep_ms
        self._tombstones[key] = Tombstone(
            incarnation, sequence, expires_at_ms, is_final
        )
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > self.max_tombstones:
            self._tombstones.popitem(last=False)

    def get(self, key):
        """The floor of a record, or ``None``.

        :param key: its name.
        """
        return self._tombstones.get(key)

    def is_newer(self, key, incarnation, sequence):
        """Whether an announcement is newer than what is gone.

        :param key: name of the record.
        :param incarnation: its incarnation.
        :param sequence: its sequence.
        """
        tombstone = self._tombstones.get(key)
        if tombstone is None or incarnation > tombstone.incarnation:
            return True
        if tombstone.is_final or incarnation < tombstone.incarnation:
            return False
        return sequence > tombstone.sequence

    def remove(self, key):
        """Forget a floor whose record is back.

        :param key: its name.
        """
        self._tombstones.pop(key, None)

    def expire(self, now_ms):
        """Forget floors whose time is over.

        :param now_ms: monotonic time.
        """
        while self._tombstones:
            key, tombstone = next(iter(self._tombstones.items()))
            if tombstone.expires_at_ms > now_ms:
                return
            del self._tombstones[key]

    def items(self):
        """All floors with their names."""
        return self._tombstones.items()
