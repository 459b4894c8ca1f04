"""State machine that holds the newest configuration and evacuations."""

import functools
from typing import NamedTuple

from buckthorntack import schema
from buckthorntack.schema import messages


class Outcome(NamedTuple):
    """Result of applying a command."""

    #: Version of the active configuration after the command.
    version: int
    #: Whether the command changed the state.
    changed: bool


def encode_command(command):
    """Serialize a command.

    :param command: ``PublishVersion`` or ``EvacuateDomain``.
    :returns: bytes for the replicated log.
    """
    return schema.pack(command)


def decode_command(data):
    """Deserialize a command.

    :param data: bytes that :func:`encode_command` returned.
    :returns: ``PublishVersion`` or ``EvacuateDomain``.
    """
    return schema.unpack(data)


class DirectivesMachine:
    """Replicated state machine of the operator directives.

    Only committed commands change the state.

    :param on_change: called with the new ``Directives`` after each change.
    :param on_apply: called with the log index, the command and the
        :class:`Outcome` of each command.
    """

    def __init__(
        self,
        on_change=lambda directives: None,
        on_apply=lambda index, command, outcome: None,
    ):
        self.on_change = on_change
        self.on_apply = on_apply
        self.directives = messages.Directives(0, -1, b"", [])

    def apply(self, index, command):
        """Apply one committed command.

        :param index: log index of the command.
        :param command: the serialized command.
        :returns: :class:`Outcome`.
        """
        current = self.directives
        decoded = decode_command(command)
        updated = self._next_directives(decoded, current)
        has_changed = updated != current
        if has_changed:
            self.directives = updated._replace(index=index)
            self.on_change(self.directives)
        outcome = Outcome(self.directives.version, has_changed)
        self.on_apply(index, decoded, outcome)
        return outcome

    @functools.singledispatchmethod
    def _next_directives(self, command, current):
        """Return the directives that follow from a command."""
        raise TypeError(f"{type(command).__name__} is not a directive")

    @_next_directives.register
    def _(self, command: messages.PublishVersion, current):
        if command.version <= current.version:
            return current
        return current._replace(
            version=command.version, content=command.content
        )

    @_next_directives.register
    def _(self, command: messages.EvacuateDomain, current):
        domains = set(current.evacuated)
        if command.evacuated:
            domains.add(command.failure_domain)
        else:
            domains.discard(command.failure_domain)
        return current._replace(evacuated=sorted(domains))

    def snapshot(self):
        """Serialize the whole state."""
        return schema.pack(self.directives)

    def restore(self, snapshot):
        """Replace the state by a snapshot.

        :param snapshot: bytes that :meth:`snapshot` returned.
        """
        self.directives = schema.unpack(snapshot)
        self.on_change(self.directives)
