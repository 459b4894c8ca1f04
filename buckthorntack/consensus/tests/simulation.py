"""Simulation of a group on a virtual network, with checks at each step."""

import datetime
import random
from typing import NamedTuple

from buckthorntack import consensus
from buckthorntack import storage
from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations

STEP = datetime.timedelta(milliseconds=100)
TIMING = consensus.Timing(
    message_bytes=6,
    window_messages=3,
    window_bytes=12,
    chunk_bytes=16,
    replayed_bytes=8,
    kept_entries=1,
    promotion_lag_entries=2,
)
GROUP = "g"
DURABLE_COMMANDS = (
    commands.PersistHardState,
    commands.PersistEntries,
    commands.RestoreSnapshot,
)


class ViolationError(AssertionError):
    """A property that the group must keep does not hold."""


class Envelope(NamedTuple):
    """A message in flight."""

    sender: str
    to: str
    message: object


class Disk:
    """Durable state of one replica."""

    def __init__(self, identity):
        self.identity = identity
        self.hard_state = storage.HardState()
        self.snapshot = None
        self.entries = []

    def add(self, entries):
        first = entries[0].index
        kept = [entry for entry in self.entries if entry.index < first]
        self.entries = kept + list(entries)

    def recovered(self):
        index = self.snapshot.info.index if self.snapshot else 0
        entries = [entry for entry in self.entries if entry.index > index]
        return storage.RecoveredState(
            self.identity, self.hard_state, self.snapshot, entries
        )


class Node:
    """One replica with its disk and its applied commands."""

    def __init__(self, name, first_voters, disk):
        self.name = name
        self.first_voters = first_voters
        self.disk = disk
        self.replica = None
        self.applied = []
        self.applied_index = 0
        #: Commands that wait for a write to the disk.
        self.held = []


