"""Replicated state machine of issuer leases with fencing numbers.

The state machine reads no clock.  A command that takes over a lease carries
the fencing number and the renewal count that its proposer has seen unchanged
for the whole lease duration on its own monotonic clock.  The command fails if
the lease was renewed in the meantime.
"""

from typing import NamedTuple

import msgspec

from buckthorntack.schema import messages

_ENCODER = msgspec.msgpack.Encoder()
_COMMANDS = msgspec.msgpack.Decoder(messages.LeaseCommand)
_SNAPSHOTS = msgspec.msgpack.Decoder(messages.LeaseSnapshot)


class LeaseOutcome(NamedTuple):
    """Result of a lease command."""

    granted: bool
    row: messages.LeaseRow


def encode_command(command):
    """Encode a lease command as bytes.

    :param command: a ``LeaseCommand``.
    """
    return _ENCODER.encode(command)


class LeaseMachine:
    """State machine that holds the leases of all failure domains."""

    def __init__(self):
        self._rows = {}

    def row(self, failure_domain):
        """Return the lease of a failure domain.

        The holder is empty if no lease was ever granted.

        :param failure_domain: name of the failure domain.
        """
        unheld = messages.LeaseRow(failure_domain, "", 0, 0, 0)
        return self._rows.get(failure_domain, unheld)

    def rows(self):
        """Return the leases of all failure domains."""
        return list(self._rows.values())

    def apply(self, index, command):
        """Apply a committed command.

        :param index: log index of the command.
        :param command: an encoded ``LeaseCommand``.
        :returns: a :class:`LeaseOutcome`.
        """
        command = _COMMANDS.decode(command)
        row = self.row(command.failure_domain)
        expected = (command.expected_fencing, command.expected_renewal)
        if expected != (row.fencing, row.renewal):
            return LeaseOutcome(False, row)
        if row.holder == command.holder:
            return self._put(_renewed(row, command))
        return self._put(_taken(row, command))

    def _put(self, row):
        self._rows[row.failure_domain] = row
        return LeaseOutcome(True, row)

    def snapshot(self):
        """Encode the whole state as bytes."""
        rows = [self._rows[domain] for domain in sorted(self._rows)]
        return _ENCODER.encode(messages.LeaseSnapshot(rows))

    def restore(self, snapshot):
        """Replace the state by that of a snapshot.

        :param snapshot: bytes returned by :meth:`snapshot`.
        """
        rows = _SNAPSHOTS.decode(snapshot).rows
        self._rows = {row.failure_domain: row for row in rows}


def _renewed(row, command):
    renewal = row.renewal + 1
    fencing = row.fencing
    if command.least_fencing > fencing:
        fencing = command.least_fencing + 1
    return row._replace(
        renewal=renewal, fencing=fencing, duration_ms=command.duration_ms
    )


def _taken(row, command):
    return messages.LeaseRow(
        command.failure_domain,
        command.holder,
        max(row.fencing, command.least_fencing) + 1,
        row.renewal + 1,
        command.duration_ms,
    )
