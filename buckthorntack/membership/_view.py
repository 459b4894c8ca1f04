"""The membership view of one node: decisions without I/O."""

import functools

from buckthorntack import clock as clocks
from buckthorntack.membership import _antientropy
from buckthorntack.membership import _commands
from buckthorntack.membership import _deltas
from buckthorntack.membership import _entries
from buckthorntack.membership import _publishing
from buckthorntack.membership import _relays
from buckthorntack.membership import _state
from buckthorntack.schema import messages


class MembershipView:
    """What one node knows of backend servers and entry VMs.

    Every method that takes ``now`` also returns the commands that its
    caller shall execute, alone or in a pair after its result.

    :param own: ``EntryRecord`` of this node; a ``caller_url`` that is empty
        tells that it takes no callers.
    :param seeds: ``NodeAddress`` documents of the settings.
    :param timing: a :class:`MembershipTiming`.
    :param rng: source of randomness.
    """

    def __init__(self, own, seeds, timing, rng):
        state = _state.MembershipState(own, seeds, timing, rng)
        self._state = state
        self._delta_gossip = _deltas.DeltaGossip(state)
        self._summary_gossip = _relays.SummaryGossip(state)
        self._item_gossip = _publishing.ItemGossip(state, self._summary_gossip)
        self._anti_entropy = _antientropy.AntiEntropy(
            state, self._delta_gossip, self._summary_gossip, self._item_gossip
        )
        self._seeds_due_at_ms = 0

    @property
    def own(self):
        """The record of this node."""
        return self._state.own_record()

    def announce(self, document, service, now):
        """Take an announcement of a backend server.

        :param document: a checked ``Announcement``.
        :param service: name of the service its pool is for.
        :param now: monotonic time.
        :returns: ``Result`` of the record or a ``GatewayError``; commands.
        """
        self._set_now(now)
        age_ms = self._announcement_age_ms(document)
        result = self._delta_gossip.announce(document, service, age_ms)
        return result, self._state.drain_commands()

    def echo(self, now):
        """Echo for the answer to an announcement.

        :param now: monotonic time.
        """
        own = self._state.own
        now_ms = clocks.milliseconds(now)
        return f"{own.node_id}/{own.incarnation}/{now_ms}"

    def _announcement_age_ms(self, document):
        """Bound on the age of an announcement.

        ``None`` if the server echoes answers, but none of this node; 0 if
        it does not echo answers.
        """
        if "echo" not in document:
            return 0
        own = self._state.own
        prefix = f"{own.node_id}/{own.incarnation}/"
        echo = document["echo"]
        number = echo.removeprefix(prefix)
        if not echo.startswith(prefix) or not number.isdecimal():
            return None
        held_ms = int(document.get("echo_age_ms", 0))
        return max(0, self._state.now_ms - int(number) - held_ms)

    def publish(self, item, now):
        """Take an item of this node's application.

        :param item: the item.
        :param now: monotonic time.
        :returns: ``Result`` of the item or a ``GatewayError``; commands.
        """
        self._set_now(now)
        result = self._item_gossip.publish(item)
        return result, self._state.drain_commands()

    def set_state(self, entry_state, now):
        """Change this node's state and tell its peers at once.

        :param entry_state: ready, stopping or stopped.
        :param now: monotonic time.
        :returns: commands.
        """
        self._set_now(now)
        self._update_own_record(state=entry_state)
        self._delta_gossip.flush()
        self._summary_gossip.broadcast_summary()
        return self._state.drain_commands()

    def set_revision(self, revision):
        """Tell peers which configuration is in force here.

        :param revision: its revision.
        """
        if revision != self._state.own.revision:
            self._update_own_record(revision=revision)

    def set_in_flight(self, in_flight):
        """Tell peers how busy this node is.

        :param in_flight: callers' requests in progress.
        """
        self._state.own = self._state.own._replace(in_flight=in_flight)

    def _update_own_record(self, **fields):
        own = self._state.own
        fields["sequence"] = own.sequence + 1
        self._state.own = own._replace(**fields)
        self._delta_gossip.queue_own_record_for_all()

    def tick(self, now):
        """Let time pass; call once each gossip period.

        :param now: monotonic time.
        :returns: commands.
        """
        self._set_now(now)
        self._expire()
        self._contact_seeds()
        self._delta_gossip.tick()
        self._summary_gossip.tick()
        self._item_gossip.tick()
        self._anti_entropy.tick()
        return self._state.drain_commands()

    def receive(self, sender, message, now):
        """Take a message of another node.

        :param sender: node that sent it.
        :param message: the message.
        :param now: monotonic time.
        :returns: commands.
        """
        self._set_now(now)
        state = self._state
        if message.stamp.echo_incarnation > state.own.incarnation:
            self._raise_incarnation(message.stamp.echo_incarnation)
        if state.stamps.is_from_former_incarnation(sender, message.stamp):
            own = state.own_record()
            state.send(sender, messages.MembershipHello, own)
            return state.drain_commands()
        age_ms = state.stamps.max_age_ms(message.stamp, state.now_ms)
        is_new_incarnation = state.stamps.record_stamp(
            sender, message.stamp, state.now_ms
        )
        if is_new_incarnation:
            self._delta_gossip.forget_peer(sender)
            self._delta_gossip.queue_own_record(sender)
        self._handle(message, sender, age_ms)
        if is_new_incarnation or age_ms is None:
            self._reply_to_contact(sender, is_new_incarnation)
        return state.drain_commands()

    def _raise_incarnation(self, incarnation):
        """Take an incarnation above one that peers remember.

        :param incarnation: the highest that they remember of this node.
        """
        state = self._state
        self._update_own_record(incarnation=incarnation + 1)
        state.stamps.incarnation = incarnation + 1

    def _reply_to_contact(self, sender, is_new_incarnation):
        state = self._state
        record = state.entries.get(sender)
        if is_new_incarnation and record is not None:
            self._send_records(record)
        else:
            own = state.own_record()
            state.send(sender, messages.MembershipHello, own)

    def _send_records(self, record):
        if record.region != self._state.own.region:
            return
        self._delta_gossip.send_owned_servers(record.node_id)
        self._anti_entropy.send_entries(record)
        if record.failure_domain == self._state.own.failure_domain:
            scope = _antientropy.DOMAIN_SCOPE
            self._anti_entropy.send_digest(record.node_id, scope)

    @functools.singledispatchmethod
    def _handle(self, message, sender, age_ms):
        raise TypeError(f"{type(message).__name__} is not of membership")

    @_handle.register
    def _(self, message: messages.MembershipHello, sender, age_ms):
        lease_ms = self._state.timing.entry_lease_ms - (age_ms or 0)
        if message.entry.node_id == sender:
            self._state.merge_entry(message.entry, lease_ms)
        self._delta_gossip.queue_own_record(sender)
        self._summary_gossip.on_peer_stamp(sender)

    @_handle.register
    def _(self, message: messages.MembershipDelta, sender, age_ms):
        self._delta_gossip.on_delta(sender, message, age_ms)

    @_handle.register
    def _(self, message: messages.MembershipEntries, sender, age_ms):
        for record in message.entries:
            lease_ms = _deltas.lease_left_ms(record.lease_ms, age_ms)
            self._state.merge_entry(record, lease_ms)

    @_handle.register
    def _(self, message: messages.MembershipPull, sender, age_ms):
        self._delta_gossip.on_pull(sender, message.handles)
        self._anti_entropy.on_pull(sender, message.keys)

    @_handle.register
    def _(self, message: messages.MembershipDigest, sender, age_ms):
        self._anti_entropy.on_digest(sender, message)

    @_handle.register
    def _(self, message: messages.MembershipDigestDetail, sender, age_ms):
        self._anti_entropy.on_detail(sender, message)

    @_handle.register
    def _(self, message: messages.MembershipSummaries, sender, age_ms):
        self._summary_gossip.on_summaries(sender, message, age_ms)

    @_handle.register
    def _(self, message: messages.MembershipItems, sender, age_ms):
        self._item_gossip.on_items(sender, message, age_ms)

    def _set_now(self, now):
        self._state.now_ms = clocks.milliseconds(now)

    def _expire(self):
        """Drop what has lapsed."""
        state = self._state
        for server_id in state.servers.expire(state.now_ms):
            removed = _commands.ServerRemoved(server_id, "lease lapsed")
            state.commands.append(removed)
        for record in state.entries.expire(state.now_ms):
            self._delta_gossip.forget_peer(record.node_id)
            state.commands.append(_commands.EntryRemoved(record))
        self._summary_gossip.expire()
        state.items.expire(state.now_ms)

    def _contact_seeds(self):
        """Greet seeds of this failure domain that are not known."""
        state = self._state
        if state.now_ms < self._seeds_due_at_ms:
            return
        self._seeds_due_at_ms = state.now_ms + state.timing.renewal_ms
        for seed in state.seeds:
            is_in_domain = seed["failure_domain"] == state.own.failure_domain
            if is_in_domain and state.entries.get(seed["node_id"]) is None:
                own = state.own_record()
                state.send(seed["node_id"], messages.MembershipHello, own)

    def servers(self, now):
        """Backend servers of this region whose lease runs.

        :param now: monotonic time.
        """
        return self._state.servers.live_records(clocks.milliseconds(now))

    def summaries(self, now):
        """Summaries of the other failure domains.

        :param now: monotonic time.
        """
        return self._state.summaries.records(clocks.milliseconds(now))

    def items(self, kind, now):
        """Items of one kind.

        :param kind: the kind.
        :param now: monotonic time.
        """
        items = self._state.items.records(clocks.milliseconds(now))
        return [item for item in items if item.kind == kind]

    def members(self):
        """All nodes of this region that are known, without this one."""
        return self._state.entries.records()

    def entries_of(self, region, now):
        """Entry VMs of a region that take requests.

        :param region: its name.
        :param now: monotonic time.
        """
        state = self._state
        if region == state.own.region:
            records = [state.own_record(), *state.entries.records()]
        else:
            summaries = self.summaries(now)
            records = [
                e for s in summaries if s.region == region for e in s.entries
            ]
        return [r for r in records if _accepts_callers(r)]

    def entry_list(self, region, failure_domain, now):
        """Entry VMs that callers shall use, in the order to try them.

        Those of the failure domain go first, then the less busy ones, at
        random among equals.

        :param region: the callers' region.
        :param failure_domain: the callers' failure domain, or ``None``.
        :param now: monotonic time.
        """
        records = self.entries_of(region, now)
        self._state.rng.shuffle(records)
        return sorted(
            records,
            key=lambda record: (
                record.failure_domain != failure_domain,
                record.in_flight.bit_length(),
            ),
        )


def _accepts_callers(record):
    return record.state == _entries.READY and bool(record.caller_url)
