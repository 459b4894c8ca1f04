"""Load: engines of two speeds, one of which turns slow for a while."""

import random

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds

PLAY_MS = 5000.0
SLOW_FROM_MS = 2500.0
#: An engine that works at a fifth of its speed is known as slower than it
#: was by this factor at least.
KNOWN_SLOW = 1.8


def _speed(server_id, now_ms):
    speed = 1.7 if server_id.endswith(("0", "3")) else 0.7
    if server_id == "north-engine-0" and now_ms >= SLOW_FROM_MS:
        return speed / 5.0
    return speed


def test_entry_vms_know_which_engines_are_fast_and_which_turns_slow():
    kinds = _kinds.reviews_and_questions({"north": 6.0}, 30, {"north": 70.0})
    deployment = emulator.Deployment(
        [emulator.Region("north", 6, 8)], speeds=_speed
    )
    traffic = emulator.Traffic(kinds, random.Random(5))
    deployment.play(traffic.arrivals(PLAY_MS), SLOW_FROM_MS)
    former = [
        entry.fleet.speeds.slowdown("north-engine-0")
        for entry in deployment.entries["north"]
    ]
    for entry in deployment.entries["north"]:
        speeds = entry.fleet.speeds
        fast = speeds.read_slowdown("north-engine-3")
        assert all(
            fast < speeds.read_slowdown(f"north-engine-{number}")
            for number in (1, 2, 4, 5)
        )
    deployment.play([], PLAY_MS)
    for entry, before in zip(deployment.entries["north"], former, strict=True):
        now = entry.fleet.speeds.slowdown("north-engine-0")
        assert now >= KNOWN_SLOW * before
