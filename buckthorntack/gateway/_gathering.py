"""Collection and exchange of server and node reports by control VMs."""

import collections
import datetime

from buckthorntack import discovery
from buckthorntack import events
from buckthorntack.gateway import _addresses
from buckthorntack.gateway import _events
from buckthorntack.gateway import _packing
from buckthorntack.gateway import _presence
from buckthorntack.gateway import _records
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Period of the check for silent servers and nodes.
EXPIRE_PERIOD = 250 * _MS
#: Server states that are sent to all entry VMs at once.
URGENT_STATES = ("draining", "gone")
#: Node states that are sent to followers at once.
URGENT_NODE_STATES = ("stopping", "gone")
#: Period at which changes that are not urgent are sent together.
FLUSH_PERIOD = 100 * _MS
#: Entry VMs of one failure domain that return their whole copies to a young
#: registry. One of them may have started lately itself, and know little.
COPIES_PER_DOMAIN = 2


class GatheringTask:
    """Keeps the registry of a control VM and sends its changes to others.

    :param settings: ``NodeSettings``.
    :param node_id: id of this control VM.
    :param registry: the ``discovery.Registry``.
    :param links: ``transport.PlainLinks``.
    :param replica: ``consensus.ReplicaTask`` of the directives.
    :param distribution: the ``DistributionTask``; receives reports of entry
        VMs.
    :param timing: ``discovery.Timing``.
    :param clock: source of time.
    """

    def __init__(
        self,
        settings,
        node_id,
        registry,
        links,
        replica,
        distribution,
        timing,
        clock,
    ):
        self.settings = settings
        self.node_id = node_id
        self.registry = registry
        self.links = links
        self.replica = replica
        self.distribution = distribution
        self.timing = timing
        self.clock = clock
        self.followers = discovery.Followers(registry, timing)
        self.local_presence = _presence.LocalPresence(
            node_id, "control", "ready", clock
        )
        self._merged_stamps = {}
        self._heard_servers = set()
        self._heard_nodes = set()
        #: Entry VMs that were asked for whole copies, by failure domain.
        self._asked = collections.Counter()
        self._asked_nodes = set()
        self._log = events.EventLog("gateway")

    def presence(self):
        """Return the current ``NodePresence`` of this node."""
        return self.local_presence.to_message(self.settings)

    def on_announcement(self, record):
        """Handle the announcement of a server.

        :param record: ``AnnouncedServer``.
        """
        now = self.clock.monotonic()
        self._heard_servers.add(record.server_id)
        if self.registry.merge_server(record, now):
            self._log_server_change(record.server_id, "itself")
            self._send_if_urgent(now, [record.server_id])

    def choose_registrar(self, record):
        """Choose the control VM that a server shall announce itself to next.

        :param record: ``AnnouncedServer``.
        :returns: ``NodePresence``; None if this one cannot tell, because it
            is cut off from most others.
        """
        nodes = self.registry.nodes_with_role("control")
        if discovery.is_cut_off(self.node_id, nodes):
            return None
        live = [
            node for node in nodes if node.state == "ready" and not node.silent
        ]
        return discovery.choose_registrar(record, live)

    def on_leave(self, server_id, born_ms):
        """Handle the notice of a server that it leaves.

        :param server_id: id of the server.
        :param born_ms: its incarnation; None for any.
        """
        now = self.clock.monotonic()
        if self.registry.mark_server_gone(server_id, born_ms, now):
            self._log_server_change(server_id, "itself")
            self._send_if_urgent(now, [server_id])

    def flush(self):
        """Send changes that have waited to be sent together."""
        self._send_changes(self.clock.monotonic())

    async def flush_changes(self):
        """Send changes periodically until cancelled."""
        while True:
            await self.clock.sleep(FLUSH_PERIOD)
            self.flush()

    def _send_changes(self, now):
        """Send due changes to followers."""
        packed = {}
        for node_id, changes in self.followers.take_due_changes(now):
            if not self._reads_packed(node_id):
                self.links.send(node_id, changes)
                continue
            # Followers that have the same get the same changes.
            if changes.since_stamp not in packed:
                packed[changes.since_stamp] = _packing.pack(changes)
            self.links.send(node_id, packed[changes.since_stamp])

    def _reads_packed(self, node_id):
        view = self.registry.nodes.get(node_id)
        if view is None:
            return False
        return view.record.protocol_version >= _packing.PACKED_VERSION

    def _list_urgent(self, server_ids):
        return [
            server_id
            for server_id in server_ids
            if self.registry.servers[server_id].record.state in URGENT_STATES
        ]

    def _send_if_urgent(self, now, server_ids):
        """Send urgent changes of servers to followers and all entry VMs."""
        urgent = self._list_urgent(server_ids)
        if not urgent:
            return
        self._send_changes(now)
        urgent_changes = self.registry.changes_for_servers(urgent, now)
        for record in self.registry.nodes_with_role("entry"):
            if record.node_id not in self.followers:
                self.links.send(record.node_id, urgent_changes)

    def on_presence_report(self, sender, report):
        """Handle a report of an entry VM or another control VM.

        :param sender: id of the node.
        :param report: ``PresenceReport``.
        """
        now = self.clock.monotonic()
        node = report.node
        fault = discovery.find_node_fault(node)
        if fault is not None:
            _records.log_refused(node.node_id, fault, sender, self._log)
            return
        self.links.set_address(node.node_id, node.link_address)
        changed = self.registry.merge_node(node, now)
        stored_record = self.registry.nodes[node.node_id].record
        accepted = stored_record == node
        if accepted:
            self.registry.refresh_last_heard([], [node.node_id], now)
            self._heard_nodes.add(node.node_id)
        if node.role == "control":
            self.registry.refresh_last_heard(
                report.heard_servers, report.heard_nodes, now
            )
        if report.registry_epoch >= 0:
            self.followers.on_report(report, now)
        self._send_reply(
            sender, report, accepted, stored_record.incarnation, now
        )
        if node.role == "entry":
            self.distribution.on_presence_report(
                report, report.registry_epoch >= 0, now
            )
        if changed and node.state in URGENT_NODE_STATES:
            self._send_changes(now)

    def _send_reply(self, sender, report, accepted, incarnation, now):
        wants_servers, wants_marks = self._choose_wanted(report, now)
        reply = messages.PresenceReply(
            incarnation=incarnation,
            accepted=accepted,
            registry_epoch=self.registry.epoch,
            registry_stamp=self.registry.stamp,
            has_majority=self.replica.is_in_step(),
            wants_servers=wants_servers,
            wants_marks=wants_marks,
        )
        self.links.send(sender, reply)

    def _choose_wanted(self, report, now):
        """Whether to ask a node for its servers, or those that leave.

        Ready servers announce themselves soon; the marks of others are lost
        with this registry unless one node that has them returns them.
        """
        age = now - self.registry.started_at
        node = report.node
        if age >= self.timing.registry_sync_period or node.role != "entry":
            return False, False
        if node.node_id in self._asked_nodes:
            return False, False
        self._asked_nodes.add(node.node_id)
        domain = node.failure_domain
        if report.version < 0 or self._asked[domain] >= COPIES_PER_DOMAIN:
            return False, True
        self._asked[domain] += 1
        return True, False

    def on_presence_reply(self, sender, reply):
        """Handle the reply of another control VM to a report.

        :param sender: id of the control VM.
        :param reply: ``PresenceReply``.
        """
        _records.take_presence_reply(
            self.local_presence, reply, sender, self._log
        )

    def on_packed_changes(self, sender, packed):
        """Merge compressed changes of another registry.

        :param sender: id of a control VM.
        :param packed: ``PackedChanges``.
        """
        changes = _packing.unpack_logged(packed, sender, self._log)
        if changes is not None:
            self.on_registry_changes(sender, changes)

    def on_registry_changes(self, sender, changes):
        """Merge changes of another registry.

        :param sender: id of a control VM, or of an entry VM that returns its
            copy.
        :param changes: ``RegistryChanges``.
        """
        now = self.clock.monotonic()
        changes = _records.set_aside_unsound(changes, sender, self._log)
        if changes.stamp:
            epoch, stamp = self._merged_stamps.get(sender, (0, 0))
            last_stamp = stamp if changes.registry_epoch == epoch else 0
            if changes.since_stamp > last_stamp:
                return
            merged_stamp = (
                changes.registry_epoch,
                max(last_stamp, changes.stamp),
            )
            self._merged_stamps[sender] = merged_stamp
        changed = self.registry.merge_changes(changes, now)
        for server_id in changed:
            self._log_server_change(server_id, sender)
        for record in changes.nodes:
            self.links.set_address(record.node_id, record.link_address)
        if self._list_urgent(changed) or any(
            record.state in URGENT_NODE_STATES for record in changes.nodes
        ):
            self._send_changes(now)

    def _log_server_change(self, server_id, told_by):
        record = self.registry.servers[server_id].record
        self._log.write(
            _events.SERVER_CHANGED,
            server=server_id,
            service=record.service,
            address=record.address,
            software_version=record.software_version,
            state=record.state,
            sequence=record.sequence,
            cold_left_ms=record.cold_left_ms,
            reclaim_left_ms=record.reclaim_left_ms,
            told_by=told_by,
        )

    async def expire(self):
        """Log silent servers and nodes periodically until cancelled."""
        while True:
            await self.clock.sleep(EXPIRE_PERIOD)
            now = self.clock.monotonic()
            for name in self.registry.mark_silent(now):
                self._log.write(_events.SERVER_SILENT, silent=name)
            self._send_changes(now)

    async def run(self):
        """Report to the other control VMs periodically until cancelled."""
        while True:
            self.report()
            await self.clock.sleep(self.timing.control_report_interval)

    def report(self):
        """Send one report to all other control VMs."""
        self.local_presence.sequence += 1
        self.registry.merge_node(self.presence(), self.clock.monotonic())
        self.registry.refresh_last_heard(
            [], [self.node_id], self.clock.monotonic()
        )
        heard_servers = sorted(self._heard_servers)
        heard_nodes = sorted(self._heard_nodes)
        self._heard_servers.clear()
        self._heard_nodes.clear()
        for node_id in self._peers():
            epoch, stamp = self._merged_stamps.get(node_id, (0, 0))
            report = messages.PresenceReport(
                node=self.presence(),
                registry_epoch=epoch,
                registry_stamp=stamp,
                version=-1,
                directives_index=-1,
                heard_servers=heard_servers,
                heard_nodes=heard_nodes,
            )
            self.links.send(node_id, report)

    def _peers(self):
        """List the known control VMs, and seeds that have not reported."""
        peers = {
            record.node_id: record.service_address
            for record in self.registry.nodes_with_role("control")
            if record.node_id != self.node_id
        }
        own_address = self.settings.service_address
        for seed in self.settings.seeds:
            if seed != own_address and seed not in peers.values():
                address = _addresses.link_address_of(
                    seed, self.settings.link_port
                )
                self.links.set_address(seed, address)
                peers[seed] = seed
        return [
            node_id
            for node_id, address in peers.items()
            if address != own_address
        ]

    def list_live_controls(self):
        """Map the id of each live control VM to its region and domain."""
        return {
            record.node_id: (record.region, record.failure_domain)
            for record in self.registry.nodes_with_role("control")
            if not record.silent and record.state == "ready"
        }

    def list_stopping_controls(self):
        """List the ids of the control VMs that are about to end."""
        return [
            record.node_id
            for record in self.registry.nodes_with_role("control")
            if record.state == "stopping"
        ]
