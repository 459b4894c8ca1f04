"""Replication progress of another replica, as the leader sees it."""

import collections
import datetime
from typing import NamedTuple


class SnapshotTransfer(NamedTuple):
    """Progress of sending a snapshot to a replica."""

    snapshot: object
    offset_bytes: int
    sent_at: datetime.timedelta | None
    #: Whether the last chunk is not acknowledged yet.
    waiting: bool


class Progress:
    """Replication progress of another replica.

    :param next_index: index of the next entry to send.
    """

    def __init__(self, next_index):
        self.next_index = next_index
        self.match_index = 0
        self.identity = ""
        self.heard_at = None
        self.round = 0
        #: Highest commit index sent to the replica.
        self.commit_index = 0
        #: Whether the index up to which the logs match is unknown.
        self.probing = True
        #: Whether a probe is sent and not answered yet.
        self.probe_sent = False
        #: Last entry index of each unacknowledged append request, and the
        #: bytes of its entries.
        self.in_flight = collections.deque()
        self.transfer = None
        self.snapshot_requested = False

    def record_match(self, index):
        """Record up to which index the logs match.

        :param index: highest index known to match.
        """
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        self.probe_sent = False
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight.popleft()

    def record_mismatch(self, previous_index, hint_index):
        """Move back to an index at which the logs may match.

        :param previous_index: index that did not match.
        :param hint_index: highest index that may match.
        """
        if previous_index <= self.match_index:
            return
        lowest = self.match_index + 1
        self.next_index = max(lowest, min(previous_index, hint_index + 1))
        self.probing = True
        self.probe_sent = False
        self.in_flight.clear()

    def reset_to_match(self):
        """Probe again from the match index.

        This is needed if entries after the match index were lost in flight
        and are no longer in the leader's log.
        """
        self.next_index = self.match_index + 1
        self.probing = True
        self.in_flight.clear()

    def can_send(self, window_messages):
        """Whether flow control allows to send entries now.

        :param window_messages: upper bound on unacknowledged messages.
        """
        if self.transfer is not None or self.snapshot_requested:
            return False
        if self.probing:
            return not self.probe_sent
        return len(self.in_flight) < window_messages

    def has_room(self, size_bytes, window_bytes):
        """Whether flow control allows to send entries of a size now.

        :param size_bytes: size of the entries; any fits if it goes alone.
        :param window_bytes: upper bound on unacknowledged bytes.
        """
        sent_bytes = sum(sent for _, sent in self.in_flight)
        return not sent_bytes or sent_bytes + size_bytes <= window_bytes

    def record_sent(self, last_index, size_bytes):
        """Record that entries were sent.

        :param last_index: index of the last sent entry.
        :param size_bytes: size of the entries.
        """
        if self.probing:
            self.probe_sent = True
            return
        self.in_flight.append((last_index, size_bytes))
        self.next_index = last_index + 1

    def reset_for_new_disk(self, identity, next_index):
        """Discard all progress, as the replica now has another disk.

        :param identity: identity of the new disk.
        :param next_index: index of the next entry to send.
        """
        self.__init__(next_index)
        self.identity = identity
