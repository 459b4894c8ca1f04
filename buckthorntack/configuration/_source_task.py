"""Shell of the source on a control VM."""

import asyncio
import contextlib
import datetime
import functools

from buckthorntack import schema
from buckthorntack import tasks
from buckthorntack.configuration import _commands
from buckthorntack.configuration import _settling
from buckthorntack.configuration import _source
from buckthorntack.configuration import _times
from buckthorntack.schema import messages

TICK = datetime.timedelta(milliseconds=100)


class ConfigurationSourceTask:
    """Spreads the published set from a control VM and settles changes.

    :param node_id: this node.
    :param machine: the :class:`ConfigurationMachine` of this node.
    :param replica: the configuration group, as ``Replicas``.
    :param sender: sends messages.
    :param clock: the clock.
    """

    def __init__(self, node_id, machine, replica, sender, clock):
        self.node_id = node_id
        self.machine = machine
        self.replica = replica
        self.sender = sender
        self.clock = clock
        self.source = _source.ConfigurationSource(
            machine.log, machine.is_registered
        )
        self.settling = _settling.Settling(machine, self.source.reports)
        self._cold = set()
        self._registrations = {}
        self._work = asyncio.Event()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.machine.listen(self._changed)
        loops = (self._run_ticks, self._run_freshness, self._run_proposals)
        for loop in loops:
            await self._stack.enter_async_context(tasks.running(loop()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def _changed(self):
        self._execute_all(self.source.changed(self.clock.monotonic()))

    def deliver(self, sender, message):
        """Take a message of the configuration schema.

        :param sender: authenticated node that sent it.
        :param message: the message.
        """
        now = self.clock.monotonic()
        self._execute_all(self.source.receive(sender, message, now))

    def reports(self):
        """Reports of entry VMs by node id, for :class:`Administration`."""
        return self.source.reports

    def _execute_all(self, commands):
        for command in commands:
            self._execute(command)

    @functools.singledispatchmethod
    def _execute(self, command):
        raise TypeError(f"{type(command).__name__} is no command")

    @_execute.register
    def _send(self, command: _commands.Send):
        self.sender.send(command.to, command.message)

    @_execute.register
    def _confirm_fresh(self, command: _commands.ConfirmFresh):
        self._cold.add(command.node_id)

    @_execute.register
    def _register(self, command: _commands.Register):
        self._registrations[command.node_id] = command

    async def _run_ticks(self):
        while True:
            now = self.clock.monotonic()
            self._execute_all(self.source.tick(now, self._other_controls()))
            await self.clock.sleep(TICK)

    def _controls(self):
        return sorted(self.replica.voters())

    def _other_controls(self):
        return [one for one in self._controls() if one != self.node_id]

    async def _run_freshness(self):
        while True:
            await self._confirm_cold()
            await self.clock.sleep(TICK)

    async def _confirm_cold(self):
        waiting, self._cold = self._cold, set()
        if not waiting:
            return
        barrier = await self.replica.read_barrier()
        if barrier.is_error():
            return
        for node_id in sorted(waiting):
            self._execute_all(self.source.confirmed(node_id))

    async def _run_proposals(self):
        while True:
            for command in self._due_commands():
                await self.replica.propose(schema.pack(command))
            await self.clock.sleep(TICK)

    def _due_commands(self):
        due = [
            messages.ConfigurationRegistration(*command)
            for command in self._registrations.values()
            if self._is_due(command)
        ]
        self._registrations.clear()
        settlement = self.settling.decide(
            self.clock.monotonic(), _times.wall_ms(self.clock), self._rank()
        )
        return due if settlement is None else [*due, settlement]

    def _is_due(self, command):
        registered = self.machine.is_registered(
            command.node_id, command.registration
        )
        return registered != command.present

    def _rank(self):
        controls = self._controls()
        if self.node_id not in controls:
            return len(controls)
        return controls.index(self.node_id)
