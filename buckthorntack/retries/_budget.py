"""Retry budget as a share of first attempts."""


class RetryBudget:
    """Token bucket that limits retries in proportion to first attempts.

    Over any period, retries are at most ``share`` of the first attempts, plus
    ``burst``, plus ``per_second`` for each second.

    :param share: tokens added by each first attempt.
    :param burst: capacity of the bucket in tokens.
    :param per_second: tokens added each second, so that retries are possible
        at low traffic.

    >>> budget = RetryBudget(0.5, 1, 0.0)
    >>> budget.try_acquire(0.0), budget.try_acquire(0.0)
    (True, False)
    >>> budget.record_first_attempt()
    >>> budget.record_first_attempt()
    >>> budget.try_acquire(0.0)
    True
    """

    def __init__(self, share, burst, per_second):
        self.share = share
        self.burst = burst
        self.per_second = per_second
        self._tokens = float(burst)
        self._updated_s = 0.0

    def record_first_attempt(self):
        """Add the tokens of the first attempt of a request."""
        self._tokens = min(self._tokens + self.share, self.burst)

    def has_token(self, now_s):
        """Return whether the token of a retry is left.

        :param now_s: current monotonic time, seconds.
        """
        refill = max(0.0, now_s - self._updated_s) * self.per_second
        self._updated_s = max(now_s, self._updated_s)
        self._tokens = min(self._tokens + refill, self.burst)
        return self._tokens >= 1.0

    def try_acquire(self, now_s):
        """Take the token of a retry if there is one.

        :param now_s: current monotonic time, seconds.
        :returns: whether the retry may be made.
        """
        if not self.has_token(now_s):
            return False
        self._tokens -= 1.0
        return True

    def refund(self):
        """Give the token of a retry back that was not made."""
        self._tokens = min(self._tokens + 1.0, self.burst)
