"""Bytes that a leader sends to replicas that have to catch up."""

import asyncio
import contextlib

from buckthorntack import consensus
from buckthorntack.consensus.tests import simulation as simulations
from buckthorntack.consensus.tests import test_log_memory as memory
from buckthorntack.consensus.tests import test_task as tasks
from buckthorntack.schema import messages

CHANGES = 40
CHANGE_BYTES = 100_000
#: The newest state, what changes meanwhile, and as much again.
NEW_REPLICA_BYTES = 4 * CHANGE_BYTES
#: Half of what a link holds before it drops heartbeats.
SILENT_REPLICA_BYTES = 2 * 1024 * 1024


def content_bytes(message):
    """Size of the entries or of the part of a snapshot in a message."""
    if isinstance(message, messages.AppendRequest):
        return sum(len(entry.data) for entry in message.entries)
    if isinstance(message, messages.SnapshotChunk):
        return len(message.data)
    return 0


class CountingNetwork(tasks.Network):
    """Network that counts what each replica is sent."""

    def __init__(self):
        super().__init__()
        self.sent_bytes = dict.fromkeys("abcd", 0)

    def sender(self, node):
        return _CountingSender(self, super().sender(node))


class _CountingSender:
    def __init__(self, network, sender):
        self.network = network
        self.sender = sender

    def send(self, to, message):
        self.network.sent_bytes[to] += content_bytes(message)
        self.sender.send(to, message)


class CountingSimulation(simulations.Simulation):
    """Simulation that counts the entries that each replica is sent."""

    def __init__(self):
        super().__init__("abc", timing=consensus.Timing())
        self.sent_bytes = dict.fromkeys("abc", 0)

    def execute_command(self, node, command):
        if isinstance(command, simulations.commands.Send):
            self.sent_bytes[command.to] += content_bytes(command.message)
        super().execute_command(node, command)

    def run_rounds(self, rounds):
        """Let time pass without an end to faults."""
        for _ in range(rounds):
            self.now += simulations.STEP
            for node in self.running_nodes():
                node.replica.tick(self.now)
                self.execute_commands(node)
            for _ in range(len(self.envelopes)):
                self.deliver(0)


async def add_replica_after_changes():
    """Add a replica to a group whose log holds many large changes.

    :returns: bytes of entries and snapshots that the new replica was sent.
    """
    network = CountingNetwork()
    async with contextlib.AsyncExitStack() as stack:

        async def start(name, voters=memory.NAMES):
            task = memory.make_task(network, name, voters)
            network.tasks[name] = await stack.enter_async_context(task)

        for name in memory.NAMES:
            await start(name)
        for number in range(CHANGES):
            leader = await memory.find_leader(network.tasks)
            change = b"%0*d" % (CHANGE_BYTES, number)
            assert (await leader.propose(change)).is_ok()
        assert (await leader.add_learner("d")).is_ok()
        await start("d", ())
        added = network.tasks["d"].state_machine
        await tasks.wait_until(lambda: added.command == change)
        await asyncio.sleep(0)
        return network.sent_bytes["d"]


# Guards against new replicas that are sent the whole log.
def test_new_replica_is_sent_the_state_and_not_the_log():
    assert tasks.run(add_replica_after_changes()) <= NEW_REPLICA_BYTES


# Guards against links to a slow follower that are full of entries.
def test_silent_follower_is_sent_few_bytes():
    simulation = CountingSimulation()
    simulations.elect(simulation, "a")
    simulation.blocked.add(("c", "a"))
    simulation.sent_bytes["c"] = 0
    for _ in range(CHANGES):
        simulation.propose("a", width=CHANGE_BYTES)
        simulation.run_rounds(4)
    assert simulation.nodes["a"].applied_index >= CHANGES
    assert simulation.sent_bytes["c"] <= SILENT_REPLICA_BYTES


# Guards against a large entry that goes out with each heartbeat.
def test_probe_of_a_large_entry_is_not_repeated():
    simulation = CountingSimulation()
    simulations.elect(simulation, "a")
    simulation.crash("c")
    simulation.propose("a", width=CHANGE_BYTES)
    simulation.run_rounds(10)
    leader = simulation.nodes["a"].replica
    large_index = leader.state.log.last_index
    leader.transfer_leadership(simulation.now, "b")
    simulation.execute_commands(simulation.nodes["a"])
    simulation.run_rounds(10)
    simulation.sent_bytes["c"] = 0
    simulation.restart("c")
    progress = simulation.nodes["b"].replica.state.progress["c"]
    while progress.next_index > large_index:
        simulation.run_rounds(1)
    simulation.blocked.add(("c", "b"))
    simulation.run_rounds(40)
    assert simulation.nodes["b"].replica.state.is_leader
    assert simulation.sent_bytes["c"] <= 2 * CHANGE_BYTES
