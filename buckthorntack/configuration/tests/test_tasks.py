"""Asyncio tasks of the configuration on replicas with real files."""

import asyncio
import contextlib
import datetime
import random

import logbook
import pytest

from buckthorntack import clock
from buckthorntack import configuration
from buckthorntack import consensus
from buckthorntack.configuration.tests import _samples
from buckthorntack.consensus.tests import test_task

CONTROLS = ("c1", "c2", "c3")
WAIT = datetime.timedelta(seconds=20)


class ControlNode:
    """Control VM with replica, source and administration."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        system = clock.SystemClock()
        sender = cluster.network.sender(name)
        self.machine = configuration.ConfigurationMachine()
        self.replica = consensus.ReplicaTask(
            "configuration",
            name,
            CONTROLS,
            cluster.folder / name,
            self.machine,
            sender,
            system,
            random.Random(next(test_task.SEEDS)),
            test_task.FAST,
        )
        self.source = configuration.ConfigurationSourceTask(
            name, self.machine, self.replica, sender, system
        )
        self.administration = configuration.Administration(
            self.machine, self.replica, self.source, system
        )

    def deliver(self, sender, message):
        if type(message).__name__.startswith("Configuration"):
            self.source.deliver(sender, message)
        else:
            self.replica.deliver(sender, message)


class Cluster:
    """Three control VMs and some entry VMs in one process."""

    def __init__(self, folder):
        self.folder = folder
        self.network = test_task.Network()
        self.stacks = {}

    async def __aenter__(self):
        for name in CONTROLS:
            node = ControlNode(self, name)
            await self.enter(name, node, node.replica, node.source)
        return self

    async def __aexit__(self, *exc_info):
        for name in list(self.stacks):
            await self.stop(name)

    async def enter(self, name, node, *tasks):
        stack = contextlib.AsyncExitStack()
        for task in tasks:
            await stack.enter_async_context(task)
        self.stacks[name] = stack
        self.network.tasks[name] = node
        return node

    async def stop(self, name):
        del self.network.tasks[name]
        await self.stacks.pop(name).aclose()

    async def start_entry(self, name, region, has_disk=True):
        task = configuration.ConfigurationFollowerTask(
            name,
            region,
            f"{region}-a",
            self.folder / name if has_disk else None,
            CONTROLS,
            lambda: [],
            self.network.sender(name),
            clock.SystemClock(),
            random.Random(next(test_task.SEEDS)),
        )
        return await self.enter(name, task, task)

    def administration(self, name="c1"):
        return self.network.tasks[name].administration

    async def apply(self, change, name="c1"):
        """Send a change until it has a result."""
        while True:
            answer = await self.administration(name).apply(change, "ops")
            if answer.is_ok() or answer.error.status == 409:
                return answer
            await asyncio.sleep(0.02)


@pytest.fixture
def run_in_cluster(tmp_path):
    def run(scenario):
        async def main():
            async with Cluster(tmp_path) as cluster:
                put = _samples.base_set(
                    [_samples.organisation("shops", "all")]
                )
                await cluster.apply(_samples.change("base", 0, put))
                await scenario(cluster)

        asyncio.run(main())

    return run


def test_change_reaches_an_entry_vm_and_its_disk(run_in_cluster):
    async def scenario(cluster):
        entry = await cluster.start_entry("e1", "kagoshima")
        assert (await entry.wait_for(1, WAIT)).ok.revision == 1
        seen = []
        entry.add_listener(lambda published: seen.append(published.revision))
        change = _samples.change("a", 1, [_samples.quota(burst=20)])
        first = await cluster.apply(change, "c2")
        assert first.ok["revision"] == 2
        assert (await entry.wait_for(2, WAIT)).ok.revision == 2
        assert seen == [2]
        assert await cluster.apply(change, "c3") == first
        await cluster.stop("e1")
        for name in CONTROLS:
            await cluster.stop(name)
        restarted = await cluster.start_entry("e1", "kagoshima")
        quota = restarted.current().get("Quota", "small")
        assert quota["burst_requests"] == 20

    run_in_cluster(scenario)


def test_narrowing_with_status(run_in_cluster):
    async def scenario(cluster):
        entry = await cluster.start_entry("e1", "kagoshima", has_disk=False)
        await entry.wait_for(1, WAIT)
        put = [_samples.rule("all", "fukuoka")]
        answer = await cluster.apply(_samples.change("n", 1, put))
        assert answer.ok == {
            "change_id": "n",
            "accepted": True,
            "revision": 3,
        }
        published = (await entry.wait_for(3, WAIT)).ok
        assert published.allowed_regions("shops") == {"fukuoka"}
        status = {}
        while not status.get("changes", [{"regions": []}])[-1]["regions"]:
            status = (await cluster.administration().status()).ok
        last = status["changes"][-1]
        assert last["change_id"] == "n"
        assert last["regions"][0]["region"] == "kagoshima"
        assert [one["voter"] for one in status["replicas"]] == [True] * 3
        history = (await cluster.administration().history(1)).ok
        assert [one["revision"] for one in history["changes"]] == [3]

    run_in_cluster(scenario)


def test_revision_that_does_not_come(run_in_cluster):
    async def scenario(cluster):
        entry = await cluster.start_entry("e1", "kagoshima")
        await entry.wait_for(1, WAIT)
        error = (await entry.wait_for(99, datetime.timedelta())).error
        assert isinstance(error, configuration.RevisionNotReachedError)

    run_in_cluster(scenario)


@pytest.mark.parametrize(
    "change",
    [
        {"change_id": "x"},
        _samples.change("x", 0, [{"kind": "Quota", "object": {"n": 1 << 70}}]),
    ],
)
def test_change_of_wrong_form_is_refused(run_in_cluster, change):
    async def scenario(cluster):
        answer = await cluster.administration().apply(change, "ops")
        assert isinstance(answer.error, configuration.InvalidChangeError)

    run_in_cluster(scenario)


def test_leaving_entry_vm_is_not_awaited(run_in_cluster):
    async def scenario(cluster):
        entry = await cluster.start_entry("e1", "kagoshima")
        await entry.wait_for(1, WAIT)
        await entry.deregister()
        assert entry.current() is None
        await asyncio.sleep(0)
        await cluster.stop("e1")
        put = [_samples.rule("all", "fukuoka")]
        revision = 1
        accepted = False
        while not accepted:
            change = _samples.change(f"n{revision}", revision, put)
            answer = (await cluster.apply(change)).ok
            revision, accepted = answer["revision"], answer["accepted"]

    run_in_cluster(scenario)


# An entry VM that returned to an earlier build ended at each start, as that
# could not read the copy of the later one.
@pytest.mark.parametrize("name", ["copy", "journal"])
def test_copy_of_another_build_is_fetched_again(run_in_cluster, name):
    async def scenario(cluster):
        entry = await cluster.start_entry("e1", "kagoshima")
        await entry.wait_for(1, WAIT)
        await cluster.stop("e1")
        folder = cluster.folder / "e1"
        with configuration.CopyStore(folder) as store:
            copy = store.load().copy
            store.write_copy(b"Unknown\0" if name == "copy" else copy)
            store.append(b"Unknown\0")
        restarted = await cluster.start_entry("e1", "kagoshima")
        assert restarted.current() is None
        found = (await restarted.wait_for(1, WAIT)).ok
        assert found.get("Organisation", "shops") is not None
        await cluster.stop("e1")
        restarted = await cluster.start_entry("e1", "kagoshima")
        assert restarted.current().revision == 1

    with logbook.TestHandler() as log:
        run_in_cluster(scenario)
    lines = [r for r in log.records if r.extra.get("event") == 508]
    assert len(lines) == 1
