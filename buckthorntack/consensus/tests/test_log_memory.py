"""Memory that replicas use for their logs."""

import asyncio
import contextlib
import datetime
import itertools
import random

from buckthorntack import clock
from buckthorntack import consensus
from buckthorntack.consensus.tests import test_task as tasks
from buckthorntack.storage.tests import memory_files

NAMES = ("a", "b", "c")
SEEDS = itertools.count(1)
#: A configuration with 18,000 organisations.
CHANGE_BYTES = 3_600_000
CHANGES = 60
#: A quarter of the 296 MB of a control VM.
LOG_BYTES = 74_000_000
#: The limits are the default ones.
QUICK = consensus.Timing(
    tick=datetime.timedelta(milliseconds=5),
    heartbeat=datetime.timedelta(milliseconds=20),
    election_timeout=datetime.timedelta(milliseconds=500),
)


class NewestCommand:
    """State machine that holds the newest command."""

    def __init__(self):
        self.command = b""

    def apply(self, index, command):
        self.command = command

    def snapshot(self):
        return self.command

    def restore(self, snapshot):
        self.command = snapshot


def make_task(network, name, voters=NAMES):
    """Make a replica task whose disk is in memory."""
    return consensus.ReplicaTask(
        "g",
        name,
        voters,
        f"/{name}",
        NewestCommand(),
        network.sender(name),
        clock.SystemClock(),
        random.Random(next(SEEDS)),
        QUICK,
        memory_files.MemoryFiles(),
    )


async def find_leader(tasks_by_name):
    """Wait until one of the replicas leads."""
    while True:
        for task in tasks_by_name.values():
            if task.is_leader():
                return task
        await asyncio.sleep(0.01)


def log_bytes(task):
    """Size of the entries that a replica has in memory."""
    log = task._replica.state.log
    entries = log.between(log.base_index + 1, log.last_index)
    return sum(len(entry.data) for entry in entries)


async def propose_large_changes():
    """Have three replicas apply large changes, one after the other.

    :returns: most bytes that the log of one had in memory.
    """
    network = tasks.Network()
    most_bytes = 0
    async with contextlib.AsyncExitStack() as stack:
        for name in NAMES:
            task = make_task(network, name)
            network.tasks[name] = await stack.enter_async_context(task)
        for number in range(CHANGES):
            leader = await find_leader(network.tasks)
            change = b"%0*d" % (CHANGE_BYTES, number)
            assert (await leader.propose(change)).is_ok()
            used = map(log_bytes, network.tasks.values())
            most_bytes = max(most_bytes, *used)
    return most_bytes


# Guards against logs in memory that are bounded by entries only.
def test_log_of_large_changes_takes_a_quarter_of_the_memory():
    assert tasks.run(propose_large_changes()) <= LOG_BYTES
