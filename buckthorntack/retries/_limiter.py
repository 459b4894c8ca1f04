"""Limit on failed attempts of equal requests across all entry VMs."""

import collections
import datetime

from buckthorntack.retries import _errors
from buckthorntack.schema import messages


class _FailureCounts:
    """Failed attempts of one fingerprint, by entry VM."""

    __slots__ = ("by_node", "window_end")

    def __init__(self):
        self.by_node = {}
        self.window_end = datetime.timedelta()

    def total(self):
        """Sum of failed attempts across all entry VMs."""
        return sum(count for _, count in self.by_node.values())


class AttemptLimiter:
    """Limiter of attempts that failed and may have run, by fingerprint.

    Each entry VM counts its own attempts and gossips the count.  Merging
    keeps the highest count of each entry VM; the limit applies to the sum.

    :param node_id: this entry VM.
    :param settings: ``RetrySettings``.
    """

    def __init__(self, node_id: str, settings):
        self.node_id = node_id
        self.settings = settings
        self._counts = collections.OrderedDict()
        self._outbox = {}

    def __len__(self):
        return len(self._counts)

    def record_failure(
        self, fingerprint: str, now: datetime.timedelta
    ) -> None:
        """Count a failed attempt of this entry VM.

        :param fingerprint: the request's fingerprint.
        :param now: current monotonic time.
        """
        self._expire(now)
        counts = self._extend_window(fingerprint, now)
        now_ms = int(now.total_seconds() * 1e3)
        window, count = counts.by_node.get(self.node_id, (now_ms, 0))
        counts.by_node[self.node_id] = (window, count + 1)
        item = messages.FailedAttempts(
            fingerprint, self.node_id, count + 1, window
        )
        self._outbox[fingerprint] = item

    def check(
        self, fingerprint: str, now: datetime.timedelta
    ) -> _errors.TooManyAttemptsError | None:
        """Check before an attempt whether the limit is reached.

        :param fingerprint: the request's fingerprint.
        :param now: current monotonic time.
        :returns: None, or the error if the attempt must not be made.
        """
        counts = self._counts.get(fingerprint)
        if counts is None or now >= counts.window_end:
            return None
        total = counts.total()
        if total < self.settings.max_failed_attempts:
            return None
        remaining_ms = int((counts.window_end - now).total_seconds() * 1e3)
        return _errors.TooManyAttemptsError(
            f"{total} attempts of equal requests failed", remaining_ms + 1
        )

    def merge(
        self, item: messages.FailedAttempts, now: datetime.timedelta
    ) -> None:
        """Merge the count of another entry VM; ignore duplicates.

        :param item: ``FailedAttempts``.
        :param now: current monotonic time.
        """
        self._expire(now)
        known = self._counts.get(item.fingerprint)
        known_count = known.by_node.get(item.node_id) if known else None
        received = (item.window, item.count)
        if item.node_id == self.node_id:
            return
        if known_count is None or received > known_count:
            counts = self._extend_window(item.fingerprint, now)
            counts.by_node[item.node_id] = received

    def take_items(self) -> list[messages.FailedAttempts]:
        """Return and clear the messages to gossip.

        :returns: ``FailedAttempts`` messages.
        """
        items = list(self._outbox.values())
        self._outbox.clear()
        return items

    def _extend_window(self, fingerprint, now):
        counts = self._counts.setdefault(fingerprint, _FailureCounts())
        window = datetime.timedelta(milliseconds=self.settings.window_ms)
        counts.window_end = now + window
        self._counts.move_to_end(fingerprint)
        return counts

    def _expire(self, now):
        while self._counts:
            fingerprint, counts = next(iter(self._counts.items()))
            if now < counts.window_end:
                return
            del self._counts[fingerprint]
