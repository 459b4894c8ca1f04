"""Small application records that are replicated to all nodes."""

import collections
from typing import NamedTuple

from buckthorntack.schema import messages


class _HeldItem(NamedTuple):
    item: messages.Item
    expires_at_ms: int


class ItemTable:
    """Items by kind and key; the highest version wins.

    :param timing: a :class:`MembershipTiming`.
    """

    def __init__(self, timing):
        self.timing = timing
        self._held = collections.OrderedDict()

    def __len__(self):
        return len(self._held)

    def merge(self, item, now_ms):
        """Merge an item; evict the oldest one if the table is full.

        :param item: the item.
        :param now_ms: monotonic time.
        :returns: whether the table changed.
        """
        if item.ttl_ms <= 0 or len(item.value) > self.timing.max_item_bytes:
            return False
        key = (item.kind, item.key)
        held = self._held.get(key)
        if held is not None and held.item.version >= item.version:
            return False
        self._held[key] = _HeldItem(item, now_ms + item.ttl_ms)
        self._held.move_to_end(key)
        while len(self._held) > self.timing.max_items:
            self._held.popitem(last=False)
        return True

    def get(self, kind, key, now_ms):
        """Return an item with its remaining time to live, or ``None``.

        :param kind: kind of the item.
        :param key: key of the item.
        :param now_ms: monotonic time.
        """
        held = self._held.get((kind, key))
        return None if held is None else _with_remaining_ttl(held, now_ms)

    def records(self, now_ms):
        """All items with their remaining time to live.

        :param now_ms: monotonic time.
        """
        items = [
            _with_remaining_ttl(held, now_ms) for held in self._held.values()
        ]
        return [item for item in items if item is not None]

    def versions(self):
        """Yield a pair of kind and key, and the version, of each item."""
        for key, held in self._held.items():
            yield key, held.item.version

    def expire(self, now_ms):
        """Delete the items whose time to live is over.

        :param now_ms: monotonic time.
        """
        expired = [
            k for k, h in self._held.items() if h.expires_at_ms <= now_ms
        ]
        for key in expired:
            del self._held[key]


def _with_remaining_ttl(held, now_ms):
    ttl_ms = held.expires_at_ms - now_ms
    return held.item._replace(ttl_ms=ttl_ms) if ttl_ms > 0 else None
