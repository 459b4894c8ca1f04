"""Load: one region at its peak, above what its own engines can serve."""

import datetime
import random

from buckthorntack import emulator
from buckthorntack.directives.tests import _documents

MS = datetime.timedelta(milliseconds=1)
#: Share of questions, the more urgent kind, that are to be answered in time.
QUESTIONS_IN_TIME = 0.95
#: The same of reviews.
REVIEWS_IN_TIME = 0.5
PLAY_MS = 6000.0
COLD_MS = 2000.0


def _kinds():
    review = _documents.route(
        "review",
        objective=863 * MS,
        pause_objective=300 * MS,
        timeout=6000 * MS,
        priority=1,
    )
    question = _documents.route(
        "question",
        objective=623 * MS,
        pause_objective=300 * MS,
        timeout=4000 * MS,
    )
    return [
        emulator.Kind(
            review, {"north": 33.0}, ((13_300, 60),), 3_720, 0.5, 120, 0.8
        ),
        emulator.Kind(
            question,
            {"north": 375.0, "south": 30.0},
            ((55, 16), (37, 2000)),
            291,
            0.9,
            45,
            0.8,
        ),
    ]


def test_work_goes_to_the_idle_regions():
    kinds = _kinds()
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
