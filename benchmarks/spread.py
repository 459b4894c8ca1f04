"""Time until a change is in force on all entry VMs, over slow links.

Control and entry VMs of three regions run in one process; messages between
regions are delayed.  Run: python -m benchmarks.spread --folder data/bench
"""

import argparse
import asyncio
import contextlib
import datetime
import pathlib
import random
import tempfile
import time

from benchmarks import configuration as sizes
from buckthorntack import clock
from buckthorntack import configuration
from buckthorntack import consensus

REGIONS = ("region-0", "region-1", "region-2")
ENTRIES_PER_REGION = 2
BETWEEN_REGIONS_S = 0.055
WITHIN_REGION_S = 0.0015
WAIT = datetime.timedelta(seconds=60)
FIRST_OBJECTS = sizes.base_objects()


class Network:
    """Hands messages over after the delay between two nodes."""

    def __init__(self):
        self.nodes = {}
        self.regions = {}

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
        regions = self.network.regions
        delay = BETWEEN_REGIONS_S
        if regions[to] == regions[self.node]:
            delay = WITHIN_REGION_S
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._arrive, to, message)

    def _arrive(self, to, message):
        if self.node in self.network.nodes and to in self.network.nodes:
            self.network.nodes[to].deliver(self.node, message)


class Control:
    """A control VM.

    :param network: the network.
    :param name: node id.
    :param names: node ids of all control VMs.
    :param folder: data folder.
    """

    def __init__(self, network, name, names, folder):
        sender = network.sender(name)
        system = clock.SystemClock()
        self.machine = configuration.ConfigurationMachine()
        self.replica = consensus.ReplicaTask(
            "configuration",
            name,
            names,
            folder / name,
            self.machine,
            sender,
            system,
            random.Random(name),
        )
        self.source = configuration.ConfigurationSourceTask(
            name, self.machine, self.replica, sender, system
        )
        self.administration = configuration.Administration(
            self.machine, self.replica, self.source, system
        )

    def deliver(self, sender, message):
        """Pass a message to its task.

        :param sender: node that sent it.
        :param message: the message.
        """
        if type(message).__name__.startswith("Configuration"):
            self.source.deliver(sender, message)
        else:
            self.replica.deliver(sender, message)


class Deployment:
    """Three regions with a control VM and some entry VMs each.

    :param folder: data folder.
    """

    def __init__(self, folder):
        self.folder = folder
        self.network = Network()
        self.stacks = {}
        self.controls = {}
        self.entries = {}
        self.changes = 0

    async def __aenter__(self):
        names = [f"control-{region}" for region in REGIONS]
        self.network.regions.update(zip(names, REGIONS, strict=True))
        for name, region in zip(names, REGIONS, strict=True):
            control = Control(self.network, name, names, self.folder)
            self.controls[name] = control
            await self._start(name, region, control.replica, control.source)
            self.network.nodes[name] = control
        for region in REGIONS:
            for place in range(ENTRIES_PER_REGION):
                await self._start_entry(f"{region}-entry-{place}", region)
        return self

    async def __aexit__(self, *exc_info):
        for name in list(self.stacks):
            await self.stop(name)

    async def _start(self, name, region, *tasks):
        self.network.regions[name] = region
        stack = contextlib.AsyncExitStack()
        self.stacks[name] = stack
        for task in tasks:
            await stack.enter_async_context(task)

    async def _start_entry(self, name, region):
        others = [f"{region}-entry-{n}" for n in range(ENTRIES_PER_REGION)]
        entry = configuration.ConfigurationFollowerTask(
            name,
            region,
            f"{region}-a",
            self.folder / name,
            list(self.controls),
            lambda: others,
            self.network.sender(name),
            clock.SystemClock(),
            random.Random(name),
        )
        self.entries[name] = entry
        self.network.nodes[name] = entry
        await self._start(name, region, entry)

    async def stop(self, name):
        """Stop a node at once.

        :param name: the node.
        """
        self.network.nodes.pop(name, None)
        self.controls.pop(name, None)
        await self.stacks.pop(name).aclose()

    def leader(self):
        """Name of the leading control VM, if there is one."""
        for name, control in self.controls.items():
            if control.replica.is_leader():
                return name
        return None

    async def apply(self, put, through=None):
        """Have a change accepted, sending it again until it is answered.

        :param put: named objects.
        :param through: control VM to send it to.
        :returns: the ``ChangeResult``.
        """
        self.changes += 1
        control = self.controls[through or next(iter(self.controls))]
        change = {
            "change_id": f"change-{self.changes}",
            "base_revision": control.machine.revision,
            "put": put,
        }
        while True:
            answer = await control.administration.apply(change, "ops")
            if answer.is_ok():
                return answer.ok
            await asyncio.sleep(0.05)

    async def in_force(self, revision):
        """Wait until all entry VMs have a revision.

        :param revision: the revision.
        """
        waits = [e.wait_for(revision, WAIT) for e in self.entries.values()]
        results = await asyncio.gather(*waits)
        if any(result.is_error() for result in results):
            raise RuntimeError("a revision did not come into force")


def quota(burst):
    """A change of a quota.

    :param burst: its burst.
    """
    found = {
        "name": "quota-x",
        "requests_per_second": 5,
        "burst_requests": 10 + burst,
        "tokens_per_minute": 1000,
    }
    return [{"kind": "Quota", "object": found}]


async def one(deployment, put, through=None):
    """Seconds from sending a change to its answer and to all entry VMs.

    :param deployment: the :class:`Deployment`.
    :param put: named objects.
    :param through: control VM to send it to.
    """
    start = time.monotonic()
    result = await deployment.apply(put, through)
    accepted = time.monotonic() - start
    if not result["accepted"]:
        raise RuntimeError(result)
    await deployment.in_force(result["revision"])
    return accepted, time.monotonic() - start


def report(name, samples):
    """Print the middle and the largest of some samples.

    :param name: what was measured.
    :param samples: pairs of seconds.
    """
    accepted = sorted(pair[0] for pair in samples)
    in_force = sorted(pair[1] for pair in samples)
    print(
        f"{name}: accepted after {accepted[len(accepted) // 2]:.3f} s, at "
        f"most {accepted[-1]:.3f} s; in force everywhere after "
        f"{in_force[len(in_force) // 2]:.3f} s, at most {in_force[-1]:.3f} s "
        f"({len(samples)} changes)"
    )


async def measure(folder, changes):
    """Measure one deployment.

    :param folder: data folder.
    :param changes: number of changes.
    """
    async with Deployment(folder) as deployment:
        result = await deployment.apply(FIRST_OBJECTS)
        await deployment.in_force(result["revision"])
        samples = [await one(deployment, quota(n)) for n in range(changes)]
        report("ordinary change", samples)
        samples = []
        for place in range(changes):
            regions = REGIONS[:1] if place % 2 else REGIONS[:2]
            put = [sizes.rule(0, list(regions))]
            samples.append(await one(deployment, put))
        report("half of them narrowing residency", samples)
        await _crash(deployment)


async def _crash(deployment):
    leader = deployment.leader()
    survivor = next(name for name in deployment.controls if name != leader)
    await deployment.stop(leader)
    sample = await one(deployment, quota(9999), survivor)
    report("first change after the leader's crash", [sample])


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--runs", type=int, default=3)
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    for _ in range(arguments.runs):
        with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
            asyncio.run(measure(pathlib.Path(folder), arguments.changes))


if __name__ == "__main__":
    main()
