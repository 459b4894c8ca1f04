"""Tests of the ledger's tasks on replicas with real files."""

import asyncio
import contextlib
import datetime
import random

import pytest

from buckthorntack import clock
from buckthorntack import consensus
from buckthorntack import ledger
from buckthorntack.consensus.tests import test_task

HOME = {"home_id": "h", "region": "r", "replicas": ["c1", "c2", "c3"]}
BODY_HASH = ledger.body_digest(b"body")


class HomeNode:
    """One replica of the home with its tasks."""

    def __init__(self, folder, network, name):
        sender = network.sender(name)
        system = clock.SystemClock()
        self.machine = ledger.LedgerMachine("h")
        self.replica = consensus.ReplicaTask(
            "ledger-h",
            name,
            HOME["replicas"],
            folder / name,
            self.machine,
            sender,
            system,
            random.Random(next(test_task.SEEDS)),
            test_task.FAST,
        )
        self.task = ledger.LedgerHomeTask(
            "h", self.replica, self.machine, sender, system, answer_bytes=1000
        )

    def deliver(self, sender, message):
        if type(message).__name__.startswith("Ledger"):
            self.task.deliver(sender, message)
        else:
            self.replica.deliver(sender, message)


class Cluster:
    """A home of three replicas and two entry VMs in one process."""

    def __init__(self, folder):
        self.folder = folder
        self.network = test_task.Network()
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        for name in HOME["replicas"]:
            node = HomeNode(self.folder, self.network, name)
            await self.stack.enter_async_context(node.replica)
            await self.stack.enter_async_context(node.task)
            self.network.tasks[name] = node
        for name in ("e1", "e2"):
            await self.start_entry(name)
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    async def start_entry(self, name):
        task = ledger.LedgerClientTask(
            name,
            [HOME],
            self.network.sender(name),
            clock.SystemClock(),
            random.Random(next(test_task.SEEDS)),
        )
        await self.stack.enter_async_context(task)
        self.network.tasks[name] = task

    def claim(self, entry, attempt_id, key="k", **options):
        task = self.network.tasks[entry]
        return task.claim(HOME, "shops", key, BODY_HASH, attempt_id, **options)


@pytest.fixture
def run_in_cluster(tmp_path):
    def run(scenario):
        async def main():
            async with Cluster(tmp_path) as cluster:
                await scenario(
                    cluster, *map(cluster.network.tasks.get, ENTRIES)
                )

        asyncio.run(main())

    return run


ENTRIES = ("e1", "e2")


def test_answer_is_replayed_through_another_entry_vm(run_in_cluster):
    async def scenario(cluster, first, second):
        granted = await cluster.claim("e1", "a1")
        assert granted.ok == ledger.Granted("a1")
        running = await cluster.claim("e2", "a2")
        assert isinstance(running.error, ledger.AttemptInProgressError)
        headers = [("content-type", "text/plain")]
        finished = await first.report_response(
            HOME, "shops", "k", "a1", 201, headers, b"booked"
        )
        assert finished.is_ok()
        replay = (await cluster.claim("e2", "a3")).ok
        assert replay[:2] == ("a1", 201)
        assert [tuple(header) for header in replay.headers] == headers
        assert replay.body == b"booked"

    run_in_cluster(scenario)


def test_many_claims_at_once_are_granted_once_each(run_in_cluster):
    async def scenario(cluster, first, second):
        results = await asyncio.gather(
            *(
                cluster.claim(ENTRIES[n % 2], f"a{n}", f"k{n // 2}")
                for n in range(60)
            )
        )
        granted = [result.ok for result in results if result.is_ok()]
        assert len(granted) == 30

    run_in_cluster(scenario)


def test_released_claim_may_be_claimed_anew(run_in_cluster):
    async def scenario(cluster, first, second):
        await cluster.claim("e1", "a1")
        released = await first.report_not_run(HOME, "shops", "k", "a1")
        assert released.is_ok()
        assert (await cluster.claim("e2", "a2")).is_ok()

    run_in_cluster(scenario)


def test_claim_whose_caller_left_is_released(run_in_cluster):
    async def scenario(cluster, first, second):
        claim_task = asyncio.create_task(cluster.claim("e1", "a1"))
        await asyncio.sleep(0)
        claim_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await claim_task
        assert (
            first.client.attempt_state("a1") == ledger.AttemptState.ABANDONED
        )
        assert (await cluster.claim("e2", "a2")).ok == ledger.Granted("a2")

    run_in_cluster(scenario)


@pytest.mark.parametrize(
    ("run_state", "error"),
    [
        ("not_run", ledger.OutcomeUnknownError),
        ("unknown", ledger.OutcomeUnknownError),
        ("ran", ledger.AnswerNotStoredError),
    ],
)
def test_lost_holder_is_resolved_by_another(run_in_cluster, run_state, error):
    async def scenario(cluster, first, second):
        await cluster.claim("e1", "a1")
        await cluster.start_entry("e1")
        resolve = (await cluster.claim("e2", "a2")).ok
        assert resolve == ledger.Resolve("a1")
        await second.report_server_outcome(HOME, "shops", "k", "a1", run_state)
        last = await cluster.claim("e2", "a3")
        assert isinstance(last.error, error)

    run_in_cluster(scenario)


def test_too_large_answer_is_told_as_ran(run_in_cluster):
    async def scenario(cluster, first, second):
        await cluster.claim("e1", "a1")
        body = b"x" * 1001
        await first.report_response(HOME, "shops", "k", "a1", 201, [], body)
        error = (await cluster.claim("e2", "a2")).error
        assert isinstance(error, ledger.AnswerNotStoredError)
        assert error.run_state == "ran"

    run_in_cluster(scenario)


def test_home_out_of_reach_leaves_the_outcome_open(run_in_cluster):
    async def scenario(cluster, first, second):
        cluster.network.cut = {"e1"}
        claim_timeout = datetime.timedelta(milliseconds=100)
        error = (
            await cluster.claim("e1", "a1", claim_timeout=claim_timeout)
        ).error
        assert isinstance(error, ledger.HomeUnreachableError)
        assert error.run_state == "unknown"
        cluster.network.cut = set()
        assert (await cluster.claim("e2", "a2")).is_ok()

    run_in_cluster(scenario)


def test_attempt_id_is_used_once(run_in_cluster):
    async def scenario(cluster, first, second):
        await cluster.claim("e1", "a1")
        error = (await cluster.claim("e1", "a1", "other")).error
        assert isinstance(error, ledger.AttemptIdReusedError)

    run_in_cluster(scenario)
