"""Quotas of organisations that the entry VMs of all regions share.

Each entry VM keeps a bucket of the whole quota for each active organisation.
It charges what it admits itself, and what the others report that they
admitted.  Reports are late, so that a quota that is used up is not handed out
request by request but as a share of the demand of all entry VMs: all of them
admit with the same probability, and together no more than the rate.
"""

import collections
import math
from typing import NamedTuple

#: Time constant of the estimates of demand and use: a few report periods.
ESTIMATE_S = 1.0
#: Time in which the level returns to 0; several times the age of reports, as
#: the entry VMs would swing otherwise.
CORRECTION_S = 2.0
#: Age of the newest use that other entry VMs of the region have reported.
LOCAL_LAG_S = 0.15
#: Age of the newest use in the report of another region, on arrival.
REGION_LAG_S = 0.25
#: Time between two reports of a region.
REGION_PERIOD_S = 0.3
#: Pause between two reports of a region after which one is missing.
MISSED_REPORT_S = 0.5
#: Time without a report after which a region is out of touch.
SILENCE_S = 1.2
#: Part of the tolerance by which the bucket is enlarged.  The other part
#: covers what is admitted before reports arrive.
ENLARGING_SHARE = 0.5
#: Part of that in the bucket of an organisation when its entry VM starts.
START_SHARE = 0.75
#: Part of the tolerance that entry VMs which start together divide among
#: themselves until they have heard each other; also the largest request that
#: any of them admits then beyond its part.
FIRST_SHARE = 0.2
#: Time after the start in which each region is taken to have entry VMs.
SETTLING_S = 5.0
#: Entry VMs that a region is taken to have before their number is known.
UNKNOWN_COUNT = 100
#: Least age for which the demand before the start is made up for.
MIN_AGE_S = 0.1
#: Longest time in which a started entry VM waits for the reports of others.
LONGEST_START_S = 1.0
#: Window for deployments whose settings name none.
DEFAULT_WINDOW_S = 8.0
#: Least wait that a refusal states.
MIN_WAIT_S = 0.1
#: Extra wait, as a share, that spreads those that come back.
WAIT_JITTER_SHARE = 0.25
#: Time in which the bucket of any organisation is taken to refill, where it
#: is not known.
LONGEST_REFILL_S = 60.0
#: Idle organisations that are looked for in each call.
SWEEP_COUNT = 2

_OWN = 0
_LOCAL = 1


class QuotaTolerance(NamedTuple):
    """What all entry VMs together may admit beyond a quota."""

    #: Time over which a quota is measured.
    window_s: float = DEFAULT_WINDOW_S
    #: Part of the quota.
    overrun: float = 0.0
    #: Amount in the unit of the quota.
    slack: float = 0.0

    def compute_margin(self, quota):
        """Return the amount beyond a quota in one window.

        :param quota: the ``directives.Quota``.

        >>> quota = collections.namedtuple("Quota", "rate_per_s burst")
        >>> QuotaTolerance(8.0, 0.5, 3.0).compute_margin(quota(1.0, 2.0))
        8.0
        """
        limit = quota.rate_per_s * self.window_s + quota.burst
        return limit * self.overrun + self.slack


class _Account:
    """Bucket of an organisation, and who uses it."""

    __slots__ = (
        "admitted",
        "level",
        "own_level",
        "quota",
        "requested",
        "updated_s",
    )

    def __init__(self, quota, level, source_count, now_s):
        self.quota = quota
        self.level = level
        #: What is left of this entry VM's own part while it starts.
        self.own_level = 0.0
        self.updated_s = now_s
        #: Decaying sums by source.
        self.admitted = [0.0] * source_count
        self.requested = [0.0] * source_count

    @property
    def is_idle(self):
        """Whether the estimates have decayed."""
        return sum(self.requested) < 1e-3 * ESTIMATE_S * self.quota.rate_per_s


