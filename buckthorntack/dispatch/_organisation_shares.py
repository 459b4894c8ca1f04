"""Whether an organisation asks for more than its share.

Organisations are compared by what they ask for per unit of their quota, over
the last seconds and all entry VMs.  The state is bounded by the organisations
of the configuration.
"""

import math
from typing import NamedTuple

#: Time constant of the sums.
WINDOW_S = 3.0
#: Age of the last report at which nothing is known of other entry VMs.
MAX_REPORT_AGE_S = 2.0
#: Multiple of the others' mean that an organisation may ask for.
TOLERANCE = 2.0
#: Smallest part of an organisation's requests that count as its share.
LEAST_SHARE = 0.3
#: Organisations that must be active for a comparison.
MIN_ACTIVE = 3


class _Sum(NamedTuple):
    amount: float
    at_s: float


class OrganisationShares:
    """Sums of what organisations ask for; listens to other entry VMs."""

    def __init__(self):
        self._rate_per_s = {}
        self._sums = {}
        self._heard_s = None

    def set_organisations(self, organisations):
        """Set the organisations of the configuration.

        :param organisations: iterable of ``directives.Organisation``.
        """
        self._rate_per_s = {
            organisation.name: organisation.quota.rate_per_s
            for organisation in organisations
            if organisation.quota and organisation.quota.rate_per_s > 0
        }
        for name in self._sums.keys() - self._rate_per_s.keys():
            del self._sums[name]

    def on_local_updates(self, updates, now_s):
        """Handle what other entry VMs of this region have added.

        :param updates: list of ``OrganisationUse``.
        :param now_s: monotonic time in seconds.
        """
        self._heard_s = now_s
        for update in updates:
            self.record(update.organisation, update.requested, now_s)

    def on_region_updates(self, region, updates, now_s):
        """Handle what the entry VMs of another region have added.

        :param region: name of the region.
        :param updates: list of ``OrganisationUse``.
        :param now_s: monotonic time in seconds.
        """
        for update in updates:
            self.record(update.organisation, update.requested, now_s)

    def record(self, name, requested, now_s):
        """Add what an organisation asked for, here or elsewhere.

        :param name: name of the organisation.
        :param requested: amount in the unit of its quota.
        :param now_s: monotonic time in seconds.
        """
        rate_per_s = self._rate_per_s.get(name)
        if rate_per_s is not None:
            amount = self._amount(name, now_s) + requested / rate_per_s
            self._sums[name] = _Sum(amount, now_s)

    def fair_share(self, name, now_s):
        """Part of an organisation's requests that lies within its share.

        :param name: name of the organisation.
        :param now_s: monotonic time in seconds.
        :returns: up to 1.0, also if too little is known.
        """
        heard_s = self._heard_s
        if heard_s is None or now_s - heard_s > MAX_REPORT_AGE_S:
            return 1.0
        own = self._amount(name, now_s)
        others = [
            self._amount(other, now_s) for other in self._sums if other != name
        ]
        others = [amount for amount in others if amount > 0]
        if own <= 0 or len(others) < MIN_ACTIVE - 1:
            return 1.0
        allowed = TOLERANCE * sum(others) / len(others)
        return max(LEAST_SHARE, min(1.0, allowed / own))

    def _amount(self, name, now_s):
        known = self._sums.get(name)
        if known is None:
            return 0.0
        return known.amount * math.exp((known.at_s - now_s) / WINDOW_S)
