"""Entry VMs known to this node."""

from typing import NamedTuple

from buckthorntack.membership import _tombstones
from buckthorntack.schema import messages

READY = "ready"
STOPPING = "stopping"
STOPPED = "stopped"


class _HeldEntry(NamedTuple):
    record: messages.EntryRecord
    expires_at_ms: int


class EntryTable:
    """Entry VMs by node id, without this node.

    :param timing: a :class:`MembershipTiming`.
    """

    def __init__(self, timing):
        self.timing = timing
        self.tombstones = _tombstones.TombstoneTable(
            timing.tombstone_ms, timing.max_tombstones
        )
        self._held = {}

    def get(self, node_id):
        """The record of an entry VM, or ``None``.

        :param node_id: its id.
        """
        held = self._held.get(node_id)
        return None if held is None else held.record

    def records(self):
        """Records of all entry VMs whose lease runs."""
        return [held.record for held in self._held.values()]

    def domain_records(self, failure_domain):
        """Records of one failure domain.

        :param failure_domain: its name.
        """
        return [
            held.record
            for held in self._held.values()
            if held.record.failure_domain == failure_domain
        ]

    def merge(self, record, lease_ms, now_ms):
        """Take a record.

        :param record: the record.
        :param lease_ms: lease left now.
        :param now_ms: monotonic time.
        :returns: whether its contents are news.
        """
        key = record.node_id
        version = (record.incarnation, record.sequence)
        if not self.tombstones.is_newer(key, *version):
            return False
        held = self._held.get(key)
        if held is not None and version < _version(held):
            return False
        if record.state == STOPPED:
            self._replace_with_tombstone(key, version, True, now_ms)
            return held is not None
        if held is None and lease_ms <= 0:
            return False
        expires_at_ms = now_ms + max(0, lease_ms)
        if held is not None:
            expires_at_ms = max(expires_at_ms, held.expires_at_ms)
        self._held[key] = _HeldEntry(record, expires_at_ms)
        self.tombstones.remove(key)
        return held is None or version > _version(held)

    def renew(self, node_id, incarnation, sequence, in_flight, now_ms):
        """Take a sign of life.

        :param node_id: who gave it.
        :param incarnation: its incarnation.
        :param sequence: sequence of its record.
        :param in_flight: callers' requests in progress there.
        :param now_ms: monotonic time.
        :returns: whether its record is known.
        """
        held = self._held.get(node_id)
        version = (incarnation, sequence)
        if not self.tombstones.is_newer(node_id, *version):
            return True
        if held is None or _version(held) < version:
            return False
        if _version(held) == version:
            self._held[node_id] = _HeldEntry(
                held.record._replace(in_flight=in_flight),
                now_ms + self.timing.entry_lease_ms,
            )
        return True

    def record_at(self, node_id, now_ms):
        """The record of an entry VM with its lease as of now.

        :param node_id: its id.
        :param now_ms: monotonic time.
        """
        held = self._held[node_id]
        lease_ms = max(0, held.expires_at_ms - now_ms)
        return held.record._replace(lease_ms=lease_ms)

    def expire(self, now_ms):
        """Drop entry VMs whose lease has lapsed.

        :param now_ms: monotonic time.
        :returns: records of those dropped.
        """
        expired = [h for h in self._held.values() if h.expires_at_ms <= now_ms]
        for held in expired:
            self._replace_with_tombstone(
                held.record.node_id, _version_before(held), False, now_ms
            )
        self.tombstones.expire(now_ms)
        return [held.record for held in expired]

    def _replace_with_tombstone(self, key, version, is_final, now_ms):
        self._held.pop(key, None)
        self.tombstones.put(key, *version, is_final, now_ms)


def _version(held):
    return held.record.incarnation, held.record.sequence


def _version_before(held):
    """Order just below a record, so that the record itself may return."""
    return held.record.incarnation, held.record.sequence - 1
