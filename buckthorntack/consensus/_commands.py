"""What the decisions of a replica ask its shell to do.

The shell carries them out in the order given: nothing is sent, applied or
told before all that stands in front of it lasts.
"""

from typing import Any
from typing import NamedTuple

from buckthorntack import storage
from buckthorntack.schema import messages


class PersistHardState(NamedTuple):
    """Make term, vote and known identities last."""

    hard_state: storage.HardState


class PersistEntries(NamedTuple):
    """Make entries last in place of all stored from the first one's index."""

    entries: list[messages.LogEntry]


class Send(NamedTuple):
    """Send a message."""

    to: str
    message: Any


class Apply(NamedTuple):
    """Apply committed entries to the state machine."""

    entries: list[messages.LogEntry]


class ReadReady(NamedTuple):
    """A read may be answered once an index is applied."""

    read_id: int
    index: int


class ReadRefused(NamedTuple):
    """A read can't be confirmed by a leader now."""

    read_id: int


class ProposalDropped(NamedTuple):
    """A proposal was not added to the log of any leader."""

    proposal_id: str


class SnapshotWanted(NamedTuple):
    """Hand over the newest snapshot, to be sent to a replica."""

    to: str


class RestoreSnapshot(NamedTuple):
    """Make a snapshot last in place of the log and restore it."""

    snapshot: storage.Snapshot


class RoleChanged(NamedTuple):
    """The replica's role, term or leader changed."""

    role: str
    term: int
    leader: str


class DiskReplaced(NamedTuple):
    """A voter's answers do not count, as its disk was replaced."""

    node_id: str


class Enrolled(NamedTuple):
    """All first voters know this replica's disk."""
