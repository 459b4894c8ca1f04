"""Calls whose callers leave while they wait behind the disk."""

import asyncio
import datetime

import logbook
import pytest

from buckthorntack import clock
from buckthorntack import errors
from buckthorntack.consensus.tests import test_task
from buckthorntack.storage.tests import memory_files

CALLS_WITHDRAWN = 411
NAMES = ("a", "b", "c")
#: Longer than ``test_task.FAST`` lets a call wait.
PAUSE = datetime.timedelta(seconds=5)


async def cancel(call):
    """Let a caller leave before its call is answered."""
    await asyncio.sleep(0)
    call.cancel()
    await asyncio.wait([call])


async def expire(call):
    """Let a caller wait until it is told that the outcome is unknown."""
    result = await call
    assert result.error.run_state is errors.RunState.UNKNOWN


async def hang(cluster, task, files, command):
    """Start a write of a replica that hangs.

    :returns: the call that committed a command by it.
    """
    files.free.clear()
    leader = await cluster.leader()
    call = asyncio.create_task(leader.propose(command))
    await test_task.wait_until(lambda: files.hangs)
    return call


async def propose_until_applied(task, command):
    while True:
        if (await task.propose(command)).is_ok():
            return


def count_withdrawn(log):
    return sum(
        record.extra["calls"]
        for record in log.records
        if record.extra.get("event") == CALLS_WITHDRAWN
    )


# Guards against an order that a follower forwards to the leader after its
# caller gave it up, and after newer orders.
@pytest.mark.parametrize("leave", [cancel, expire], ids=lambda f: f.__name__)
def test_order_that_was_given_up_is_forwarded_after_newer_ones(
    tmp_path, leave
):
    files = {name: test_task.HangingFiles() for name in NAMES}

    async def scenario():
        async with test_task.Cluster(tmp_path, NAMES, files) as cluster:
            await cluster.propose(b"x")
            leader = await cluster.leader()
            tasks = cluster.network.tasks.values()
            task = next(task for task in tasks if task is not leader)
            await test_task.wait_until(
                lambda: task.state_machine.commands == [b"x"]
            )
            try:
                written = await hang(cluster, task, files[task.node_id], b"y")
                await leave(asyncio.create_task(task.propose(b"old")))
                assert (await written).is_ok()
                await cluster.propose(b"new")
            finally:
                files[task.node_id].free.set()
            await propose_until_applied(task, b"last")
            assert b"old" not in task.state_machine.commands

    with logbook.TestHandler() as log:
        test_task.run(scenario())
    assert count_withdrawn(log) == 1


def propose(task):
    return task.propose(b"old")


def add_learner(task):
    return task.add_learner("d")


def promote(task):
    return task.promote("l")


def replace(task):
    return task.replace("a", "l", False)


def remove(task):
    return task.remove("l")


def transfer(task):
    return task.transfer_leadership()


def read(task):
    return task.read_barrier()


CALLS = [propose, add_learner, promote, replace, remove, transfer, read]


# Guards against orders that are begun once the disk goes on, although their
# callers have left.
@pytest.mark.parametrize("call", CALLS, ids=lambda f: f.__name__)
def test_call_whose_caller_has_left_is_begun(tmp_path, call):
    files = test_task.HangingFiles()

    async def scenario():
        async with test_task.Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            await cluster.start("l", [])
            assert (await task.add_learner("l")).is_ok()
            await test_task.wait_until(
                lambda: task.status().peers[-1].caught_up
            )
            members = task._replica.state.configuration
            term = task.status().term
            try:
                written = await hang(cluster, task, files, b"y")
                await cancel(asyncio.create_task(call(task)))
            finally:
                files.free.set()
            assert (await written).is_ok()
            await cluster.propose(b"last")
            assert task.state_machine.commands == [b"x", b"y", b"last"]
            assert task._replica.state.configuration == members
            assert task.status().term == term

    with logbook.TestHandler() as log:
        test_task.run(scenario())
    assert count_withdrawn(log) == 1


class PausedClock(clock.SystemClock):
    """A clock that goes on while the process does not."""

    def __init__(self):
        self.ahead = datetime.timedelta()

    def monotonic(self):
        return super().monotonic() + self.ahead


# Guards against an order that waited while the process stood still, and is
# begun before its caller is told that its time has passed.
def test_order_is_begun_after_a_pause_that_outlasts_its_call(tmp_path):
    files = memory_files.MemoryFiles()

    async def scenario():
        async with test_task.Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            task.clock = PausedClock()
            call = asyncio.create_task(task.propose(b"old"))
            await asyncio.sleep(0)
            task.clock.ahead = PAUSE
            assert (await call).error.run_state is errors.RunState.UNKNOWN
            await cluster.propose(b"last")
            assert task.state_machine.commands == [b"x", b"last"]

    with logbook.TestHandler() as log:
        test_task.run(scenario())
    assert count_withdrawn(log) == 1
