"""Ejection of backend servers that fail repeatedly."""


class Ejection:
    """Consecutive failures of one server, and the end of its ejection.

    :param settings: ``RouterSettings``.
    """

    __slots__ = ("_ejections", "_failures", "settings", "until_s")

    def __init__(self, settings):
        self.settings = settings
        self.until_s = None
        self._failures = 0
        self._ejections = 0

    def record_success(self):
        """Record an attempt that completed; reset the failure count."""
        self._failures = 0
        self._ejections = 0

    def record_failure(self, now_s):
        """Record a failed attempt.

        :param now_s: current monotonic time, seconds.
        :returns: whether the server reached the limit and must be ejected.
        """
        self._failures += 1
        if self._failures < self.settings.eject_after_failures:
            return False
        duration_ms = min(
            self.settings.ejection_ms * 2**self._ejections,
            self.settings.max_ejection_ms,
        )
        self._failures = 0
        self._ejections = min(self._ejections + 1, 16)
        self.until_s = now_s + duration_ms / 1e3
        return True
