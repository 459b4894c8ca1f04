"""Shells of the ledger on replicas with real files."""

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
    """A replica of the home."""

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


class Setting:
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
def in_setting(tmp_path):
    def run(scenario):
        async def main():
            async with Setting(tmp_path) as setting:
                await scenario(
                    setting, *map(setting.network.tasks.get, ENTRIES)
                )

        asyncio.run(main())

    return run


ENTRIES = ("e1", "e2")


def test_answer_is_replayed_through_another_entry_vm(in_setting):
    async def scenario(setting, first, second):
        granted = await setting.claim("e1", "a1")
        assert granted.ok == ledger.Granted("a1")
        running = await setting.claim("e2", "a2")
        assert isinstance(running.error, ledger.AttemptInProgressError)
        headers = [("content-type", "text/plain")]
        finished = await first.finish(
            HOME, "shops", "k", "a1", 201, headers, b"booked"
        )
        assert finished.is_ok()
        replay = (await setting.claim("e2", "a3")).ok
        assert replay[:2] == ("a1", 201)
        assert [tuple(header) for header in replay.headers] == headers
        assert replay.body == b"booked"

    in_setting(scenario)


def test_many_claims_at_once_are_granted_once_each(in_setting):
    async def scenario(setting, first, second):
        results = await asyncio.gather(
            *(
                setting.claim(ENTRIES[n % 2], f"a{n}", f"k{n // 2}")
                for n in range(60)
            )
        )
        granted = [result.ok for result in results if result.is_ok()]
        assert len(granted) == 30

    in_setting(scenario)


def test_released_claim_may_be_claimed_anew(in_setting):
    async def scenario(setting, first, second):
        await setting.claim("e1", "a1")
        released = await first.release_not_run(HOME, "shops", "k", "a1")
        assert released.is_ok()
        assert (await setting.claim("e2", "a2")).is_ok()

    in_setting(scenario)


def test_claim_whose_caller_left_is_released(in_setting):
    async def scenario(setting, first, second):
        waiting = asyncio.create_task(setting.claim("e1", "a1"))
        await asyncio.sleep(0)
        waiting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await waiting
        assert (
            first.client.attempt_state("a1") == ledger.AttemptState.ABANDONED
        )
        assert (await setting.claim("e2", "a2")).ok == ledger.Granted("a2")

    in_setting(scenario)


@pytest.mark.parametrize(
    ("told", "error"),
    [
        ("not_run", ledger.OutcomeUnknownError),
        ("unknown", ledger.OutcomeUnknownError),
        ("ran", ledger.AnswerNotStoredError),
    ],
)
def test_lost_holder_is_resolved_by_another(in_setting, told, error):
    async def scenario(setting, first, second):
        await setting.claim("e1", "a1")
        await setting.start_entry("e1")
        resolve = (await setting.claim("e2", "a2")).ok
        assert resolve == ledger.Resolve("a1")
        await second.resolved(HOME, "shops", "k", "a1", told)
        last = await setting.claim("e2", "a3")
        assert isinstance(last.error, error)

    in_setting(scenario)


def test_too_large_answer_is_told_as_ran(in_setting):
    async def scenario(setting, first, second):
        await setting.claim("e1", "a1")
        body = b"x" * 1001
        await first.finish(HOME, "shops", "k", "a1", 201, [], body)
        error = (await setting.claim("e2", "a2")).error
        assert isinstance(error, ledger.AnswerNotStoredError)
        assert error.run_state == "ran"

    in_setting(scenario)


def test_home_out_of_reach_leaves_the_outcome_open(in_setting):
    async def scenario(setting, first, second):
        setting.network.cut = {"e1"}
        claim_timeout = datetime.timedelta(milliseconds=100)
        error = (
            await setting.claim("e1", "a1", claim_timeout=claim_timeout)
        ).error
        assert isinstance(error, ledger.HomeUnreachableError)
        assert error.run_state == "unknown"
        setting.network.cut = set()
        assert (await setting.claim("e2", "a2")).is_ok()

    in_setting(scenario)


def test_attempt_id_is_used_once(in_setting):
    async def scenario(setting, first, second):
        await setting.claim("e1", "a1")
        error = (await setting.claim("e1", "a1", "other")).error
        assert isinstance(error, ledger.AttemptIdReusedError)

    in_setting(scenario)
