"""Exchange of server usage among the entry VMs of a region.

Each failure domain has a relay, the entry VM with most means that responds.
The other entry VMs of the domain report to the relay.  Relays report the sum
of their domain to each other, and the sum of all others to each entry VM of
their domain.  The number of messages is therefore linear in the number of
entry VMs and not quadratic.  The rate of reports that one entry VM sends and
their share of its link are limited: a relay of many entry VMs waits longer
between two rounds.

A sum includes only reports of a smaller scope, so no request is counted twice
even if entry VMs disagree on the relay.  An entry VM that changes its relay
sends an empty report to the former one.
"""

import math
from typing import NamedTuple

from buckthorntack.dispatch import _shared_sums
from buckthorntack.schema import messages

#: Time without reports from a relay after which another relay is chosen, at
#: the shortest report period.
RELAY_TIMEOUT_S = 0.5
#: Time between two rounds of reports; short compared with the time that an
#: engine takes for a request.
REPORT_PERIOD_S = 0.075
#: Shortest time between two rounds if one is urgent.
MIN_REPORT_INTERVAL_S = 0.004
#: Reports that an entry VM sends per second at most.  More of them take most
#: of a link of 5 Mbit/s and of half a core, which serve callers as well.
MAX_REPORTS_PER_S = 600.0
#: Reports that it may send at once beyond that rate.
REPORT_BURST = 60.0
#: Share of its link that its reports may take: requests and the ends of their
#: connections are held up behind them.
LINK_SHARE = 0.4
#: Longest time between two rounds; a relay that is silent for longer would be
#: given up.
MAX_REPORT_PERIOD_S = 0.2
#: Time for which a silent relay is not chosen, unless it reports again.
SUSPICION_S = 3.0
#: Period between full reports to the same entry VM; the other reports contain
#: changes only.
FULL_REPORT_PERIOD_S = 0.4
#: Period between reports that list the live entry VMs.
HEARD_LIST_PERIOD_S = 0.5
#: Largest age of the last report of an entry VM that is listed as live.
MAX_HEARD_AGE_S = 0.8
#: Number of entry VMs of another failure domain that get reports while it has
#: no live relay.
MAX_UNHEARD_RELAYS = 2


#: Uncached prompt tokens from which a request is reported at once: the engine
#: takes so long to prefill them that a second such prompt would stall its
#: streams.
URGENT_PROMPT_TOKENS = 6_000
_BYTES_PER_MEGABIT = 125_000


class CacheUpdates(NamedTuple):
    """Changes of the prefix caches of servers."""

    prompts: list
    #: Tokens read by server, not counting those prompts.
    reads: dict[str, int]


class _PendingUpdates(NamedTuple):
    """Updates to forward to other entry VMs."""

    sender: str
    scope: str
    updates: CacheUpdates
    #: Lists of updates in the order of ``UsageExchange.sums``.
    sums: tuple[list, ...]


class _Reported(NamedTuple):
    """What an entry VM was told last."""

    uses: dict[str, messages.ServerUse]
    limits: list[messages.ServerLimit]
    #: What was known of each server's start.
    restarts: dict[str, messages.ServerRestart]
    #: Monotonic time of the last full report.
    full_report_s: float


_NOTHING_REPORTED = _Reported({}, [], {}, -FULL_REPORT_PERIOD_S)


