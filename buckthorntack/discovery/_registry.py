"""Registry of backend servers and nodes, merged from many reports.

Each change gets a stamp, an increasing number, so that a follower can be sent
only the changes after the newest stamp that it has.
"""

import datetime
import itertools
from typing import NamedTuple

from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Time for which a server counts as cold beyond the estimated end of its
#: warm-up. Later estimates within it are no news, as announcements are on
#: their way for milliseconds more or less.
COLD_MARGIN = datetime.timedelta(milliseconds=100)
#: An end that is earlier by less is no news: a server may be taken as cold for
#: longer than it is, but not the other way round.
COLD_TOLERANCE = datetime.timedelta(milliseconds=800)
READY = "ready"
DRAINING = "draining"
GONE = "gone"
#: Sequence number that no report of the same incarnation exceeds.
LAST_SEQUENCE = 1 << 52


class ServerView(NamedTuple):
    """A backend server; times are of this node's monotonic clock."""

    record: messages.AnnouncedServer
    #: Estimated end of its warm-up and the margin; 0 for none.
    cold_until: datetime.timedelta
    reclaimed_at: datetime.timedelta | None
    last_heard_at: datetime.timedelta
    stamp: int

    def is_cold(self, now):
        """Return whether it is warming up and can take only few requests.

        :param now: monotonic time.
        """
        return now < self.cold_until


class _NodeView(NamedTuple):
    record: messages.NodePresence
    last_heard_at: datetime.timedelta
    stamp: int


