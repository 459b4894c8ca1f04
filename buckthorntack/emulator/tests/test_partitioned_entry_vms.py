"""Entry VMs that reach no engine, at several sizes of a deployment."""

import random

import pytest

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds

CUT_MS, HEALED_MS = 4000.0, 18_000.0
#: Time from a cut after which the shares are compared.
SETTLING_MS = 5000.0
PLAY_MS = 20_000.0
#: Smallest share served in time at the first try at entry VMs that are cut
#: off, compared with the others.
LEAST_SHARE = 2 / 3
PER_S = 60.0


def play(entries, cut_share):
    """Play a cut of a share of one region's entry VMs.

    :returns: shares served in time at the first try, at those that are cut
        off and at the others of both regions.
    """
    count = max(1, round(entries * cut_share))
    names = {f"north-entry-{number}" for number in range(count)}

    def cut_off(name, now_ms):
        return name in names and CUT_MS <= now_ms < HEALED_MS

    deployment = emulator.Deployment(
        [
            emulator.Region("north", 4, entries),
            emulator.Region("south", 4, entries),
        ],
        seed=entries,
        cut_off=cut_off,
    )
    per_s = {"north": PER_S, "south": PER_S}
    kinds = _kinds.reviews_and_questions(
        {"north": 1.0, "south": 1.0}, 20, per_s
    )
    traffic = emulator.Traffic(kinds, random.Random(entries))
    results = deployment.play(traffic.arrivals(PLAY_MS), PLAY_MS + 6000.0)
    routes = {kind.route.name: kind.route for kind in kinds}
    counted = [
        result
        for result in results
        if CUT_MS + SETTLING_MS <= result.arrived_ms < HEALED_MS
    ]
    shares = []
    for is_cut_off in (True, False):
        chosen = [
            result
            for result in counted
            if (result.entry in names) is is_cut_off
        ]
        served = sum(
            result.is_on_time(routes[result.kind]) and not result.tries
            for result in chosen
        )
        shares.append(served / len(chosen))
    return shares


# Guards against callers of entry VMs without a path to any engine who are
# served far worse than those of their neighbours.
@pytest.mark.parametrize("entries", [3, 8, 20])
@pytest.mark.parametrize("cut_share", [0.1, 0.7, 1.0])
def test_callers_of_entry_vms_that_are_cut_off_are_served(entries, cut_share):
    cut_off, others = play(entries, cut_share)
    assert cut_off >= LEAST_SHARE * others, (cut_off, others)
    assert others >= 0.9