class OrganisationQuotas:
    """Quotas at one entry VM; a ``dispatch.SumListener``.

    :param region: region of this entry VM.
    :param regions: names of all regions of the deployment.
    :param tolerance: the :class:`QuotaTolerance`.
    :param find_quota: returns the ``directives.Quota`` of an organisation by
        name, or None.
    :param rng: source of randomness.
    :param now_s: monotonic time in seconds.
    """

    def __init__(self, region, regions, tolerance, find_quota, rng, now_s):
        self.tolerance = tolerance
        self.find_quota = find_quota
        self.rng = rng
        others = sorted(set(regions) - {region})
        self._sources = {name: _LOCAL + 1 + n for n, name in enumerate(others)}
        self._source_count = len(others) + 2
        #: Time of the last report by region that has entry VMs; never for
        #: those unheard.
        self._heard_s = dict.fromkeys(others, -math.inf)
        #: Regions that had entry VMs at any time.
        self._seen_regions = set()
        self._accounts = collections.OrderedDict()
        #: Whether only the share of this region is used.
        self.is_cut_off = bool(others)
        #: Part of the bucket that an organisation without an account had at
        #: that time; nothing is known of what was used before the start.
        self._base_share = 0.0
        self._base_s = now_s
        #: Number of entry VMs of this region; None if not known.
        self._member_count = None
        self._started_s = now_s
        self._is_starting = True
        self._has_heard_members = False

    def __len__(self):
        return len(self._accounts)

    @property
    def region_share(self):
        """Part of each quota that belongs to one region."""
        return 1.0 / (len(self._heard_s) + 1)

    def set_entry_vms(self, member_count, regions, now_s):
        """Set where there are entry VMs.

        A region of which none was ever seen has no part of the quotas, except
        soon after the start, when records of it may still come.

        :param member_count: number of entry VMs of this region.
        :param regions: names of the regions that have entry VMs.
        :param now_s: monotonic time in seconds.
        """
        self._member_count = member_count
        self._seen_regions.update(self._sources.keys() & set(regions))
        if now_s - self._started_s < SETTLING_S:
            return
        if self._seen_regions == self._heard_s.keys():
            return
        for account in self._accounts.values():
            self._refresh(account, now_s)
        self._heard_s = {
            region: self._heard_s.get(region, -math.inf)
            for region in sorted(self._seen_regions)
        }
        self._update_touch(now_s)

    def list_silent_regions(self, now_s):
        """List the regions that are out of touch.

        :param now_s: monotonic time in seconds.
        """
        return [
            region
            for region, heard_s in self._heard_s.items()
            if now_s - heard_s > SILENCE_S
        ]

    def charge(self, name, quota, cost, now_s):
        """Charge a request that a client sends to this entry VM.

        :param name: name of the organisation.
        :param quota: its ``directives.Quota``.
        :param cost: amount in the unit of the quota.
        :param now_s: monotonic time in seconds.
        :returns: None if the request is admitted, else the time in seconds
            until there is room for it.
        """
        self._update_touch(now_s)
        account = self._open(name, quota, now_s)
        _, kept = self._sizes(account)
        level = account.level - self._estimate_unreported(account, now_s)
        demand_per_s = self._demand_per_s(account)
        account.requested[_OWN] += cost
        rate_per_s = self._rate_per_s(account)
        if self._is_starting:
            has_room = self._fits_own_part(account, cost)
        else:
            has_room = level - cost >= kept or self._is_drawn(
                rate_per_s + level / CORRECTION_S, demand_per_s
            )
        if not has_room:
            return self._estimate_wait_s(level, rate_per_s, demand_per_s)
        account.own_level -= cost
        account.admitted[_OWN] += cost
        self._take(account, cost)
        return None

    def _fits_own_part(self, account, cost):
        """Whether a starting entry VM may admit a request.

        Nobody knows yet what the others admit.  The last request may
        overdraw the part of this one, as a part of many is less than a
        prompt.
        """
        margin = self.tolerance.compute_margin(account.quota)
        largest = max(account.own_level, margin * FIRST_SHARE)
        return account.own_level > 0.0 and cost <= largest

    def _update_start(self, now_s):
        """End the start when the others were heard, or have had the time."""
        if not self._is_starting:
            return
        # In a single region no report tells that there are no others.
        is_alone = self._member_count == 1 and self._heard_s
        is_heard = is_alone or self._has_heard_members
        is_late = now_s - self._started_s > LONGEST_START_S
        if is_late or (is_heard and not self.is_cut_off):
            self._is_starting = False

    def _own_share(self):
        """Part of each quota that belongs to this entry VM."""
        return self.region_share / (self._member_count or UNKNOWN_COUNT)

    def _first_own_level(self, quota, now_s):
        margin = self.tolerance.compute_margin(quota)
        earned = quota.rate_per_s * (now_s - self._started_s)
        # Chance spreads requests less evenly the fewer one entry VM gets.
        spread = math.sqrt(self._member_count or UNKNOWN_COUNT)
        return (margin * FIRST_SHARE * spread + earned) * self._own_share()

    def refund(self, name, quota, cost, now_s):
        """Give back what was charged for a request that did not run.

        :param name: name of the organisation.
        :param quota: its ``directives.Quota``.
        :param cost: the amount that was charged.
        :param now_s: monotonic time in seconds.
        """
        self._update_touch(now_s)
        account = self._open(name, quota, now_s)
        account.admitted[_OWN] = max(0.0, account.admitted[_OWN] - cost)
        self._take(account, -cost)

    def on_local_updates(self, updates, now_s):
        """Charge what other entry VMs of this region have admitted.

        :param updates: list of ``OrganisationUse``.
        :param now_s: monotonic time in seconds.
        """
        self._has_heard_members = True
        self._update_touch(now_s)
        for update in updates:
            self._on_update(_LOCAL, update, now_s)

    def on_region_updates(self, region, updates, now_s):
        """Charge what the entry VMs of another region have admitted.

        :param region: name of the region.
        :param updates: list of ``OrganisationUse``; may be empty.
        :param now_s: monotonic time in seconds.
        """
        source = self._sources.get(region)
        if source is None:
            return
        self._update_touch(now_s)
        silence_s = now_s - self._heard_s.get(region, -math.inf)
        if MISSED_REPORT_S < silence_s <= SILENCE_S and not self.is_cut_off:
            self._charge_missed(source, silence_s - REGION_PERIOD_S, now_s)
        self._heard_s[region] = now_s
        self._seen_regions.add(region)
        self._update_touch(now_s)
        for update in updates:
            self._on_update(source, update, now_s)

    def _charge_missed(self, source, missed_s, now_s):
        """Charge what a region is expected to have used in lost reports."""
        for account in self._accounts.values():
            self._refresh(account, now_s)
            amount = account.admitted[source] / ESTIMATE_S * missed_s
            self._take(account, amount)

    def _on_update(self, source, update, now_s):
        quota = self.find_quota(update.organisation)
        if quota is None:
            return
        account = self._open(update.organisation, quota, now_s)
        account.requested[source] += max(0.0, update.requested)
        account.admitted[source] = max(
            0.0, account.admitted[source] + update.admitted
        )
        if source == _LOCAL or not self.is_cut_off:
            self._take(account, update.admitted)

    def _update_touch(self, now_s):
        """Change over between the whole quotas and this region's share.

        The bucket is divided when a region falls silent.  It is not joined
        again, as the others may have used their parts: it refills.
        """
        is_cut_off = bool(self.list_silent_regions(now_s))
        if is_cut_off != self.is_cut_off:
            self._change_over(is_cut_off, now_s)
        self._update_start(now_s)

    def _change_over(self, is_cut_off, now_s):
        for account in self._accounts.values():
            self._refresh(account, now_s)
            if is_cut_off:
                unreported = self._estimate_unreported(account, now_s)
                account.level -= unreported
                account.level *= self.region_share
        base = self._base_level(LONGEST_REFILL_S, now_s)
        self._base_share = base * self.region_share if is_cut_off else base
        self._base_s = now_s
        self.is_cut_off = is_cut_off

    def _base_level(self, refill_s, now_s):
        """Part that is left of a bucket without an account.

        :param refill_s: time in which the whole bucket refills.
        """
        share = self.region_share if self.is_cut_off else 1.0
        earned = (now_s - self._base_s) / refill_s * share
        return min(share, self._base_share + earned)

    def _first_level(self, account, now_s):
        """Level of an organisation of which nothing is known here.

        It contains a little of the tolerance, also right after the start.
        """
        size, kept = self._sizes(account)
        share = self.region_share if self.is_cut_off else 1.0
        level = kept * START_SHARE
        if size > 0.0:
            refill_s = size / share / account.quota.rate_per_s
            base = self._base_level(refill_s, now_s)
            level = max(level, size / share * base)
        return level

    def _open(self, name, quota, now_s):
        """Return the account of an organisation, up to date."""
        account = self._accounts.get(name)
        if account is None or account.quota.unit is not quota.unit:
            account = _Account(quota, 0.0, self._source_count, now_s)
            account.level = self._first_level(account, now_s)
            account.own_level = self._first_own_level(quota, now_s)
            self._accounts[name] = account
        account.quota = quota
        self._refresh(account, now_s)
        self._accounts.move_to_end(name)
        self._drop_idle(now_s)
        return account

    def _drop_idle(self, now_s):
        for _ in range(SWEEP_COUNT):
            name, account = next(iter(self._accounts.items()))
            if account.updated_s == now_s:
                return
            self._refresh(account, now_s)
            size, _ = self._sizes(account)
            if account.is_idle and account.level >= size:
                del self._accounts[name]
            else:
                self._accounts.move_to_end(name)

    def _refresh(self, account, now_s):
        """Refill the bucket and let the estimates decay."""
        passed_s = now_s - account.updated_s
        if passed_s > 0.0:
            account.updated_s = now_s
            account.level += passed_s * self._rate_per_s(account)
            own_rate_per_s = account.quota.rate_per_s * self._own_share()
            account.own_level += passed_s * own_rate_per_s
            factor = math.exp(-passed_s / ESTIMATE_S)
            account.admitted = [amount * factor for amount in account.admitted]
            account.requested = [
                amount * factor for amount in account.requested
            ]
        size, _ = self._sizes(account)
        account.level = min(account.level, size)

    def _take(self, account, amount):
        """Take from the bucket, or give back if the amount is negative.

        A level so low that it binds for a whole window falls no further.
        """
        size, _ = self._sizes(account)
        floor = -self._rate_per_s(account) * self.tolerance.window_s
        account.level = min(size, max(floor, account.level - amount))

    def _sizes(self, account):
        """Return the size of the bucket and the part due to tolerance."""
        quota = account.quota
        kept = self.tolerance.compute_margin(quota) * ENLARGING_SHARE
        share = self.region_share if self.is_cut_off else 1.0
        return (quota.burst + kept) * share, kept * share

    def _rate_per_s(self, account):
        """Rate that all who share this bucket may use.

        While a region is out of touch, what another region leaves of its part
        is divided evenly among all others, also those out of touch.
        """
        rate_per_s = account.quota.rate_per_s
        if not self.is_cut_off:
            return rate_per_s
        part_per_s = rate_per_s * self.region_share
        lent_per_s = 0.0
        for region, heard_s in self._heard_s.items():
            if account.updated_s - heard_s <= SILENCE_S:
                used = account.admitted[self._sources[region]]
                lent_per_s += max(0.0, part_per_s - used / ESTIMATE_S)
        return part_per_s + lent_per_s / max(1, len(self._heard_s))

    def _demand_per_s(self, account):
        """Demand of all who share this bucket."""
        requested = account.requested
        if self.is_cut_off:
            requested = requested[: _LOCAL + 1]
        return sum(requested) / self._estimate_s(account.updated_s)

    def _estimate_unreported(self, account, now_s):
        """Return what others are expected to have admitted since.

        A region whose report is overdue is expected to admit at least as much
        as this one.
        """
        admitted = account.admitted
        unreported = admitted[_LOCAL] * LOCAL_LAG_S
        if not self.is_cut_off:
            for region, heard_s in self._heard_s.items():
                silence_s = now_s - heard_s
                used = admitted[self._sources[region]]
                if silence_s > MISSED_REPORT_S:
                    used = max(used, admitted[_OWN] + admitted[_LOCAL])
                unreported += used * (REGION_LAG_S + silence_s)
        return unreported / self._estimate_s(now_s)

    def _estimate_s(self, now_s):
        """Time over which the decaying sums add up.

        They lack what was before the start.
        """
        age_s = max(now_s - self._started_s, MIN_AGE_S)
        return ESTIMATE_S * (1.0 - math.exp(-age_s / ESTIMATE_S))

    def _estimate_wait_s(self, level, rate_per_s, demand_per_s):
        """Time until the bucket refills, behind those refused before."""
        refill_s = max(0.0, -level) / rate_per_s
        queue_s = (demand_per_s / rate_per_s - 1.0) * ESTIMATE_S
        queue_s = min(max(0.0, queue_s), self.tolerance.window_s)
        wait_s = max(MIN_WAIT_S, refill_s + queue_s)
        return wait_s * (1.0 + WAIT_JITTER_SHARE * self.rng.random())

    def _is_drawn(self, usable_per_s, demand_per_s):
        if usable_per_s >= demand_per_s:
            return usable_per_s > 0.0
        return self.rng.random() * demand_per_s < usable_per_s
