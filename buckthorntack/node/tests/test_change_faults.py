"""Tests of configuration changes under network partitions and restarts."""

import asyncio

import pytest

from buckthorntack.node.tests import _harness

CHANGE_COUNT = 300
ISOLATED_REGION = "kagoshima"


@pytest.fixture(scope="module")
def harness():
    with _harness.DeploymentHarness() as started:
        yield started


def _build_residency_rule(name, regions):
    rule = {"name": name, "regions": list(regions)}
    return {"kind": "ResidencyRule", "object": rule}


def _build_quota(rate):
    quota = {
        "name": "small",
        "requests_per_second": rate,
        "burst_requests": 16,
        "tokens_per_minute": 400000,
    }
    return {"kind": "Quota", "object": quota}


def _is_applied_everywhere(harness, revision):
    return all(
        harness.applied_revision(node) >= revision
        for node in harness.deployment.nodes.values()
    )


async def _submit_until_decided(harness, change_id, put):
    """Send a change until it is decided; rebase it after a conflict."""
    while True:
        answer = await harness.submit_change(change_id, put)
        if "accepted" in answer and not answer.get("conflict"):
            return answer
        change_id += "+"
        await asyncio.sleep(_harness.POLL_INTERVAL_SECONDS)


async def _send_chat(harness, region, number=0):
    return await harness.callers[_harness.ALL_REGIONS_ORGANISATION].chat(
        harness.caller_url(region, number),
        "pitchwriter",
        "hello",
        max_tokens=2,
    )


def test_narrowing_waits_for_a_region_that_is_cut_off(harness):
    async def scenario():
        kept = [r for r in _harness.REGIONS if r != ISOLATED_REGION]
        narrowing = [_build_residency_rule("all-regions", kept)]
        harness.deployment.cut(ISOLATED_REGION)
        refused = await _submit_until_decided(
            harness, "narrow-in-cut", narrowing
        )
        other = await _submit_until_decided(
            harness, "quota-in-cut", [_build_quota(5)]
        )
        served = await _send_chat(harness, ISOLATED_REGION)
        harness.deployment.heal(ISOLATED_REGION)
        assert not refused["accepted"]
        assert "not_confirmed" in str(refused["findings"])
        assert other["accepted"]
        assert served.status == 200
        await _harness.wait_until(
            lambda: _is_applied_everywhere(harness, other["revision"])
        )
        accepted = await _submit_until_decided(
            harness, "narrow-healed", narrowing
        )
        assert accepted["accepted"]
        answers = [
            await _send_chat(harness, ISOLATED_REGION, n) for n in range(2)
        ]
        assert all(a.status != 200 for a in answers)
        assert {_harness.run_state(a) for a in answers} == {"not_run"}
        before = len(harness.runs)
        for region in kept:
            assert (await _send_chat(harness, region)).status == 200
        assert not [
            run for run in harness.runs[before:] if ISOLATED_REGION in run[0]
        ]
        await _harness.wait_until(
            lambda: _is_applied_everywhere(harness, accepted["revision"])
        )
        assert (
            len({harness.applied_revision(n) for n in _list_nodes(harness)})
            == 1
        )
        widened = [_build_residency_rule("all-regions", _harness.REGIONS)]
        assert (await _submit_until_decided(harness, "widen", widened))[
            "accepted"
        ]

    harness.run(scenario())


def _list_nodes(harness):
    return list(harness.deployment.nodes.values())


def test_restarted_entry_vm_never_goes_lower(harness):
    async def scenario():
        changed = await _submit_until_decided(
            harness, "before-restart", [_build_quota(6)]
        )
        await _harness.wait_until(
            lambda: _is_applied_everywhere(harness, changed["revision"])
        )
        harness.deployment.cut("fukuoka")
        await harness.deployment.kill_node("fukuoka-a-2")
        await harness.deployment.start_node("fukuoka-a-2")
        node = harness.deployment.nodes["fukuoka-a-2"]
        await _harness.wait_until(node.is_ready)
        first = harness.applied_revision(node)
        harness.deployment.heal("fukuoka")
        assert first >= changed["revision"]

    harness.run(scenario())


def test_control_vm_restarts_after_many_changes(harness):
    async def scenario():
        first = None
        put = [_build_quota(7)]
        base = harness.applied_revision()
        for number in range(CHANGE_COUNT):
            change_id = f"many-{number}"
            answer = await harness.submit_change(
                change_id, [_build_quota(7 + number % 5)], base
            )
            assert answer["accepted"], answer
            base = answer["revision"]
            if first is None:
                first, first_base = answer, base - 1
        node_id = "kumamoto-a-1"
        await harness.deployment.kill_node(node_id)
        await harness.deployment.start_node(node_id)
        node = harness.deployment.nodes[node_id]
        await _harness.wait_until(
            lambda: harness.applied_revision(node) >= base
        )
        machine = node.control.configuration_machine
        await _harness.wait_until(lambda: machine.revision >= base)
        again = await harness.submit_change(
            "many-0", put, first_base, node.control.admin_listener.url
        )
        assert again["accepted"]
        assert again["revision"] == first["revision"]
        assert harness.applied_revision() == base

    harness.run(scenario())


def test_region_cut_off_serves_and_its_control_vm_catches_up(harness):
    async def scenario():
        marker = "booked-while-cut-off"
        key = harness.deployment.key_prefix(ISOLATED_REGION) + marker
        harness.deployment.cut(ISOLATED_REGION)
        changed = await _submit_until_decided(
            harness, "while-cut-off", [_build_quota(9)]
        )
        served = await _send_chat(harness, ISOLATED_REGION)
        booked = await harness.send_booking(
            harness.caller_url(ISOLATED_REGION), key, marker
        )
        again = await harness.send_booking(
            harness.caller_url(ISOLATED_REGION, 1), key, marker
        )
        harness.deployment.heal(ISOLATED_REGION)
        answers = await harness.resend_until_replayed(
            harness.caller_url("fukuoka"), key, marker
        )
        machines = [
            n.control.configuration_machine
            for n in _list_nodes(harness)
            if n.control
        ]
        await _harness.wait_until(
            lambda: all(m.revision >= changed["revision"] for m in machines)
        )
        assert changed["accepted"]
        assert (served.status, booked.status) == (200, 200)
        assert {again.body, answers[-1].body} == {booked.body}
        assert len(harness.list_runs(marker)) == 1
        assert len({m.revision for m in machines}) == 1
        sets = [list(m.published.named_objects()) for m in machines]
        assert all(one == sets[0] for one in sets)

    harness.run(scenario())