class Simulation:
    """Replicas, their network and the history that their checks need.

    :param names: node ids of the first voters.
    :param seed: seed of the replicas' random numbers.
    :param lost_commands: types of commands that are never written to a disk.
    :param timing: a ``consensus.Timing``.
    :param holds_writes: whether a write lasts until the next event of its
        replica, and is lost if the replica ends before.
    """

    def __init__(
        self,
        names,
        seed=0,
        lost_commands=(),
        timing=TIMING,
        holds_writes=False,
    ):
        self.now = datetime.timedelta()
        self.rng = random.Random(seed)
        self.lost_commands = lost_commands
        self.timing = timing
        self.holds_writes = holds_writes
        self.first_voters = tuple(names)
        self.nodes = {}
        self.envelopes = []
        self.blocked = set()
        self.sequence = 0
        self.leader_by_term = {}
        self.committed = {}
        self.entry_by_index_and_term = {}
        self.reads = {}
        self.answers = {}
        self.refused_reads = set()
        self.dropped = set()
        self.applied_index_by_proposal = {}
        self.lost_disks = set()
        for name in names:
            self.add_node(name, self.first_voters)

    def add_node(self, name, first_voters=()):
        """Start a replica with an empty disk."""
        if name in self.nodes:
            self.lost_disks.add(name)
        self.sequence += 1
        disk = Disk(f"disk-{self.sequence}")
        self.nodes[name] = Node(name, first_voters, disk)
        self.restart(name)

    def restart(self, name):
        """Start a replica from its disk."""
        node = self.nodes[name]
        recovered = node.disk.recovered()
        node.applied, node.applied_index = [], 0
        if recovered.snapshot is not None:
            data = recovered.snapshot.data
            node.applied = data.split(b",") if data else []
            node.applied_index = recovered.snapshot.info.index
        node.replica = consensus.Replica(
            GROUP, name, node.first_voters, recovered, self.timing, self.rng
        )

    def crash(self, name):
        """Stop a replica; its disk is kept."""
        self.nodes[name].replica = None
        self.nodes[name].held = []

    def lose_power(self, lost=()):
        """Stop all replicas at once, with all messages in flight.

        :param lost: nodes whose disks are gone; they do not come back.
        """
        self.envelopes.clear()
        for name in list(self.nodes):
            self.crash(name)
        for name in lost:
            del self.nodes[name]
            self.lost_disks.add(name)

    def running_nodes(self):
        """Nodes whose replica is running."""
        return [node for node in self.nodes.values() if node.replica]

    def find_leaders(self):
        """Nodes that believe that they lead, in order of falling terms."""
        found = [n for n in self.running_nodes() if n.replica.state.is_leader]
        return sorted(found, key=lambda n: -n.replica.state.term)

    def tick(self, name, steps=1):
        """Advance the time by some steps and tick one replica."""
        self.now += steps * STEP
        node = self.nodes[name]
        if node.replica:
            self.finish_writes(node)
            node.replica.tick(self.now)
            self.execute_commands(node)

    def deliver(self, place, keep=False):
        """Deliver a message in flight, or a copy of it.

        :param place: position of the message in ``envelopes``.
        :param keep: whether to deliver a copy.
        """
        envelope = self.envelopes[place]
        if not keep:
            del self.envelopes[place]
        node = self.nodes[envelope.to]
        if not node.replica or (envelope.sender, envelope.to) in self.blocked:
            return
        self.finish_writes(node)
        node.replica.receive(envelope.sender, envelope.message, self.now)
        self.execute_commands(node)

    def propose(self, name, width=1):
        """Propose a command of at least some bytes at a replica."""
        node = self.nodes[name]
        if not node.replica:
            return
        self.finish_writes(node)
        self.sequence += 1
        proposal_id = f"{name}/{self.sequence}"
        command = b"%0*d" % (width, self.sequence)
        result = node.replica.propose(proposal_id, command, self.now)
        if result.is_error():
            self.dropped.add(proposal_id)
        self.execute_commands(node)

    def read(self, name):
        """Start a read at a replica and record the index it must reach."""
        node = self.nodes[name]
        if not node.replica:
            return
        self.finish_writes(node)
        self.sequence += 1
        self.reads[self.sequence] = max(self.committed, default=0)
        node.replica.read(self.sequence, self.now)
        self.execute_commands(node)

    def change(self, kind, name, *arguments):
        """Request a membership change at a replica.

        :param kind: name of the ``Replica`` method.
        :param name: replica that gets the request.
        :param arguments: those of the method, such as the node to add.
        :returns: result of the method, or None if the replica is down.
        """
        node = self.nodes[name]
        if not node.replica:
            return None
        self.finish_writes(node)
        self.sequence += 1
        step = getattr(node.replica, kind)
        result = step(f"{name}/{self.sequence}", *arguments, self.now)
        self.execute_commands(node)
        return result

    def transfer(self, name):
        """Start a leadership transfer at a replica."""
        node = self.nodes[name]
        if node.replica:
            self.finish_writes(node)
            node.replica.transfer_leadership(self.now)
            self.execute_commands(node)

    def save_snapshot(self, name):
        """Save a snapshot of a replica's applied commands."""
        node = self.nodes[name]
        if not node.replica:
            return
        self.finish_writes(node)
        if not node.applied_index:
            return
        if node.replica.state.snapshot_index == node.applied_index:
            return
        info = node.replica.snapshot_info(node.applied_index)
        node.disk.snapshot = storage.Snapshot(info, b",".join(node.applied))
        node.replica.on_snapshot_saved(info.index)

    def execute_commands(self, node, limit=None):
        """Execute the commands that a replica returns.

        :param node: the replica's node.
        :param limit: number of commands after which the replica crashes;
            None for no crash.
        """
        collected = node.replica.collect()
        self.check_log_matching(node)
        if limit is not None:
            self._execute_all(node, collected[:limit])
            self.crash(node.name)
            return
        if self.holds_writes:
            collected = self.hold_writes(node, collected)
        self._execute_all(node, collected)
        if any(isinstance(c, commands.LoadSnapshot) for c in collected):
            self.execute_commands(node)

    def hold_writes(self, node, collected):
        """Hold commands until a write is durable.

        :param node: the replica's node.
        :param collected: the commands.
        :returns: those to execute at once.
        """
        if any(isinstance(c, DURABLE_COMMANDS) for c in collected):
            node.held = collected
            return []
        return collected

    def finish_writes(self, node):
        """Execute the commands of a replica that wait for its disk."""
        while node.held:
            held, node.held = node.held, []
            self._execute_all(node, held)
            if any(isinstance(c, commands.LoadSnapshot) for c in held):
                self.execute_commands(node)

    def _execute_all(self, node, collected):
        for command in collected:
            self.execute_command(node, command)

    def execute_command(self, node, command):
        """Execute one command."""
        if isinstance(command, self.lost_commands):
            return
        handler = getattr(self, f"_on_{type(command).__name__}", None)
        if handler is not None:
            handler(node, command)

    def _on_PersistHardState(self, node, command):  # noqa: N802
        node.disk.hard_state = command.hard_state

    def _on_PersistEntries(self, node, command):  # noqa: N802
        node.disk.add(command.entries)

    def _on_RestoreSnapshot(self, node, command):  # noqa: N802
        node.disk.snapshot = command.snapshot
        node.disk.entries = []
        index = command.snapshot.info.index
        data = command.snapshot.data
        node.applied = data.split(b",") if data else []
        node.applied_index = index
        expected = [
            self.committed[place].data
            for place in sorted(self.committed)
            if place <= index and self.committed[place].kind == "command"
        ]
        self.check(
            node.applied == expected, "snapshot differs from committed entries"
        )

    def _on_LoadSnapshot(self, node, command):  # noqa: N802
        info = node.replica.snapshot_info(node.applied_index)
        snapshot = storage.Snapshot(info, b",".join(node.applied))
        node.replica.provide_snapshot(command.to, snapshot, self.now)

    def _on_Send(self, node, command):  # noqa: N802
        if command.to in self.nodes:
            envelope = Envelope(node.name, command.to, command.message)
            self.envelopes.append(envelope)

    def _on_Apply(self, node, command):  # noqa: N802
        for entry in command.entries:
            self.check(
                entry.index == node.applied_index + 1, "applied out of order"
            )
            known = self.committed.setdefault(entry.index, entry)
            self.check(known == entry, f"{entry} and {known} both applied")
            self.check_applied_once(entry)
            node.applied_index = entry.index
            if entry.kind == "command":
                node.applied.append(entry.data)

    def _on_ReadReady(self, node, command):  # noqa: N802
        needed = self.reads[command.read_id]
        self.check(command.index >= needed, "stale read")
        self.answers[command.read_id] = command.index

    def _on_ReadRefused(self, node, command):  # noqa: N802
        self.refused_reads.add(command.read_id)

    def _on_MessageRefused(self, node, command):  # noqa: N802
        what = f"{command.kind} of {command.sender}: {command.fault}"
        self.check(False, f"{node.name} refused a proper message: {what}")

    def _on_ProposalDropped(self, node, command):  # noqa: N802
        self.dropped.add(command.proposal_id)
        self.check(
            command.proposal_id not in self.applied_index_by_proposal,
            "proposal refused after it was applied",
        )

    def _on_RoleChanged(self, node, command):  # noqa: N802
        if command.role != "leader":
            return
        known = self.leader_by_term.setdefault(command.term, node.name)
        self.check(known == node.name, f"two leaders in {command.term}")
        log = node.replica.state.log
        for index, entry in self.committed.items():
            if index > log.base_index:
                complete = log.term_at(index) == entry.term
                self.check(complete, f"leader lacks {index}")

    def check_applied_once(self, entry):
        """Check that a proposal was applied once and not refused."""
        if not entry.proposal_id:
            return
        first = self.applied_index_by_proposal.setdefault(
            entry.proposal_id, entry.index
        )
        self.check(first == entry.index, "proposal applied twice")
        is_unrefused = entry.proposal_id not in self.dropped
        self.check(is_unrefused, "proposal applied after it was refused")

    def check_log_matching(self, node):
        """Check the log matching property.

        Entries with equal index and term are equal in all logs, as are the
        terms of the entries before them.
        """
        transfers = [
            progress
            for progress in node.replica.state.progress.values()
            if progress.transfer is not None or progress.snapshot_requested
        ]
        self.check(len(transfers) <= 1, "two snapshots at once")
        log = node.replica.state.log
        first = max(log.base_index + 1, log.last_index - 20)
        for entry in log.between(first, log.last_index):
            past = log.term_at(entry.index - 1)
            seen = self.entry_by_index_and_term.setdefault(
                (entry.index, entry.term), (entry, past)
            )
            self.check(seen == (entry, past), "logs do not match")

    def check(self, holds, what):
        """Raise an error if a property does not hold."""
        if not holds:
            raise ViolationError(what)

    def run_until_stable(self, rounds=400):
        """Remove all faults and run until the replicas can agree."""
        self.blocked.clear()
        for node in self.nodes.values():
            if not node.replica:
                self.restart(node.name)
        for _ in range(rounds):
            self.now += STEP
            for node in self.running_nodes():
                self.finish_writes(node)
                node.replica.tick(self.now)
                self.execute_commands(node)
            for _ in range(len(self.envelopes)):
                self.deliver(0)
        for node in self.running_nodes():
            self.finish_writes(node)

    def check_agreement(self):
        """Check that all members apply the committed entries and new ones.

        A voter that lost its disk is left out: it receives nothing until it
        is replaced.
        """
        self.run_until_stable()
        self.check(bool(self.find_leaders()), "no leader after recovery")
        leader = self.find_leaders()[0]
        members = leader.replica.state.configuration.members()
        before = max(self.committed, default=0)
        self.propose(leader.name)
        self.run_until_stable(30)
        last = max(self.committed, default=0)
        self.check(last > before, "no progress after recovery")
        for name in set(members) - self.lost_disks:
            applied = self.nodes[name].applied_index
            self.check(applied == last, f"{name} applied {applied} of {last}")


