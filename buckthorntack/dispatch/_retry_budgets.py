"""Retry budgets that all entry VMs together keep.

Each entry VM uses an equal part of the slack and the ratio of its own
requests.  The total budget therefore holds without coordination, also during
a network partition.
"""

from buckthorntack import retries


class RetryBudgets:
    """Retry budgets by service.

    :param ratio: allowed retries per request.
    :param slack: additional retries allowed to all entry VMs together.
    :param share: fraction of ratio and slack that is used.
    """

    def __init__(self, ratio, slack, share):
        self.ratio = ratio
        self.slack = slack
        self.share = share
        self._members = 1
        self._budgets = {}

    def set_members(self, count):
        """Set the number of entry VMs that share the budgets.

        :param count: number of entry VMs.
        """
        members = max(1, count)
        if members != self._members:
            self._members = members
            for budget in self._budgets.values():
                budget.burst = self._burst()

    def _burst(self):
        return max(1.0, self.slack * self.share / self._members)

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(
                self.ratio * self.share, self._burst(), 0.0
            )
            self._budgets[service] = budget
        return budget

    def record_request(self, service):
        """Record a first attempt, which adds to the budget.

        :param service: service of the request.
        """
        self._budget(service).record_first_attempt()

    def has_retry(self, service, now_s):
        """Whether the budget has room for a retry.

        :param service: the service.
        :param now_s: monotonic time.
        """
        return self._budget(service).has_token(now_s)

    def take_retry(self, service, now_s):
        """Charge a retry to the budget if it has room.

        :param service: the service.
        :param now_s: monotonic time.
        :returns: whether the retry is allowed.
        """
        return self._budget(service).try_acquire(now_s)

    def refund_retry(self, service):
        """Give a retry back that was charged and not made.

        :param service: the service.
        """
        self._budget(service).refund()