class Registry:
    """Backend servers and nodes known to one process.

    :param epoch: identifies this run of the registry; above 0.
    :param timing: the ``Timing``.
    :param now: monotonic time of its start.
    """

    def __init__(self, epoch, timing, now):
        self.epoch = epoch
        self.timing = timing
        self.started_at = now
        self.stamp = 0
        #: Views by server id, those that changed last at the end.
        self.servers = {}
        self.nodes = {}
        #: Ids of the servers that have announced each address.
        self._ids_by_address = {}
        #: Incarnations of servers that said in a response that they leave.
        self._leaving = {}
        self._checked_at = now

    def merge_server(self, record, now, is_relayed=False):
        """Merge a server record.

        :param record: ``AnnouncedServer``.
        :param now: monotonic time.
        :param is_relayed: whether it is from another registry.
        :returns: whether followers must be sent the change.
        """
        known = self.servers.get(record.server_id)
        if known is not None and not _is_newer(record, known.record):
            return False
        if record.state != GONE and self._is_address_taken(record):
            record = record._replace(state=GONE)
        if record.state == READY and self._is_leaving(record):
            record = record._replace(state=DRAINING)
        view = ServerView(
            record,
            _cold_until(record, now),
            _reclaimed_at(record, known, now),
            now if known is None or not record.silent else known.last_heard_at,
            0,
        )
        # The margin of another registry is used up by what it heard since.
        margin = datetime.timedelta() if is_relayed else COLD_MARGIN
        if known is not None and not _has_changed(view, known, now, margin):
            merged = view._replace(
                record=record._replace(silent=False),
                # The end that followers have been told.
                cold_until=known.cold_until,
                stamp=known.stamp,
            )
            self.servers[record.server_id] = merged
            return False
        self._store_server(view)
        self._retire_predecessors(record)
        return True

    def mark_server_gone(self, server_id, born_ms, now):
        """Mark a server as gone after it has deregistered.

        :param server_id: id of the server.
        :param born_ms: its incarnation; None if unknown.
        :param now: monotonic time.
        :returns: whether the record changed.
        """
        known = self.servers.get(server_id)
        if known is None or known.record.state == GONE:
            return False
        if born_ms is not None and born_ms < known.record.born_ms:
            return False
        record = known.record._replace(state=GONE)
        self._store_server(known._replace(record=record, last_heard_at=now))
        return True

    def mark_server_leaving(self, server_id, now):
        """Mark a server as draining after a response said that it leaves.

        The mark holds until its incarnation ends, whatever announcements of
        it arrive.

        :param server_id: id of the server.
        :param now: monotonic time.
        :returns: whether the record changed.
        """
        known = self.servers.get(server_id)
        if known is None or known.record.state == GONE:
            return False
        self._leaving[server_id] = known.record.born_ms
        if known.record.state == DRAINING:
            return False
        record = known.record._replace(state=DRAINING)
        self._store_server(known._replace(record=record, last_heard_at=now))
        return True

    def _is_leaving(self, record):
        born_ms = self._leaving.get(record.server_id)
        return born_ms is not None and record.born_ms <= born_ms

    def merge_node(self, record, now, is_sign_of_life=True):
        """Merge a node record, sent by the node itself or by another node.

        :param record: ``NodePresence``.
        :param now: monotonic time.
        :param is_sign_of_life: whether the record shows that the node was
            heard of late.
        :returns: whether the record changed in more than its sequence.
        """
        known = self.nodes.get(record.node_id)
        if known is not None and _node_version(record) < _node_version(
            known.record
        ):
            return False
        if known is None and self._retire_former_nodes(record):
            record = record._replace(state=GONE, sequence=LAST_SEQUENCE)
        last_heard_at = now
        if known is not None and (record.silent or not is_sign_of_life):
            last_heard_at = known.last_heard_at
        changed = known is None or _without_sequence(
            record
        ) != _without_sequence(known.record)
        self.stamp += changed
        stamp = self.stamp if changed else known.stamp
        self.nodes[record.node_id] = _NodeView(record, last_heard_at, stamp)
        return changed

    def _retire_former_nodes(self, record):
        """Mark older node ids at the address of a new node as gone.

        A control VM gets another node id after the loss of its disk.

        :returns: whether the address belongs to a newer node id already.
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
            retired = other._replace(state=GONE, sequence=LAST_SEQUENCE)
            self.stamp += 1
            self.nodes[other.node_id] = _NodeView(
                retired, view.last_heard_at, self.stamp
            )
        return False

    def refresh_last_heard(self, server_ids, node_ids, now):
        """Record that this or another node heard from servers and nodes.

        :param server_ids: ids of the servers.
        :param node_ids: ids of the nodes.
        :param now: monotonic time.
        """
        for server_id in server_ids:
            view = self.servers.get(server_id)
            if view is not None and view.record.state != GONE:
                self._refresh_server(view, now)
        for node_id in node_ids:
            view = self.nodes.get(node_id)
            if view is not None and view.record.state != GONE:
                self._refresh_node(view, now)

    def _refresh_server(self, view, now):
        if view.record.silent:
            record = view.record._replace(silent=False)
            self._store_server(view._replace(record=record, last_heard_at=now))
            return
        server_id = view.record.server_id
        self.servers[server_id] = view._replace(last_heard_at=now)

    def _refresh_node(self, view, now):
        record = view.record
        stamp = view.stamp
        if record.silent:
            record = record._replace(silent=False)
            self.stamp += 1
            stamp = self.stamp
        self.nodes[record.node_id] = _NodeView(record, now, stamp)

    def mark_silent(self, now):
        """Mark servers and nodes as silent after their silence timeout.

        Those silent or gone for the retention time are deleted.

        :param now: monotonic time.
        :returns: ids of the servers and nodes that were marked now.
        """
        pause = now - self._checked_at
        self._checked_at = now
        if pause > self.timing.pause_threshold:
            self._shift_last_heard(pause)
        return [*self._expire_servers(now), *self._expire_nodes(now)]

    def _shift_last_heard(self, pause):
        """Do not count a pause of this process as silence of the others."""
        for key, view in self.servers.items():
            last_heard_at = view.last_heard_at + pause
            self.servers[key] = view._replace(last_heard_at=last_heard_at)
        for key, view in self.nodes.items():
            last_heard_at = view.last_heard_at + pause
            self.nodes[key] = view._replace(last_heard_at=last_heard_at)

    def _expire_servers(self, now):
        for view in list(self.servers.values()):
            silence = now - view.last_heard_at
            record = view.record
            if silence > self.timing.retention:
                del self.servers[record.server_id]
                self._forget_address(record)
                self._leaving.pop(record.server_id, None)
            elif record.silent or record.state == GONE:
                continue
            elif silence > self.timing.server_silence_timeout:
                silent = record._replace(silent=True)
                self._store_server(view._replace(record=silent))
                yield record.server_id

    def _expire_nodes(self, now):
        for view in list(self.nodes.values()):
            silence = now - view.last_heard_at
            record = view.record
            if silence > self.timing.retention:
                del self.nodes[record.node_id]
            elif record.silent or record.state == GONE:
                continue
            elif silence > self.timing.node_silence_timeout:
                self.stamp += 1
                silent = record._replace(silent=True)
                self.nodes[record.node_id] = _NodeView(
                    silent, view.last_heard_at, self.stamp
                )
                yield record.node_id

    def merge_changes(self, changes, now):
        """Merge the changes of another registry.

        :param changes: ``RegistryChanges``.
        :param now: monotonic time.
        :returns: ids of the servers whose records changed.
        """
        changed = [
            record.server_id
            for record in changes.servers
            if self.merge_server(record, now, is_relayed=True)
        ]
        for record in changes.nodes:
            known = self.nodes.get(record.node_id)
            if known is None:
                self.merge_node(record, now)
                continue
            is_newer = _node_version(record) > _node_version(known.record)
            is_sign_of_life = is_newer and not record.silent
            # Each registry detects the silence of nodes by itself.
            record = record._replace(silent=known.record.silent)
            self.merge_node(record, now, is_sign_of_life)
        return changed

    def adopt_changes(self, changes, now):
        """Merge the changes of the registry that this one follows.

        Unlike :meth:`merge_changes` it also copies the ``silent`` flags, and
        takes each server as cold for as long as the other registry does.

        :param changes: ``RegistryChanges``.
        :param now: monotonic time.
        :returns: ids of the servers whose records changed.
        """
        changed = self.merge_changes(changes, now)
        for record in changes.servers:
            view = self.servers[record.server_id]
            is_same_incarnation = view.record.born_ms == record.born_ms
            cold_until = _cold_until(record, now)
            if is_same_incarnation and cold_until > view.cold_until:
                # It was told by others; the end that the other registry has
                # will be no news there.
                view = view._replace(cold_until=cold_until)
                self.servers[record.server_id] = view
            if is_same_incarnation and view.record.silent != record.silent:
                updated = view.record._replace(silent=record.silent)
                self._store_server(view._replace(record=updated))
                changed.append(record.server_id)
        for record in changes.nodes:
            view = self.nodes[record.node_id]
            is_same_incarnation = view.record.incarnation == record.incarnation
            if is_same_incarnation and view.record.silent != record.silent:
                updated = view.record._replace(silent=record.silent)
                self.nodes[record.node_id] = view._replace(record=updated)
        return changed

    def changes_since(self, stamp, now):
        """Changes after a stamp.

        :param stamp: stamp of the newest change that the follower has.
        :param now: monotonic time.
        :returns: ``RegistryChanges``.
        """
        newest = itertools.takewhile(
            lambda view: view.stamp > stamp, reversed(self.servers.values())
        )
        servers = [_with_remaining_times(view, now) for view in newest]
        servers.reverse()
        nodes = [
            view.record for view in self.nodes.values() if view.stamp > stamp
        ]
        return messages.RegistryChanges(
            self.epoch, stamp, self.stamp, servers, nodes
        )

    def changes_for_servers(self, server_ids, now):
        """Current records of some servers.

        :param server_ids: ids of the servers.
        :param now: monotonic time.
        :returns: ``RegistryChanges`` with stamp 0, which does not advance the
            receiver's position.
        """
        servers = [
            _with_remaining_times(self.servers[server_id], now)
            for server_id in server_ids
            if server_id in self.servers
        ]
        return messages.RegistryChanges(self.epoch, 0, 0, servers, [])

    def nodes_with_role(self, role):
        """Records of the nodes of one role that are not gone.

        :param role: ``entry`` or ``control``.
        """
        return [
            view.record
            for view in self.nodes.values()
            if view.record.role == role and view.record.state != GONE
        ]

    def _store_server(self, view):
        self.stamp += 1
        record = view.record
        known = self.servers.pop(record.server_id, None)
        if known is not None and known.record.address != record.address:
            self._forget_address(known.record)
        self._ids_by_address.setdefault(record.address, set()).add(
            record.server_id
        )
        self.servers[record.server_id] = view._replace(stamp=self.stamp)

    def _forget_address(self, record):
        server_ids = self._ids_by_address[record.address]
        server_ids.discard(record.server_id)
        if not server_ids:
            del self._ids_by_address[record.address]

    def _others_at_address(self, record):
        """Views of the other servers that announced the same address."""
        return [
            self.servers[server_id]
            for server_id in self._ids_by_address.get(record.address, ())
            if server_id != record.server_id
        ]

    def _is_address_taken(self, record):
        """Return whether a newer server has the same address."""
        return any(
            other.record.born_ms > record.born_ms
            for other in self._others_at_address(record)
        )

    def _retire_predecessors(self, record):
        """Mark older servers at the address of a record as gone."""
        for view in self._others_at_address(record):
            other = view.record
            if other.state != GONE and other.born_ms <= record.born_ms:
                retired = other._replace(state=GONE)
                self._store_server(view._replace(record=retired))


def select_returned(records, reply):
    """Choose the records of servers that an entry VM returns.

    :param records: iterable of ``AnnouncedServer`` that it has.
    :param reply: ``PresenceReply`` of a control VM.
    :returns: list of records.
    """
    if reply.wants_servers:
        return list(records)
    if reply.wants_marks:
        return [record for record in records if record.state != READY]
    return []


def _is_newer(record, known):
    """Return whether a record supersedes the known one of its server."""
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
    return now + record.cold_left_ms * _MS + COLD_MARGIN


def _reclaimed_at(record, known, now):
    if record.reclaim_left_ms < 0:
        return None
    reclaimed_at = now + record.reclaim_left_ms * _MS
    if known is not None and known.reclaimed_at is not None:
        is_same_incarnation = known.record.born_ms == record.born_ms
        if is_same_incarnation:
            return min(reclaimed_at, known.reclaimed_at)
    return reclaimed_at


def _has_changed(view, known, now, margin):
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
    if view.cold_until > known.cold_until + margin:
        return True
    return max(view.cold_until, now) + COLD_TOLERANCE < known.cold_until


def _with_remaining_times(view, now):
    cold_left_ms = 0
    if view.is_cold(now):
        # Rounded up; the receiver adds the margin.
        cold_left_ms = max(1, -((now + COLD_MARGIN - view.cold_until) // _MS))
    left_ms = -1
    if view.reclaimed_at is not None:
        left_ms = max(0, (view.reclaimed_at - now) // _MS)
    return view.record._replace(
        cold_left_ms=cold_left_ms, reclaim_left_ms=left_ms
    )


def _node_version(record):
    return (record.incarnation, record.sequence)


def _without_sequence(record):
    return record._replace(sequence=0)
