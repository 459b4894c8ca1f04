"""Claims per second and per fsync of a ledger home, and memory a record.

Bare fsyncs and claims are measured in one run, on the same folder.  Run:
python -m benchmarks.ledger --folder data/bench
"""

import argparse
import asyncio
import contextlib
import ctypes
import datetime
import gc
import os
import pathlib
import random
import resource
import tempfile
import time
from typing import NamedTuple

from buckthorntack import clock
from buckthorntack import consensus
from buckthorntack import ledger
from buckthorntack import schema
from buckthorntack import storage
from buckthorntack.schema import messages

BODY_HASH = ledger.body_digest(b"body")
RECORDS = 50_000
BATCH = 500
ANSWER = b"x" * 200


class CountingFiles(storage.SystemFiles):
    """File operations that count syncs."""

    def __init__(self):
        super().__init__()
        self.syncs = 0

    def open_for_append(self, path):
        """Open a file whose syncs are counted.

        :param path: path of the file.
        """
        return _CountingFile(self, super().open_for_append(path))


class _CountingFile:
    """A file that counts its syncs."""

    def __init__(self, files, file):
        self.files = files
        self.file = file

    def sync(self):
        """Sync and count."""
        self.files.syncs += 1
        self.file.sync()

    def __getattr__(self, name):
        return getattr(self.file, name)


class Network:
    """Hands messages over within the process."""

    def __init__(self):
        self.nodes = {}

    def sender(self, node):
        """A sender of one node.

        :param node: its id.
        """
        return _Sender(self, node)


class _Sender:
    def __init__(self, network, node):
        self.network = network
        self.node = node

    def send(self, to, message):
        loop = asyncio.get_running_loop()
        loop.call_soon(self.network.nodes[to].deliver, self.node, message)


class HomeNode:
    """A replica of the home.

    :param network: the network.
    :param name: node id.
    :param names: node ids of all replicas.
    :param folder: data folder.
    """

    def __init__(self, network, name, names, folder):
        sender = network.sender(name)
        system = clock.SystemClock()
        self.files = CountingFiles()
        self.machine = ledger.LedgerMachine("h")
        self.replica = consensus.ReplicaTask(
            "ledger-h",
            name,
            names,
            folder / name,
            self.machine,
            sender,
            system,
            random.Random(name),
            files=self.files,
        )
        self.task = ledger.LedgerHomeTask(
            "h", self.replica, self.machine, sender, system
        )
        network.nodes[name] = self

    def deliver(self, sender, message):
        """Pass a message to its task.

        :param sender: node that sent it.
        :param message: the message.
        """
        if type(message).__name__.startswith("Ledger"):
            self.task.deliver(sender, message)
        else:
            self.replica.deliver(sender, message)


def bare_fsyncs(folder, seconds):
    """Appends and fsyncs a second of one file.

    :param folder: where to write.
    :param seconds: for how long.
    """
    count = 0
    with tempfile.NamedTemporaryFile(dir=folder) as file:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            file.write(b"x" * 200)
            file.flush()
            os.fsync(file.fileno())
            count += 1
    return count / seconds


