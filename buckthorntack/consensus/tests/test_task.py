"""Replica tasks that exchange messages within one process."""

import asyncio
import contextlib
import datetime
import itertools
import random
import threading

import logbook
import pytest

from buckthorntack import clock
from buckthorntack import consensus
from buckthorntack import errors
from buckthorntack.schema import messages
from buckthorntack.storage.tests import memory_files

MESSAGE_REFUSED = 407
SEEDS = itertools.count(1)
FAST = consensus.Timing(
    tick=datetime.timedelta(milliseconds=5),
    heartbeat=datetime.timedelta(milliseconds=20),
    election_timeout=datetime.timedelta(milliseconds=100),
    request_timeout=datetime.timedelta(seconds=2),
    chunk_interval=datetime.timedelta(milliseconds=5),
    chunk_bytes=64,
    disk_full_retry=datetime.timedelta(milliseconds=10),
    snapshot_retry=datetime.timedelta(milliseconds=50),
    snapshot_entries=20,
    kept_entries=3,
)


class RecordingStateMachine:
    """State machine that records its commands."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, snapshot):
        self.commands = snapshot.split(b"\n") if snapshot else []


class Network:
    """Network that delivers messages within the process."""

    def __init__(self):
        self.tasks = {}
        self.cut = set()
        #: Types of the messages that are lost.
        self.lost = ()

    def sender(self, node):
        return _Sender(self, node)


class _Sender:
    def __init__(self, network, node):
        self.network = network
        self.node = node

    def send(self, to, message):
        task = self.network.tasks.get(to)
        if task is None or {self.node, to} & self.network.cut:
            return
        if isinstance(message, self.network.lost):
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(task.deliver, self.node, message)


class Cluster:
    """Replica tasks of one group."""

    def __init__(self, folder, names, files=None):
        self.folder = folder
        self.files = files
        self.names = names
        self.network = Network()
        self.stacks = {}

    async def __aenter__(self):
        for name in self.names:
            await self.start(name, self.names)
        return self

    async def __aexit__(self, *exception):
        for name in list(self.stacks):
            await self.stop(name)

    async def start(self, name, initial_voters):
        task = consensus.ReplicaTask(
            "g",
            name,
            initial_voters,
            self.folder / name,
            RecordingStateMachine(),
            self.network.sender(name),
            clock.SystemClock(),
            random.Random(next(SEEDS)),
            FAST,
            self.files_of(name),
        )
        stack = contextlib.AsyncExitStack()
        await stack.enter_async_context(task)
        self.stacks[name] = stack
        self.network.tasks[name] = task
        return task

    def files_of(self, name):
        if isinstance(self.files, dict):
            return self.files[name]
        return self.files

    async def stop(self, name):
        del self.network.tasks[name]
        await self.stacks.pop(name).aclose()

    async def leader(self):
        while True:
            for task in self.network.tasks.values():
                if task.is_leader() and task.node_id not in self.network.cut:
                    return task
            await asyncio.sleep(0.005)

    async def propose(self, command):
        while True:
            result = await (await self.leader()).propose(command)
            if result.is_ok():
                return result.ok


async def wait_until(condition):
    while True:
        if condition():
            return
        await asyncio.sleep(0.005)


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 60))


def test_single_replica_commits_and_restarts(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, ["a"]) as cluster:
            assert await cluster.propose(b"x") == 1
            assert await cluster.propose(b"y") == 2
            assert (await cluster.network.tasks["a"].read_barrier()).is_ok()
        async with Cluster(tmp_path, ["a"]) as cluster:
            assert await cluster.propose(b"z") == 3
            state_machine = cluster.network.tasks["a"].state_machine
            assert state_machine.commands == [b"x", b"y", b"z"]

    run(scenario())


def test_followers_forward_and_read(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, ["a", "b", "c"]) as cluster:
            await cluster.propose(b"x")
            tasks = cluster.network.tasks.values()
            await wait_until(lambda: all(task.leader() for task in tasks))
            for task in tasks:
                assert (await task.propose(b"y")).is_ok()
                assert (await task.read_barrier()).is_ok()
                assert (
                    task.state_machine.commands
                    == (await cluster.leader()).state_machine.commands
                )

    run(scenario())


def test_leader_fails_over_and_rejoins_by_snapshot(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, ["a", "b", "c"]) as cluster:
            await cluster.propose(b"first")
            lost = (await cluster.leader()).node_id
            await cluster.stop(lost)
            for number in range(70):
                await cluster.propose(b"%d" % number)
            task = await cluster.start(lost, ["a", "b", "c"])
            await wait_until(lambda: len(task.state_machine.commands) == 71)
            assert task.status().snapshot_index > 20

    run(scenario())


def test_isolated_leader_answers_unknown_and_reads_nothing(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, ["a", "b", "c"]) as cluster:
            await cluster.propose(b"x")
            old = await cluster.leader()
            cluster.network.cut.add(old.node_id)
            read = asyncio.create_task(old.read_barrier())
            result = await old.propose(b"lost")
            assert result.error.run_state is errors.RunState.UNKNOWN
            assert (await read).is_error()
            refused = await old.propose(b"later")
            assert refused.error.run_state is errors.RunState.NOT_RUN
            await cluster.propose(b"y")
            cluster.network.cut.clear()
            await wait_until(
                lambda: old.state_machine.commands == [b"x", b"y"]
            )

    run(scenario())


# Guards against refusals that are passed over as messages out of range, so
# that a caller at a follower waits for its whole timeout.
def test_read_through_a_leader_that_steps_down_is_refused(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, ["a", "b", "c"]) as cluster:
            await cluster.propose(b"x")
            leader = await cluster.leader()
            tasks = cluster.network.tasks.values()
            follower = next(task for task in tasks if task is not leader)
            await wait_until(lambda: follower.leader() == leader.node_id)
            cluster.network.lost = messages.AppendResponse
            return (await follower.read_barrier()).error

    with logbook.TestHandler() as log:
        refusal = run(scenario())
    assert refusal.kind == "no_leader"
    assert refusal.run_state is errors.RunState.NOT_RUN
    events = {record.extra.get("event") for record in log.records}
    assert MESSAGE_REFUSED not in events


def test_lost_disk_returns_under_a_new_id(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, ["a", "b", "c"]) as cluster:
            await cluster.propose(b"x")
            leader = await cluster.leader()
            lost = next(n for n in "abc" if n != leader.node_id)
            await cluster.stop(lost)
            (tmp_path / lost).rename(tmp_path / "old")
            blank = await cluster.start(lost, ["a", "b", "c"])
            await cluster.propose(b"y")
            assert not blank.status().can_vote
            await cluster.stop(lost)
            await cluster.start("d", [])
            assert (await leader.add_learner("d")).is_ok()
            await wait_until(lambda: leader.status().peers[-1].caught_up)
            assert (await leader.promote("d")).is_ok()
            assert (await leader.remove(lost)).is_ok()
            again = await leader.add_learner(lost)
            assert again.error.kind == "node_id_retired"
            assert sorted(leader.voters()) == sorted({*"abcd"} - {lost})
            await cluster.stop(leader.node_id)
            assert await cluster.propose(b"z") == 3

    run(scenario())


def test_leadership_is_handed_over(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, ["a", "b", "c"]) as cluster:
            await cluster.propose(b"x")
            leader = await cluster.leader()
            assert (await leader.transfer_leadership()).is_ok()
            assert (await cluster.leader()) is not leader

    run(scenario())


def test_failed_disk_ends_the_replica_before_it_acknowledges(tmp_path):
    files = memory_files.MemoryFiles()

    async def scenario():
        async with Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            files.faults = memory_files.Faults(fail_at=files.steps + 1)
            result = await task.propose(b"y")
            assert result.error.run_state is errors.RunState.UNKNOWN
            assert (await task.wait_until_stopped()).kind == "disk_failed"
            assert task.state_machine.commands == [b"x"]
            refused = await task.propose(b"z")
            assert refused.error.run_state is errors.RunState.NOT_RUN
            assert "check the disk" in task.status().failure

    run(scenario())


def fill(files):
    files.limit(files.used_bytes())


def free(files):
    files.limit(memory_files.NO_LIMIT_BYTES)


# Guards against a process that ends because its disk was full for a moment.
def test_full_disk_refuses_until_it_has_room(tmp_path):
    files = memory_files.MemoryFiles()

    async def scenario():
        async with Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            fill(files)
            waiting = asyncio.create_task(task.propose(b"y"))
            await wait_until(lambda: not task.is_leader())
            for call in (
                task.propose(b"z"),
                task.read_barrier(),
                task.transfer_leadership(),
            ):
                refused = (await call).error
                assert refused.kind == "replica_disk_full"
                assert refused.run_state is errors.RunState.NOT_RUN
            assert task.state_machine.commands == [b"x"]
            assert not task.status().failure
            free(files)
            assert (await waiting).ok == 2
            assert await cluster.propose(b"z") == 3
            assert (await task.read_barrier()).is_ok()

    run(scenario())


def test_replica_with_a_full_disk_stops(tmp_path):
    files = memory_files.MemoryFiles()

    async def scenario():
        async with Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            fill(files)
            waiting = asyncio.create_task(task.propose(b"y"))
            await wait_until(lambda: not task.is_leader())
        assert (await waiting).error.run_state is errors.RunState.UNKNOWN
        assert await task.wait_until_stopped() is None

    run(scenario())


# Guards against a replica that ends because it has no room for a snapshot of
# its own.
def test_snapshot_without_room_is_taken_later(tmp_path):
    files = memory_files.MemoryFiles()

    async def scenario():
        async with Cluster(tmp_path, ["a"], files) as cluster:
            task = cluster.network.tasks["a"]
            for number in range(18):
                await cluster.propose(b"%d" % number * 1000)
            files.limit(files.used_bytes() + 8000)
            for number in range(4):
                await cluster.propose(b"%d" % number)
            await wait_until(lambda: task.status().commit_index > 20)
            assert not task.status().snapshot_index
            free(files)
            await wait_until(lambda: task.status().snapshot_index)
            assert not task.status().failure
            assert not [n for n in files.current_files if "partial" in n]

    run(scenario())


async def change_while_full(cluster, filled, number, count):
    """Commit changes while one disk is full, then free it."""
    files = cluster.files[filled]
    fill(files)
    changes = [b"%d %d" % (number, change) for change in range(count)]
    for change in changes:
        await cluster.propose(change)
    free(files)
    return changes


def check_is_whole(cluster, acknowledged):
    """Whether all replicas have applied all changes, in one order."""
    logs = [t.state_machine.commands for t in cluster.network.tasks.values()]
    return all(log == logs[0] for log in logs) and acknowledged <= {*logs[0]}


# Guards against a group that takes no more changes after its disks were full
# one after the other.
@pytest.mark.parametrize("count", [3, 45], ids=["entries", "snapshots"])
@pytest.mark.parametrize(
    "order", ["".join(names) for names in itertools.permutations("abc")]
)
def test_disks_that_fill_in_turn_end_no_replica(tmp_path, order, count):
    files = {name: memory_files.MemoryFiles() for name in "abc"}

    async def scenario():
        async with Cluster(tmp_path, order, files) as cluster:
            acknowledged = {b"x"}
            await cluster.propose(b"x")
            for number, name in enumerate(order):
                acknowledged |= {
                    *await change_while_full(cluster, name, number, count)
                }
            await wait_until(lambda: check_is_whole(cluster, acknowledged))
            for task in cluster.network.tasks.values():
                assert not task.status().failure
                assert (await task.read_barrier()).is_ok()

    run(scenario())


# Guards against a group that takes no more changes after the disk of each
# leader was full, or of a replica that started meanwhile.
@pytest.mark.parametrize("restarted", [False, True], ids=["up", "restarted"])
def test_disk_of_each_leader_fills(tmp_path, restarted):
    files = {name: memory_files.MemoryFiles() for name in "abc"}

    async def scenario():
        async with Cluster(tmp_path, "abc", files) as cluster:
            acknowledged = {b"x"}
            await cluster.propose(b"x")
            for number in range(6):
                name = (await cluster.leader()).node_id
                fill(files[name])
                if restarted:
                    await cluster.stop(name)
                    await cluster.start(name, "abc")
                acknowledged |= {
                    *await change_while_full(cluster, name, number, 3)
                }
            await wait_until(lambda: check_is_whole(cluster, acknowledged))
            for task in cluster.network.tasks.values():
                assert not task.status().failure

    run(scenario())


class HangingFiles(memory_files.MemoryFiles):
    """Files whose operations block until the event ``free`` is set."""

    def __init__(self):
        super().__init__()
        self.free = threading.Event()
        self.free.set()
        #: Whether an operation has met the event while it was not set.
        self.hangs = False

    def step(self):
        self.hangs = self.hangs or not self.free.is_set()
        self.free.wait()
        return super().step()


def test_caller_is_released_while_the_disk_hangs(tmp_path):
    files = HangingFiles()

    async def scenario():
        async with Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            files.free.clear()
            try:
                results = await asyncio.gather(
                    task.propose(b"y"), task.read_barrier()
                )
            finally:
                files.free.set()
            assert results[0].error.run_state is errors.RunState.UNKNOWN
            assert results[1].error.kind == "read_timeout"
            await wait_until(lambda: b"y" in task.state_machine.commands)

    run(scenario())


def test_many_proposals_share_a_sync(tmp_path):
    files = memory_files.MemoryFiles()

    async def scenario():
        async with Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            before = files.steps
            await asyncio.gather(*(task.propose(b"y") for _ in range(15)))
            assert files.steps - before <= 4

    run(scenario())


def test_crash_at_every_file_operation_loses_nothing_acknowledged(tmp_path):
    async def write(files):
        """Propose until a crash and return the acknowledged commands."""
        acknowledged = []
        with contextlib.suppress(memory_files.CrashError):
            async with Cluster(tmp_path, ["a"], files) as cluster:
                task = cluster.network.tasks["a"]
                ended = asyncio.create_task(task.wait_until_stopped())
                await wait_until(lambda: task.is_leader() or ended.done())
                for number in range(45):
                    command = b"%d" % number
                    if (await task.propose(command)).is_ok():
                        acknowledged.append(command)
        return acknowledged

    async def check(files, acknowledged):
        async with Cluster(tmp_path, ["a"], files) as cluster:
            await cluster.propose(b"last")
            commands = cluster.network.tasks["a"].state_machine.commands
            assert commands[: len(acknowledged)] == acknowledged
            assert len(commands) <= len(acknowledged) + 2

    async def scenario():
        sound = memory_files.MemoryFiles()
        assert len(await write(sound)) == 45
        for step in range(0, sound.steps, 3):
            faults = memory_files.Faults(crash_before=step)
            files = memory_files.MemoryFiles(faults)
            acknowledged = await write(files)
            tail = memory_files.TAILS[step % len(memory_files.TAILS)]
            await check(files.after_crash(tail, "synced"), acknowledged)

    run(scenario())


def test_folder_is_free_again_after_a_failed_start(tmp_path, monkeypatch):
    async def scenario():
        async with Cluster(tmp_path, ["a"]) as cluster:
            for _ in range(25):
                await cluster.propose(b"x")
            task = cluster.network.tasks["a"]
            await wait_until(lambda: task.status().snapshot_index)
        with monkeypatch.context() as patched:
            patched.setattr(RecordingStateMachine, "restore", None)
            with pytest.raises(TypeError):
                await Cluster(tmp_path, ["a"]).__aenter__()
        async with Cluster(tmp_path, ["a"]) as cluster:
            assert await cluster.propose(b"y") == 26

    run(scenario())
