"""Repeated notice of a condition that lasts."""

import datetime


class LastingCondition:
    """Decides when to report a condition that lasts.

    :param delay: time after which it is reported first.
    :param interval: time between two reports.
    """

    def __init__(self, delay, interval):
        self.delay = delay
        self.interval = interval
        self._since = None
        self._due_at = datetime.timedelta()

    def check(self, holds, now):
        """Record whether the condition holds.

        :param holds: whether it holds now.
        :param now: monotonic time.
        :returns: how long it has lasted if a report is due, otherwise None.
        """
        if not holds:
            self._since = None
            return None
        if self._since is None:
            self._since = now
            self._due_at = now + self.delay
        if now < self._due_at:
            return None
        self._due_at = now + self.interval
        return now - self._since
