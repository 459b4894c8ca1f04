"""Budget of the bytes that a process holds for its callers and servers.

What one connection may hold is a share of the memory that is free at the
moment (a dynamic threshold, as in shared-memory switches; Choudhury and Hahne
1998).  As memory gets short, the biggest holders reach their threshold first,
and some of it always stays free for connections that hold little.
"""

import collections
import enum
from typing import NamedTuple

#: Part of a process's memory that may be held; the rest is for the process
#: itself, its copies of data in transit and the kernel's socket buffers.
HELD_SHARE = 0.25
#: Largest part of the budget that one connection may hold of its answer.
CONNECTION_SHARE = 1 / 16
#: Part of the free budget up to which one connection may hold of its answer.
ANSWER_FREE_SHARE = 0.25
#: Size that one more read may have, for which there must be room as well.
READ_BYTES = 65_536
#: What a header field takes in memory besides the bytes of its name and
#: value: a tuple, two objects and its place in a list.
FIELD_BYTES = 144
#: Part of the free budget up to which head or body of a request may have.
BODY_FREE_SHARE = 0.5
#: Multiple of the free budget up to which one organisation may hold: with 1,
#: an organisation that is alone gets half of the budget.
OWNER_FREE_SHARE = 1.0
#: Part of the budget below which free memory counts as short.
SHORT_SHARE = 0.25
#: Shortest time between two reports of a shortage.
REPORT_PERIOD_S = 10.0


class Purpose(enum.Enum):
    """What bytes are held for."""

    #: Requests, also those that are not read whole, until their answers are
    #: complete.
    REQUEST = "request"
    #: Bytes of requests that a server has not taken yet.
    SENDING = "sending"
    #: Bytes of answers that were read from a server and not sent on yet.
    RELAY = "relay"
    #: Bytes of answers that a caller has not taken yet.
    ANSWER = "answer"


class Bounds(NamedTuple):
    """Bounds of what is held."""

    total_bytes: int
    connection_bytes: int


def compute_bounds(memory_mb):
    """Return the bounds of a process with some memory.

    :param memory_mb: memory of the process in MB.
    :returns: :class:`Bounds`.

    >>> compute_bounds(160)
    Bounds(total_bytes=40000000, connection_bytes=2500000)
    """
    total_bytes = int(memory_mb * 1e6 * HELD_SHARE)
    return Bounds(total_bytes, int(total_bytes * CONNECTION_SHARE))


class MemoryBudget:
    """What is held, by purpose and by organisation.

    :param bounds: the :class:`Bounds`.
    """

    def __init__(self, bounds):
        self.bounds = bounds
        self.held_bytes = 0
        self.peak_bytes = 0
        self.by_purpose = dict.fromkeys(Purpose, 0)
        self.by_owner = collections.Counter()
        #: Requests that were refused as they found no room.
        self.refusals = 0
        self._reported_s = None

    @property
    def free_bytes(self):
        """Bytes of the budget that are not held."""
        return max(0, self.bounds.total_bytes - self.held_bytes)

    @property
    def is_short(self):
        """Whether little of the budget is free."""
        return self.free_bytes < SHORT_SHARE * self.bounds.total_bytes

    def has_room(self, size_bytes, owner=""):
        """Return whether a head or a body of a request finds room.

        :param size_bytes: size of the head, or of the body without what is
            held of it.
        :param owner: organisation of the request; empty if it has none.
        """
        if size_bytes > BODY_FREE_SHARE * self.free_bytes:
            return False
        if not owner:
            return True
        held_bytes = self.by_owner[owner] + size_bytes
        return held_bytes <= OWNER_FREE_SHARE * self.free_bytes

    def take_report(self, now_s):
        """Return whether a shortage shall be reported now.

        :param now_s: monotonic time in seconds.
        """
        if not self.is_short:
            return False
        last_s = self._reported_s
        if last_s is not None and now_s - last_s < REPORT_PERIOD_S:
            return False
        self._reported_s = now_s
        return True

    def change(self, purpose, owner, delta_bytes):
        """Add to what is held.

        :param purpose: the :class:`Purpose`.
        :param owner: the organisation; empty if there is none.
        :param delta_bytes: positive or negative number of bytes.
        """
        self.held_bytes += delta_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        self.by_purpose[purpose] += delta_bytes
        if owner:
            self.move(owner, delta_bytes)

    def move(self, owner, delta_bytes):
        """Add to what is held for an organisation.

        :param owner: the organisation.
        :param delta_bytes: positive or negative number of bytes.
        """
        self.by_owner[owner] += delta_bytes
        if not self.by_owner[owner]:
            del self.by_owner[owner]


class Account:
    """What is held for one connection of a caller.

    :param budget: the :class:`MemoryBudget`.
    """

    def __init__(self, budget):
        self.budget = budget
        self.owner = ""
        self.held_bytes = 0
        self.request_bytes = 0

    def assign(self, owner):
        """Hold for an organisation from now on, also what is held already.

        :param owner: the organisation; empty for none.
        """
        if owner == self.owner:
            return
        if self.owner:
            self.budget.move(self.owner, -self.held_bytes)
        if owner:
            self.budget.move(owner, self.held_bytes)
        self.owner = owner

    def change(self, purpose, delta_bytes):
        """Add to what is held.

        :param purpose: the :class:`Purpose`.
        :param delta_bytes: positive or negative number of bytes.
        """
        self.held_bytes += delta_bytes
        if purpose is Purpose.REQUEST:
            self.request_bytes += delta_bytes
        self.budget.change(purpose, self.owner, delta_bytes)

    @property
    def is_over(self):
        """Whether no more of the answer may be read from its server."""
        answer_bytes = self.held_bytes - self.request_bytes
        budget = self.budget
        free_bytes = budget.free_bytes
        if not answer_bytes:
            return free_bytes < READ_BYTES
        limit_bytes = min(
            budget.bounds.connection_bytes, ANSWER_FREE_SHARE * free_bytes
        )
        if answer_bytes + READ_BYTES > limit_bytes:
            return True
        held_bytes = budget.by_owner[self.owner] if self.owner else 0
        return held_bytes > OWNER_FREE_SHARE * free_bytes


class Holding:
    """Bytes that one buffer holds.

    :param account: the :class:`Account` of the caller's connection.
    :param purpose: the :class:`Purpose`.
    """

    def __init__(self, account, purpose):
        self.account = account
        self.size_bytes = 0
        self._purpose = purpose

    def set(self, size_bytes):
        """Set the size of the buffer.

        :param size_bytes: its size in bytes.
        """
        delta_bytes = size_bytes - self.size_bytes
        if delta_bytes:
            self.size_bytes = size_bytes
            self.account.change(self._purpose, delta_bytes)
