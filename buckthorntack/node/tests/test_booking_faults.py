"""Tests that a booking runs once and that its responses are correct.

A response must not claim a run state that the gateway cannot know, also if an
entry VM or a backend server fails after the run.
"""

import asyncio

import pytest

from buckthorntack.node.tests import _harness


@pytest.fixture(scope="module")
def harness():
    with _harness.DeploymentHarness() as started:
        yield started


def _set_suppressed_response_count(harness, count):
    """Make each booking server run requests without responding.

    :param count: number of the next runs that get no response.
    """
    for server in harness.list_servers("vergedesk"):
        server.fake.faults.silent_after_run = count


def _are_refusals_unknown(answers):
    refused = [a for a in answers if a.status != 200]
    return all(_harness.run_state(a) == "unknown" for a in refused)


async def _kill_entry_vm_after_run(harness, key, marker):
    """Kill the entry VM of a booking right after the backend server ran it."""
    _set_suppressed_response_count(harness, 1)
    url = harness.caller_url("fukuoka", 1)
    pending = asyncio.create_task(harness.send_booking(url, key, marker))
    await _harness.wait_until(lambda: harness.list_runs(marker))
    await harness.deployment.kill_node("fukuoka-a-2")
    _set_suppressed_response_count(harness, 0)
    assert await pending is None


@pytest.mark.parametrize("prefixed", [True, False])
def test_booking_whose_entry_vm_died_is_replayed(harness, prefixed):
    async def scenario():
        marker = f"holder-died-{prefixed}"
        prefix = harness.deployment.key_prefix("fukuoka") if prefixed else ""
        key = prefix + marker
        await _kill_entry_vm_after_run(harness, key, marker)
        elsewhere = [
            harness.caller_url("kagoshima"),
            harness.caller_url("kumamoto", 1),
        ]
        answers = [
            await harness.send_booking(url, key, marker) for url in elsewhere
        ]
        answers += await harness.resend_until_replayed(
            harness.caller_url("fukuoka"), key, marker
        )
        for url in elsewhere:
            answers.append(await harness.send_booking(url, key, marker))
        await harness.deployment.start_node("fukuoka-a-2")
        node = harness.deployment.nodes["fukuoka-a-2"]
        await _harness.wait_until(node.is_ready)
        answers += await harness.resend_until_replayed(
            harness.caller_url("fukuoka", 1), key, marker
        )
        assert len(harness.list_runs(marker)) == 1
        assert _are_refusals_unknown(answers)
        replays = answers[-4:]
        assert {a.headers["x-replayed"] for a in replays} == {"true"}

    harness.run(scenario())


def test_booking_at_silent_server_runs_once(harness):
    async def scenario():
        marker = "server-went-silent"
        key = harness.deployment.key_prefix("kumamoto") + marker
        _set_suppressed_response_count(harness, 1)
        first = await harness.send_booking(
            harness.caller_url("kumamoto"), key, marker
        )
        _set_suppressed_response_count(harness, 0)
        answers = [first]
        for region in _harness.REGIONS:
            answers.append(
                await harness.send_booking(
                    harness.caller_url(region, 1), key, marker
                )
            )
        assert len(harness.list_runs(marker)) == 1
        assert _are_refusals_unknown(answers)
        assert {a.status for a in answers[1:]} == {200}
        assert len({a.body for a in answers[1:]}) == 1

    harness.run(scenario())


def test_booking_at_dead_server_is_never_said_not_run(harness):
    """A booking whose server crashes before it responds stays unknown."""

    async def scenario():
        marker = "server-died-after-the-run"
        key = harness.deployment.key_prefix("kumamoto") + marker
        _set_suppressed_response_count(harness, 1)
        pending = asyncio.create_task(
            harness.send_booking(
                harness.caller_url("kumamoto", 1), key, marker
            )
        )
        await _harness.wait_until(lambda: harness.list_runs(marker))
        ran_on = harness.list_runs(marker)[0][0]
        await harness.deployment.kill_server(
            harness.deployment.servers[ran_on]
        )
        _set_suppressed_response_count(harness, 0)
        answers = [await pending]
        for region in _harness.REGIONS:
            for number in range(2):
                url = harness.caller_url(region, number)
                answers.append(await harness.send_booking(url, key, marker))
        assert len(harness.list_runs(marker)) == 1
        assert {a.status for a in answers}.isdisjoint({200})
        assert _are_refusals_unknown(answers)

    harness.run(scenario())
