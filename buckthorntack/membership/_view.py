"""Membership view of one node: its decisions, without I/O."""

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
    """The backend servers and entry VMs known to one node.

    ``set_state``, ``tick`` and ``receive`` return the commands that the caller
    must execute; ``announce`` and ``publish`` return a pair of their result
    and the commands.

    :param own: ``EntryRecord`` of this node; an empty ``caller_url`` means
        that it accepts no callers.
    :param seeds: ``NodeAddress`` documents of the settings.
    :param timing: a :class:`MembershipTiming`.
    :param rng: random number generator.
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
        """Merge an announcement of a backend server.

        :param document: a validated ``Announcement``.
        :param service: name of the service of the server's pool.
        :param now: monotonic time.
        :returns: ``Result`` of the record or a ``GatewayError``; commands.
        """
        self._set_now(now)
        age_ms = self._announcement_age_ms(document)
        result = self._delta_gossip.announce(document, service, age_ms)
        return result, self._state.drain_commands()

    def echo(self, now):
        """Build the echo of an answer, for the server's next announcement.

        :param now: monotonic time.
        """
        own = self._state.own
        now_ms = clocks.milliseconds(now)
        return f"{own.node_id}/{own.incarnation}/{now_ms}"

    def _announcement_age_ms(self, document):
        """Compute an upper bound on the age of an announcement.

        :param document: a validated ``Announcement``.
        :returns: milliseconds; ``None`` if its echo is of another node or
            incarnation; 0 if the server does not support echoes.
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
        """Publish an item of this node's application.

        :param item: the item.
        :param now: monotonic time.
        :returns: ``Result`` of the item or a ``GatewayError``; commands.
        """
        self._set_now(now)
        result = self._item_gossip.publish(item)
        return result, self._state.drain_commands()

    def set_state(self, entry_state, now):
        """Set this node's state and send it to its peers at once.

        :param entry_state: ``ready``, ``stopping`` or ``stopped``.
        :param now: monotonic time.
        :returns: commands.
        """
        self._set_now(now)
        self._update_own_record(state=entry_state)
        self._delta_gossip.flush()
        self._summary_gossip.broadcast_summary()
        return self._state.drain_commands()

    def set_revision(self, revision):
        """Set the revision of the configuration in force on this node.

        :param revision: the revision, which peers get with the next batch.
        """
        if revision != self._state.own.revision:
            self._update_own_record(revision=revision)

    def set_in_flight(self, in_flight):
        """Set the number of requests in progress on this node.

        :param in_flight: callers' requests in progress.
        """
        self._state.own = self._state.own._replace(in_flight=in_flight)

    def _update_own_record(self, **fields):
        own = self._state.own
        fields["sequence"] = own.sequence + 1
        self._state.own = own._replace(**fields)
        self._delta_gossip.queue_own_record_for_all()

    def tick(self, now):
        """Perform what is due; called once per gossip period.

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
        """Handle a message of another node.

        :param sender: id of the sender.
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
        """Raise this node's incarnation above one that peers remember.

        :param incarnation: highest incarnation of this node that they know.
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
        raise TypeError(
            f"{type(message).__name__} is not a membership message"
        )

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
        """Delete expired records and queue commands for them."""
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
        """Send a hello to unknown seeds of this failure domain."""
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
        """Records of this region's backend servers with a running lease.

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

        :param kind: kind of the items.
        :param now: monotonic time.
        """
        items = self._state.items.records(clocks.milliseconds(now))
        return [item for item in items if item.kind == kind]

    def members(self):
        """Records of the other known nodes of this region."""
        return self._state.entries.records()

    def entries_of(self, region, now):
        """Records of a region's entry VMs that accept callers.

        :param region: name of the region.
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
        """Records of the entry VMs for callers, in the order to try them.

        Entry VMs of the callers' failure domain come first, then those with
        fewer requests in progress.  Equal ones are in random order.

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
