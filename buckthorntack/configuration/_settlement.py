"""Decision to accept or withdraw a pending change."""

import datetime

from buckthorntack.schema import messages

#: Time in which the affected entry VMs must confirm a pending change.
CONFIRM_TIMEOUT = datetime.timedelta(seconds=5)
#: Delay per rank of a control VM, so that normally only one proposes.
RANK_DELAY = datetime.timedelta(milliseconds=500)


class SettlementPlanner:
    """Decides on one control VM when to settle the pending change.

    Any control VM may propose a settlement; the first one in the log counts.

    :param machine: the :class:`ConfigurationMachine`.
    :param reports: reports of entry VMs by node id.
    """

    def __init__(self, machine, reports):
        self.machine = machine
        self.reports = reports
        self._pending_revision = 0
        self._pending_since = datetime.timedelta()

    def decide(self, now, wall_time_ms, rank):
        """Return a settlement of the pending change if one is due.

        :param now: monotonic time.
        :param wall_time_ms: wall time.
        :param rank: position of this control VM among all of them, from 0.
        :returns: a ``ConfigurationSettlement``, or ``None``.
        """
        pending = self.machine.pending
        if pending is None:
            return None
        if pending.revision != self._pending_revision:
            self._pending_revision = pending.revision
            self._pending_since = now
        unconfirmed_ids = self._list_unconfirmed(pending)
        waited = now - self._pending_since - rank * RANK_DELAY
        timeout = CONFIRM_TIMEOUT if unconfirmed_ids else datetime.timedelta()
        if waited < timeout:
            return None
        return messages.ConfigurationSettlement(
            change_id=pending.change_id,
            revision=pending.revision,
            confirmed=not unconfirmed_ids,
            unconfirmed=unconfirmed_ids,
            proposed_at_ms=wall_time_ms,
        )

    def _list_unconfirmed(self, pending):
        return sorted(
            node_id
            for node_id in self.machine.list_awaited_entry_vms()
            if not self._is_confirmed(node_id, pending.revision)
        )

    def _is_confirmed(self, node_id, revision):
        report = self.reports.get(node_id)
        return report is not None and report.revision >= revision
