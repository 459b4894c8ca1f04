"""Load: engines that name a limit for the requests of all entry VMs."""

import random

import pytest

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds

#: Time at which engines begin to name their limits.
NAMED_MS = 3000.0
#: Time after which a limit binds all entry VMs.
TOLD_MS = 5000.0
WINDOW_MS = 4000.0
PLAY_MS = 24_000.0
#: A limited engine is to get this part of what it takes, if there is demand.
LEAST_USE = 0.7
IN_TIME = 0.9


def _allowed(per_s):
    """Requests that may arrive in a window."""
    return 1.5 * per_s * WINDOW_MS / 1e3 + 5


def _most_in_window(arrivals, from_ms, until_ms=PLAY_MS):
    """Largest number of arrivals in a sliding window."""
    counted = [time for time in arrivals if from_ms <= time <= until_ms]
    most = first = 0
    for number, time in enumerate(counted):
        while counted[first] < time - WINDOW_MS:
            first += 1
        most = max(most, number - first + 1)
    return most


def _play(limits, entries, regions=(("north", 4), ("south", 4)), per_s=60.0):
    """Play short and long prompts from the callers of the first region.

    :param limits: as of ``emulator.Deployment``.
    """
    name = regions[0][0]
    kinds = _kinds.reviews_and_questions({name: 2.0}, 20, {name: per_s})
    deployment = emulator.Deployment(
        [emulator.Region(*region, entries) for region in regions],
        seed=entries,
        limits=limits,
    )
    traffic = emulator.Traffic(kinds, random.Random(7))
    results = deployment.play(traffic.arrivals(PLAY_MS), PLAY_MS + 6000.0)
    return deployment, results, [kind.route for kind in kinds]


def _named(limited):
    """Limits by engine that are named from a time on, without end."""

    def limit(server_id, now_ms):
        return limited.get(server_id) if now_ms >= NAMED_MS else None

    return limit


def _check_bound(deployment, limited):
    for server_id, per_s in limited.items():
        most = _most_in_window(
            deployment.arrivals[server_id], NAMED_MS + TOLD_MS
        )
        assert most <= _allowed(per_s), (server_id, per_s, most)


def _check_use(deployment, limited):
    for server_id, per_s in limited.items():
        since_ms = NAMED_MS + TOLD_MS
        arrived = deployment.arrivals[server_id]
        count = sum(since_ms <= time <= PLAY_MS for time in arrived)
        expected = per_s * (PLAY_MS - since_ms) / 1e3
        assert count >= LEAST_USE * expected, (server_id, per_s, count)


def _check_in_time(results, routes):
    since_ms = NAMED_MS + TOLD_MS
    for route in routes:
        own = [
            result
            for result in results
            if result.kind == route.name and result.arrived_ms >= since_ms
        ]
        in_time = sum(result.is_on_time(route) for result in own)
        assert in_time >= IN_TIME * len(own), (route.name, in_time, len(own))


# Guards against entry VMs that each keep a server's limit, or none, for
# themselves.
@pytest.mark.parametrize("entries", [3, 8, 20])
@pytest.mark.parametrize("rates", [(1.1, 2.9), (0.2, 6.0)])
def test_all_entry_vms_together_keep_the_limits_of_servers(entries, rates):
    limited = dict(
        zip(("north-engine-0", "north-engine-1"), rates, strict=True)
    )
    deployment, results, routes = _play(_named(limited), entries)
    _check_bound(deployment, limited)
    _check_use(deployment, limited)
    _check_in_time(results, routes)


# Guards against requests that wait for limited servers while other regions
# have room.
@pytest.mark.parametrize("entries", [3, 8, 20])
def test_requests_go_to_another_region_if_all_servers_are_limited(entries):
    limited = {f"north-engine-{n}": 1.0 + n for n in range(4)}
    deployment, results, routes = _play(_named(limited), entries)
    _check_bound(deployment, limited)
    _check_in_time(results, routes)


# Guards against less urgent requests that take the rate of limited servers,
# and against callers that all come back at once.
@pytest.mark.parametrize("entries", [3, 8])
def test_urgent_requests_go_first_if_all_servers_are_limited(entries):
    limited = {f"north-engine-{n}": 4.0 for n in range(4)}
    deployment, results, (review, question) = _play(
        _named(limited), entries, (("north", 4),), per_s=30.0
    )
    _check_bound(deployment, limited)
    _check_use(deployment, limited)
    since_ms = NAMED_MS + TOLD_MS
    shares = []
    for route in (review, question):
        own = [
            result
            for result in results
            if result.kind == route.name and result.arrived_ms >= since_ms
        ]
        answered = sum(result.outcome == "answered" for result in own)
        shares.append(answered / len(own))
    assert shares[1] >= shares[0], shares


# Guards against a limit that outlives its server's need, and one that is
# kept after it was lowered.
@pytest.mark.parametrize("entries", [3, 8])
def test_limit_follows_what_the_server_says(entries):
    lowered_ms, ended_ms = 8000.0, 15_000.0
    server_id = "north-engine-0"

    def limit(name, now_ms):
        if name != server_id or not NAMED_MS <= now_ms < ended_ms:
            return None
        return 5.0 if now_ms < lowered_ms else 1.0

    deployment, _, _ = _play(limit, entries)
    arrived = deployment.arrivals[server_id]
    lowered = _most_in_window(arrived, lowered_ms + TOLD_MS, ended_ms)
    assert lowered <= _allowed(1.0)
    ended = _most_in_window(arrived, ended_ms + TOLD_MS)
    assert ended > _allowed(1.0)
