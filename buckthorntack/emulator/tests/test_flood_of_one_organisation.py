"""Load: one organisation of 8 sends 7 times its usual, the others theirs."""

import random

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds
from buckthorntack.emulator.tests import _organisations

PARTS = {
    "flood": (0, 0.125, 7.0),
    **{f"calm-{number}": (0, 0.125, 1.0) for number in range(7)},
}
PLAY_MS = 6000.0
COLD_MS = 1500.0


def play(configure):
    kinds = _organisations.split(
        _kinds.reviews_and_questions({"north": 10.0}, 20, {"north": 208.0}),
        PARTS,
    )
    traffic = emulator.Traffic(kinds, random.Random(9))
    results = _organisations.deploy().play(
        traffic.arrivals(PLAY_MS), PLAY_MS + 6000.0, configure(kinds)
    )
    results = [one for one in results if one.arrived_ms >= COLD_MS]
    flood = _organisations.served(results, organisation="flood")
    calm = [one for one in results if one.organisation != "flood"]
    return flood, _organisations.served(calm)


def test_others_do_not_notice_a_flood():
    flood, calm = play(_organisations.configure)
    _, before = play(lambda kinds: None)
    assert calm >= 0.9, (flood, calm, before)
    assert calm > before, (flood, calm, before)
    assert calm > flood, (flood, calm)
    # The flood keeps a part of the room.
    assert flood >= calm / 4, (flood, calm)
