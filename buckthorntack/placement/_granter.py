"""Granting of issuer leases at a control VM."""

import asyncio
import datetime
from typing import NamedTuple

from buckthorntack import clock as clocks
from buckthorntack import events
from buckthorntack.placement import _events
from buckthorntack.placement import _machine
from buckthorntack.schema import messages

#: Period at which the renewals of all leases are checked.
_OBSERVE_PERIOD = datetime.timedelta(seconds=1)
#: Largest relative difference in rate between the clocks of two nodes.
_MAX_CLOCK_DRIFT_SHARE = 0.01


class _Observation(NamedTuple):
    fencing: int
    renewal: int
    since_ms: int


class LeaseWatch:
    """Times for which this node has seen each lease without renewal.

    The class does no I/O and reads no clock.
    """

    def __init__(self):
        self._observations = {}

    def unchanged_ms(self, row, now_ms):
        """Milliseconds since this node first saw the present state of a lease.

        :param row: a ``LeaseRow`` from the local state machine.
        :param now_ms: boot time.
        """
        seen = self._observations.get(row.failure_domain)
        if seen is None or (seen.fencing, seen.renewal) != (
            row.fencing,
            row.renewal,
        ):
            seen = _Observation(row.fencing, row.renewal, now_ms)
            self._observations[row.failure_domain] = seen
        return now_ms - seen.since_ms

    def observe(self, rows, now_ms):
        """Record the present state of all leases; call periodically.

        :param rows: all ``LeaseRow`` of the local state machine.
        :param now_ms: boot time.
        """
        for row in rows:
            self.unchanged_ms(row, now_ms)

    def wait_ms(self, row, holder, now_ms):
        """Milliseconds until a lease may be granted; 0 if it may be now.

        :param row: a ``LeaseRow`` from the local state machine.
        :param holder: the node that requests the lease.
        :param now_ms: boot time.
        """
        unchanged_ms = self.unchanged_ms(row, now_ms)
        if row.holder in ("", holder):
            return 0
        lease_ms = int(row.duration_ms * (1 + _MAX_CLOCK_DRIFT_SHARE)) + 1
        return max(0, lease_ms - unchanged_ms)


def build_lease_command(request, row):
    """Build the command that grants a lease request.

    :param request: a ``LeaseRequest``.
    :param row: the ``LeaseRow`` that the command expects to be unchanged.
    """
    return messages.LeaseCommand(
        request.failure_domain,
        request.holder,
        request.duration_ms,
        row.fencing,
        row.renewal,
        request.least_fencing,
    )


class LeaseGranterTask:
    """Task that answers lease requests at a control VM.

    :param machine: the :class:`LeaseMachine` of the local replica.
    :param replicas: the replicated group that runs the machine.
    :param sender: a ``Sender``.
    :param clock: a ``Clock``.
    """

    def __init__(self, machine, replicas, sender, clock):
        self.machine = machine
        self.replicas = replicas
        self.sender = sender
        self.clock = clock
        self._watch = LeaseWatch()
        self._log = events.EventLog("placement")
        self._tasks = set()

    async def __aenter__(self):
        self._track_task(asyncio.create_task(self._observe()))
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def deliver(self, sender, message):
        """Handle a lease request without blocking.

        A request in the name of another node is ignored.

        :param sender: authenticated id of the sending node.
        :param message: a ``LeaseRequest``.
        """
        if message.holder.partition("#")[0] != sender:
            return
        self._track_task(
            asyncio.create_task(self._answer_request(sender, message))
        )

    async def _observe(self):
        while True:
            now_ms = clocks.milliseconds(self.clock.boottime())
            self._watch.observe(self.machine.rows(), now_ms)
            await self.clock.sleep(_OBSERVE_PERIOD)

    def _track_task(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_request(self, sender, request):
        row = self.machine.row(request.failure_domain)
        now_ms = clocks.milliseconds(self.clock.boottime())
        wait_ms = self._watch.wait_ms(row, request.holder, now_ms)
        outcome = _machine.LeaseOutcome(False, row)
        if wait_ms == 0:
            command = _machine.encode_command(
                build_lease_command(request, row)
            )
            result = await self.replicas.propose(command)
            if result.is_error():
                return
            outcome = result.ok
        if outcome.granted and outcome.row.holder != row.holder:
            self._log.write(
                _events.LEASE_GRANTED,
                failure_domain=request.failure_domain,
                holder=request.holder,
                fencing=outcome.row.fencing,
            )
        self.sender.send(sender, build_grant(request, outcome, wait_ms))


def build_grant(request, outcome, wait_ms):
    """Build the answer to a lease request.

    :param request: a ``LeaseRequest``.
    :param outcome: a :class:`LeaseOutcome`.
    :param wait_ms: time until the next request, if not granted.
    """
    return messages.LeaseGrant(
        request.failure_domain,
        request.request_number,
        outcome.granted,
        outcome.row.holder,
        outcome.row.fencing,
        wait_ms,
    )
