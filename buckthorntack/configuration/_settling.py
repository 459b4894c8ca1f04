"""Decision when a pending change is confirmed or withdrawn."""

import datetime

from buckthorntack.schema import messages

#: How long the entry VMs concerned have to confirm.
CONFIRM_TIMEOUT = datetime.timedelta(seconds=5)
#: Added for each control VM that goes first, so that one proposes.
RANK_DELAY = datetime.timedelta(milliseconds=500)


class Settling:
    """Watches the pending change on one control VM.

    Any control VM may settle it; the first settlement in the log counts.

    :param machine: the :class:`ConfigurationMachine`.
    :param reports: reports of entry VMs by node id.
    """

    def __init__(self, machine, reports):
        self.machine = machine
        self.reports = reports
        self._revision = 0
        self._since = datetime.timedelta()

    def decide(self, now, wall_ms, rank):
        """Settle the pending change if it is time.

        :param now: monotonic time.
        :param wall_ms: wall time.
        :param rank: place of this control VM among them, from 0.
        :returns: a ``ConfigurationSettlement``, or ``None``.
        """
        pending = self.machine.pending
        if pending is None:
            return None
        if pending.revision != self._revision:
            self._revision = pending.revision
            self._since = now
        missing = self._unconfirmed(pending)
        waited = now - self._since - rank * RANK_DELAY
        limit = CONFIRM_TIMEOUT if missing else datetime.timedelta()
        if waited < limit:
            return None
        return messages.ConfigurationSettlement(
            change_id=pending.change_id,
            revision=pending.revision,
            confirmed=not missing,
            unconfirmed=missing,
            proposed_at_ms=wall_ms,
        )

    def _unconfirmed(self, pending):
        return sorted(
            node_id
            for node_id in self.machine.awaited()
            if not self._confirmed(node_id, pending.revision)
        )

    def _confirmed(self, node_id, revision):
        report = self.reports.get(node_id)
        return report is not None and report.revision >= revision
