"""Calls that wait for the result of a proposal or read."""

from typing import NamedTuple


class _PendingCall(NamedTuple):
    due: object
    future: object


class PendingCalls:
    """Calls that wait for a result, by key, with a common timeout.

    :param timeout: longest time that a call waits, a ``timedelta``.
    """

    def __init__(self, timeout):
        self.timeout = timeout
        self._calls = {}

    def __len__(self):
        return len(self._calls)

    def add(self, key, future, now):
        """Add a call.

        :param key: id of the proposal or read.
        :param future: future that the caller awaits.
        :param now: monotonic time.
        """
        self._calls[key] = _PendingCall(now + self.timeout, future)

    def is_waiting(self, key):
        """Whether a call has no result and its caller has not left.

        :param key: id of the proposal or read.
        """
        call = self._calls.get(key)
        return call is not None and not call.future.done()

    def resolve(self, key, result):
        """Set the result of a call, if it still waits.

        :param key: id of the proposal or read.
        :param result: the result.
        """
        call = self._calls.pop(key, None)
        if call is not None and not call.future.done():
            call.future.set_result(result)

    def expire(self, now, result):
        """Set the result of the calls whose timeout has passed.

        :param now: monotonic time.
        :param result: the result, shared by them.
        """
        expired = []
        for key, call in self._calls.items():
            if call.due > now:
                break
            expired.append(key)
        for key in expired:
            self.resolve(key, result)

    def resolve_all(self, result):
        """Set the same result for all calls.

        :param result: the result.
        """
        for key in list(self._calls):
            self.resolve(key, result)
