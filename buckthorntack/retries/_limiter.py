"""Bound on failed attempts of equal requests over all entry VMs."""

import collections
import datetime

from buckthorntack.retries import _errors
from buckthorntack.schema import messages


class _Counts:
    """Failed attempts of one fingerprint, by entry VM."""

    __slots__ = ("by_node", "until")

    def __init__(self):
        self.by_node = {}
        self.until = datetime.timedelta()

    def total(self):
        """Failed attempts at all entry VMs."""
        return sum(count for _, count in self.by_node.values())


class AttemptLimiter:
    """Counts attempts that failed and may have run, by fingerprint.

    Each entry VM counts its own; the counts are spread as items whose merge
    takes the greatest, and added up.

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

    def failed(self, fingerprint: str, now: datetime.timedelta) -> None:
        """Count a failed attempt of this entry VM.

        :param fingerprint: the request's fingerprint.
        :param now: the time.
        """
        self._expire(now)
        counts = self._touch(fingerprint, now)
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
        """Ask before each attempt whether it may be made.

        :param fingerprint: the request's fingerprint.
        :param now: the time.
        :returns: None, or why not.
        """
        counts = self._counts.get(fingerprint)
        if counts is None or now >= counts.until:
            return None
        total = counts.total()
        if total < self.settings.failed_attempts:
            return None
        left_ms = int((counts.until - now).total_seconds() * 1e3)
        return _errors.TooManyAttemptsError(
            f"{total} attempts of equal requests failed", left_ms + 1
        )

    def merge(
        self, item: messages.FailedAttempts, now: datetime.timedelta
    ) -> None:
        """Take another entry VM's count; duplicates change nothing.

        :param item: ``FailedAttempts``.
        :param now: the time.
        """
        self._expire(now)
        known = self._counts.get(item.fingerprint)
        present = known.by_node.get(item.node_id) if known else None
        offered = (item.window, item.count)
        if item.node_id == self.node_id:
            return
        if present is None or offered > present:
            counts = self._touch(item.fingerprint, now)
            counts.by_node[item.node_id] = offered

    def take_items(self) -> list[messages.FailedAttempts]:
        """Items to be spread, each once.

        :returns: ``FailedAttempts`` messages.
        """
        items = list(self._outbox.values())
        self._outbox.clear()
        return items

    def _touch(self, fingerprint, now):
        counts = self._counts.setdefault(fingerprint, _Counts())
        window = datetime.timedelta(milliseconds=self.settings.window_ms)
        counts.until = now + window
        self._counts.move_to_end(fingerprint)
        return counts

    def _expire(self, now):
        while self._counts:
            fingerprint, counts = next(iter(self._counts.items()))
            if now < counts.until:
                return
            del self._counts[fingerprint]