def elect(simulation, name):
    """Make one node the leader while all nodes are connected."""
    simulation.run_until_stable(40)
    leader = simulation.find_leaders()[0]
    if leader.name == name:
        return
    leader.replica.transfer_leadership(simulation.now, name)
    simulation.execute_commands(leader)
    simulation.run_until_stable(10)
    assert simulation.find_leaders()[0].name == name


class Schedule:
    """Random faults and requests, from a seed.

    :param simulation: the ``Simulation`` to act on.
    :param seed: seed of the schedule.
    """

    def __init__(self, simulation, seed):
        self.simulation = simulation
        self.rng = random.Random(seed)
        self.weights = {
            "deliver": 90,
            "tick": 12,
            "propose": 6,
            "read": 4,
            "duplicate": 3,
            "lose": 2,
            "crash": 2,
            "crash_midway": 2,
            "restart": 4,
            "block": 1,
            "unblock": 3,
            "isolate": 1,
            "snapshot": 2,
            "transfer": 1,
            "learner": 1,
            "promote": 2,
            "remove": 1,
            "replace": 2,
            "lose_disk": 1,
        }

    def run(self, steps):
        """Run random actions.

        :param steps: number of actions.
        """
        names = list(self.weights)
        weights = list(self.weights.values())
        for action in self.rng.choices(names, weights, k=steps):
            getattr(self, action)()

    def name(self):
        return self.rng.choice(list(self.simulation.nodes))

    def leader(self):
        leaders = self.simulation.find_leaders()
        return leaders[0].name if leaders else self.name()

    def deliver(self):
        envelopes = self.simulation.envelopes
        if envelopes:
            near = min(len(envelopes), 8)
            self.simulation.deliver(self.rng.randrange(near))

    def tick(self):
        steps = self.rng.choice([1, 1, 1, 2, 20])
        self.simulation.tick(self.name(), steps)

    def propose(self):
        self.simulation.propose(self.rng.choice([self.name(), self.leader()]))

    def read(self):
        self.simulation.read(self.name())

    def duplicate(self):
        envelopes = self.simulation.envelopes
        if envelopes:
            place = self.rng.randrange(len(envelopes))
            self.simulation.deliver(place, keep=True)

    def lose(self):
        envelopes = self.simulation.envelopes
        if envelopes:
            del envelopes[self.rng.randrange(len(envelopes))]

    def crash(self):
        self.simulation.crash(self.rng.choice([self.name(), self.leader()]))

    def crash_midway(self):
        node = self.simulation.nodes[self.leader()]
        if node.replica:
            self.simulation.finish_writes(node)
            node.replica.propose(
                f"{node.name}/{self.rng.getrandbits(40)}",
                b"c",
                self.simulation.now,
            )
            node.replica.tick(self.simulation.now + STEP)
            self.simulation.execute_commands(node, limit=self.rng.randrange(6))

    def restart(self):
        down = [n for n in self.simulation.nodes.values() if not n.replica]
        if down:
            self.simulation.restart(self.rng.choice(down).name)

    def block(self):
        self.simulation.blocked.add((self.name(), self.name()))

    def unblock(self):
        self.simulation.blocked.clear()

    def isolate(self):
        name = self.name()
        for other in self.simulation.nodes:
            self.simulation.blocked |= {(name, other), (other, name)}

    def snapshot(self):
        self.simulation.save_snapshot(self.name())

    def transfer(self):
        self.simulation.transfer(self.leader())

    def learner(self):
        simulation = self.simulation
        if len(simulation.nodes) < 6:
            name = f"n{len(simulation.nodes)}"
            result = simulation.change("add_learner", self.leader(), name)
            if result is not None and result.is_ok():
                simulation.add_node(name)

    def promote(self):
        self.simulation.change("promote", self.leader(), self.name())

    def replace(self):
        """Replace a random voter by a learner."""
        leader = self.leader()
        node = self.simulation.nodes[leader]
        if not node.replica:
            return
        members = node.replica.state.configuration
        if members.learners and members.voters:
            self.simulation.change(
                "replace",
                leader,
                self.rng.choice(list(members.voters)),
                self.rng.choice(members.learners),
                self.rng.random() < 0.5,
            )

    def lose_disk(self):
        leaders = self.simulation.find_leaders()
        if self.simulation.lost_disks or not leaders:
            return
        voters = leaders[0].replica.state.configuration.voters
        node = self.simulation.nodes[self.name()]
        is_sole_first_voter = node.first_voters == (node.name,)
        if len(voters) >= 3 and not is_sole_first_voter:
            self.simulation.add_node(node.name, node.first_voters)

    def remove(self):
        leader = self.leader()
        node = self.simulation.nodes[leader]
        if node.replica:
            voters = node.replica.state.configuration.voters
            if len(voters) > 3:
                self.simulation.change("remove", leader, self.name())


