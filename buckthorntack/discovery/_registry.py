"""What is known of backend servers and nodes, merged from many reports.

Each change gets a stamp, so that a follower can be sent what it lacks.
"""

import datetime
from typing import NamedTuple

from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Estimates of the end of a warm-up that differ by less count as equal.
COLD_TOLERANCE = datetime.timedelta(milliseconds=800)
READY = "ready"
DRAINING = "draining"
GONE = "gone"
#: Sequence of a record that no report of the same incarnation replaces.
LAST_SEQUENCE = 1 << 52


class ServerView(NamedTuple):
    """A backend server, with times of this node's steady clock."""

    record: messages.AnnouncedServer
    cold_until: datetime.timedelta
    reclaimed_at: datetime.timedelta | None
    heard_at: datetime.timedelta
    stamp: int

    def is_cold(self, now):
        """Whether it bears few requests only.

        :param now: monotonic time.
        """
        return now < self.cold_until


class _NodeView(NamedTuple):
    record: messages.NodePresence
    heard_at: datetime.timedelta
    stamp: int


class Registry:
    """Backend servers and nodes as known here.

    :param epoch: names this run of the registry; above 0.
    :param timing: the ``Timing``.
    :param now: monotonic time at which it is begun.
    """

    def __init__(self, epoch, timing, now):
        self.epoch = epoch
        self.timing = timing
        self.begun_at = now
        self.stamp = 0
        self.servers = {}
        self.nodes = {}
        self._checked_at = now

    def announce(self, record, now):
        """Take in what is said of a server.

        :param record: ``AnnouncedServer``.
        :param now: monotonic time.
        :returns: whether it is news that others need.
        """
        known = self.servers.get(record.server_id)
        if known is not None and not _supersedes(record, known.record):
            return False
        if record.state != GONE and self._is_address_taken(record):
            record = record._replace(state=GONE)
        view = ServerView(
            record,
            _cold_until(record, now),
            _reclaimed_at(record, known, now),
            now if known is None or not record.silent else known.heard_at,
            0,
        )
        if known is not None and not _differs(view, known):
            kept = view._replace(
                record=record._replace(silent=False),
                cold_until=min(view.cold_until, known.cold_until),
                stamp=known.stamp,
            )
            self.servers[record.server_id] = kept
            return False
        self._store_server(view)
        self._end_predecessors(record)
        return True

    def leave(self, server_id, born_ms, now):
        """Note that a server has left for good.

        :param server_id: the server.
        :param born_ms: its incarnation; None if that was not said.
        :param now: monotonic time.
        :returns: whether it is news.
        """
        known = self.servers.get(server_id)
        if known is None or known.record.state == GONE:
            return False
        if born_ms is not None and born_ms < known.record.born_ms:
            return False
        record = known.record._replace(state=GONE)
        self._store_server(known._replace(record=record, heard_at=now))
        return True

    def report(self, record, now):
        """Take in what a node says of itself, or another says of it.

        :param record: ``NodePresence``.
        :param now: monotonic time.
        :returns: whether it is news.
        """
        known = self.nodes.get(record.node_id)
        if known is not None and _node_order(record) < _node_order(
            known.record
        ):
            return False
        if known is None and self._end_former(record):
            record = record._replace(state=GONE, sequence=LAST_SEQUENCE)
        heard_at = now
        if record.silent and known is not None:
            heard_at = known.heard_at
        changed = known is None or _node_facts(record) != _node_facts(
            known.record
        )
        self.stamp += changed
        stamp = self.stamp if changed else known.stamp
        self.nodes[record.node_id] = _NodeView(record, heard_at, stamp)
        return changed

    def _end_former(self, record):
        """Only the latest node id at an address is alive.

        A control VM has another one after its disk was lost.

        :returns: whether the record is of a former one itself.
        """
        for view in list(self.nodes.values()):
            other = view.record
            if (
                other.service_address != record.service_address
                or other.node_id == record.node_id
                or other.state == GONE
            ):
                continue
            if other.incarnation > record.incarnation:
                return True
            ended = other._replace(state=GONE, sequence=LAST_SEQUENCE)
            self.stamp += 1
            self.nodes[other.node_id] = _NodeView(
                ended, view.heard_at, self.stamp
            )
        return False

    def hear(self, server_ids, node_ids, now):
        """Note that others have heard of servers and nodes.

        :param server_ids: the servers.
        :param node_ids: the nodes.
        :param now: monotonic time.
        """
        for server_id in server_ids:
            view = self.servers.get(server_id)
            if view is not None and view.record.state != GONE:
                self._hear_server(view, now)
        for node_id in node_ids:
            view = self.nodes.get(node_id)
            if view is not None and view.record.state != GONE:
                self._hear_node(view, now)

    def _hear_server(self, view, now):
        if view.record.silent:
            record = view.record._replace(silent=False)
            self._store_server(view._replace(record=record, heard_at=now))
            return
        server_id = view.record.server_id
        self.servers[server_id] = view._replace(heard_at=now)

    def _hear_node(self, view, now):
        record = view.record
        stamp = view.stamp
        if record.silent:
            record = record._replace(silent=False)
            self.stamp += 1
            stamp = self.stamp
        self.nodes[record.node_id] = _NodeView(record, now, stamp)

    def expire(self, now):
        """Find out who has gone silent.

        :param now: monotonic time.
        :returns: ids of servers and nodes that are silent from now on.
        """
        paused = now - self._checked_at
        self._checked_at = now
        if paused > self.timing.stopped:
            self._excuse(paused)
        return [*self._silent_servers(now), *self._silent_nodes(now)]

    def _excuse(self, paused):
        """Shift all times, as nothing could be heard during a pause."""
        for key, view in self.servers.items():
            heard_at = view.heard_at + paused
            self.servers[key] = view._replace(heard_at=heard_at)
        for key, view in self.nodes.items():
            heard_at = view.heard_at + paused
            self.nodes[key] = view._replace(heard_at=heard_at)

    def _silent_servers(self, now):
        for view in list(self.servers.values()):
            silence = now - view.heard_at
            record = view.record
            if silence > self.timing.forget:
                del self.servers[record.server_id]
            elif record.silent or record.state == GONE:
                continue
            elif silence > self.timing.server_silence:
                silent = record._replace(silent=True)
                self._store_server(view._replace(record=silent))
                yield record.server_id

    def _silent_nodes(self, now):
        for view in list(self.nodes.values()):
            silence = now - view.heard_at
            record = view.record
            if silence > self.timing.forget:
                del self.nodes[record.node_id]
            elif record.silent or record.state == GONE:
                continue
            elif silence > self.timing.node_silence:
                self.stamp += 1
                silent = record._replace(silent=True)
                self.nodes[record.node_id] = _NodeView(
                    silent, view.heard_at, self.stamp
                )
                yield record.node_id

    def merge(self, changes, now):
        """Take in what another registry has.

        :param changes: ``RegistryChanges``.
        :param now: monotonic time.
        :returns: ids of the servers that have changed here.
        """
        changed = [
            record.server_id
            for record in changes.servers
            if self.announce(record, now)
        ]
        for record in changes.nodes:
            known = self.nodes.get(record.node_id)
            if known is not None:
                # Each registry finds out itself who is silent.
                record = record._replace(silent=known.record.silent)
            self.report(record, now)
        return changed

    def adopt(self, changes, now):
        """Take the word of the registry that is followed.

        Unlike :meth:`merge` it also takes over who is silent.

        :param changes: ``RegistryChanges``.
        :param now: monotonic time.
        :returns: ids of the servers that have changed here.
        """
        changed = self.merge(changes, now)
        for record in changes.servers:
            view = self.servers[record.server_id]
            same = view.record.born_ms == record.born_ms
            if same and view.record.silent != record.silent:
                told = view.record._replace(silent=record.silent)
                self._store_server(view._replace(record=told))
                changed.append(record.server_id)
        for record in changes.nodes:
            view = self.nodes[record.node_id]
            same = view.record.incarnation == record.incarnation
            if same and view.record.silent != record.silent:
                told = view.record._replace(silent=record.silent)
                self.nodes[record.node_id] = view._replace(record=told)
        return changed

    def changes_since(self, stamp, now):
        """What a follower lacks.

        :param stamp: newest change that it has.
        :param now: monotonic time.
        :returns: ``RegistryChanges``.
        """
        servers = [
            _as_told(view, now)
            for view in self.servers.values()
            if view.stamp > stamp
        ]
        nodes = [
            view.record for view in self.nodes.values() if view.stamp > stamp
        ]
        return messages.RegistryChanges(
            self.epoch, stamp, self.stamp, servers, nodes
        )

    def told(self, server_ids, now):
        """Changes of some servers, outside the order of stamps.

        :param server_ids: the servers.
        :param now: monotonic time.
        :returns: ``RegistryChanges``.
        """
        servers = [
            _as_told(self.servers[server_id], now)
            for server_id in server_ids
            if server_id in self.servers
        ]
        return messages.RegistryChanges(self.epoch, 0, 0, servers, [])

    def nodes_of(self, role):
        """Records of nodes that have not left.

        :param role: ``entry`` or ``control``.
        """
        return [
            view.record
            for view in self.nodes.values()
            if view.record.role == role and view.record.state != GONE
        ]

    def _store_server(self, view):
        self.stamp += 1
        server_id = view.record.server_id
        self.servers[server_id] = view._replace(stamp=self.stamp)

    def _is_address_taken(self, record):
        """Whether a later server announced itself at the address."""
        return any(
            other.record.address == record.address
            and other.record.server_id != record.server_id
            and other.record.born_ms > record.born_ms
            for other in self.servers.values()
        )

    def _end_predecessors(self, record):
        """Servers that were at the address before exist no more."""
        for view in list(self.servers.values()):
            other = view.record
            if (
                other.address == record.address
                and other.server_id != record.server_id
                and other.state != GONE
                and other.born_ms <= record.born_ms
            ):
                ended = other._replace(state=GONE)
                self._store_server(view._replace(record=ended))


