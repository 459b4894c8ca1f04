"""Simulation of control VMs that distribute a configuration."""

import datetime
import random

from buckthorntack import configuration
from buckthorntack import schema
from buckthorntack.configuration.tests import _samples
from buckthorntack.schema import messages

CONTROLS = ("c1", "c2", "c3")
ENTRIES = {"e1": "kagoshima", "e2": "kagoshima", "e3": "fukuoka"}
#: Entry VMs without a disk.
DISKLESS = ("e2",)
TICK = datetime.timedelta(milliseconds=500)
ORGANISATION = "shops"
REGIONS = frozenset(_samples.REGIONS)


class Violation(AssertionError):
    """A property of the distribution does not hold."""


class ControlVm:
    """Replica of the configuration group with its source."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.machine = configuration.ConfigurationMachine()
        self.applied = 0
        self.source = configuration.ConfigurationSource(
            self.machine.log, self.machine.is_registered
        )
        self.settlement_planner = simulation.planner_type(
            self.machine, self.source.reports
        )

    def catch_up(self):
        result = None
        while self.applied < len(self.simulation.log):
            command = self.simulation.log[self.applied]
            self.applied += 1
            result = self.machine.apply(self.applied, command)
        return result


class EntryVm:
    """Entry VM; ``disk`` survives its restarts."""

    def __init__(self, simulation, node_id, disk):
        self.simulation = simulation
        self.node_id = node_id
        self.disk = disk
        self.follower = configuration.ConfigurationFollower(
            ENTRIES[node_id],
            f"{ENTRIES[node_id]}-a",
            CONTROLS,
            random.Random(simulation.restarts),
            registration=1 + simulation.restarts,
        )
        self.source = configuration.ConfigurationSource(self.follower.log)
        self.published = None
        if disk:
            registered, number = disk["registered"]
            self.follower.restore(disk["copy"], [], registered, number)
            self.published = self.follower.log.published

    def is_serving(self):
        return self.published is not None and self.follower.registered


class Simulation:
    """All nodes, with checks of two invariants.

    The revision of an entry VM never decreases, and no organisation is served
    in a region that an accepted change has taken from it.
    """

    def __init__(self, planner_type=configuration.SettlementPlanner):
        self.planner_type = planner_type
        self.now = datetime.timedelta()
        self.log = []
        self.network = []
        self.isolated = set()
        self.restarts = 0
        self.changes = 0
        self.highest_revisions = dict.fromkeys(ENTRIES, 0)
        self.accepted = REGIONS
        self.controls = {name: ControlVm(self) for name in CONTROLS}
        self.entries = {name: EntryVm(self, name, {}) for name in ENTRIES}
        organisation = _samples.organisation(ORGANISATION, "all")
        self.propose(_samples.base_set([organisation]))

    def is_isolated(self, node):
        return node in self.isolated

    def commit(self, name, message):
        """Commit a command unless the control VM is isolated."""
        if self.is_isolated(name):
            return None
        self.log.append(schema.pack(message))
        return self.catch_up(name)

    def catch_up(self, name):
        if self.is_isolated(name):
            return None
        result = self.controls[name].catch_up()
        source = self.controls[name].source
        self.execute(name, source.push_new_deltas(self.now))
        self.record_accepted(self.controls[name].machine)
        return result

    def record_accepted(self, machine):
        if machine.pending is None and len(self.log) == max(
            control.applied for control in self.controls.values()
        ):
            published = machine.published
            self.accepted = published.allowed_regions(ORGANISATION)
            self.check_invariants()

    def propose(self, put):
        name = next((c for c in CONTROLS if not self.is_isolated(c)), None)
        if name is None:
            return
        self.catch_up(name)
        self.changes += 1
        base = self.controls[name].machine.revision
        change = _samples.change(f"n{self.changes}", base, put)
        self.commit(name, configuration.make_proposal(change, "ops", 0))

    def narrow_residency(self, *regions):
        self.propose([_samples.rule("all", *regions)])

    def edit_quota(self):
        self.propose([_samples.quota(burst=10 + self.changes)])

    def execute(self, node, commands):
        for command in commands:
            if isinstance(command, configuration.Send):
                self.network.append((node, command.to, command.message))
            elif isinstance(command, configuration.Activate):
                self.adopt(self.entries[node], command)
            elif isinstance(command, configuration.StoreRegistration):
                self.store_registration(self.entries[node])
            elif isinstance(command, configuration.ConfirmRevision):
                self.confirm(node, command.node_id)
            else:
                self.commit(node, messages.ConfigurationRegistration(*command))

    def confirm(self, control, node_id):
        if not self.is_isolated(control):
            self.catch_up(control)
            source = self.controls[control].source
            self.execute(control, source.on_revision_confirmed(node_id))

    def store(self, entry, **fields):
        if entry.node_id not in DISKLESS:
            entry.disk.update(fields)

    def store_registration(self, entry):
        follower = entry.follower
        state = (follower.registered, follower.registration)
        self.store(entry, registered=state)

    def adopt(self, entry, command):
        copy = configuration._log.encode_copy(
            command.published, command.digest
        )
        self.store(entry, copy=copy)
        self.store_registration(entry)
        entry.published = command.published
        revision = command.published.revision
        self.check_invariants()
        self.execute(
            entry.node_id, entry.follower.on_activated(revision, self.now)
        )
        self.execute(entry.node_id, entry.source.push_new_deltas(self.now))

    def check_invariants(self):
        for name, entry in self.entries.items():
            if not entry.is_serving():
                continue
            if entry.published.revision < self.highest_revisions[name]:
                raise Violation(
                    f"{name} reverted from {self.highest_revisions[name]}"
                )
            self.highest_revisions[name] = entry.published.revision
            region = ENTRIES[name]
            allowed = entry.published.allowed_regions(ORGANISATION)
            if region in allowed - self.accepted:
                raise Violation(f"{name} serves {ORGANISATION} in {region}")

    def restart(self, name):
        self.restarts += 1
        disk = self.entries[name].disk
        self.entries[name] = EntryVm(self, name, disk)
        self.check_invariants()

    def leave(self, name):
        """Deregister an entry VM; its copy stays on the disk."""
        entry = self.entries[name]
        entry.follower.registered = False
        self.store_registration(entry)
        number = entry.follower.registration
        message = messages.ConfigurationLeave(ENTRIES[name], "", number)
        send = configuration.Send(entry.follower.source, message)
        self.execute(name, [send])

    def deliver(self, index=0):
        sender, to, message = self.network.pop(index)
        if self.is_isolated(sender) != self.is_isolated(to):
            return
        if to in self.controls:
            source = self.controls[to].source
            commands = source.receive(sender, message, self.now)
        elif isinstance(message, messages.ConfigurationPoll):
            source = self.entries[to].source
            commands = source.receive(sender, message, self.now)
        else:
            follower = self.entries[to].follower
            commands = follower.receive(sender, message, self.now)
        self.execute(to, commands)
        self.check_invariants()

    def advance(self):
        self.now += TICK
        for name, control in self.controls.items():
            self.catch_up(name)
            others = [one for one in CONTROLS if one != name]
            self.execute(name, control.source.tick(self.now, others))
            self.settle(name, control)
        for name, entry in self.entries.items():
            peers = [
                other
                for other, region in ENTRIES.items()
                if other != name and region == ENTRIES[name]
            ]
            commands = entry.follower.tick(self.now, peers)
            self.execute(name, commands)

    def settle(self, name, control):
        rank = CONTROLS.index(name)
        settlement = control.settlement_planner.decide(self.now, 0, rank)
        if settlement is not None:
            self.commit(name, settlement)

    def run(self, ticks):
        for _ in range(ticks):
            self.advance()
            while self.network:
                self.deliver()

    def converge(self):
        """End the partition and check that all nodes reach one revision."""
        self.isolated.clear()
        self.run(40)
        revision = self.controls["c1"].machine.revision
        digests = {
            entry.follower.log.digest for entry in self.entries.values()
        }
        held = {entry.published.revision for entry in self.entries.values()}
        assert held == {revision}
        assert digests == {self.controls["c1"].machine.log.digest}


class UncheckedPlanner(configuration.SettlementPlanner):
    """Faulty variant: counts every entry VM as confirmed."""

    def _is_confirmed(self, node_id, revision):
        return True


class UnconfirmedSimulation(Simulation):
    """Faulty variant: confirms a revision without a quorum."""

    def confirm(self, control, node_id):
        source = self.controls[control].source
        source.is_registered = lambda *_: True
        self.execute(control, source.on_revision_confirmed(node_id))


class FirstWriteOnlySimulation(Simulation):
    """Faulty variant: writes only the first set durably."""

    def store(self, entry, **fields):
        if "copy" not in entry.disk or "copy" not in fields:
            super().store(entry, **fields)
