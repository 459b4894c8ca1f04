"""Costs of replicated groups: restart, group commit, fail-over, idling.

Usage::

    python -m benchmarks.consensus [restart] [commit] [failover] [idle]
"""

import argparse
import asyncio
import contextlib
import datetime
import heapq
import itertools
import json
import os
import random
import statistics
import tempfile
import time

import msgspec

from buckthorntack import clock
from buckthorntack import consensus
from buckthorntack import schema
from buckthorntack import storage
from buckthorntack.consensus import _commands as commands

#: Frames, TCP and IP headers that a message costs on the wire.
OVERHEAD_BYTES = 66
ONE_WAY = datetime.timedelta(milliseconds=55)
COMMAND = bytes(200)
KEYS = 200
FSYNCS = 300
PROPOSALS = 4000
SNAPSHOT_BYTES = 8 * 1024 * 1024
FAILOVERS = 200
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)


class KeyValues:
    """State of a fixed number of keys."""

    def __init__(self):
        self.values = {}

    def apply(self, index, command):
        """Set one key."""
        self.values[index % KEYS] = command

    def snapshot(self):
        """Whole state as bytes."""
        return msgspec.msgpack.encode(self.values)

    def restore(self, snapshot):
        """Replace the state."""
        decoder = msgspec.msgpack.Decoder(dict[int, bytes])
        self.values = decoder.decode(snapshot)


class CountedFiles(storage.SystemFiles):
    """The file system, with its syncs counted."""

    def __init__(self):
        self.syncs = 0

    def open_for_append(self, path):
        """Open for appending, with syncs counted."""
        file = super().open_for_append(path)
        return _CountedFile(self, file)


class _CountedFile:
    def __init__(self, files, file):
        self._files = files
        self._file = file
        self.write = file.write
        self.truncate = file.truncate
        self.close = file.close

    def sync(self):
        self._files.syncs += 1
        self._file.sync()


class NoSender:
    """For a group of one."""

    def send(self, to, message):
        """Drop the message."""


def single(folder, timing=None, files=None):
    """Task of a group of one."""
    return consensus.ReplicaTask(
        "bench",
        "a",
        ["a"],
        folder,
        KeyValues(),
        NoSender(),
        clock.SystemClock(),
        random.Random(),
        timing,
        files,
    )


async def propose_many(task, count, callers):
    """Propose with some callers at once."""
    left = itertools.count()

    async def caller():
        while next(left) < count:
            result = await task.propose(COMMAND)
            if result.is_error():
                raise result.error

    await asyncio.gather(*(caller() for _ in range(callers)))


async def started(task):
    """Wait until a task serves."""
    while True:
        if (await task.read_barrier()).is_ok():
            return
        await asyncio.sleep(0.001)


async def restart_curve(root):
    """Time to serve again after some number of changes."""
    for name, every in (("snapshots", 1000), ("no snapshots", 10**9)):
        timing = consensus.Timing(
            snapshot_entries=every, snapshot_bytes=10**12
        )
        for changes in (100, 1000, 10_000, 30_000):
            folder = os.path.join(root, f"{every}-{changes}")
            async with single(folder, timing) as task:
                await started(task)
                await propose_many(task, changes, 64)
            begun = time.perf_counter()
            async with single(folder, timing) as task:
                await started(task)
                seconds = time.perf_counter() - begun
            sizes = [e.stat().st_size for e in os.scandir(folder)]
            tell(
                "restart",
                case=name,
                changes=changes,
                restart_ms=round(seconds * 1000, 1),
                folder_bytes=sum(sizes),
            )


def bare_fsyncs(root):
    """Syncs a second of a small append, without any of the above."""
    path = os.path.join(root, "bare")
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    begun = time.perf_counter()
    for _ in range(FSYNCS):
        os.write(descriptor, COMMAND)
        os.fsync(descriptor)
    seconds = time.perf_counter() - begun
    os.close(descriptor)
    return FSYNCS / seconds


async def group_commit(root):
    """Entries a sync and a second, by number of callers."""
    tell("bare", fsyncs_per_s=round(bare_fsyncs(root)))
    for callers in (1, 16, 64, 256):
        files = CountedFiles()
        folder = os.path.join(root, f"commit-{callers}")
        async with single(folder, files=files) as task:
            await started(task)
            files.syncs = 0
            begun = time.perf_counter()
            await propose_many(task, PROPOSALS, callers)
            seconds = time.perf_counter() - begun
        tell(
            "commit",
            callers=callers,
            entries_per_s=round(PROPOSALS / seconds),
            entries_per_fsync=round(PROPOSALS / files.syncs, 1),
        )


