"""Budget of repeated sends, kept by all entry VMs together.

Each entry VM has its part of the slack and the ratio of its own requests, so
that the sum holds without messages, in a partition too.
"""

from buckthorntack import retries


class RepeatBudgets:
    """Budgets of repeated sends by service.

    :param ratio: repeats for each request.
    :param slack: repeats beyond that, of all entry VMs together.
    :param share: part of both that is used.
    """

    def __init__(self, ratio, slack, share):
        self.ratio = ratio
        self.slack = slack
        self.share = share
        self._members = 1
        self._budgets = {}

    def set_members(self, count):
        """Take in how many entry VMs there are.

        :param count: their number.
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

    def first(self, service):
        """Note a request of a client.

        :param service: the service that it goes to.
        """
        self._budget(service).first_attempt()

    def take(self, service, now_s):
        """Ask for a repeated send.

        :param service: the service.
        :param now_s: monotonic time.
        :returns: whether there is room for it.
        """
        return self._budget(service).take(now_s)