class UsageExchange:
    """Sender and receiver of usage reports at one entry VM.

    :param fleet: the ``Fleet``.
    :param own_id: id of this entry VM.
    :param failure_domain: failure domain of this entry VM.
    :param link_mbps: bandwidth of its link; 0 if not known.
    """

    def __init__(self, fleet, own_id, failure_domain, link_mbps=0.0):
        self.fleet = fleet
        self.own_id = own_id
        self.failure_domain = failure_domain
        self._domains = {}
        self._domain_of = {}
        self._means = {}
        self._relay = ""
        self._relay_since_s = 0.0
        #: Former relays that still count the last report of this entry VM.
        self._former_relays = set()
        self._suspected_until_s = {}
        self._last_heard_s = {}
        #: Time of the last report of scope "own" by entry VM.
        self._reporters = {}
        #: Last reporting relay and its report time, by other failure domain.
        self._remote_relays = {}
        self._pending = []
        self._restart_news = []
        #: :class:`_Reported` by receiver.
        self._last_reported = {}
        self._heard_list_sent_s = -HEARD_LIST_PERIOD_S
        self._sequence = 0
        #: Reports that may be sent at once; negative after a large round.
        self._report_tokens = REPORT_BURST
        self._tokens_at_s = 0.0
        self._bytes_per_s = LINK_SHARE * link_mbps * _BYTES_PER_MEGABIT
        #: Time that the reports sent need at that rate, and when it was so.
        self._debt_s = 0.0
        self._debt_at_s = 0.0
        #: Sums over all entry VMs.
        self.organisations = _shared_sums.SharedSums(
            messages.OrganisationUse, 1
        )
        self.speeds = _shared_sums.SharedSums(messages.SpeedSample, 2)
        self.speeds.add_listener(fleet.speeds)
        fleet.speeds.own_id = own_id
        fleet.speeds.publish = self.speeds.add
        #: Last sequence number by sender, and senders that have started.
        self._sequences = {}
        self._started = set()
        #: Whether to report at once because a large prompt was sent, or the
        #: limit of a server changed.
        self.is_urgent = False
        self.set_members({})

    def set_members(self, members, means=None):
        """Set the entry VMs of the region.

        The one with most means in a failure domain is its relay, among equals
        the first by id.  Means do not change with load, so that all entry VMs
        agree on the order.

        :param members: failure domain by entry VM id.
        :param means: means by entry VM id; None for equal ones.
        """
        members = {**members, self.own_id: self.failure_domain}
        means = means or {}
        if members == self._domain_of and means == self._means:
            return
        self._domain_of = members
        self._means = means
        self._domains = {}
        for node_id in sorted(members, key=self.seniority):
            domain = self._domains.setdefault(members[node_id], [])
            domain.append(node_id)

    def seniority(self, node_id):
        """Return the sort key by which entry VMs are chosen for duties.

        :param node_id: the entry VM.
        """
        return -self._means.get(node_id, 0.0), node_id

    @property
    def sums(self):
        """The sums over all entry VMs, in the order of a report's fields."""
        return self.organisations, self.speeds

    @property
    def period_s(self):
        """Time between two rounds of reports that are not urgent."""
        return max(self._shortest_period_s, self.min_interval_s)

    @property
    def _shortest_period_s(self):
        member_count = len(self._domains[self.failure_domain])
        return max(REPORT_PERIOD_S, member_count / MAX_REPORTS_PER_S)

    @property
    def min_interval_s(self):
        """Shortest time between two rounds of reports."""
        return max(
            MIN_REPORT_INTERVAL_S,
            -self._report_tokens / MAX_REPORTS_PER_S,
            self._debt_s,
        )

    @property
    def _relay_timeout_s(self):
        """Time without reports after which a relay is given up.

        An idle relay sends only full reports, each in the first round after
        their period.
        """
        return max(
            RELAY_TIMEOUT_S,
            FULL_REPORT_PERIOD_S + 2 * self._shortest_period_s,
        )

    @property
    def relay(self):
        """Id of the relay of this entry VM; "" before the first report."""
        return self._relay

    def last_heard_s(self, node_id):
        """Time of the last known report of an entry VM, direct or by relay.

        :param node_id: the entry VM.
        :returns: monotonic time, or None if there was no report.
        """
        return self._last_heard_s.get(node_id)

    def on_report(self, sender, report, now_s):
        """Process the report of another entry VM.

        :param sender: id of the entry VM.
        :param report: the ``UseReport``.
        :param now_s: monotonic time.
        """
        for node_id in (sender, *report.heard):
            self._last_heard_s[node_id] = now_s
        self._suspected_until_s.pop(sender, None)
        if report.sequence <= self._sequences.get(sender, math.inf):
            self._started.add(sender)
            # It must not wait for the next full report.
            self._last_reported.pop(sender, None)
        self._sequences[sender] = report.sequence
        self.fleet.speeds.merge_statements(report.known_speeds, now_s)
        self._choose_relay(now_s)
        if report.scope == "own":
            self._reporters[sender] = now_s
            self.fleet.on_peer_report(sender, report, now_s)
        elif report.scope == "domain":
            domain = self._domain_of.get(sender)
            if domain is None or self._relay != self.own_id:
                return
            self._remote_relays[domain] = (sender, now_s)
            self.fleet.on_peer_report(_domain_sender(domain), report, now_s)
        elif sender == self._relay:
            self.fleet.on_peer_report(sender, report, now_s)
        else:
            return
        if self.fleet.limits.merge(report.limits, now_s):
            self.is_urgent = True
        news = self.fleet.restarts.merge(report.restarts, now_s)
        if report.is_whole and report.knows_restarts:
            self.fleet.restarts.on_informed()
        if news:
            self._restart_news.extend(news)
            self.is_urgent = True
        if report.is_urgent and report.scope != "region":
            self.is_urgent = True
        reads = {read.server_id: read.tokens for read in report.reads}
        sums = (report.organisations, report.speeds)
        for shared, updates in zip(self.sums, sums, strict=True):
            shared.on_local_updates(updates, now_s)
        if report.prompts or reads or any(sums):
            updates = CacheUpdates(report.prompts, reads)
            self._pending.append(
                _PendingUpdates(sender, report.scope, updates, sums)
            )

    def on_region_load(self, load, now_s):
        """Process what another region has added to the sums.

        :param load: ``RegionLoad``.
        :param now_s: monotonic time.
        """
        sums = (load.organisations, load.speeds)
        for shared, updates in zip(self.sums, sums, strict=True):
            shared.on_region_updates(load.region, updates, now_s)

    def take_region_updates(self):
        """Return and clear what this region has added to the sums.

        :returns: list of updates for each of ``sums``.
        """
        return [shared.take_region_updates() for shared in self.sums]

    def on_request_sent(self, flight):
        """Record that a request is sent to a server.

        :param flight: the ``InFlightRequest``.
        """
        if flight.unread_tokens >= URGENT_PROMPT_TOKENS:
            self.is_urgent = True

    def take_restart_news(self):
        """Return and clear the servers of whose starts others told news.

        :returns: list of server ids.
        """
        news, self._restart_news = self._restart_news, []
        return news

    def on_restart_news(self):
        """Record that a server may have started again, or told of it."""
        self.is_urgent = True

    def on_limit_changed(self):
        """Record that an answer of a server changed its limit.

        So does a rejection by a brittle server.
        """
        self.is_urgent = True

    def next_hops(self, sender, now_s):
        """Entry VMs to forward a region-wide broadcast to.

        :param sender: sender of the message; "" if in another region.
        :param now_s: monotonic time.
        :returns: list of entry VM ids.
        """
        self._choose_relay(now_s)
        if self._relay != self.own_id:
            return [] if sender in self._domain_of else [self._relay]
        domain = self._domain_of.get(sender, self.failure_domain)
        return [
            node_id
            for node_id, scope in self._receivers(now_s)
            if node_id != sender
            and (scope == "region" or domain == self.failure_domain)
        ]

    def take_due_reports(self, now_s):
        """Build the reports to send now.

        :param now_s: monotonic time.
        :returns: list of pairs of entry VM id and ``UseReport``.
        """
        self._choose_relay(now_s)
        self._sequence += 1
        self.fleet.expire_forwarded(now_s)
        updates = self.fleet.take_cache_updates()
        sums = tuple(shared.take_own_updates() for shared in self.sums)
        self._pending.append(
            _PendingUpdates(self.own_id, "own", updates, sums)
        )
        includes_heard = now_s - self._heard_list_sent_s >= HEARD_LIST_PERIOD_S
        if includes_heard:
            self._heard_list_sent_s = now_s
        due = []
        total = self.fleet.list_total_uses()
        restarts = {
            statement.server_id: statement
            for statement in self.fleet.restarts.list_statements(now_s)
        }
        receivers = self._receivers(now_s)
        self._take_report_tokens(len(receivers), now_s)
        for node_id, scope in receivers:
            uses = self._select_uses(node_id, scope, total)
            report = self._build_report(
                node_id, scope, uses, restarts, includes_heard, now_s
            )
            if report is not None:
                due.append((node_id, report))
        due.extend(
            (node_id, self._empty_report()) for node_id in self._former_relays
        )
        self._former_relays.clear()
        self._pending = []
        self.is_urgent = False
        return due

    def record_sent(self, sent_bytes, now_s):
        """Record the size of a round of reports.

        :param sent_bytes: size of its messages.
        :param now_s: monotonic time.
        """
        if not self._bytes_per_s:
            return
        paid_s = now_s - self._debt_at_s
        self._debt_at_s = now_s
        left_s = max(0.0, self._debt_s - paid_s)
        debt_s = left_s + sent_bytes / self._bytes_per_s
        self._debt_s = min(debt_s, MAX_REPORT_PERIOD_S)

    def _take_report_tokens(self, count, now_s):
        earned = (now_s - self._tokens_at_s) * MAX_REPORTS_PER_S
        self._tokens_at_s = now_s
        tokens = min(REPORT_BURST, self._report_tokens + max(0.0, earned))
        self._report_tokens = tokens - count

    def _empty_report(self):
        return messages.UseReport(
            self._sequence, "own", True, [], [], [], [], False, []
        )

    def _choose_relay(self, now_s):
        relay = self._relay
        if relay and relay != self.own_id:
            heard_s = max(
                self._relay_since_s, self._last_heard_s.get(relay, 0.0)
            )
            if now_s - heard_s > self._relay_timeout_s:
                self._suspected_until_s[relay] = now_s + SUSPICION_S
        for node_id in self._domains[self.failure_domain]:
            until_s = self._suspected_until_s.get(node_id)
            if until_s is not None and now_s < until_s:
                continue
            if node_id != relay:
                self._switch_relay(node_id, now_s)
            return

    def _switch_relay(self, node_id, now_s):
        self.fleet.remove_peer_report(self._relay)
        if self._relay == self.own_id:
            for domain in self._domains:
                self.fleet.remove_peer_report(_domain_sender(domain))
        if self._relay not in ("", self.own_id):
            self._former_relays.add(self._relay)
        self._former_relays.discard(node_id)
        self._relay = node_id
        self._relay_since_s = now_s
        self._last_reported.clear()

    def _receivers(self, now_s):
        """Return the entry VMs to report to and the scope of each report."""
        is_relay = self._relay == self.own_id
        timeout_s = self._relay_timeout_s
        reporters = {
            node_id
            for node_id, heard_s in self._reporters.items()
            if now_s - heard_s <= timeout_s
        }
        receivers = [(node_id, "region") for node_id in sorted(reporters)]
        if not is_relay:
            return [(self._relay, "own"), *receivers]
        for domain, node_ids in self._domains.items():
            if domain == self.failure_domain:
                continue
            sender, heard_s = self._remote_relays.get(domain, ("", 0.0))
            if sender and now_s - heard_s <= timeout_s:
                receivers.append((sender, "domain"))
                continue
            for node_id in node_ids[:MAX_UNHEARD_RELAYS]:
                receivers.append((node_id, "domain"))
        return receivers

    def _list_heard(self, scope, now_s):
        heard = {self.own_id}
        for node_id, heard_s in self._last_heard_s.items():
            is_same_domain = (
                self._domain_of.get(node_id) == self.failure_domain
            )
            if now_s - heard_s <= MAX_HEARD_AGE_S and (
                is_same_domain or scope == "region"
            ):
                heard.add(node_id)
        return sorted(heard)

    def _build_report(
        self, node_id, scope, uses, all_restarts, includes_heard, now_s
    ):
        """Build a report for an entry VM; None if there are no changes.

        The report contains the servers whose usage has changed, and all
        servers once per ``FULL_REPORT_PERIOD_S``.
        """
        last = self._last_reported.get(node_id, _NOTHING_REPORTED)
        full_report_s = last.full_report_s
        # Where rounds are far apart, the next one could be too late.
        lead_s = self.period_s - self._shortest_period_s
        is_whole = now_s - full_report_s >= FULL_REPORT_PERIOD_S - lead_s
        changed = list(uses.values())
        if not is_whole:
            changed = [
                use for use in changed if last.uses.get(use.server_id) != use
            ]
            changed.extend(
                messages.ServerUse(server_id, 0, 0, 0, 0)
                for server_id in last.uses
                if server_id not in uses
            )
        all_limits = self.fleet.limits.list_statements()
        limits = all_limits
        if not is_whole:
            limits = [limit for limit in limits if limit not in last.limits]
        restarts = list(all_restarts.values())
        if not is_whole:
            restarts = [
                restart
                for restart in restarts
                if _is_news(restart, last.restarts.get(restart.server_id))
            ]
        prompts, reads, sums = self._updates_for(node_id, scope)
        heard = []
        if includes_heard and scope != "own":
            heard = self._list_heard(scope, now_s)
        parts = (changed, prompts, reads, heard, limits, restarts, *sums)
        if not (is_whole or any(parts)):
            return None
        known_speeds = []
        if node_id in self._started:
            self._started.remove(node_id)
            known_speeds = self.fleet.speeds.list_statements()
        self._last_reported[node_id] = _Reported(
            uses,
            all_limits,
            all_restarts,
            now_s if is_whole else full_report_s,
        )
        return messages.UseReport(
            self._sequence,
            scope,
            is_whole,
            changed,
            prompts,
            reads,
            heard,
            self.is_urgent,
            limits,
            *sums,
            known_speeds=known_speeds,
            restarts=restarts,
            knows_restarts=self.fleet.restarts.knows_all(now_s),
        )

    def _select_uses(self, node_id, scope, total):
        """Return the ``ServerUse`` for a receiver, by server."""
        if scope == "own":
            local = self.fleet.list_local_uses()
            return {use.server_id: use for use in local}
        if scope == "domain":
            others = {_domain_sender(domain) for domain in self._domains}
            return self.fleet.uses_excluding(total, others)
        return self.fleet.uses_excluding(total, {node_id})

    def _updates_for(self, node_id, scope):
        selected = [
            pending
            for pending in self._pending
            if pending.sender != node_id
            and (scope != "own" or pending.sender == self.own_id)
            and (scope != "domain" or pending.scope == "own")
        ]
        prompts, reads = [], {}
        for pending in selected:
            prompts.extend(pending.updates.prompts)
            for server_id, tokens in pending.updates.reads.items():
                reads[server_id] = reads.get(server_id, 0) + tokens
        changed = [
            messages.ServerRead(server_id, tokens)
            for server_id, tokens in reads.items()
        ]
        sums = [
            shared.combine(pending.sums[number] for pending in selected)
            for number, shared in enumerate(self.sums)
        ]
        return prompts, changed, sums


def _is_news(restart, last):
    """Whether a statement tells more than that less time is left."""
    return last is None or (restart.version, restart.is_suspected) != (
        last.version,
        last.is_suspected,
    )


def _domain_sender(domain):
    """Return the sender name of the report for another failure domain."""
    return f"domain {domain}"
