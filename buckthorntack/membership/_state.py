"""State shared by the protocols of a membership view."""

from buckthorntack.membership import _commands
from buckthorntack.membership import _entries
from buckthorntack.membership import _items
from buckthorntack.membership import _servers
from buckthorntack.membership import _stamps
from buckthorntack.membership import _summaries


class MembershipState:
    """Tables of a view, and the commands queued for its owner.

    :param own: ``EntryRecord`` of this node.
    :param seeds: ``NodeAddress`` documents of the settings.
    :param timing: a :class:`MembershipTiming`.
    :param rng: random number generator.
    """

    def __init__(self, own, seeds, timing, rng):
        self.own = own
        self.seeds = [s for s in seeds if s["node_id"] != own.node_id]
        self.timing = timing
        self.rng = rng
        self.now_ms = 0
        self.commands = []
        self.stamps = _stamps.PeerStamps(own.incarnation)
        self.entries = _entries.EntryTable(timing)
        self.servers = _servers.ServerTable(timing)
        self.summaries = _summaries.SummaryTable()
        self.items = _items.ItemTable(timing)

    def drain_commands(self):
        """Return the queued commands and clear the queue."""
        commands, self.commands = self.commands, []
        return commands

    def send(self, to, message_type, *fields):
        """Queue a message to another node.

        :param to: id of the receiver.
        :param message_type: type of the message.
        :param fields: fields of the message after the stamp.
        """
        stamp = self.stamps.stamp_for(to, self.now_ms)
        message = message_type(stamp, *fields)
        self.commands.append(_commands.SendMessage(to, message))

    def own_record(self):
        """The record of this node with a full lease."""
        return self.own._replace(lease_ms=self.timing.entry_lease_ms)

    def domain_peers(self):
        """Records of the other nodes of this failure domain."""
        return self.entries.domain_records(self.own.failure_domain)

    def domain_entries(self):
        """Records of all nodes of this failure domain, this node first."""
        return [self.own_record(), *self.domain_peers()]

    def is_domain_peer(self, node_id):
        """Return whether a node is known to be in this failure domain.

        :param node_id: id of the node.
        """
        record = self.entries.get(node_id)
        if record is None:
            return False
        return record.failure_domain == self.own.failure_domain

    def domain_servers(self):
        """Records of this failure domain's servers with a running lease."""
        return [
            record
            for record in self.servers.live_records(self.now_ms)
            if record.failure_domain == self.own.failure_domain
        ]

    def merge_entry(self, record, lease_ms):
        """Merge the record of another entry VM; queue a command if it changed.

        :param record: the record.
        :param lease_ms: remaining lease.
        """
        if record.node_id == self.own.node_id:
            return
        if not self.entries.merge(record, lease_ms, self.now_ms):
            return
        if record.state == _entries.STOPPED:
            self.commands.append(_commands.EntryRemoved(record))
        else:
            self.commands.append(_commands.EntryChanged(record))

    def emit_server_changed(self, server_id):
        """Queue a command for the change of a backend server.

        :param server_id: id of the server.
        """
        held = self.servers.get(server_id)
        expires_at = _servers.expires_at(held)
        record = held.record_at(self.now_ms)
        self.commands.append(_commands.ServerChanged(record, expires_at))
