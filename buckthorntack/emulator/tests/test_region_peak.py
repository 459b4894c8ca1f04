"""Load: one region at its peak, above what its own engines can serve."""

import random

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds

#: Share of questions, the more urgent kind, that are to be answered in time.
QUESTIONS_IN_TIME = 0.95
#: The same of reviews.
REVIEWS_IN_TIME = 0.5
PLAY_MS = 6000.0
COLD_MS = 2000.0


def test_work_goes_to_the_idle_regions():
    kinds = _kinds.reviews_and_questions(
        {"north": 33.0}, 60, {"north": 375.0, "south": 30.0}
    )
    regions = [
        emulator.Region("north", 5, 8),
        emulator.Region("south", 4, 8),
        emulator.Region("west", 3, 6),
    ]
    deployment = emulator.Deployment(regions)
    traffic = emulator.Traffic(kinds, random.Random(3))
    results = deployment.play(traffic.arrivals(PLAY_MS), PLAY_MS + 5000.0)
    shares = {}
    for kind in kinds:
        own = [
            result
            for result in results
            if result.kind == kind.route.name and result.arrived_ms >= COLD_MS
        ]
        in_time = sum(result.is_on_time(kind.route) for result in own)
        shares[kind.route.name] = in_time / len(own)
    assert shares["question"] >= QUESTIONS_IN_TIME, shares
    assert shares["review"] >= REVIEWS_IN_TIME, shares