class VirtualGroup:
    """Decisions of a group over links of 55 ms, in virtual time."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.names = [f"n{number}" for number in range(count)]
        self.now = datetime.timedelta()
        self.replicas = {}
        self.events = []
        self.numbers = itertools.count()
        self.applied = {}
        self.sent_bytes = 0
        self.sent_messages = 0
        self.snapshot = None
        for name in self.names:
            recovered = storage.RecoveredState(
                name.zfill(16), storage.HardState(), None, []
            )
            self.replicas[name] = consensus.Replica(
                "bench",
                name,
                self.names,
                recovered,
                consensus.Timing(),
                self.rng,
            )
            phase = self.rng.random() * consensus.Timing().tick
            self.at(phase, self.tick, name)

    def at(self, when, function, *arguments):
        """Do something later."""
        number = next(self.numbers)
        heapq.heappush(self.events, (when, number, function, arguments))

    def tick(self, name):
        """Let a replica look at its deadlines."""
        replica = self.replicas.get(name)
        if replica is None:
            return
        replica.tick(self.now)
        self.finish(name)
        self.at(self.now + consensus.Timing().tick, self.tick, name)

    def deliver(self, sender, to, frames):
        """Hand over a message."""
        replica = self.replicas.get(to)
        if replica is not None:
            replica.receive(sender, schema.decode(*frames), self.now)
            self.finish(to)

    def finish(self, name):
        """Send and apply."""
        for command in self.replicas[name].collect():
            if isinstance(command, commands.Send):
                frames = schema.encode(command.message)
                self.sent_messages += 1
                self.sent_bytes += sum(map(len, frames)) + OVERHEAD_BYTES
                when = self.now + ONE_WAY
                self.at(when, self.deliver, name, command.to, frames)
            elif isinstance(command, commands.Apply):
                for entry in command.entries:
                    times = self.applied.setdefault(entry.proposal_id, {})
                    times[name] = self.now
            elif isinstance(command, commands.LoadSnapshot):
                replica = self.replicas[name]
                replica.provide_snapshot(command.to, self.snapshot, self.now)

    def leader(self):
        """Name of the leader, or None."""
        for name, replica in self.replicas.items():
            if replica.state.is_leader:
                return name
        return None

    def run(self, duration):
        """Let time pass."""
        end = self.now + duration
        while self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = end

    def commit(self, name, proposal_id):
        """Propose; time until it is applied at all that run."""
        begun = self.now
        replica = self.replicas[name]
        result = replica.propose(proposal_id, COMMAND, begun)
        if result.is_error():
            return None
        self.finish(name)
        self.run(2 * SECOND)
        times = self.applied.get(proposal_id, {})
        if set(times) != set(self.replicas):
            return None
        return max(times.values()) - begun


def failover():
    """Time from the loss of the leader to the first commit after it."""
    silences = []
    at_leader = []
    at_follower = []
    for seed in range(FAILOVERS):
        group = VirtualGroup(3, seed)
        group.run(10 * SECOND)
        lost = group.leader()
        follower = next(n for n in group.names if n != lost)
        at_leader.append(group.commit(lost, "leader/1"))
        at_follower.append(group.commit(follower, "follower/1"))
        group.run(group.rng.random() * SECOND)
        del group.replicas[lost]
        begun = group.now
        silences.append(_first_commit(group) - begun)
    for name, durations in (
        ("failover", silences),
        ("commit at the leader", at_leader),
        ("commit at a follower", at_follower),
    ):
        found = sorted(d / MILLISECOND for d in durations if d is not None)
        tell(
            "virtual",
            case=name,
            runs=len(found),
            median_ms=round(statistics.median(found)),
            p95_ms=round(found[int(0.95 * len(found))]),
            most_ms=round(found[-1]),
        )


def _first_commit(group):
    for number in itertools.count():
        while group.leader() is None:
            group.run(10 * MILLISECOND)
        name = group.leader()
        proposal_id = f"after/{number}"
        group.replicas[name].propose(proposal_id, COMMAND, group.now)
        group.finish(name)
        for _ in range(100):
            group.run(10 * MILLISECOND)
            if proposal_id in group.applied:
                return min(group.applied[proposal_id].values())


def change_cost():
    """Bytes and processor time of one change, beyond those of idling."""
    for count in (3, 5, 14):
        busy = VirtualGroup(count, 1)
        busy.run(20 * SECOND)
        figures = []
        for changes in (0, 100):
            busy.sent_bytes = busy.sent_messages = 0
            begun = time.process_time()
            for number in range(changes):
                leader = busy.leader()
                busy.replicas[leader].propose(f"c/{number}", COMMAND, busy.now)
                busy.finish(leader)
                busy.run(SECOND)
            busy.run((100 - changes) * SECOND)
            seconds = time.process_time() - begun
            figures.append((busy.sent_bytes, busy.sent_messages, seconds))
        extra = [
            after - before for before, after in zip(*figures, strict=True)
        ]
        tell(
            "change",
            replicas=count,
            command_bytes=len(COMMAND),
            group_bytes=round(extra[0] / 100),
            group_messages=round(extra[1] / 100),
            group_cpu_us=round(extra[2] / 100 * 1e6),
        )


def snapshot_transfer():
    """Time and rate of a snapshot to a replica that is far behind."""
    group = VirtualGroup(3, 1)
    group.run(10 * SECOND)
    leader = group.leader()
    behind = next(name for name in group.names if name != leader)
    lost = group.replicas.pop(behind)
    for number in range(300):
        replica = group.replicas[leader]
        replica.propose(f"s/{number}", COMMAND, group.now)
        group.finish(leader)
    group.run(5 * SECOND)
    index = group.replicas[leader].state.commit_index
    info = group.replicas[leader].snapshot_info(index)
    group.replicas[leader].on_snapshot_saved(index)
    group.snapshot = storage.Snapshot(info, bytes(SNAPSHOT_BYTES))
    group.replicas[behind] = lost
    group.at(group.now, group.tick, behind)
    begun = group.now
    while lost.state.commit_index < index:
        group.run(50 * MILLISECOND)
    seconds = (group.now - begun) / SECOND
    tell(
        "snapshot",
        snapshot_bytes=SNAPSHOT_BYTES,
        seconds=round(seconds, 1),
        megabits_per_s=round(SNAPSHOT_BYTES * 8 / seconds / 1e6, 2),
    )


def idle():
    """Bytes and processor time of a replica that has nothing to do."""
    for count in (1, 3, 5, 14):
        group = VirtualGroup(count, 1)
        group.run(20 * SECOND)
        group.sent_bytes = group.sent_messages = 0
        begun = time.process_time()
        group.run(60 * SECOND)
        seconds = time.process_time() - begun
        tell(
            "idle",
            replicas=count,
            group_bytes_per_s=round(group.sent_bytes / 60),
            group_messages_per_s=round(group.sent_messages / 60),
            mean_cpu_us_per_s=round(seconds / 60 / count * 1e6),
        )


async def idle_task(root):
    """Processor time of the whole task of an idle group of one."""
    async with single(os.path.join(root, "idle")) as task:
        await started(task)
        begun = time.process_time()
        await asyncio.sleep(5)
        seconds = time.process_time() - begun
    tell("idle task", cpu_us_per_s=round(seconds / 5 * 1e6))


def tell(subject, **figures):
    """Print one line of figures."""
    print(json.dumps({"subject": subject, **figures}), flush=True)


def main():
    """Run the benchmarks that were named, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    subjects = ("restart", "commit", "failover", "idle")
    parser.add_argument("subjects", nargs="*", choices=[[], *subjects])
    parser.add_argument("--folder", help="disk to measure")
    arguments = parser.parse_args()
    chosen = arguments.subjects or subjects
    with contextlib.ExitStack() as stack:
        root = stack.enter_context(
            tempfile.TemporaryDirectory(dir=arguments.folder)
        )
        if "restart" in chosen:
            asyncio.run(restart_curve(root))
        if "commit" in chosen:
            asyncio.run(group_commit(root))
        if "failover" in chosen:
            failover()
        if "idle" in chosen:
            idle()
            change_cost()
            snapshot_transfer()
            asyncio.run(idle_task(root))


if __name__ == "__main__":
    main()
