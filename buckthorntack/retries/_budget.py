"""Budget of retries as a share of first attempts."""


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Over any time, retries are at most ``share`` of the first attempts, plus
    ``burst``, plus ``per_second`` for each second.

    :param share: retries for each first attempt.
    :param burst: most retries saved up.
    :param per_second: retries that any time gives, for little traffic.

    >>> budget = RetryBudget(0.5, 1, 0.0)
    >>> budget.take(0.0), budget.take(0.0)
    (True, False)
    >>> budget.first_attempt()
    >>> budget.first_attempt()
    >>> budget.take(0.0)
    True
    """

    def __init__(self, share, burst, per_second):
        self.share = share
        self.burst = burst
        self.per_second = per_second
        self._level = float(burst)
        self._updated_s = 0.0

    def first_attempt(self):
        """Note the first attempt of a request."""
        self._level = min(self._level + self.share, self.burst)

    def take(self, now_s):
        """Ask for a retry.

        :param now_s: the time.
        :returns: whether the budget has room for it.
        """
        gained = max(0.0, now_s - self._updated_s) * self.per_second
        self._updated_s = max(now_s, self._updated_s)
        self._level = min(self._level + gained, self.burst)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
