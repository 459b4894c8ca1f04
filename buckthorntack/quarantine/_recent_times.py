"""Latest times of keys, forgotten after a retention time."""

import collections
import datetime


class RecentTimes:
    """Latest time by key, with bounded memory.

    :param retention: age at which a key is forgotten.
    :param max_size: keys kept at most; the oldest are evicted.

    >>> second = datetime.timedelta(seconds=1)
    >>> times = RecentTimes(60 * second, 2)
    >>> for number, key in enumerate("abc"):
    ...     times.record(key, number * second)
    >>> times.get("a"), times.get("c").total_seconds()
    (None, 2.0)
    """

    def __init__(self, retention: datetime.timedelta, max_size: int):
        self.retention = retention
        self.max_size = max_size
        self._times = collections.OrderedDict()

    def __len__(self):
        return len(self._times)

    def __iter__(self):
        return iter(self._times.items())

    def get(self, key: str) -> datetime.timedelta | None:
        """Return the latest time of a key; None if there is none.

        :param key: the key.
        """
        return self._times.get(key)

    def record(self, key: str, at: datetime.timedelta) -> None:
        """Record a time unless a later one is known.

        :param key: the key.
        :param at: monotonic time.
        """
        known = self._times.get(key)
        if known is not None and known >= at:
            return
        self._times[key] = at
        self._times.move_to_end(key)
        if len(self._times) > self.max_size:
            self._times.popitem(last=False)

    def expire(self, now: datetime.timedelta) -> None:
        """Forget keys whose time is older than the retention time.

        :param now: current monotonic time.
        """
        while self._times:
            key, at = next(iter(self._times.items()))
            if now - at <= self.retention:
                return
            del self._times[key]
