"""Asynchronous task that runs a replica of a home on a control VM."""

import asyncio
import contextlib
import datetime

from buckthorntack import clock as clocks
from buckthorntack import events
from buckthorntack import schema
from buckthorntack import tasks
from buckthorntack.ledger import _commands
from buckthorntack.ledger import _events
from buckthorntack.ledger import _home

#: Interval at which missed probes are checked.
TICK_INTERVAL = datetime.timedelta(milliseconds=100)
#: Time after which an uncommitted batch no longer blocks the next one.
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=1)
#: Time for which records are kept.
DEFAULT_RETENTION = datetime.timedelta(hours=24)
#: Size of the largest response body that is stored.
DEFAULT_ANSWER_BYTES = 64 * 1024
#: Size of the records from which new keys are refused.
DEFAULT_CAPACITY_BYTES = 128 << 20

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime.fromtimestamp(0, datetime.UTC)
_LOG = events.EventLog("ledger")


class LedgerHomeTask:
    """Commits queued operations in batches, one batch in each proposal.

    :param home_id: id of the home.
    :param replicas: consensus group of the home, an ``interfaces.Replicas``.
    :param machine: the :class:`LedgerMachine` of this node.
    :param sender: an ``interfaces.Sender``.
    :param clock: source of time.
    :param retention: time for which records are kept.
    :param answer_bytes: size of the largest response body that is stored.
    :param capacity_bytes: size of the records from which new keys are
        refused.
    """

    def __init__(
        self,
        home_id,
        replicas,
        machine,
        sender,
        clock,
        retention=DEFAULT_RETENTION,
        answer_bytes=DEFAULT_ANSWER_BYTES,
        capacity_bytes=DEFAULT_CAPACITY_BYTES,
    ):
        self.replicas = replicas
        self.machine = machine
        self.sender = sender
        self.clock = clock
        self.home = _home.LedgerHome(
            home_id, retention, answer_bytes, capacity_bytes
        )
        self._work_available = asyncio.Event()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        for loop in (self._run_batches, self._run_ticks):
            await self._stack.enter_async_context(tasks.running(loop()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def deliver(self, sender, message):
        """Handle a received message of the ledger.

        :param sender: authenticated id of the node that sent it.
        :param message: a message of the schema.
        """
        now = self.clock.monotonic()
        self._execute_all(self.home.receive(sender, message, now))
        self._work_available.set()

    def _execute_all(self, commands):
        for command in commands:
            if isinstance(command, _commands.Send):
                self.sender.send(command.to, command.message)

    async def _run_batches(self):
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            while await self._commit_batch():
                pass

    async def _commit_batch(self):
        at_ms = (self.clock.wall() - _EPOCH) // _MILLISECOND
        batch = self.home.take_batch(at_ms)
        if batch is None:
            return False
        result = await self._propose(schema.pack(batch))
        if result is not None and result.is_ok():
            now = self.clock.monotonic()
            self._execute_all(self.home.on_batch_committed(result.ok, now))
        else:
            error = "proposal timed out" if result is None else result.error
            _LOG.write(_events.PROPOSAL_FAILED, error=error)
            self._execute_all(self.home.on_batch_failed())
        return True

    async def _propose(self, command):
        """Propose a batch and wait for its result up to PROPOSAL_TIMEOUT.

        The batch may still be committed after the timeout; its senders resend
        their messages.

        :returns: ``Result`` of the proposal, or ``None`` after the timeout.
        """
        proposed = asyncio.ensure_future(self.replicas.propose(command))
        if await clocks.completes(proposed, self.clock, PROPOSAL_TIMEOUT):
            return proposed.result()
        proposed.cancel()
        return None

    async def _run_ticks(self):
        while True:
            self._execute_all(self.home.tick(self.clock.monotonic()))
            await self.clock.sleep(TICK_INTERVAL)
