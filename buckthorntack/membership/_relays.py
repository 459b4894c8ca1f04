"""Gossip of summaries between failure domains.

A few entry VMs of each failure domain, its relays, send its summary in turn.
"""

from buckthorntack.membership import _commands
from buckthorntack.membership import _deltas
from buckthorntack.membership import _summaries
from buckthorntack.schema import messages

#: Largest number of entry VMs that send the summary of a failure domain.
_MAX_RELAYS = 4
#: One of this many summaries names entry VMs.
_FULL_SUMMARY_INTERVAL = 2
#: Number of successive summaries that name entry VMs after a change.
_FULL_SUMMARY_REPEATS = 2
#: Lease of a summary, in summary periods.
_LEASE_PERIODS = 3


class SummaryGossip:
    """Sends summaries and merges received ones.

    :param state: the shared :class:`MembershipState`.
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
        """Number of known failure domains, including this one."""
        return len(self.state.summaries) + 1

    def period_ms(self):
        """Current period of summaries."""
        return self.state.timing.summary_period_ms(self.domain_count())

    def relay_rank(self):
        """Return this node's index among the relays, or ``None``."""
        entries = self.state.domain_entries()
        ids = sorted(record.node_id for record in entries)[:_MAX_RELAYS]
        own = self.state.own.node_id
        return ids.index(own) if own in ids else None

    def tick(self):
        """Forward changed summaries; send the own summary if it is due."""
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
        """Build the current summary of this failure domain.

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
        """Send a summary with the current entry VMs at once.

        Its longer lease makes it win over a summary that a relay has just
        sent.
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

        :param to: id of the receiver.
        :param summaries: the summaries.
        """
        if not self.state.stamps.has_stamp(to):
            self._awaiting_echo[to] = summaries
        self.state.send(to, messages.MembershipSummaries, summaries, True)

    def on_peer_stamp(self, node_id):
        """Send summaries again whose age the receiver could not compute.

        :param node_id: id of a node whose stamp can be echoed from now on.
        """
        summaries = self._awaiting_echo.pop(node_id, None)
        if summaries is not None:
            self.send(node_id, summaries)

    def choose_contacts(self, count=1):
        """Choose random entry VMs of each other failure domain.

        :param count: largest number for each failure domain.
        :returns: node ids.
        """
        state = self.state
        chosen = []
        for summary in state.summaries.records(state.now_ms):
            entries = summary.entries
            sample = state.rng.sample(entries, min(count, len(entries)))
            chosen += [record.node_id for record in sample]
        return chosen

    def _choose_unreached(self):
        """Choose a node of each failure domain without a current contact.

        The candidates are the seeds and the entry VMs named by expired
        summaries.
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
        """Delete expired summaries, but keep their entry VMs as contacts."""
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
        """Merge summaries and have the changed ones forwarded.

        A random node of this failure domain forwards them to the others of
        the domain.  This spreads the load, as summaries name few entry VMs.

        :param sender: id of the sender.
        :param message: the message.
        :param age_ms: upper bound on its age, or ``None`` if unknown.
        """
        changed = {}
        for summary in message.summaries:
            lease_ms = _deltas.lease_left_ms(summary.lease_ms, age_ms)
            if self._merge_summary(summary, lease_ms):
                changed[summary.failure_domain] = bool(summary.entries)
        if not message.spread or not changed:
            return
        if self.state.is_domain_peer(sender):
            self._to_forward.update(changed)
        else:
            self._delegate_forwarding(changed)

    def _delegate_forwarding(self, changed):
        """Have a random node of this failure domain forward summaries.

        :param changed: maps names of failure domains to whether their
            summaries name entry VMs.
        """
        nodes = self.state.domain_entries()
        chosen = self.state.rng.choice(nodes).node_id
        if chosen == self.state.own.node_id:
            self._to_forward.update(changed)
        else:
            self.send(chosen, self._current_summaries(changed))

    def _current_summaries(self, changed):
        """Current summaries of some failure domains.

        :param changed: maps names of failure domains to whether their
            summaries name entry VMs.
        """
        found = []
        for domain, with_entries in sorted(changed.items()):
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
        changed, self._to_forward = self._to_forward, {}
        summaries = self._current_summaries(changed)
        if not summaries:
            return
        for peer in self.state.domain_peers():
            kind = messages.MembershipSummaries
            self.state.send(peer.node_id, kind, summaries, False)
