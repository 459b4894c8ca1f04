"""Interfaces between the shells of subject packages and their owners."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

NodeId = str


class Sender(Protocol):
    """Sends messages to other processes of ours."""

    def send(self, to: NodeId, message: Any) -> None:
        """Send without waiting; a message may be lost, never altered.

        :param to: node that shall receive it.
        :param message: a message of the schema.
        """


class Receiver(Protocol):
    """A task that is handed the messages of its subject."""

    def deliver(self, sender: NodeId, message: Any) -> None:
        """Take a message; must not block.

        :param sender: authenticated node that sent it.
        :param message: a message of the schema.
        """


class StateMachine(Protocol):
    """Replicated state, changed only by committed commands."""

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one committed command.  Must be deterministic.

        :param index: its place in the log.
        :param command: what was proposed.
        :returns: the result, given to the proposer if it is on this node.
        """

    def snapshot(self) -> bytes:
        """Whole state as bytes."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state.

        :param snapshot: what :meth:`snapshot` gave.
        """


class Replicas(Protocol):
    """A replicated group, as seen by those who change or read it."""

    async def propose(self, command: bytes) -> Any:
        """Have a command committed and applied.

        :param command: bytes for the group's state machine.
        :returns: ``expression.Result`` of what ``apply`` returned, or an
            error whose run state tells whether it may be committed yet.
        """

    async def read_barrier(self) -> Any:
        """Wait until this replica has applied all that was committed.

        :returns: ``expression.Result`` of the index applied, or an error.
        """

    def voters(self) -> Sequence[NodeId]:
        """Nodes that vote in the group, as far as this replica knows."""
