"""Whether an organisation asks for more than its share.

Organisations are compared by what they ask for per unit of their quota, over
the last seconds and all entry VMs.  The state is bounded by the organisations
of the configuration.
"""

import math
from typing import NamedTuple

#: Time constant of the sums.
WINDOW_S = 3.0
#: Time without requests after which an organisation is not active.
IDLE_S = 2 * WINDOW_S
#: Age of the last report at which nothing is known of other entry VMs.
MAX_REPORT_AGE_S = 2.0
#: Multiple of the others' mean that an organisation may ask for.
TOLERANCE = 2.0
#: Smallest part of an organisation's requests that count as its share.
LEAST_SHARE = 0.3
#: Organisations that must be active for a comparison.
MIN_ACTIVE = 3


class _Sum(NamedTuple):
    #: Amount as it will have decayed at the epoch of the sums.
    scaled: float
    updated_s: float


class OrganisationShares:
    """Sums of what organisations ask for; listens to other entry VMs."""

    def __init__(self):
        self._rate_per_s = {}
        self._sums = {}
        self._total = 0.0
        #: Sums are scaled to their value at this time, so that they decay
        #: together and a decision takes as long for any number of them.
        self._epoch_s = 0.0
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
        self._total = sum(known.scaled for known in self._sums.values())

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
        if rate_per_s is None:
            return
        if now_s - self._epoch_s > WINDOW_S:
            self._move_epoch(now_s)
        growth = math.exp((now_s - self._epoch_s) / WINDOW_S)
        added = requested / rate_per_s * growth
        known = self._sums.get(name)
        scaled = added if known is None else known.scaled + added
        self._sums[name] = _Sum(scaled, now_s)
        self._total += added

    def fair_share(self, name, now_s):
        """Part of an organisation's requests that lies within its share.

        :param name: name of the organisation.
        :param now_s: monotonic time in seconds.
        :returns: up to 1.0, also if too little is known.
        """
        heard_s = self._heard_s
        if heard_s is None or now_s - heard_s > MAX_REPORT_AGE_S:
            return 1.0
        known = self._sums.get(name)
        other_count = len(self._sums) - 1
        if known is None or other_count < MIN_ACTIVE - 1:
            return 1.0
        mean = (self._total - known.scaled) / other_count
        if known.scaled <= TOLERANCE * mean:
            return 1.0
        return max(LEAST_SHARE, TOLERANCE * mean / known.scaled)

    def _move_epoch(self, now_s):
        """Scale the sums to the present, without idle organisations."""
        decay = math.exp((self._epoch_s - now_s) / WINDOW_S)
        self._sums = {
            name: known._replace(scaled=known.scaled * decay)
            for name, known in self._sums.items()
            if now_s - known.updated_s <= IDLE_S
        }
        self._total = sum(known.scaled for known in self._sums.values())
        self._epoch_s = now_s
