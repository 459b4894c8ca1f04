"""Gossip of backend server and entry VM records in batched deltas.

The entry VM that receives the announcements of a backend server sends the
server's record, and later its renewals, directly to the other entry VMs of
the failure domain and to a bounded number of entry VMs in other failure
domains of the region.
"""

import zlib

from expression import Error
from expression import Ok

from buckthorntack.membership import _commands
from buckthorntack.membership import _errors
from buckthorntack.membership import _servers
from buckthorntack.schema import messages

#: Value of ``limit_per_s`` and ``rejections_per_s`` in the record of a server
#: that names no limit.
NO_LIMIT = -1.0
#: Number of batches that carry the full record after a change.
_UPDATE_REPEATS = 3


def build_record(document, service, region, lease_ms):
    """Build the record of a backend server from its announcement.

    :param document: a validated ``Announcement``.
    :param service: name of the service of the server's pool.
    :param region: name of the server's region.
    :param lease_ms: lease of the record.
    """
    load = document.get("load", {})
    return messages.ServerRecord(
        server_id=document["server_id"],
        incarnation=int(document["incarnation"]),
        sequence=int(document["sequence"]),
        state=document["state"],
        pool=document["pool"],
        service=service,
        model_versions=list(document.get("model_versions", ())),
        adapters=list(document.get("adapters", ())),
        role=document.get("role", ""),
        region=region,
        failure_domain=document["failure_domain"],
        url=document["url"],
        slots=int(document["slots"]),
        lease_ms=lease_ms,
        load=messages.ServerLoad(
            int(load.get("running", 0)),
            int(load.get("waiting", 0)),
            _fraction_or_zero(load.get("cache_used_fraction", 0)),
            int(load.get("lag_ms", 0)),
        ),
        limit_per_s=float(document.get("limit_per_s", NO_LIMIT)),
        rejections_per_s=float(document.get("rejections_per_s", NO_LIMIT)),
    )


def _fraction_or_zero(value):
    """Return a fraction from 0 to 1; 0 if the value is NaN or out of range."""
    return float(value) if 0 <= value <= 1 else 0.0


