"""Asyncio task that runs the configuration source on a control VM."""

import asyncio
import contextlib
import datetime
import functools

from buckthorntack import schema
from buckthorntack import tasks
from buckthorntack.configuration import _commands
from buckthorntack.configuration import _settlement
from buckthorntack.configuration import _source
from buckthorntack.configuration import _times
from buckthorntack.schema import messages

#: Interval of the periodic loops.
TICK = datetime.timedelta(milliseconds=100)


class ConfigurationSourceTask:
    """Distributes the published set and settles pending changes.

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
        self.settlement_planner = _settlement.SettlementPlanner(
            machine, self.source.reports
        )
        self._unconfirmed_node_ids = set()
        self._registrations = {}
        self._work = asyncio.Event()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.machine.add_listener(self._on_machine_changed)
        loops = (self._run_ticks, self._run_confirmations, self._run_proposals)
        for loop in loops:
            await self._stack.enter_async_context(tasks.running(loop()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def _on_machine_changed(self):
        self._execute_all(self.source.push_new_deltas(self.clock.monotonic()))

    def deliver(self, sender, message):
        """Handle a message of the configuration schema.

        :param sender: authenticated node that sent it.
        :param message: the message.
        """
        now = self.clock.monotonic()
        self._execute_all(self.source.receive(sender, message, now))

    def reports(self):
        """Return the reports of entry VMs by node id."""
        return self.source.reports

    def _execute_all(self, commands):
        for command in commands:
            self._execute(command)

    @functools.singledispatchmethod
    def _execute(self, command):
        raise TypeError(f"{type(command).__name__} is not a command")

    @_execute.register
    def _send(self, command: _commands.Send):
        self.sender.send(command.to, command.message)

    @_execute.register
    def _queue_confirmation(self, command: _commands.ConfirmRevision):
        self._unconfirmed_node_ids.add(command.node_id)

    @_execute.register
    def _queue_registration(self, command: _commands.ProposeRegistration):
        self._registrations[command.node_id] = command

    async def _run_ticks(self):
        while True:
            now = self.clock.monotonic()
            self._execute_all(
                self.source.tick(now, self._list_other_control_vms())
            )
            await self.clock.sleep(TICK)

    def _list_control_vms(self):
        return sorted(self.replica.voters())

    def _list_other_control_vms(self):
        return [one for one in self._list_control_vms() if one != self.node_id]

    async def _run_confirmations(self):
        while True:
            await self._confirm_revision()
            await self.clock.sleep(TICK)

    async def _confirm_revision(self):
        node_ids, self._unconfirmed_node_ids = (
            self._unconfirmed_node_ids,
            set(),
        )
        if not node_ids:
            return
        barrier = await self.replica.read_barrier()
        if barrier.is_error():
            return
        for node_id in sorted(node_ids):
            self._execute_all(self.source.on_revision_confirmed(node_id))

    async def _run_proposals(self):
        while True:
            for command in self._take_due_commands():
                await self.replica.propose(schema.pack(command))
            await self.clock.sleep(TICK)

    def _take_due_commands(self):
        due = [
            messages.ConfigurationRegistration(*command)
            for command in self._registrations.values()
            if self._is_needed(command)
        ]
        self._registrations.clear()
        settlement = self.settlement_planner.decide(
            self.clock.monotonic(),
            _times.wall_time_ms(self.clock),
            self._compute_rank(),
        )
        return due if settlement is None else [*due, settlement]

    def _is_needed(self, command):
        registered = self.machine.is_registered(
            command.node_id, command.registration
        )
        return registered != command.present

    def _compute_rank(self):
        control_vms = self._list_control_vms()
        if self.node_id not in control_vms:
            return len(control_vms)
        return control_vms.index(self.node_id)
