"""Tombstones of removed records, bounded in time and number.

A tombstone keeps delayed messages from adding a removed record again.
"""

import collections
from typing import NamedTuple


class Tombstone(NamedTuple):
    """Version of a removed record, up to which announcements are refused."""

    incarnation: int
    sequence: int
    expires_at_ms: int
    #: Whether later announcements of the same incarnation are refused too.
    is_final: bool


class TombstoneTable:
    """Tombstones of records that were withdrawn or whose lease expired.

    :param keep_ms: how long each is kept.
    :param max_tombstones: largest number of them; the oldest is evicted.
    """

    def __init__(self, keep_ms, max_tombstones):
        self.keep_ms = keep_ms
        self.max_tombstones = max_tombstones
        self._tombstones = collections.OrderedDict()

    def __len__(self):
        return len(self._tombstones)

    def put(self, key, incarnation, sequence, is_final, now_ms):
        """Store the version of a removed record.

        :param key: id of the record.
        :param incarnation: its incarnation.
        :param sequence: its last sequence number.
        :param is_final: whether no record of the incarnation may return.
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
        """Return the tombstone of a record, or ``None``.

        :param key: id of the record.
        """
        return self._tombstones.get(key)

    def is_newer(self, key, incarnation, sequence):
        """Return whether an announcement is newer than a tombstone.

        :param key: id of the record.
        :param incarnation: incarnation of the announcement.
        :param sequence: sequence number of the announcement.
        :returns: true also if there is no tombstone.
        """
        tombstone = self._tombstones.get(key)
        if tombstone is None or incarnation > tombstone.incarnation:
            return True
        if tombstone.is_final or incarnation < tombstone.incarnation:
            return False
        return sequence > tombstone.sequence

    def remove(self, key):
        """Delete the tombstone of a record that was added again.

        :param key: id of the record.
        """
        self._tombstones.pop(key, None)

    def expire(self, now_ms):
        """Delete the tombstones whose retention time is over.

        :param now_ms: monotonic time.
        """
        while self._tombstones:
            key, tombstone = next(iter(self._tombstones.items()))
            if tombstone.expires_at_ms > now_ms:
                return
            del self._tombstones[key]

    def items(self):
        """All pairs of record id and tombstone."""
        return self._tombstones.items()
