"""What a leader knows of another replica."""

import collections
import datetime
from typing import NamedTuple


class Transfer(NamedTuple):
    """A snapshot on its way to a replica."""

    snapshot: object
    offset_bytes: int
    sent_at: datetime.timedelta | None
    #: Whether the receiver's answer to the last part has not come.
    waiting: bool


class Progress:
    """What a leader knows of another replica.

    :param next_index: index of the next entry to send.
    """

    def __init__(self, next_index):
        self.next_index = next_index
        self.match_index = 0
        self.identity = ""
        self.heard_at = None
        self.round = 0
        #: Newest commit index that was sent.
        self.commit_index = 0
        #: Whether the place where the logs agree is still looked for.
        self.probing = True
        #: Whether a probe is on its way.
        self.paused = False
        #: Last index of each message with entries on its way.
        self.in_flight = collections.deque()
        self.transfer = None
        self.wants_snapshot = False

    def accept(self, index):
        """Note that entries match.

        :param index: newest index known to match.
        """
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        self.paused = False
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def refuse(self, previous_index, hint_index):
        """Go back to where the logs may match.

        :param previous_index: index that did not match.
        :param hint_index: newest index that may match.
        """
        if previous_index <= self.match_index:
            return
        lowest = self.match_index + 1
        self.next_index = max(lowest, min(previous_index, hint_index + 1))
        self.probing = True
        self.paused = False
        self.in_flight.clear()

    def step_back(self):
        """Give up messages on their way whose entries are released."""
        self.next_index = self.match_index + 1
        self.probing = True
        self.in_flight.clear()

    def may_send(self, window_messages):
        """Whether entries may be sent now.

        :param window_messages: bound on messages on their way.
        """
        if self.transfer is not None or self.wants_snapshot:
            return False
        if self.probing:
            return not self.paused
        return len(self.in_flight) < window_messages

    def sent(self, last_index):
        """Note that entries were sent.

        :param last_index: index of the last one.
        """
        if self.probing:
            self.paused = True
            return
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def restart(self, identity, next_index):
        """Forget all, as another disk answers.

        :param identity: identity of that disk.
        :param next_index: index of the next entry to send.
        """
        self.__init__(next_index)
        self.identity = identity
