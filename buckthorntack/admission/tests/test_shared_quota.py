"""Quotas shared by the entry VMs of three regions under load."""

import itertools

import pytest

from buckthorntack import directives
from buckthorntack.admission.tests import _entry_vms

THREE = {"north": 1, "centre": 1, "south": 1}
NINE = {"north": 3, "centre": 3, "south": 3}
#: Usual use of the organisation that floods, and its sizes of prompts.
USUAL_PER_S = 100_000.0
FLOOD = 7.5
SHORT, LONG = 400.0, 17_000.0


def spread(count):
    """Number of entry VMs by region."""
    return {
        region: count // 3 + (number < count % 3)
        for number, region in enumerate(THREE)
    }


def make(counts, rate_per_s=1.3 * USUAL_PER_S, burst=None, seed=1):
    """Entry VMs and one organisation with a quota."""
    burst = rate_per_s if burst is None else burst
    quotas = {"depot": _entry_vms.tokens(rate_per_s, burst)}
    return _entry_vms.World(counts, quotas, seed)


def run(world, duration_s, per_s=0.0, cost=LONG, regions=None):
    """Let the organisation send at a rate for a time."""
    for _ in range(round(duration_s / _entry_vms.PERIOD_S)):
        world.offer("depot", per_s, cost, regions)
        world.run_round()


# Guards against reports that come late letting a flood pass.
@pytest.mark.parametrize("cost", [SHORT, LONG])
@pytest.mark.parametrize("count", [3, 75, 194])
def test_flood_of_one_organisation_is_held_to_its_quota(count, cost):
    world = make(spread(count))
    run(world, 6, USUAL_PER_S, cost)
    assert not world.refused
    run(world, 10, FLOOD * USUAL_PER_S, cost)
    assert world.excess("depot") <= 1
    # The quota is used, too.
    rate_per_s = world.quotas["depot"].rate_per_s
    assert world.admitted_per_s("depot", world.now_s - 6) >= 0.8 * rate_per_s


# Guards against a flood after a rest, with whole buckets everywhere.
def test_flood_after_a_rest_is_held_to_the_quota():
    world = make(spread(30))
    run(world, 12)
    run(world, 9, FLOOD * USUAL_PER_S)
    assert world.excess("depot") <= 1


# Guards against refusals of small organisations by their part of an entry VM.
def test_small_organisations_below_their_limit_are_not_refused():
    quotas = {f"o{n}": _entry_vms.tokens(2_000.0, 4_000.0) for n in range(40)}
    world = _entry_vms.World(spread(75), quotas)
    for _ in range(160):
        for name in quotas:
            world.offer(name, 1_800.0, LONG if name == "o0" else SHORT)
        world.run_round()
    assert not world.refused


# Guards against an organisation that reaches only one region or entry VM.
def test_quota_may_be_used_in_one_region_alone():
    world = make(NINE)
    run(world, 3, 0.2 * USUAL_PER_S)
    run(world, 8, 1.2 * USUAL_PER_S, regions=("south",))
    assert not world.refused


# Guards against other organisations paying for the flood of one.
def test_flood_of_one_organisation_leaves_others_alone():
    world = make(NINE)
    world.quotas["quiet"] = _entry_vms.tokens(20_000.0, 20_000.0)
    for _ in range(100):
        world.offer("depot", FLOOD * USUAL_PER_S, LONG)
        world.offer("quiet", 18_000.0, SHORT)
        world.run_round()
    assert world.refused["depot"]
    assert not world.refused["quiet"]


# Guards against a whole burst for each entry VM that starts again.
def test_restarts_of_all_entry_vms_hand_out_no_burst():
    world = make(NINE, burst=10 * USUAL_PER_S)
    run(world, 4, USUAL_PER_S)
    for _ in range(3):
        for name in list(world.vms):
            world.start(name)
        run(world, 3, FLOOD * USUAL_PER_S)
    assert world.excess("depot") <= 1


# Guards against a whole tolerance for each start of all entry VMs.
@pytest.mark.parametrize("cost", [SHORT, 4_000.0, LONG])
def test_frequent_restarts_of_all_entry_vms_hold_the_quota(cost):
    world = make(NINE)
    run(world, 4, USUAL_PER_S, cost)
    for _ in range(5):
        for name in list(world.vms):
            world.start(name)
        run(world, 2, FLOOD * USUAL_PER_S, cost)
    assert world.excess("depot") <= 1


