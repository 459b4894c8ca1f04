"""The task by which control VMs gather and exchange what they learn."""

import datetime

from buckthorntack import discovery
from buckthorntack import events
from buckthorntack.gateway import _addresses
from buckthorntack.gateway import _events
from buckthorntack.gateway import _presence
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
EXPIRE_PERIOD = 250 * _MS
#: States that entry VMs must learn of at once.
URGENT = ("draining", "gone")


class GatheringTask:
    """Registry of one control VM, its followers and its peers.

    :param settings: ``NodeSettings``.
    :param node_id: id of this control VM.
    :param registry: the ``discovery.Registry``.
    :param links: ``transport.PlainLinks``.
    :param replica: ``consensus.ReplicaTask`` of the directives.
    :param spread: told of reports; see ``SpreadingTask``.
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
        spread,
        timing,
        clock,
    ):
        self.settings = settings
        self.node_id = node_id
        self.registry = registry
        self.links = links
        self.replica = replica
        self.spread = spread
        self.timing = timing
        self.clock = clock
        self.followers = discovery.Followers(registry, timing)
        self.own = _presence.OwnPresence(node_id, "control", "ready", clock)
        self._marks = {}
        self._heard_servers = set()
        self._heard_nodes = set()
        self._log = events.EventLog("gateway")

    def presence(self):
        """What this node says of itself."""
        return self.own.record(self.settings)

    def announce(self, record):
        """Take the announcement of a server.

        :param record: ``AnnouncedServer``.
        """
        now = self.clock.monotonic()
        self._heard_servers.add(record.server_id)
        if self.registry.merge_server(record, now):
            self._log_server(record.server_id, "itself")
            self._push(now, [record.server_id])

    def leave(self, server_id, born_ms):
        """Take the word of a server that it leaves.

        :param server_id: the server.
        :param born_ms: its incarnation, or None.
        """
        now = self.clock.monotonic()
        if self.registry.mark_server_gone(server_id, born_ms, now):
            self._log_server(server_id, "itself")
            self._push(now, [server_id])

    def _push(self, now, urgent=()):
        """Send followers what they lack, and all entry VMs what is urgent."""
        for node_id, changes in self.followers.take_due_changes(now):
            self.links.send(node_id, changes)
        urgent = [
            server_id
            for server_id in urgent
            if self.registry.servers[server_id].record.state in URGENT
        ]
        if not urgent:
            return
        told = self.registry.changes_for_servers(urgent, now)
        for record in self.registry.nodes_with_role("entry"):
            if record.node_id not in self.followers:
                self.links.send(record.node_id, told)

    def take_report(self, sender, report):
        """Take the report of an entry VM or another control VM.

        :param sender: the node.
        :param report: ``PresenceReport``.
        """
        now = self.clock.monotonic()
        node = report.node
        self.links.learn(node.node_id, node.link_address)
        known = self.registry.nodes.get(node.node_id)
        self.registry.merge_node(node, now)
        taken = self.registry.nodes[node.node_id].record
        accepted = taken == node
        if accepted:
            self.registry.refresh_last_heard([], [node.node_id], now)
            self._heard_nodes.add(node.node_id)
        if node.role == "control":
            self.registry.refresh_last_heard(
                report.heard_servers, report.heard_nodes, now
            )
        if report.registry_epoch >= 0:
            self.followers.on_report(report, now)
        self._reply(sender, accepted, taken.incarnation, known is None, now)
        if node.role == "entry":
            self.spread.reported(report, report.registry_epoch >= 0, now)
        self._push(now)

    def _reply(self, sender, accepted, incarnation, is_new, now):
        young = (
            now - self.registry.started_at < self.timing.registry_sync_period
        )
        reply = messages.PresenceReply(
            incarnation=incarnation,
            accepted=accepted,
            registry_epoch=self.registry.epoch,
            registry_stamp=self.registry.stamp,
            has_majority=self.replica.leader() != "",
            wants_servers=young and is_new,
        )
        self.links.send(sender, reply)

    def take_reply(self, sender, reply):
        """Take the answer of another control VM to a report.

        :param sender: the control VM.
        :param reply: ``PresenceReply``.
        """
        self.own.take_reply(reply)

    def take_changes(self, sender, changes):
        """Take changes of another registry.

        :param sender: a control VM, or an entry VM that hands its copy back.
        :param changes: ``RegistryChanges``.
        """
        now = self.clock.monotonic()
        before = self.registry.stamp
        if changes.stamp:
            epoch, stamp = self._marks.get(sender, (0, 0))
            known = stamp if changes.registry_epoch == epoch else 0
            if changes.since_stamp > known:
                return
            mark = (changes.registry_epoch, max(known, changes.stamp))
            self._marks[sender] = mark
        changed = self.registry.merge_changes(changes, now)
        for server_id in changed:
            self._log_server(server_id, sender)
        for record in changes.nodes:
            self.links.learn(record.node_id, record.link_address)
        if self.registry.stamp != before:
            self._push(now)

    def _log_server(self, server_id, told_by):
        record = self.registry.servers[server_id].record
        self._log.write(
            _events.SERVER_CHANGED,
            server=server_id,
            service=record.service,
            address=record.address,
            state=record.state,
            sequence=record.sequence,
            cold_left_ms=record.cold_left_ms,
            reclaim_left_ms=record.reclaim_left_ms,
            told_by=told_by,
        )

    async def expire(self):
        """Look for servers and nodes that are silent, until cancelled."""
        while True:
            await self.clock.sleep(EXPIRE_PERIOD)
            now = self.clock.monotonic()
            for name in self.registry.mark_silent(now):
                self._log.write(_events.SERVER_SILENT, silent=name)
            self._push(now)

    async def run(self):
        """Report to the other control VMs until cancelled."""
        while True:
            self.report()
            await self.clock.sleep(self.timing.control_report_interval)

    def report(self):
        """Report to all other control VMs once."""
        self.own.sequence += 1
        self.registry.merge_node(self.presence(), self.clock.monotonic())
        self.registry.refresh_last_heard(
            [], [self.node_id], self.clock.monotonic()
        )
        heard_servers = sorted(self._heard_servers)
        heard_nodes = sorted(self._heard_nodes)
        self._heard_servers.clear()
        self._heard_nodes.clear()
        for node_id in self._peers():
            epoch, stamp = self._marks.get(node_id, (0, 0))
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
        """Control VMs known, and seeds of which nothing else is known."""
        peers = {
            record.node_id: record.service_address
            for record in self.registry.nodes_with_role("control")
            if record.node_id != self.node_id
        }
        own = self.settings.service_address
        for seed in self.settings.seeds:
            if seed != own and seed not in peers.values():
                address = _addresses.link_address_of(
                    seed, self.settings.link_port
                )
                self.links.learn(seed, address)
                peers[seed] = seed
        return [
            node_id for node_id, address in peers.items() if address != own
        ]

    def present_controls(self):
        """Region and failure domain of control VMs that report, by id."""
        return {
            record.node_id: (record.region, record.failure_domain)
            for record in self.registry.nodes_with_role("control")
            if not record.silent and record.state == "ready"
        }
