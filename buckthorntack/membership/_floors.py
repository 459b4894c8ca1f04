"""Remembered order of records that are gone, bounded in time and count."""

import collections
from typing import NamedTuple


class Floor(NamedTuple):
    """Order up to which announcements of a gone record are refused."""

    incarnation: int
    sequence: int
    until_ms: int
    #: Whether no later announcement of the incarnation counts either.
    final: bool


class FloorTable:
    """Floors of records that were withdrawn or whose lease lapsed.

    :param keep_ms: how long each is kept.
    :param max_floors: most of them.
    """

    def __init__(self, keep_ms, max_floors):
        self.keep_ms = keep_ms
        self.max_floors = max_floors
        self._floors = collections.OrderedDict()

    def __len__(self):
        return len(self._floors)

    def put(self, key, incarnation, sequence, final, now_ms):
        """Remember the order of a record.

        :param key: its name.
        :param incarnation: its incarnation.
        :param sequence: its last sequence.
        :param final: whether the incarnation is over.
        :param now_ms: monotonic time.
        """
        until_ms = now_ms + self.keep_ms
        self._floors[key] = Floor(incarnation, sequence, until_ms, final)
        self._floors.move_to_end(key)
        while len(self._floors) > self.max_floors:
            self._floors.popitem(last=False)

    def get(self, key):
        """The floor of a record, or ``None``.

        :param key: its name.
        """
        return self._floors.get(key)

    def admits(self, key, incarnation, sequence):
        """Whether an announcement is newer than what is gone.

        :param key: name of the record.
        :param incarnation: its incarnation.
        :param sequence: its sequence.
        """
        floor = self._floors.get(key)
        if floor is None or incarnation > floor.incarnation:
            return True
        if floor.final or incarnation < floor.incarnation:
            return False
        return sequence > floor.sequence

    def drop(self, key):
        """Forget a floor whose record is back.

        :param key: its name.
        """
        self._floors.pop(key, None)

    def expire(self, now_ms):
        """Forget floors whose time is over.

        :param now_ms: monotonic time.
        """
        while self._floors:
            key, floor = next(iter(self._floors.items()))
            if floor.until_ms > now_ms:
                return
            del self._floors[key]

    def items(self):
        """All floors with their names."""
        return self._floors.items()
