"""Bookings run once, and callers are told the truth about them."""

import asyncio

import pytest

from buckthorntack.node.tests import _scenarios


@pytest.fixture(scope="module")
def world():
    with _scenarios.Scenarios() as scenarios:
        yield scenarios


def _silence(world, count):
    for server in world.servers_of("vergedesk"):
        server.fake.faults.silent_after_run = count


def _told_truth(answers):
    refused = [a for a in answers if a.status != 200]
    return all(_scenarios.run_state(a) == "unknown" for a in refused)


async def _kill_holder(world, key, mark):
    """Kill an entry VM right after a backend server ran its booking."""
    _silence(world, 1)
    url = world.url("fukuoka", 1)
    asking = asyncio.create_task(world.book(url, key, mark))
    await _scenarios.until(lambda: world.runs_with(mark))
    await world.deployment.kill_node("fukuoka-a-2")
    _silence(world, 0)
    assert await asking is None


@pytest.mark.parametrize("prefixed", [True, False])
def test_booking_whose_entry_vm_died_is_replayed(world, prefixed):
    async def scenario():
        mark = f"holder-died-{prefixed}"
        prefix = world.deployment.key_prefix("fukuoka") if prefixed else ""
        key = prefix + mark
        await _kill_holder(world, key, mark)
        elsewhere = [world.url("kagoshima"), world.url("kumamoto", 1)]
        answers = [await world.book(url, key, mark) for url in elsewhere]
        answers += await world.book_until_replayed(
            world.url("fukuoka"), key, mark
        )
        for url in elsewhere:
            answers.append(await world.book(url, key, mark))
        await world.deployment.start_node("fukuoka-a-2")
        node = world.deployment.nodes["fukuoka-a-2"]
        await _scenarios.until(node.is_ready)
        answers += await world.book_until_replayed(
            world.url("fukuoka", 1), key, mark
        )
        assert len(world.runs_with(mark)) == 1
        assert _told_truth(answers)
        replays = answers[-4:]
        assert {a.headers["x-replayed"] for a in replays} == {"true"}

    world.run(scenario())


def test_booking_at_silent_server_runs_once(world):
    async def scenario():
        mark = "server-went-silent"
        key = world.deployment.key_prefix("kumamoto") + mark
        _silence(world, 1)
        first = await world.book(world.url("kumamoto"), key, mark)
        _silence(world, 0)
        answers = [first]
        for region in _scenarios.REGIONS:
            answers.append(await world.book(world.url(region, 1), key, mark))
        assert len(world.runs_with(mark)) == 1
        assert _told_truth(answers)
        assert {a.status for a in answers[1:]} == {200}
        assert len({a.body for a in answers[1:]}) == 1

    world.run(scenario())


def test_booking_at_dead_server_is_never_said_not_run(world):
    """The server ran it, told nobody and died; nobody can know."""

    async def scenario():
        mark = "server-died-after-the-run"
        key = world.deployment.key_prefix("kumamoto") + mark
        _silence(world, 1)
        asking = asyncio.create_task(
            world.book(world.url("kumamoto", 1), key, mark)
        )
        await _scenarios.until(lambda: world.runs_with(mark))
        ran_on = world.runs_with(mark)[0][0]
        await world.deployment.kill_server(world.deployment.servers[ran_on])
        _silence(world, 0)
        answers = [await asking]
        for region in _scenarios.REGIONS:
            for number in range(2):
                url = world.url(region, number)
                answers.append(await world.book(url, key, mark))
        assert len(world.runs_with(mark)) == 1
        assert {a.status for a in answers}.isdisjoint({200})
        assert _told_truth(answers)

    world.run(scenario())
