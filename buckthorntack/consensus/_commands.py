"""Commands that a replica returns to its task.

The task executes them in the order given.  A message is sent, an entry
applied or a caller answered only after every earlier command is durable.
"""

from typing import Any
from typing import NamedTuple

from buckthorntack import storage
from buckthorntack.schema import messages


class PersistHardState(NamedTuple):
    """Write term, vote and known disk identities durably."""

    hard_state: storage.HardState


class PersistEntries(NamedTuple):
    """Write entries durably; they replace all from the first one's index."""

    entries: list[messages.LogEntry]


class Send(NamedTuple):
    """Send a message."""

    to: str
    message: Any


class Apply(NamedTuple):
    """Apply committed entries to the state machine."""

    entries: list[messages.LogEntry]


class ReadReady(NamedTuple):
    """A read may be answered once the entry at an index is applied."""

    read_id: int
    index: int


class ReadRefused(NamedTuple):
    """No leader can confirm a read now."""

    read_id: int


class MessageRefused(NamedTuple):
    """A message was passed over, as a value of it is out of range."""

    sender: str
    kind: str
    fault: str


class ProposalDropped(NamedTuple):
    """A proposal is in no leader's log and will not be added to one."""

    proposal_id: str


class LoadSnapshot(NamedTuple):
    """Take a snapshot of what is applied, to be sent to a replica."""

    to: str


class RestoreSnapshot(NamedTuple):
    """Store a snapshot durably in place of the log and restore it."""

    snapshot: storage.Snapshot


class RoleChanged(NamedTuple):
    """The replica's role or known leader changed."""

    role: str
    term: int
    leader: str


class DiskReplaced(NamedTuple):
    """A voter's responses are ignored because its disk was replaced."""

    node_id: str


class Enrolled(NamedTuple):
    """All first voters have recorded the identity of this replica's disk."""
