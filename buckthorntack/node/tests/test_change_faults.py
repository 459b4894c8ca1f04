"""Changes of objects while regions are cut off and nodes restart."""

import asyncio

import pytest

from buckthorntack.node.tests import _scenarios

CHANGES = 300
LOST = "kagoshima"


@pytest.fixture(scope="module")
def world():
    with _scenarios.Scenarios() as scenarios:
        yield scenarios


def _rule(name, regions):
    rule = {"name": name, "regions": list(regions)}
    return {"kind": "ResidencyRule", "object": rule}


def _quota(rate):
    quota = {
        "name": "small",
        "requests_per_second": rate,
        "burst_requests": 16,
        "tokens_per_minute": 400000,
    }
    return {"kind": "Quota", "object": quota}


def _all_at(world, revision):
    return all(
        world.revision(node) >= revision
        for node in world.deployment.nodes.values()
    )


async def _settled(world, change_id, put):
    """Send a change, based anew on each conflict, until it is decided."""
    while True:
        answer = await world.change(change_id, put)
        if "accepted" in answer and not answer.get("conflict"):
            return answer
        change_id += "+"
        await asyncio.sleep(_scenarios.POLL_SECONDS)


async def _chat(world, region, number=0):
    return await world.callers[_scenarios.WIDE].chat(
        world.url(region, number), "pitchwriter", "hello", max_tokens=2
    )


def test_narrowing_waits_for_a_region_that_is_cut_off(world):
    async def scenario():
        kept = [r for r in _scenarios.REGIONS if r != LOST]
        narrowing = [_rule("all-regions", kept)]
        world.deployment.cut(LOST)
        refused = await _settled(world, "narrow-in-cut", narrowing)
        other = await _settled(world, "quota-in-cut", [_quota(5)])
        served = await _chat(world, LOST)
        world.deployment.heal(LOST)
        assert not refused["accepted"]
        assert "not_confirmed" in str(refused["findings"])
        assert other["accepted"]
        assert served.status == 200
        await _scenarios.until(lambda: _all_at(world, other["revision"]))
        accepted = await _settled(world, "narrow-healed", narrowing)
        assert accepted["accepted"]
        answers = [await _chat(world, LOST, n) for n in range(2)]
        assert all(a.status != 200 for a in answers)
        assert {_scenarios.run_state(a) for a in answers} == {"not_run"}
        before = len(world.runs)
        for region in kept:
            assert (await _chat(world, region)).status == 200
        assert not [run for run in world.runs[before:] if LOST in run[0]]
        await _scenarios.until(lambda: _all_at(world, accepted["revision"]))
        assert len({world.revision(n) for n in _nodes(world)}) == 1
        widened = [_rule("all-regions", _scenarios.REGIONS)]
        assert (await _settled(world, "widen", widened))["accepted"]

    world.run(scenario())


def _nodes(world):
    return list(world.deployment.nodes.values())


def test_restarted_entry_vm_never_goes_lower(world):
    async def scenario():
        changed = await _settled(world, "before-restart", [_quota(6)])
        await _scenarios.until(lambda: _all_at(world, changed["revision"]))
        world.deployment.cut("fukuoka")
        await world.deployment.kill_node("fukuoka-a-2")
        await world.deployment.start_node("fukuoka-a-2")
        node = world.deployment.nodes["fukuoka-a-2"]
        await _scenarios.until(node.is_ready)
        first = world.revision(node)
        world.deployment.heal("fukuoka")
        assert first >= changed["revision"]

    world.run(scenario())


def test_control_vm_restarts_after_many_changes(world):
    async def scenario():
        first = None
        put = [_quota(7)]
        base = world.revision()
        for number in range(CHANGES):
            change_id = f"many-{number}"
            answer = await world.change(
                change_id, [_quota(7 + number % 5)], base
            )
            assert answer["accepted"], answer
            base = answer["revision"]
            if first is None:
                first, first_base = answer, base - 1
        node_id = "kumamoto-a-1"
        await world.deployment.kill_node(node_id)
        await world.deployment.start_node(node_id)
        node = world.deployment.nodes[node_id]
        await _scenarios.until(lambda: world.revision(node) >= base)
        machine = node.control.machine
        await _scenarios.until(lambda: machine.revision >= base)
        again = await world.change(
            "many-0", put, first_base, node.control.admin_listener.url
        )
        assert again["accepted"]
        assert again["revision"] == first["revision"]
        assert world.revision() == base

    world.run(scenario())


def test_region_cut_off_serves_and_its_control_vm_catches_up(world):
    async def scenario():
        mark = "booked-while-cut-off"
        key = world.deployment.key_prefix(LOST) + mark
        world.deployment.cut(LOST)
        changed = await _settled(world, "while-cut-off", [_quota(9)])
        served = await _chat(world, LOST)
        booked = await world.book(world.url(LOST), key, mark)
        again = await world.book(world.url(LOST, 1), key, mark)
        world.deployment.heal(LOST)
        answers = await world.book_until_replayed(
            world.url("fukuoka"), key, mark
        )
        machines = [n.control.machine for n in _nodes(world) if n.control]
        await _scenarios.until(
            lambda: all(m.revision >= changed["revision"] for m in machines)
        )
        assert changed["accepted"]
        assert (served.status, booked.status) == (200, 200)
        assert {again.body, answers[-1].body} == {booked.body}
        assert len(world.runs_with(mark)) == 1
        assert len({m.revision for m in machines}) == 1
        sets = [list(m.published.named_objects()) for m in machines]
        assert all(one == sets[0] for one in sets)

    world.run(scenario())
