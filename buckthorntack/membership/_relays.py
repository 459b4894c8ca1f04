"""Summaries between failure domains, sent by a few of their entry VMs."""

from buckthorntack.membership import _commands
from buckthorntack.membership import _deltas
from buckthorntack.membership import _summaries
from buckthorntack.schema import messages

#: Entry VMs of a failure domain that send its summaries.
_MAX_RELAYS = 4
#: Summaries of which one names entry VMs.
_FULL_SUMMARY_INTERVAL = 2
#: Summaries that name entry VMs after a change of them.
_FULL_SUMMARY_REPEATS = 2
#: Periods that a summary lasts.
_LEASE_PERIODS = 3


class SummaryGossip:
    """Sends and takes summaries.

    :param state: the :class:`MembershipState` it works on.
    """

    def __init__(self, state):
        self.state = state
        self.due_at_ms = 0
        self._sequence = 0
        self._round = 0
        self._to_forward = {}
        self._last_contacts = {}
        self._awaiting_echo = {}
        self._full_repeats_left = 0

    def domain_count(self):
        """How many failure domains are known, with this one."""
        return len(self.state.summaries) + 1

    def period_ms(self):
        """Present period of summaries."""
        return self.state.timing.summary_period_ms(self.domain_count())

    def relay_rank(self):
        """Place of this node among the relays, or ``None``."""
        entries = self.state.domain_entries()
        ids = sorted(record.node_id for record in entries)[:_MAX_RELAYS]
        own = self.state.own.node_id
        return ids.index(own) if own in ids else None

    def tick(self):
        """Send what is due."""
        self._forward_in_domain()
        if self.state.now_ms < self.due_at_ms:
            return
        self.due_at_ms = self.state.now_ms + self.period_ms()
        self._round += 1
        self._awaiting_echo.clear()
        rank = self.relay_rank()
        relays = min(_MAX_RELAYS, len(self.state.domain_entries()))
        if rank is not None and self._round % relays == rank:
            self._send_own_summary()

    def own_summary(self, with_entries=True):
        """Summary of this failure domain as of now.

        :param with_entries: whether it names entry VMs.
        """
        state = self.state
        own = state.own
        entries = []
        if with_entries:
            entries = _summaries.choose_entries(
                state.domain_entries(),
                state.timing.summary_entries,
                state.rng,
            )
        return messages.DomainSummary(
            own.region,
            own.failure_domain,
            own.node_id,
            own.incarnation,
            self._sequence,
            entries,
            _summaries.summarise_services(state.domain_servers()),
            self.period_ms() * _LEASE_PERIODS,
        )

    def _send_own_summary(self):
        self._sequence += 1
        with_entries = self._sequence % _FULL_SUMMARY_INTERVAL == 0
        with_entries = with_entries or self._full_repeats_left > 0
        self._full_repeats_left = max(0, self._full_repeats_left - 1)
        short = self.own_summary(with_entries)
        full = short if with_entries else self.own_summary()
        for node_id in self.choose_contacts():
            can_echo = self.state.stamps.has_stamp(node_id)
            self.send(node_id, [short if can_echo else full])
        for node_id in self._choose_unreached():
            self.send(node_id, [full])

    def broadcast_summary(self):
        """Tell other failure domains which entry VMs to use, at once.

        The longer lease lets it win over what a relay has just sent.
        """
        self._sequence += 1
        self._full_repeats_left = _FULL_SUMMARY_REPEATS
        full = self.own_summary()
        longer_ms = full.lease_ms + self.period_ms()
        full = full._replace(lease_ms=longer_ms)
        for node_id in self.choose_contacts():
            self.send(node_id, [full])

    def send(self, to, summaries):
        """Send summaries to one node.

        :param to: the node.
        :param summaries: the summaries.
        """
        if not self.state.stamps.has_stamp(to):
            self._awaiting_echo[to] = summaries
        self.state.send(to, messages.MembershipSummaries, summaries, True)

    def on_peer_stamp(self, node_id):
        """Send again what a node could not know the age of.

        :param node_id: the node, whose stamp can now be echoed.
        """
        summaries = self._awaiting_echo.pop(node_id, None)
        if summaries is not None:
            self.send(node_id, summaries)

    def choose_contacts(self, count=1):
        """Random entry VMs of each other failure domain.

        :param count: how many of each.
        """
        state = self.state
        chosen = []
        for summary in state.summaries.records(state.now_ms):
            entries = summary.entries
            sample = state.rng.sample(entries, min(count, len(entries)))
            chosen += [record.node_id for record in sample]
        return chosen

    def _choose_unreached(self):
        """One node of each failure domain that is not heard of now.

        Seeds, and entry VMs named by summaries that have lapsed.
        """
        state = self.state
        groups = {
            domain: list(ids) for domain, ids in self._last_contacts.items()
        }
        for seed in state.seeds:
            ids = groups.setdefault(seed["failure_domain"], [])
            ids.append(seed["node_id"])
        groups.pop(state.own.failure_domain, None)
        return [
            state.rng.choice(ids)
            for domain, ids in groups.items()
            if not self._has_contacts(domain)
        ]

    def expire(self):
        """Drop summaries whose lease has lapsed, but keep the contacts."""
        state = self.state
        for summary in state.summaries.expire(state.now_ms):
            ids = [record.node_id for record in summary.entries]
            if ids:
                self._last_contacts[summary.failure_domain] = ids
            state.commands.append(_commands.SummaryRemoved(summary))

    def _has_contacts(self, domain):
        summary = self.state.summaries.get(domain, self.state.now_ms)
        return summary is not None and bool(summary.entries)

    def on_summaries(self, sender, message, age_ms):
        """Take summaries; those that are news go on to this domain.

        A random node of the domain does that, so that the few entry VMs
        that summaries name do not bear it all.

        :param sender: node that sent them.
        :param message: the message.
        :param age_ms: bound on its age, or ``None``.
        """
        news = {}
        for summary in message.summaries:
            lease_ms = _deltas.lease_left_ms(summary.lease_ms, age_ms)
            if self._merge_summary(summary, lease_ms):
                news[summary.failure_domain] = bool(summary.entries)
        if not message.spread or not news:
            return
        if self.state.is_domain_peer(sender):
            self._to_forward.update(news)
        else:
            self._delegate_forwarding(news)

    def _delegate_forwarding(self, news):
        """Have a random node of this domain send summaries on.

        :param news: whether to name entry VMs, by failure domain.
        """
        nodes = self.state.domain_entries()
        chosen = self.state.rng.choice(nodes).node_id
        if chosen == self.state.own.node_id:
            self._to_forward.update(news)
        else:
            self.send(chosen, self._current_summaries(news))

    def _current_summaries(self, news):
        """Summaries as held, without entry VMs that were not sent here.

        :param news: whether to name entry VMs, by failure domain.
        """
        found = []
        for domain, with_entries in sorted(news.items()):
            summary = self.state.summaries.get(domain, self.state.now_ms)
            if summary is not None and not with_entries:
                summary = summary._replace(entries=[])
            if summary is not None:
                found.append(summary)
        return found

    def _merge_summary(self, summary, lease_ms):
        state = self.state
        if summary.failure_domain == state.own.failure_domain:
            return False
        if not state.summaries.merge(summary, lease_ms, state.now_ms):
            return False
        held = state.summaries.get(summary.failure_domain, state.now_ms)
        state.commands.append(_commands.SummaryChanged(held))
        if summary.region == state.own.region:
            entry_lease_ms = min(lease_ms, state.timing.entry_lease_ms)
            for entry in summary.entries:
                state.merge_entry(entry, entry_lease_ms)
        return True

    def _forward_in_domain(self):
        news, self._to_forward = self._to_forward, {}
        summaries = self._current_summaries(news)
        if not summaries:
            return
        for peer in self.state.domain_peers():
            kind = messages.MembershipSummaries
            self.state.send(peer.node_id, kind, summaries, False)
