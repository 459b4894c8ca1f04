"""Table of the entry VMs known to this node, with their leases."""

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
        """Return the record of an entry VM, or ``None``.

        :param node_id: id of the entry VM.
        """
        held = self._held.get(node_id)
        return None if held is None else held.record

    def records(self):
        """Records of all entry VMs in the table."""
        return [held.record for held in self._held.values()]

    def domain_records(self, failure_domain):
        """Records of the entry VMs of one failure domain.

        :param failure_domain: name of the failure domain.
        """
        return [
            held.record
            for held in self._held.values()
            if held.record.failure_domain == failure_domain
        ]

    def merge(self, record, lease_ms, now_ms):
        """Merge a record; the highest incarnation and sequence wins.

        :param record: the record.
        :param lease_ms: remaining lease.
        :param now_ms: monotonic time.
        :returns: whether the contents of the table changed.
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
        """Renew the lease of an entry VM after a heartbeat.

        :param node_id: id of the entry VM.
        :param incarnation: its incarnation.
        :param sequence: sequence number of its record.
        :param in_flight: callers' requests in progress at the entry VM.
        :param now_ms: monotonic time.
        :returns: false if the full record of the entry VM is needed.
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
        """The record of an entry VM with its remaining lease.

        :param node_id: id of the entry VM.
        :param now_ms: monotonic time.
        """
        held = self._held[node_id]
        lease_ms = max(0, held.expires_at_ms - now_ms)
        return held.record._replace(lease_ms=lease_ms)

    def expire(self, now_ms):
        """Delete the entry VMs whose lease has expired.

        :param now_ms: monotonic time.
        :returns: records of the deleted entry VMs.
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
    """Version just below a record's, so that the record may be added again."""
    return held.record.incarnation, held.record.sequence - 1
