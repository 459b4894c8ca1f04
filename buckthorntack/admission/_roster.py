"""How many entry VMs share the quotas."""

import collections
import datetime

#: How long an entry VM that is not heard of keeps its share.
ENTRY_VM_EXPIRY = datetime.timedelta(hours=1)


class EntryRoster:
    """Counts entry VMs of all regions, also those that are cut off.

    Its count goes to ``AdmissionController.set_entry_count``.  An entry VM
    that is not heard of may be cut off and still admit requests, so it
    counts until it withdraws or is forgotten.

    >>> roster = EntryRoster()
    >>> roster.seen("entry-1", datetime.timedelta())
    >>> roster.seen("entry-2", datetime.timedelta())
    >>> roster.count(datetime.timedelta(minutes=30))
    2
    >>> roster.withdrawn("entry-2")
    >>> roster.count(datetime.timedelta(minutes=30))
    1
    """

    def __init__(self):
        self._last_seen = collections.OrderedDict()

    def seen(self, node_id: str, now: datetime.timedelta) -> None:
        """Note an entry VM that is a member.

        :param node_id: the entry VM.
        :param now: the time.
        """
        self._last_seen[node_id] = now
        self._last_seen.move_to_end(node_id)

    def withdrawn(self, node_id: str) -> None:
        """Note an entry VM that has stopped as planned.

        :param node_id: the entry VM.
        """
        self._last_seen.pop(node_id, None)

    def count(self, now: datetime.timedelta) -> int:
        """Entry VMs that share the quotas.

        :param now: the time.
        :returns: at least 1.
        """
        while self._last_seen:
            node_id, last_seen = next(iter(self._last_seen.items()))
            if now - last_seen <= ENTRY_VM_EXPIRY:
                break
            del self._last_seen[node_id]
        return max(1, len(self._last_seen))
