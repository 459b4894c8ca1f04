"""Quotas of organisations, shared by many entry VMs."""

import collections
import math
from typing import NamedTuple

from buckthorntack.admission import _bucket
from buckthorntack.admission import _shares
from buckthorntack.schema import messages

#: Organisations checked for idle state on each request.
SWEPT_ORGANISATIONS = 2
#: Smallest share of a quota that is requested or lent.
MIN_LENT_SHARE = 1e-6
SECONDS_PER_MINUTE = 60.0


class _PeerNeed(NamedTuple):
    """Share of a quota that another entry VM needs beyond its own."""

    share: float
    incarnation: int
    asked_at_ms: int
    heard_s: float


class _Account:
    """Quota state of one organisation at this entry VM."""

    __slots__ = (
        "peer_needs",
        "demand_requests",
        "demand_tokens",
        "limits",
        "requests",
        "share",
        "shares",
        "tokens",
        "updated_s",
    )

    def __init__(self, now_s):
        self.limits = None
        self.requests = None
        self.tokens = None
        self.share = 0.0
        self.shares = _shares.Shares()
        self.peer_needs = {}
        self.demand_requests = 0.0
        self.demand_tokens = 0.0
        self.updated_s = now_s


class QuotaTable:
    """Quota state of the organisations active at this entry VM.

    :param node_id: this entry VM.
    :param incarnation: number that differs between starts of the process.
    :param settings: ``AdmissionSettings``.
    """

    def __init__(self, node_id, incarnation, settings):
        self.node_id = node_id
        self.incarnation = incarnation
        self.settings = settings
        self._fixed_share = 1.0
        self._accounts = collections.OrderedDict()

    def __len__(self):
        return len(self._accounts)

    def set_entry_count(self, count):
        """Set the number of entry VMs that share the quotas.

        :param count: known entry VMs that have not deregistered, including
            unreachable ones.
        """
        self._fixed_share = 1.0 / max(1, count)

    def try_charge(self, organisation, limits, prompt_tokens, now_s):
        """Charge a request if the quota is not used up.

        :param organisation: organisation of the request.
        :param limits: ``QuotaLimits``.
        :param prompt_tokens: length of the prompt.
        :param now_s: monotonic time in seconds.
        :returns: None if charged, else seconds until the quota refills.
        """
        self._sweep(now_s)
        account = self._account(organisation, now_s)
        self._update(account, limits, now_s)
        account.demand_requests += 1.0
        account.demand_tokens += prompt_tokens
        requests_wait_s = _wait_s(
            1.0 - account.requests.level,
            limits.requests_per_second * account.share,
        )
        tokens_wait_s = _wait_s(
            -account.tokens.level,
            limits.tokens_per_minute / SECONDS_PER_MINUTE * account.share,
        )
        if account.requests.level < 1.0 or account.tokens.level <= 0.0:
            return max(requests_wait_s, tokens_wait_s)
        account.requests.take(1.0)
        account.tokens.take(prompt_tokens)
        return None

    def refund(self, organisation, prompt_tokens):
        """Refund the charge of a request that never started.

        :param organisation: organisation of the request.
        :param prompt_tokens: length of the prompt.
        """
        account = self._accounts.get(organisation)
        if account is not None and account.requests is not None:
            account.requests.take(-1.0)
            account.tokens.take(-prompt_tokens)

    def charge_generated(self, organisation, tokens):
        """Charge an organisation for generated tokens.

        :param organisation: the organisation.
        :param tokens: number of tokens.
        """
        account = self._accounts.get(organisation)
        if account is not None and account.tokens is not None:
            account.tokens.take(tokens)
            account.demand_tokens += tokens

    def usable_share(self, organisation, now_s):
        """Share of a quota that this entry VM may use now.

        :param organisation: the organisation.
        :param now_s: monotonic time in seconds.
        :returns: fraction of the whole quota, from 0 to 1.
        """
        account = self._accounts.get(organisation)
        if account is None:
            return self._fixed_share
        return account.shares.usable(self._fixed_share, now_s)

    def build_report(self, now_s):
        """Build the report of needed and lent shares for other entry VMs.

        :param now_s: monotonic time in seconds.
        :returns: ``UsageReport``.
        """
        needs = []
        grants = []
        for organisation, account in self._accounts.items():
            self._update(account, account.limits, now_s)
            demand = self._demand_share(account, now_s)
            shortage = min(demand, 1.0) - self._fixed_share
            if shortage > MIN_LENT_SHARE:
                needs.append(messages.QuotaNeed(organisation, shortage))
            grants += self._grant_spare(organisation, account, demand, now_s)
        max_entries = self.settings.reported_organisations
        needs.sort(key=lambda need: -need.share)
        return messages.UsageReport(
            self.node_id,
            self.incarnation,
            int(now_s * 1e3),
            needs[:max_entries],
            grants,
        )

    def on_report(self, report, now_s):
        """Process the report of another entry VM; duplicates have no effect.

        :param report: ``UsageReport``.
        :param now_s: monotonic time in seconds.
        """
        if report.node_id == self.node_id:
            return
        for need in report.needs:
            self._record_need(report, need, now_s)
        for grant in report.grants:
            if (grant.node_id, grant.incarnation) == (
                self.node_id,
                self.incarnation,
            ):
                self._borrow(report.node_id, grant, now_s)

    def _record_need(self, report, need, now_s):
        account = self._account(need.organisation, now_s)
        known = account.peer_needs.get(report.node_id)
        if known is not None and known[1:3] == (
            report.incarnation,
            report.sent_at_ms,
        ):
            return
        account.peer_needs[report.node_id] = _PeerNeed(
            need.share, report.incarnation, report.sent_at_ms, now_s
        )

    def _borrow(self, lender, grant, now_s):
        until_s = (grant.asked_at_ms + grant.lease_ms) / 1e3
        if grant.asked_at_ms > now_s * 1e3 or until_s <= now_s:
            return
        account = self._account(grant.organisation, now_s)
        self._update(account, account.limits, now_s)
        account.shares.borrow(lender, grant.share, until_s)
        account.share = account.shares.usable(self._fixed_share, now_s)

    def _grant_spare(self, organisation, account, demand, now_s):
        lease_s = self.settings.quota_lease_ms / 1e3
        peer_needs = account.peer_needs
        for node_id in [n for n, a in peer_needs.items() if now_s > a.heard_s]:
            if now_s - peer_needs[node_id].heard_s > lease_s:
                del peer_needs[node_id]
        needed = sum(need.share for need in peer_needs.values())
        spare = self._fixed_share - demand
        if needed <= 0 or spare <= MIN_LENT_SHARE:
            return []
        scale = min(1.0, spare / needed)
        grants = []
        for node_id, need in peer_needs.items():
            free = self._fixed_share - account.shares.lent(
                excluded_node_id=node_id
            )
            share = min(need.share * scale, free)
            if share > MIN_LENT_SHARE:
                account.shares.lend(node_id, share, now_s + lease_s)
                grants.append(
                    self._build_grant(node_id, need, organisation, share)
                )
        self._update(account, account.limits, now_s)
        return grants[: self.settings.reported_organisations]

    def _build_grant(self, node_id, need, organisation, share):
        return messages.QuotaGrant(
            node_id,
            need.incarnation,
            need.asked_at_ms,
            organisation,
            share,
            self.settings.quota_lease_ms,
        )

    def _account(self, organisation, now_s):
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account(now_s)
        else:
            self._accounts.move_to_end(organisation)
        return account

    def _update(self, account, limits, now_s):
        """Refill the buckets up to now.

        If the share has changed since the last refill, the smaller value
        counts.
        """
        share = account.shares.usable(self._fixed_share, now_s)
        elapsed_s = max(0.0, now_s - account.updated_s)
        self._decay_demand(account, elapsed_s)
        account.updated_s = max(now_s, account.updated_s)
        if limits is None:
            account.share = share
            return
        request_size = max(1.0, limits.burst_requests * share)
        token_size = max(1.0, limits.tokens_per_minute * share)
        if account.requests is None:
            account.requests = _bucket.TokenBucket(request_size)
            account.tokens = _bucket.TokenBucket(token_size)
        refilled = min(share, account.share) * elapsed_s
        account.requests.refill(
            limits.requests_per_second * refilled, request_size
        )
        account.tokens.refill(
            limits.tokens_per_minute / SECONDS_PER_MINUTE * refilled,
            token_size,
        )
        account.limits = limits
        account.share = share

    def _decay_demand(self, account, elapsed_s):
        kept = math.exp(-elapsed_s * 1e3 / self.settings.demand_ms)
        account.demand_requests *= kept
        account.demand_tokens *= kept

    def _demand_share(self, account, now_s):
        if account.limits is None:
            return 0.0
        average_s = self.settings.demand_ms / 1e3
        limits = account.limits
        requests = account.demand_requests / average_s
        tokens = account.demand_tokens / average_s
        share = max(
            requests / limits.requests_per_second,
            tokens * SECONDS_PER_MINUTE / limits.tokens_per_minute,
        )
        return share * self.settings.demand_headroom

    def _sweep(self, now_s):
        """Delete the state of idle organisations.

        The state of an idle organisation equals the initial state.
        """
        for _ in range(min(SWEPT_ORGANISATIONS, len(self._accounts))):
            organisation, account = next(iter(self._accounts.items()))
            self._update(account, account.limits, now_s)
            if self._is_idle(account, now_s):
                del self._accounts[organisation]
            else:
                self._accounts.move_to_end(organisation)

    def _is_idle(self, account, now_s):
        if account.shares or account.demand_requests > 0.01:
            return False
        lease_s = self.settings.quota_lease_ms / 1e3
        if any(
            now_s - a.heard_s <= lease_s for a in account.peer_needs.values()
        ):
            return False
        if account.requests is None:
            return True
        limits = account.limits
        return account.requests.level >= max(
            1.0, limits.burst_requests * account.share
        ) and account.tokens.level >= max(
            1.0, limits.tokens_per_minute * account.share
        )


def _wait_s(lacking, rate):
    if lacking <= 0:
        return 0.0
    return lacking / rate if rate > 0 else math.inf
