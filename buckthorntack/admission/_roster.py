"""Count of the entry VMs that share the quotas."""

import collections
import datetime

#: Time for which an entry VM without heartbeats keeps its share.
ENTRY_VM_EXPIRY = datetime.timedelta(hours=1)


class EntryRoster:
    """Entry VMs of all regions, including unreachable ones.

    The count is the input of ``AdmissionController.set_entry_count``.  An
    entry VM without heartbeats may be partitioned and still admit requests,
    so it counts until it deregisters or its entry expires.

    >>> roster = EntryRoster()
    >>> roster.record_member("entry-1", datetime.timedelta())
    >>> roster.record_member("entry-2", datetime.timedelta())
    >>> roster.count(datetime.timedelta(minutes=30))
    2
    >>> roster.remove("entry-2")
    >>> roster.count(datetime.timedelta(minutes=30))
    1
    """

    def __init__(self):
        self._last_seen = collections.OrderedDict()

    def record_member(self, node_id: str, now: datetime.timedelta) -> None:
        """Record that an entry VM is a member.

        :param node_id: the entry VM.
        :param now: monotonic time.
        """
        self._last_seen[node_id] = now
        self._last_seen.move_to_end(node_id)

    def remove(self, node_id: str) -> None:
        """Remove an entry VM after a planned stop.

        :param node_id: the entry VM.
        """
        self._last_seen.pop(node_id, None)

    def count(self, now: datetime.timedelta) -> int:
        """Number of entry VMs that share the quotas.

        :param now: monotonic time.
        :returns: number of entry VMs, at least 1.
        """
        while self._last_seen:
            node_id, last_seen = next(iter(self._last_seen.items()))
            if now - last_seen <= ENTRY_VM_EXPIRY:
                break
            del self._last_seen[node_id]
        return max(1, len(self._last_seen))