class FinalLosses(Schedule):
    """A schedule that ends in a loss of disks and of all power.

    As many disks are lost as the group allows, at any event around an
    acknowledgement; all other replicas end at the same moment.

    :param simulation: the ``Simulation`` to act on.
    :param seed: seed of the schedule.
    """

    def __init__(self, simulation, seed):
        super().__init__(simulation, seed)
        self.weights["lose_disk"] = 0
        self.weights["lose_power"] = 1

    def run(self, steps):
        self.simulation.run_until_stable(60)
        super().run(steps)
        self._propose_and_lose()

    def lose_power(self):
        self.simulation.lose_power()

    def _propose_and_lose(self):
        simulation = self.simulation
        simulation.blocked.clear()
        if self.rng.random() < 0.7:
            self.isolate()
        proposer = self.rng.choice([self.name(), self.leader()])
        acknowledged = max(simulation.committed, default=0)
        simulation.propose(proposer)
        for _ in range(self.rng.choice([0, 3, 10, 40, 200])):
            self.rng.choices([self.deliver, self.tick], [9, 1])[0]()
            is_applied = max(simulation.committed, default=0) > acknowledged
            if is_applied and self.rng.random() < 0.3:
                break
        simulation.lose_power(self._choose_lost(proposer))

    def _choose_lost(self, proposer):
        """Choose nodes of which no voter set loses its majority."""
        sets = self._voter_sets()
        voters = set().union(*sets)
        count = (min(len(names) for names in sets) - 1) // 2
        preferred = [self.leader(), proposer, min(voters)]
        self.rng.shuffle(preferred)
        others = sorted(voters)
        self.rng.shuffle(others)
        chosen = [name for name in [*preferred, *others] if name in voters]
        return list(dict.fromkeys(chosen))[:count]

    def _voter_sets(self):
        """Voter sets that any replica may act on after a restart."""
        sets = [self.simulation.first_voters]
        for node in self.simulation.nodes.values():
            disk = node.disk
            encoded = [
                entry.data
                for entry in disk.entries
                if entry.kind == configurations.KIND_CONFIGURATION
            ]
            if disk.snapshot is not None:
                encoded.append(disk.snapshot.info.configuration)
            for members in map(configurations.decode, encoded):
                sets += [s for s in (members.voters, members.outgoing) if s]
        return sets
