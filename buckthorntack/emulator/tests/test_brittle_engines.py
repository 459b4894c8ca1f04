"""Load: engines that fall over if they have to reject requests."""

import random

import pytest

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds

BRITTLE_FROM_MS, BRITTLE_UNTIL_MS = 4000.0, 20_000.0
#: Time from which brittle engines may let fewer requests wait and may fall.
TOLD_MS = 5000.0
PLAY_MS = 26_000.0
ENGINES = 4
#: Allowed falls: two, and a tenth of the engines.
MOST_FALLS = 2 + 0.1 * ENGINES
#: Share of the requests answered by engines that are not brittle which brittle
#: ones are to answer.
LEAST_USE = 0.7


def play(entries, per_s, most, waiting=2, seed=1):
    """Play short and long prompts.

    :param entries: number of entry VMs.
    :param per_s: short prompts per second.
    :param most: rejections in a second that engines bear; None for any.
    :param waiting: requests that brittle engines let wait beyond their free
        slots.
    :returns: the deployment, and how many requests were answered while the
        engines were brittle.
    """

    def brittle(server_id, now_ms):
        is_brittle = BRITTLE_FROM_MS <= now_ms < BRITTLE_UNTIL_MS
        return most if is_brittle else None

    deployment = emulator.Deployment(
        [emulator.Region("north", ENGINES, entries)],
        seed=seed,
        brittle=brittle,
    )
    for engine in deployment.engines.values():
        deployment._at(
            BRITTLE_FROM_MS + TOLD_MS,
            lambda now_ms, engine: setattr(engine, "waiting_limit", waiting),
            engine,
        )
    kinds = _kinds.reviews_and_questions({"north": 2.0}, 20, {"north": per_s})
    traffic = emulator.Traffic(kinds, random.Random(seed))
    results = deployment.play(traffic.arrivals(PLAY_MS), PLAY_MS)
    answered = sum(
        result.outcome == "answered"
        and BRITTLE_FROM_MS + TOLD_MS <= result.arrived_ms < BRITTLE_UNTIL_MS
        for result in results
    )
    return deployment, answered


def count_falls(deployment):
    """Falls from the time on from which they count."""
    return sum(
        time >= BRITTLE_FROM_MS + TOLD_MS
        for times in deployment.falls.values()
        for time in times
    )


# Guards against entry VMs that each keep sending to engines which reject for
# want of room and fall over for it.
@pytest.mark.parametrize("entries", [3, 8, 20])
@pytest.mark.parametrize("most", [0, 2, 5])
@pytest.mark.parametrize("per_s", [60.0, 160.0])
def test_brittle_engines_stand(entries, most, per_s):
    deployment, answered = play(entries, per_s, most)
    assert count_falls(deployment) <= MOST_FALLS, deployment.falls
    _, expected = play(entries, per_s, None)
    assert answered >= LEAST_USE * expected, (answered, expected)


# Guards against requests that cross on their way to engines that let none wait
# and bear no rejection.
@pytest.mark.parametrize("entries", [3, 8, 20])
def test_engines_that_bear_nothing_stand(entries):
    deployment, _ = play(entries, 160.0, 0, waiting=0)
    assert count_falls(deployment) <= MOST_FALLS, deployment.falls
