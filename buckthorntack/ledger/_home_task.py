"""Shell of a home's replica on a control VM."""

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

TICK = datetime.timedelta(milliseconds=100)
#: Wait for a batch before the next one goes.
PROPOSAL_WAIT = datetime.timedelta(seconds=1)
DEFAULT_RETENTION = datetime.timedelta(hours=24)
DEFAULT_ANSWER_BYTES = 64 * 1024
DEFAULT_CAPACITY_BYTES = 128 << 20

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime.fromtimestamp(0, datetime.UTC)
_LOG = events.EventLog("ledger")


class LedgerHomeTask:
    """Commits operations in batches: one proposal holds all that wait.

    :param home_id: the home.
    :param replicas: the home's group, as ``Replicas``.
    :param machine: the :class:`LedgerMachine` of this node.
    :param sender: sends messages.
    :param clock: the clock.
    :param retention: how long records are kept.
    :param answer_bytes: largest answer that is stored whole.
    :param capacity_bytes: most memory that records may take.
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
        self._work = asyncio.Event()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        for loop in (self._run_batches, self._run_ticks):
            await self._stack.enter_async_context(tasks.running(loop()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def deliver(self, sender, message):
        """Take a message of the ledger schema.

        :param sender: authenticated node that sent it.
        :param message: the message.
        """
        now = self.clock.monotonic()
        self._execute_all(self.home.receive(sender, message, now))
        self._work.set()

    def _execute_all(self, commands):
        for command in commands:
            if isinstance(command, _commands.Send):
                self.sender.send(command.to, command.message)

    async def _run_batches(self):
        while True:
            await self._work.wait()
            self._work.clear()
            while await self._commit_one():
                pass

    async def _commit_one(self):
        at_ms = (self.clock.wall() - _EPOCH) // _MILLISECOND
        batch = self.home.take_batch(at_ms)
        if batch is None:
            return False
        result = await self._propose(schema.pack(batch))
        if result is not None and result.is_ok():
            now = self.clock.monotonic()
            self._execute_all(self.home.committed(result.ok, now))
        else:
            error = "no answer in time" if result is None else result.error
            _LOG.write(_events.PROPOSAL_FAILED, error=error)
            self._execute_all(self.home.failed())
        return True

    async def _propose(self, command):
        """Propose, but let the next batch go if no answer comes.

        The batch may still be committed: its senders repeat what it holds.
        """
        proposed = asyncio.ensure_future(self.replicas.propose(command))
        if await clocks.completes(proposed, self.clock, PROPOSAL_WAIT):
            return proposed.result()
        proposed.cancel()
        return None

    async def _run_ticks(self):
        while True:
            self._execute_all(self.home.tick(self.clock.monotonic()))
            await self.clock.sleep(TICK)