class DeltaGossip:
    """Sends deltas and merges received ones.

    A delta names a server in a renewal by a handle, a small number that the
    sender assigned to the server's id and incarnation.  A server is owned by
    the entry VMs that it announces itself to.

    :param state: the shared :class:`MembershipState`.
    """

    def __init__(self, state):
        self.state = state
        self.renew_at_ms = 0
        self._last_handle = 0
        self._handles = {}
        self._owned = {}
        self._delta_senders = {}
        self._liveness_due = False
        self._pending = {}
        self._renewed = set()
        self._peer_handles = {}
        self._own_record_repeats = {}
        self._broadcast_repeats = _UPDATE_REPEATS

    def announce(self, document, service, age_ms):
        """Merge an announcement of a backend server and queue its record.

        :param document: a validated ``Announcement``.
        :param service: name of the service of the server's pool.
        :param age_ms: upper bound on its age, or ``None`` if unknown.
        :returns: ``Result`` of the record or a ``GatewayError``.
        """
        state = self.state
        own = state.own
        if document["failure_domain"] != own.failure_domain:
            detail = (
                f"{document['server_id']} is not in failure domain "
                f"{own.failure_domain}"
            )
            return Error(_errors.ForeignAnnouncementError(detail))
        if age_ms is None and document["state"] == _servers.READY:
            detail = f"{document['server_id']} echoes no answer of this node"
            return Error(_errors.UnknownAgeError(detail))
        lease_ms = lease_left_ms(state.timing.server_lease_ms, age_ms)
        record = build_record(document, service, own.region, lease_ms)
        if _is_same_version(state.servers.get(record.server_id), record):
            return Ok(record)
        outcome = state.servers.merge(record, None, lease_ms, state.now_ms)
        if outcome is _servers.MergeOutcome.STALE:
            detail = (
                f"{record.server_id} announced incarnation "
                f"{record.incarnation} sequence {record.sequence} too late"
            )
            return Error(_errors.StaleAnnouncementError(detail))
        if outcome is _servers.MergeOutcome.FULL:
            detail = (
                f"the server table is full, so {record.server_id} is refused"
            )
            return Error(_errors.TableFullError(detail))
        self._queue_announced(record, outcome)
        self.emit_server_command(record, outcome)
        return Ok(record)

    def _queue_announced(self, record, outcome):
        key = record.server_id
        is_owned = key in self._owned
        if self._owned.get(key, (0, -1))[1] != record.incarnation:
            self._assign_handle(key, record.incarnation)
        if is_owned and outcome is _servers.MergeOutcome.RENEWED:
            self._renewed.add(key)
            return
        self._pending[key] = (record, _UPDATE_REPEATS)
        if record.state != _servers.READY:
            self.flush()

    def _assign_handle(self, key, incarnation):
        old_handle, _ = self._owned.get(key, (-1, -1))
        self._handles.pop(old_handle, None)
        self._last_handle += 1
        self._handles[self._last_handle] = (key, incarnation)
        self._owned[key] = (self._last_handle, incarnation)

    def _drop_stale_handles(self):
        """Delete the handles of servers that are no longer in the table."""
        for key in list(self._owned):
            if self.state.servers.get(key) is None:
                handle, _ = self._owned.pop(key)
                self._handles.pop(handle, None)

    def emit_server_command(self, record, outcome):
        """Emit the command that follows from a merged server record.

        :param record: the record.
        :param outcome: a ``MergeOutcome``.
        """
        if outcome in (
            _servers.MergeOutcome.RENEWED,
            _servers.MergeOutcome.CHANGED,
        ):
            self.state.emit_server_changed(record.server_id)
        if outcome is _servers.MergeOutcome.WITHDRAWN:
            removed = _commands.ServerRemoved(record.server_id, "withdrawn")
            self.state.commands.append(removed)

    def queue_own_record(self, node_id):
        """Add this node's own record to the next batches to a peer.

        :param node_id: id of the peer.
        """
        self._own_record_repeats[node_id] = _UPDATE_REPEATS

    def queue_own_record_for_all(self):
        """Add this node's own record to the next batches to all peers."""
        self._broadcast_repeats = _UPDATE_REPEATS

    def has_urgent_updates(self):
        """Return whether a changed record has not been sent yet."""
        unsent = any(n == _UPDATE_REPEATS for _, n in self._pending.values())
        return unsent or self._broadcast_repeats == _UPDATE_REPEATS

    def tick(self):
        """Send changes, and renewals if they are due."""
        if self.state.now_ms >= self.renew_at_ms:
            self.renew_at_ms = self.state.now_ms + self.state.timing.renewal_ms
            self.flush(with_renewals=True)
            self._drop_stale_handles()
        elif self.has_urgent_updates():
            self.flush()

    def flush(self, with_renewals=False):
        """Send a batch of the queued records to each peer.

        :param with_renewals: whether to include renewals.
        """
        updates = [
            self._build_update(*pending) for pending in self._take_pending()
        ]
        renewals = self._take_renewals() if with_renewals else []
        repeat_own = self._broadcast_repeats > 0
        self._broadcast_repeats = max(0, self._broadcast_repeats - 1)
        for peer in self.peers():
            with_own_record = (
                self._take_own_record_repeat(peer.node_id) or repeat_own
            )
            self._send(peer.node_id, with_own_record, updates, renewals)
        if with_renewals:
            self._liveness_due = not self._liveness_due
            if self._liveness_due:
                self._send_liveness()

    def _send_liveness(self):
        """Send heartbeats to delta senders that are not among the peers."""
        now_ms = self.state.now_ms
        chosen = {record.node_id for record in self.peers()}
        self._delta_senders = {
            node_id: expires_at_ms
            for node_id, expires_at_ms in self._delta_senders.items()
            if expires_at_ms > now_ms and node_id not in chosen
        }
        for node_id in self._delta_senders:
            self._send(node_id, self._take_own_record_repeat(node_id), [], [])

    def _send(self, to, with_own_record, updates, renewals):
        state = self.state
        state.send(
            to,
            messages.MembershipDelta,
            [state.own_record()] if with_own_record else [],
            state.own.sequence,
            state.own.in_flight,
            updates,
            renewals,
        )

    def _take_own_record_repeat(self, node_id):
        left = self._own_record_repeats.pop(node_id, 0)
        if left > 1:
            self._own_record_repeats[node_id] = left - 1
        return left > 0

    def _take_pending(self):
        pending = list(self._pending.values())
        self._pending = {
            record.server_id: (record, left - 1)
            for record, left in pending
            if left > 1
        }
        return [(record, left) for record, left in pending]

    def _build_update(self, record, _left):
        held = self.state.servers.get(record.server_id)
        handle, _ = self._owned.get(record.server_id, (-1, 0))
        if held is None or held.version < (
            record.incarnation,
            record.sequence,
        ):
            record = record._replace(lease_ms=0)
            return messages.ServerUpdate(handle, record.sequence, record)
        return self.update_of(held)

    def update_of(self, held):
        """Build an update with the full record of a held server.

        :param held: a ``HeldServer``.
        """
        key = held.record.server_id
        handle, incarnation = self._owned.get(key, (-1, -1))
        if incarnation != held.record.incarnation:
            handle = -1
        record = held.record_at(self.state.now_ms)
        return messages.ServerUpdate(handle, held.changed_sequence, record)

    def _take_renewals(self):
        keys, self._renewed = sorted(self._renewed), set()
        held = [self.state.servers.get(key) for key in keys]
        return [self._build_renewal(h) for h in held if self._is_renewable(h)]

    def _is_renewable(self, held):
        if held is None or held.record.server_id in self._pending:
            return False
        owned = self._owned.get(held.record.server_id)
        return owned is not None and owned[1] == held.record.incarnation

    def _build_renewal(self, held):
        record = held.record_at(self.state.now_ms)
        load = record.load
        return messages.ServerRenewal(
            self._owned[record.server_id][0],
            record.sequence,
            held.changed_sequence,
            record.lease_ms,
            load.running,
            load.waiting,
            round(load.cache_used_fraction * 100),
            load.age_ms,
        )

    def peers(self):
        """Records of the nodes that this node sends deltas to.

        All of the failure domain, and a fixed subset of the rest of the
        region.
        """
        own = self.state.own
        in_domain, in_other_domains = [], []
        for record in self.state.entries.records():
            if record.failure_domain == own.failure_domain:
                in_domain.append(record)
            elif record.region == own.region:
                in_other_domains.append(record)
        fanout = self.state.timing.region_fanout
        if len(in_other_domains) > fanout:
            in_other_domains = sorted(
                in_other_domains, key=self._rendezvous_weight
            )[:fanout]
        return in_domain + in_other_domains

    def _rendezvous_weight(self, record):
        """Compute a hash that gives each node a stable subset of its own."""
        return zlib.crc32(
            f"{self.state.own.node_id} {record.node_id}".encode()
        )

    def send_owned_servers(self, to):
        """Send the records of all servers that this node owns.

        :param to: id of the receiver.
        """
        held = [self.state.servers.get(key) for key in self._owned]
        now_ms = self.state.now_ms
        live = [h for h in held if h is not None and h.expires_at_ms > now_ms]
        updates = [self.update_of(h) for h in live]
        self._send(to, True, updates, [])

    def forget_peer(self, peer):
        """Delete the handles of a peer that has restarted or left.

        :param peer: id of the peer.
        """
        self._peer_handles.pop(peer, None)
        self._own_record_repeats.pop(peer, None)

    def on_delta(self, sender, delta, age_ms):
        """Merge a delta.

        :param sender: id of the sender.
        :param delta: the message.
        :param age_ms: upper bound on its age, or ``None`` if unknown.
        """
        state = self.state
        lease_ms = state.timing.entry_lease_ms
        self._delta_senders[sender] = state.now_ms + lease_ms
        entry_lease_ms = state.timing.entry_lease_ms - (age_ms or 0)
        for entry in delta.entry:
            state.merge_entry(entry, entry_lease_ms)
        known = state.entries.renew(
            sender,
            delta.stamp.incarnation,
            delta.entry_sequence,
            delta.in_flight,
            state.now_ms,
        )
        if not known:
            state.send(sender, messages.MembershipHello, state.own_record())
        for update in delta.updates:
            self._on_update(sender, update, age_ms)
        self._on_renewals(sender, delta.renewals, age_ms)

    def _on_update(self, sender, update, age_ms):
        record = update.record
        if record.region != self.state.own.region:
            return
        handles = self._peer_handles.setdefault(sender, {})
        if update.handle >= 0:
            handles[update.handle] = (record.server_id, record.incarnation)
        outcome = self.state.servers.merge(
            record,
            update.changed_sequence,
            lease_left_ms(record.lease_ms, age_ms),
            self.state.now_ms,
        )
        self.emit_server_command(record, outcome)

    def _on_renewals(self, sender, renewals, age_ms):
        unknown_handles = []
        for renewal in renewals:
            if not self._on_renewal(sender, renewal, age_ms):
                unknown_handles.append(renewal.handle)
        if unknown_handles:
            self.state.send(
                sender, messages.MembershipPull, unknown_handles, []
            )

    def _on_renewal(self, sender, renewal, age_ms):
        name = self._peer_handles.get(sender, {}).get(renewal.handle)
        if name is None:
            return False
        outcome = self.state.servers.renew(
            *name,
            renewal,
            lease_left_ms(renewal.lease_ms, age_ms),
            self.state.now_ms,
        )
        if outcome is _servers.MergeOutcome.RENEWED:
            self.state.emit_server_changed(name[0])
        return outcome is not None

    def on_pull(self, sender, handles):
        """Send the full records that belong to some handles.

        :param sender: id of the requester.
        :param handles: handles assigned by this node.
        """
        names = [self._handles[h] for h in handles if h in self._handles]
        held = [self.state.servers.get(key) for key, _ in names]
        updates = [self.update_of(h) for h in held if h is not None]
        if updates:
            self._send(sender, False, updates, [])

    def send_updates(self, to, held):
        """Send full records to one node.

        :param to: id of the receiver.
        :param held: list of ``HeldServer``.
        """
        if held:
            self._send(to, False, [self.update_of(h) for h in held], [])


def lease_left_ms(lease_ms, age_ms):
    """Compute the remaining lease; 0 if the age of the message is unknown.

    :param lease_ms: remaining lease when the message was sent.
    :param age_ms: upper bound on the message's age, or ``None``.

    >>> lease_left_ms(2000, 150), lease_left_ms(2000, None)
    (1850, 0)
    """
    return 0 if age_ms is None else max(0, lease_ms - age_ms)


def _is_same_version(held, record):
    version = (record.incarnation, record.sequence)
    return held is not None and held.version == version