# Guards against shares of a region that has no entry VM.
def test_region_without_entry_vms_has_no_share():
    world = make({**NINE, "west": 0})
    run(world, 6, 0.1 * USUAL_PER_S)
    for vm in world.vms.values():
        assert vm.quotas.is_cut_off
        vm.quotas.set_entry_vms(3, list(NINE), world.now_s)
        assert not vm.quotas.is_cut_off
    run(world, 12, FLOOD * USUAL_PER_S)
    assert world.excess("depot") <= 1
    rate_per_s = world.quotas["depot"].rate_per_s
    assert world.admitted_per_s("depot", world.now_s - 6) >= 0.8 * rate_per_s


# Guards against a region that is forgotten while it is out of touch.
def test_region_whose_records_are_gone_keeps_its_share():
    world = make(NINE)
    run(world, 6, USUAL_PER_S)
    world.cuts = {
        frozenset(("north", "south")),
        frozenset(("centre", "south")),
    }
    run(world, 3, USUAL_PER_S)
    quotas = world.vms["north000"].quotas
    quotas.set_entry_vms(3, ["north", "centre"], world.now_s)
    assert quotas.is_cut_off
    assert quotas.region_share == 1 / 3


# Guards against a region that is cut off using the whole quota by itself.
@pytest.mark.parametrize(
    "cuts",
    [
        [("north", "south")],
        [("north", "south"), ("north", "centre")],
        list(itertools.combinations(THREE, 2)),
    ],
)
def test_sides_of_a_partition_do_not_exceed_the_quota(cuts):
    world = make(NINE)
    run(world, 3, USUAL_PER_S)
    world.cuts = set(map(frozenset, cuts))
    run(world, 10, FLOOD * USUAL_PER_S)
    assert world.excess("depot") <= 1
    world.cuts.clear()
    run(world, 10, FLOOD * USUAL_PER_S)
    assert world.excess("depot") <= 1


# Guards against refusals below the limit when a region is cut off.
def test_even_use_below_the_limit_is_not_refused_in_a_partition():
    world = make(NINE)
    run(world, 5, 0.7 * USUAL_PER_S, SHORT)
    world.cuts = {
        frozenset(("north", "south")),
        frozenset(("north", "centre")),
    }
    run(world, 8, 0.7 * USUAL_PER_S, SHORT)
    world.cuts.clear()
    run(world, 5, 0.7 * USUAL_PER_S, SHORT)
    assert not world.refused


# Guards against a lower limit that binds only when the old burst is used.
def test_lowered_quota_binds_at_once():
    world = make(NINE, burst=10 * USUAL_PER_S)
    run(world, 4, USUAL_PER_S)
    world.quotas["depot"] = _entry_vms.tokens(USUAL_PER_S / 4, USUAL_PER_S / 4)
    world.admitted.clear()
    run(world, 12, FLOOD * USUAL_PER_S)
    assert world.excess("depot") <= 1


# Guards against a prompt that no bucket can ever hold.
def test_prompt_larger_than_the_bucket_is_admitted_in_its_turn():
    world = make(THREE, rate_per_s=1_000.0, burst=500.0)
    run(world, 3)
    size = 300_000.0
    assert world.ask("north000", "depot", size) is None
    wait_s = world.ask("north000", "depot", size)
    assert 8 <= wait_s <= 1.25 * 2 * _entry_vms.TOLERANCE.window_s
    run(world, wait_s)
    assert world.ask("south000", "depot", SHORT) is None


def test_refund_leaves_the_quota_as_if_nothing_was_sent():
    world = make(THREE, burst=USUAL_PER_S)
    run(world, 5)
    quotas, quota = world.vms["north000"].quotas, world.quotas["depot"]
    for _ in range(200):
        charged = quotas.charge("depot", quota, LONG, world.now_s)
        assert charged is None
        quotas.refund("depot", quota, LONG, world.now_s)


# Guards against a wait that is shorter than the refill.
def test_wait_that_is_stated_finds_room_if_nobody_else_sends():
    world = make(THREE)
    run(world, 5)
    waits = []
    while not waits:
        wait_s = world.ask("north000", "depot", SHORT)
        waits = [] if wait_s is None else [wait_s]
    run(world, waits[0])
    assert world.ask("north000", "depot", SHORT) is None


def test_requests_are_counted_one_by_one():
    quota = directives.Quota(directives.QuotaUnit.REQUESTS, 5.0, 10.0)
    world = _entry_vms.World(THREE, {"depot": quota})
    run(world, 3, 4.0, 1.0)
    assert not world.refused


# Guards against memory that grows with all organisations there ever were.
def test_state_of_idle_organisations_is_dropped():
    world = make(THREE)
    for number in range(300):
        name = f"o{number}"
        world.quotas[name] = _entry_vms.tokens(1_000.0, 1_000.0)
        world.ask("north000", name, SHORT)
    run(world, 120)
    for number in range(200):
        world.ask("north000", f"o{number % 10}", SHORT)
    assert len(world.vms["north000"].quotas) <= 11
