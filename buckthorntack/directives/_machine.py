"""Replicated state: the newest configuration and evacuated domains."""

import functools
from typing import NamedTuple

from buckthorntack import schema
from buckthorntack.schema import messages


class Outcome(NamedTuple):
    """What a command led to."""

    #: Version in force afterwards.
    version: int
    changed: bool


def encode_command(command):
    """Bytes of a command.

    :param command: ``PublishVersion`` or ``EvacuateDomain``.
    """
    return schema.pack(command)


def decode_command(data):
    """The command that bytes stand for.

    :param data: what :func:`encode_command` gave.
    """
    return schema.unpack(data)


class DirectivesMachine:
    """Directives of all operators; changed only by committed commands.

    :param changed: called with the ``Directives`` after each change.
    """

    def __init__(self, changed=lambda directives: None):
        self.changed = changed
        self.directives = messages.Directives(0, -1, b"", [])

    def apply(self, index, command):
        """Apply one committed command.

        :param index: its place in the log.
        :param command: its bytes.
        :returns: :class:`Outcome`.
        """
        present = self.directives
        wanted = self._after(decode_command(command), present)
        has_changed = wanted != present
        if has_changed:
            self.directives = wanted._replace(index=index)
            self.changed(self.directives)
        return Outcome(self.directives.version, has_changed)

    @functools.singledispatchmethod
    def _after(self, command, present):
        raise TypeError(f"{type(command).__name__} is no directive")

    @_after.register
    def _(self, command: messages.PublishVersion, present):
        if command.version <= present.version:
            return present
        return present._replace(
            version=command.version, content=command.content
        )

    @_after.register
    def _(self, command: messages.EvacuateDomain, present):
        domains = set(present.evacuated)
        if command.evacuated:
            domains.add(command.failure_domain)
        else:
            domains.discard(command.failure_domain)
        return present._replace(evacuated=sorted(domains))

    def snapshot(self):
        """Whole state as bytes."""
        return schema.pack(self.directives)

    def restore(self, snapshot):
        """Replace the state.

        :param snapshot: what :meth:`snapshot` gave.
        """
        self.directives = schema.unpack(snapshot)
        self.changed(self.directives)