async def measure_claims(folder, replicas, callers, seconds):
    """Claims a second and a sync, under load.

    :param folder: data folder.
    :param replicas: number of replicas.
    :param callers: claims kept on their way.
    :param seconds: for how long.
    :returns: claims a second, syncs of the leader a second and the middle
        and the 99th hundredth of the latencies in seconds.
    """
    network = Network()
    names = [f"c{place}" for place in range(replicas)]
    nodes = [HomeNode(network, name, names, folder) for name in names]
    home = {"home_id": "h", "region": "r", "replicas": names}
    client = ledger.LedgerClientTask(
        "e1",
        [home],
        network.sender("e1"),
        clock.SystemClock(),
        random.Random(1),
    )
    network.nodes["e1"] = client
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            await stack.enter_async_context(node.replica)
            await stack.enter_async_context(node.task)
        await stack.enter_async_context(client)
        await _first_claim(client, home)
        leader = next(node for node in nodes if node.replica.is_leader())
        syncs = leader.files.syncs
        latencies = []
        end = time.monotonic() + seconds
        workers = [
            _claim_on(client, home, f"w{place}", end, latencies)
            for place in range(callers)
        ]
        await asyncio.gather(*workers)
        syncs = leader.files.syncs - syncs
    latencies.sort()
    return (
        len(latencies) / seconds,
        syncs / seconds,
        latencies[len(latencies) // 2],
        latencies[len(latencies) * 99 // 100],
    )


async def _first_claim(client, home):
    attempt = 0
    while True:
        attempt += 1
        name = f"first-{attempt}"
        claimed = await client.claim(home, "shops", name, BODY_HASH, name)
        if claimed.is_ok():
            return


async def _claim_on(client, home, name, end, latencies):
    place = 0
    while time.monotonic() < end:
        place += 1
        attempt_id = f"{name}-{place}"
        start = time.monotonic()
        claimed = await client.claim(
            home, "shops", attempt_id, BODY_HASH, attempt_id
        )
        if claimed.is_ok():
            latencies.append(time.monotonic() - start)


def resident_bytes():
    """Memory of this process now."""
    gc.collect()
    ctypes.CDLL(None).malloc_trim(0)
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


class Filled(NamedTuple):
    """A machine with finished records, and what they took."""

    machine: ledger.LedgerMachine
    resident_bytes: int
    cpu_seconds: float


def fill(records):
    """Claim and finish records on a new machine.

    :param records: how many.
    :returns: :class:`Filled`.
    """
    machine = ledger.LedgerMachine("h")
    start_bytes = resident_bytes()
    start = time.process_time()
    for first in range(0, records, BATCH):
        keys = [f"booking-{place}" for place in range(first, first + BATCH)]
        machine.apply(1, _batch([_claim(key) for key in keys]))
        machine.apply(2, _batch([_finish(key) for key in keys]))
    seconds = time.process_time() - start
    return Filled(machine, resident_bytes() - start_bytes, seconds)


def measure_records():
    """Print memory and CPU of records that are claimed and finished."""
    machine, used_bytes, seconds = fill(RECORDS)
    used = used_bytes / RECORDS
    counted = machine.records.size_bytes / RECORDS
    print(
        f"{RECORDS} finished records with {len(ANSWER)} bytes of answer: "
        f"{used:.0f} bytes resident each, {counted:.0f} counted, "
        f"{1e6 * seconds / RECORDS:.1f} us CPU for claim and outcome"
    )
    start = time.process_time()
    snapshot = machine.snapshot()
    taken = time.process_time() - start
    ledger.LedgerMachine("h").restore(snapshot)
    restored = time.process_time() - start - taken
    print(
        f"snapshot: {len(snapshot) / RECORDS:.0f} bytes a record, "
        f"{1000 * taken:.0f} ms; restore {1000 * restored:.0f} ms CPU"
    )


def _claim(key):
    return messages.LedgerClaim(
        "h", "call", "shops", key, BODY_HASH, f"attempt-of-{key}", True
    )


def _finish(key):
    return messages.LedgerSettle(
        "h",
        "call",
        "shops",
        key,
        f"attempt-of-{key}",
        "ran",
        201,
        [messages.LedgerHeader("content-type", "application/json")],
        ANSWER,
        True,
    )


def _batch(operations):
    encoded = []
    for message in operations:
        name, payload = schema.encode(message)
        encoded.append(messages.LedgerOperation(name.decode(), payload, "e1"))
    return schema.pack(
        messages.LedgerBatch(
            at_ms=1_764_442_800_000,
            retention_ms=86_400_000,
            capacity_bytes=1 << 30,
            operations=encoded,
        )
    )


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--seconds", type=float, default=5)
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    fsyncs = bare_fsyncs(arguments.folder, arguments.seconds)
    print(f"bare fsyncs: {fsyncs:.0f} a second")
    for replicas, callers in ((1, 1), (1, 64), (1, 512), (3, 64), (3, 512)):
        with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
            claims, syncs, middle, slow = asyncio.run(
                measure_claims(
                    pathlib.Path(folder),
                    replicas,
                    callers,
                    arguments.seconds,
                )
            )
        print(
            f"{replicas} replicas, {callers} callers: {claims:.0f} claims "
            f"and {syncs:.0f} syncs a second, {claims / syncs:.1f} claims a "
            f"sync, {claims / fsyncs:.1f} claims a bare fsync; latency "
            f"{1000 * middle:.1f} ms middle, {1000 * slow:.1f} ms of 99 in "
            "100"
        )
    print(
        f"processor time of the run: {time.process_time():.0f} s, "
        f"at {datetime.timedelta(seconds=int(arguments.seconds))} a case"
    )
    measure_records()


if __name__ == "__main__":
    main()
