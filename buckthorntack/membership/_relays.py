"""Summaries between failure domains, sent by a few of their entry VMs."""

from buckthorntack.membership import _commands
from buckthorntack.membership import _deltas
from buckthorntack.membership import _summaries
from buckthorntack.schema import messages

#: Entry VMs of a failure domain that send its summaries.
_RELAYS = 4
#: Summaries of which one names entry VMs.
_ENTRIES_EVERY = 2
#: Summaries that name entry VMs after a change of them.
_WHOLE_REPEATS = 2
#: Periods that a summary lasts.
_LEASE_PERIODS = 3


class SummarySpread:
    """Sends and takes summaries.

    :param state: the :class:`MembershipState` it works on.
    """

    def __init__(self, state):
        self.state = state
        self.due_at_ms = 0
        self._sequence = 0
        self._turn = 0
        self._forward = {}
        self._former = {}
        self._unheard = {}
        self._whole_left = 0

    def domains(self):
        """How many failure domains are known, with this one."""
        return len(self.state.summaries) + 1

    def period_ms(self):
        """Present period of summaries."""
        return self.state.timing.summary_period_ms(self.domains())

    def rank(self):
        """Place of this node among the relays, or ``None``."""
        entries = self.state.domain_entries()
        ids = sorted(record.node_id for record in entries)[:_RELAYS]
        own = self.state.own.node_id
        return ids.index(own) if own in ids else None

    def tick(self):
        """Send what is due."""
        self._forward_in_domain()
        if self.state.now_ms < self.due_at_ms:
            return
        self.due_at_ms = self.state.now_ms + self.period_ms()
        self._turn += 1
        self._unheard.clear()
        rank = self.rank()
        relays = min(_RELAYS, len(self.state.domain_entries()))
        if rank is not None and self._turn % relays == rank:
            self._send_own()

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

    def _send_own(self):
        self._sequence += 1
        with_entries = self._sequence % _ENTRIES_EVERY == 0
        with_entries = with_entries or self._whole_left > 0
        self._whole_left = max(0, self._whole_left - 1)
        brief = self.own_summary(with_entries)
        whole = brief if with_entries else self.own_summary()
        for node_id in self.contacts():
            is_heard = self.state.stamps.has_seen(node_id)
            self.send(node_id, [brief if is_heard else whole])
        for node_id in self._unreached():
            self.send(node_id, [whole])

    def tell_entries(self):
        """Tell other failure domains which entry VMs to use, at once.

        The longer lease lets it win over what a relay has just sent.
        """
        self._sequence += 1
        self._whole_left = _WHOLE_REPEATS
        whole = self.own_summary()
        longer_ms = whole.lease_ms + self.period_ms()
        whole = whole._replace(lease_ms=longer_ms)
        for node_id in self.contacts():
            self.send(node_id, [whole])

    def send(self, to, summaries):
        """Send summaries to one node.

        :param to: the node.
        :param summaries: the summaries.
        """
        if not self.state.stamps.has_seen(to):
            self._unheard[to] = summaries
        self.state.send(to, messages.MembershipSummaries, summaries, True)

    def on_echo(self, node_id):
        """Send again what a node could not know the age of.

        :param node_id: the node, whose stamp can now be echoed.
        """
        summaries = self._unheard.pop(node_id, None)
        if summaries is not None:
            self.send(node_id, summaries)

    def contacts(self, count=1):
        """Random entry VMs of each other failure domain.

        :param count: how many of each.
        """
        state = self.state
        chosen = []
        for summary in state.summaries.records(state.now_ms):
            entries = summary.entries
            some = state.rng.sample(entries, min(count, len(entries)))
            chosen += [record.node_id for record in some]
        return chosen

    def _unreached(self):
        """One node of each failure domain that is not heard of now.

        Seeds, and entry VMs named by summaries that have lapsed.
        """
        state = self.state
        groups = {domain: list(ids) for domain, ids in self._former.items()}
        for seed in state.seeds:
            ids = groups.setdefault(seed["failure_domain"], [])
            ids.append(seed["node_id"])
        groups.pop(state.own.failure_domain, None)
        return [
            state.rng.choice(ids)
            for domain, ids in groups.items()
            if not self._reaches(domain)
        ]

    def expire(self):
        """Drop summaries whose lease has lapsed, but keep the contacts."""
        state = self.state
        for summary in state.summaries.expire(state.now_ms):
            ids = [record.node_id for record in summary.entries]
            if ids:
                self._former[summary.failure_domain] = ids
            state.commands.append(_commands.SummaryRemoved(summary))

    def _reaches(self, domain):
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
            if self._take(summary, lease_ms):
                news[summary.failure_domain] = bool(summary.entries)
        if not message.spread or not news:
            return
        if self.state.is_domain_peer(sender):
            self._forward.update(news)
        else:
            self._hand_over(news)

    def _hand_over(self, news):
        """Have a random node of this domain send summaries on.

        :param news: whether to name entry VMs, by failure domain.
        """
        nodes = self.state.domain_entries()
        chosen = self.state.rng.choice(nodes).node_id
        if chosen == self.state.own.node_id:
            self._forward.update(news)
        else:
            self.send(chosen, self._current(news))

    def _current(self, news):
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

    def _take(self, summary, lease_ms):
        state = self.state
        if summary.failure_domain == state.own.failure_domain:
            return False
        if not state.summaries.take(summary, lease_ms, state.now_ms):
            return False
        held = state.summaries.get(summary.failure_domain, state.now_ms)
        state.commands.append(_commands.SummaryChanged(held))
        if summary.region == state.own.region:
            entry_lease_ms = min(lease_ms, state.timing.entry_lease_ms)
            for entry in summary.entries:
                state.take_entry(entry, entry_lease_ms)
        return True

    def _forward_in_domain(self):
        news, self._forward = self._forward, {}
        summaries = self._current(news)
        if not summaries:
            return
        for peer in self.state.domain_peers():
            kind = messages.MembershipSummaries
            self.state.send(peer.node_id, kind, summaries, False)
