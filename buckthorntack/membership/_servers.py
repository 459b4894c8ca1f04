"""Table of the backend servers known to this node, with lease and load."""

import datetime
import enum
from typing import NamedTuple

from buckthorntack.membership import _tombstones
from buckthorntack.schema import messages

READY = "ready"
DRAINING = "draining"
WITHDRAWN = "withdrawn"


class MergeOutcome(enum.Enum):
    """Result of merging a record or a renewal."""

    STALE = "stale"
    REPEATED = "repeated"
    RENEWED = "renewed"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"
    FULL = "full"


class HeldServer(NamedTuple):
    """A backend server in the table, with its lease."""

    record: messages.ServerRecord
    changed_sequence: int
    expires_at_ms: int
    load_at_ms: int
    #: Whether the lease was running at the last merge or check for expiry.
    is_live: bool

    @property
    def version(self):
        """Version of the record; of two announcements the higher one wins."""
        return self.record.incarnation, self.record.sequence

    def record_at(self, now_ms):
        """The record with its remaining lease and the age of its load.

        :param now_ms: monotonic time.
        """
        lease_ms = max(0, self.expires_at_ms - now_ms)
        age_ms = max(0, now_ms - self.load_at_ms)
        load = self.record.load._replace(age_ms=age_ms)
        return self.record._replace(lease_ms=lease_ms, load=load)


def _contents(record):
    """The record without the fields that a renewal carries."""
    return record._replace(sequence=0, lease_ms=0, load=None)


class ServerTable:
    """Backend servers by id.

    :param timing: a :class:`MembershipTiming`.
    """

    def __init__(self, timing):
        self.timing = timing
        self.tombstones = _tombstones.TombstoneTable(
            timing.tombstone_ms, timing.max_tombstones
        )
        self._held = {}

    def __len__(self):
        return len(self._held)

    def get(self, server_id):
        """Return a held server, or ``None``.

        :param server_id: id of the server.
        """
        return self._held.get(server_id)

    def held_servers(self):
        """All servers in the table, also those whose lease has expired."""
        return self._held.values()

    def live_records(self, now_ms):
        """Records of the servers whose lease has not expired.

        :param now_ms: monotonic time.
        """
        return [
            held.record_at(now_ms)
            for held in self._held.values()
            if held.expires_at_ms > now_ms
        ]

    def merge(self, record, changed_sequence, lease_ms, now_ms):
        """Merge a full record; the highest incarnation and sequence wins.

        :param record: the record.
        :param changed_sequence: sequence number at which its contents last
            changed; if ``None``, they are compared with the held record.
        :param lease_ms: remaining lease.
        :param now_ms: monotonic time.
        :returns: a :class:`MergeOutcome`.
        """
        key = record.server_id
        if not self.tombstones.is_newer(
            key, record.incarnation, record.sequence
        ):
            return MergeOutcome.STALE
        held = self._held.get(key)
        version = (record.incarnation, record.sequence)
        if held is not None and version < held.version:
            return MergeOutcome.STALE
        if held is not None and version == held.version:
            return self._extend_lease(held, lease_ms, now_ms)
        if held is None and len(self._held) >= self.timing.max_servers:
            return MergeOutcome.FULL
        if record.state == WITHDRAWN:
            self._replace_with_tombstone(key, version, True, now_ms)
            return MergeOutcome.WITHDRAWN
        return self._put(held, record, changed_sequence, lease_ms, now_ms)

    def _extend_lease(self, held, lease_ms, now_ms):
        expires_at_ms = now_ms + lease_ms
        if expires_at_ms <= held.expires_at_ms or lease_ms <= 0:
            return MergeOutcome.REPEATED
        extended = held._replace(expires_at_ms=expires_at_ms, is_live=True)
        self._held[held.record.server_id] = extended
        return MergeOutcome.RENEWED

    def _put(self, held, record, changed_sequence, lease_ms, now_ms):
        is_unchanged = held is not None and _contents(
            held.record
        ) == _contents(record)
        if changed_sequence is None:
            changed_sequence = (
                held.changed_sequence if is_unchanged else record.sequence
            )
        self.tombstones.remove(record.server_id)
        self._held[record.server_id] = HeldServer(
            record,
            changed_sequence,
            now_ms + max(0, lease_ms),
            now_ms - record.load.age_ms,
            lease_ms > 0,
        )
        return (
            MergeOutcome.RENEWED
            if is_unchanged and held.is_live
            else MergeOutcome.CHANGED
        )

    def renew(self, server_id, incarnation, renewal, lease_ms, now_ms):
        """Merge a renewal, which carries only the lease and the load.

        :param server_id: id of the server.
        :param incarnation: its incarnation.
        :param renewal: a ``ServerRenewal``.
        :param lease_ms: remaining lease.
        :param now_ms: monotonic time.
        :returns: a :class:`MergeOutcome`; ``None`` if the full record is
            needed.
        """
        held = self._held.get(server_id)
        version = (incarnation, renewal.sequence)
        if not self.tombstones.is_newer(server_id, *version):
            return MergeOutcome.STALE
        if held is None:
            return None
        if version < held.version:
            return MergeOutcome.STALE
        if (incarnation, renewal.changed_sequence) != (
            held.record.incarnation,
            held.changed_sequence,
        ):
            return None
        if version == held.version:
            return self._extend_lease(held, lease_ms, now_ms)
        load = messages.ServerLoad(
            renewal.running,
            renewal.waiting,
            renewal.cache_used_percent / 100,
            renewal.load_age_ms,
        )
        record = held.record._replace(sequence=renewal.sequence, load=load)
        return self._put(held, record, held.changed_sequence, lease_ms, now_ms)

    def expire(self, now_ms):
        """Find the servers whose lease has expired.

        Servers that expired longer ago than the retention time are replaced
        with tombstones.

        :param now_ms: monotonic time.
        :returns: ids of the servers that expired since the last call.
        """
        expired = []
        for key, held in list(self._held.items()):
            if held.expires_at_ms > now_ms:
                continue
            if held.is_live:
                self._held[key] = held._replace(is_live=False)
                expired.append(key)
            if held.expires_at_ms + self.timing.expired_retention_ms <= now_ms:
                self._replace_with_tombstone(key, held.version, False, now_ms)
        self.tombstones.expire(now_ms)
        return expired

    def _replace_with_tombstone(self, key, version, is_final, now_ms):
        self._held.pop(key, None)
        self.tombstones.put(key, *version, is_final, now_ms)


def expires_at(held):
    """Monotonic time at which the lease of a held server ends.

    :param held: a :class:`HeldServer`.
    """
    return datetime.timedelta(milliseconds=held.expires_at_ms)
