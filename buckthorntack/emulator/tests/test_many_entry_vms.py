"""Load: many entry VMs that each send a small part to the same engines."""

import random

import pytest

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds

#: Share of requests of each kind that are to be answered in time.
IN_TIME = 0.9
PLAY_MS = 8000.0
#: Requests before are left out: engines have read no shared parts yet.
COLD_MS = 2000.0


@pytest.mark.parametrize("entries", [2, 24])
def test_answers_come_in_time_however_many_entry_vms_share_the_load(entries):
    kinds = _kinds.reviews_and_questions({"north": 10.0}, 20, {"north": 180.0})
    deployment = emulator.Deployment([emulator.Region("north", 7, entries)])
    traffic = emulator.Traffic(kinds, random.Random(5))
    results = deployment.play(traffic.arrivals(PLAY_MS), PLAY_MS + 5000.0)
    for kind in kinds:
        route = kind.route
        own = [
            result
            for result in results
            if result.kind == route.name and result.arrived_ms >= COLD_MS
        ]
        assert len(own) > 20
        in_time = sum(result.is_on_time(route) for result in own)
        assert in_time >= IN_TIME * len(own), (route.name, in_time, len(own))