def _supersedes(record, known):
    """Whether a record is newer than what is known of the same server."""
    if record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if known.state == GONE:
        return False
    if record.state == GONE:
        return True
    return record.sequence > known.sequence


def _cold_until(record, now):
    if record.cold_left_ms <= 0:
        return datetime.timedelta()
    return now + record.cold_left_ms * _MS


def _reclaimed_at(record, known, now):
    if record.reclaim_left_ms < 0:
        return None
    reclaimed_at = now + record.reclaim_left_ms * _MS
    if known is not None and known.reclaimed_at is not None:
        same = known.record.born_ms == record.born_ms
        if same:
            return min(reclaimed_at, known.reclaimed_at)
    return reclaimed_at


def _differs(view, known):
    volatile = {
        "sequence": 0,
        "cold_left_ms": 0,
        "reclaim_left_ms": 0,
        "silent": False,
    }
    if view.record._replace(**volatile) != known.record._replace(**volatile):
        return True
    if known.record.silent:
        return True
    if (view.reclaimed_at is None) != (known.reclaimed_at is None):
        return True
    return view.cold_until > known.cold_until + COLD_TOLERANCE


def _as_told(view, now):
    cold_left = max(datetime.timedelta(), view.cold_until - now)
    left_ms = -1
    if view.reclaimed_at is not None:
        left_ms = max(0, (view.reclaimed_at - now) // _MS)
    return view.record._replace(
        cold_left_ms=cold_left // _MS, reclaim_left_ms=left_ms
    )


def _node_order(record):
    return (record.incarnation, record.sequence)


def _node_facts(record):
    return record._replace(sequence=0)
