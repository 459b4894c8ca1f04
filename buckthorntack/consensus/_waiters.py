"""Callers that wait for a proposal or read."""

from typing import NamedTuple


class _Waiter(NamedTuple):
    due: object
    future: object


class Waiters:
    """Callers that wait, each under a key and up to one time-out.

    :param timeout: how long a caller waits.
    """

    def __init__(self, timeout):
        self.timeout = timeout
        self._waiters = {}

    def __len__(self):
        return len(self._waiters)

    def add(self, key, future, now):
        """Let a caller wait.

        :param key: what it waits for.
        :param future: future that it awaits.
        :param now: monotonic time.
        """
        self._waiters[key] = _Waiter(now + self.timeout, future)

    def resolve(self, key, result):
        """Give a caller its result, if it still waits.

        :param key: what it waits for.
        :param result: its result.
        """
        waiter = self._waiters.pop(key, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(result)

    def expire(self, now, result):
        """Give those whose time is over a result.

        :param now: monotonic time.
        :param result: their result.
        """
        expired = []
        for key, waiter in self._waiters.items():
            if waiter.due > now:
                break
            expired.append(key)
        for key in expired:
            self.resolve(key, result)

    def resolve_all(self, result):
        """Give all the same result.

        :param result: their result.
        """
        for key in list(self._waiters):
            self.resolve(key, result)
