"""Tests of a request that crashes servers, sent through many entry VMs.

The quarantine must limit the crashes and let unrelated requests complete.
"""

import pytest

from buckthorntack.retries.tests import _fleet

SEEDS = range(20)


def add_bystanders(fleet, count, until_s, duration_s=(0.2, 4.0)):
    requests = []
    names = list(fleet.quarantines)
    for number in range(count):
        request = _fleet.Request(
            f"b{number}",
            fleet.rng.choice(names),
            fleet.rng.uniform(*duration_s),
        )
        fleet.schedule(fleet.rng.uniform(0, until_s), fleet.send, request)
        requests.append(request)
    return requests


def send_poison(fleet, entry, at_s):
    request = _fleet.Request("poison", entry, 0.5, is_poison=True)
    fleet.schedule(at_s, fleet.send, request)
    return request


@pytest.mark.parametrize("seed", SEEDS)
def test_takes_down_at_most_two_and_bystanders_finish(seed):
    fleet = _fleet.Fleet(seed)
    bystanders = add_bystanders(fleet, 300, 40)
    names = list(fleet.quarantines)
    # Copies are sent through other entry VMs and regions, several at once,
    # after the evidence of the first crash has reached all entry VMs.
    resent = [send_poison(fleet, names[0], 10)]
    for number in range(40):
        time_s = 12 + number // 4
        resent.append(send_poison(fleet, fleet.rng.choice(names), time_s))
    fleet.run(120)
    assert fleet.poison_crashes["poison"] == 2
    assert {request.outcome for request in resent} == {"refused"}
    assert {request.outcome for request in bystanders} == {"done"}


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_that_run_at_once_add_one_server_each(seed):
    fleet = _fleet.Fleet(seed)
    names = list(fleet.quarantines)
    copies = [send_poison(fleet, name, 10) for name in names[:3]]
    fleet.run(60)
    assert fleet.poison_crashes["poison"] <= len(copies)
    assert {request.outcome for request in copies} == {"refused"}


@pytest.mark.parametrize("seed", SEEDS)
def test_each_side_of_a_partition_loses_at_most_two(seed):
    fleet = _fleet.Fleet(seed)
    names = list(fleet.quarantines)
    for name in names[2:]:
        fleet.partition_of[name] = "other"
    for name in names:
        send_poison(fleet, name, 10 + 4 * names.index(name))
    fleet.run(100)
    assert fleet.poison_crashes["poison"] <= 4


def count_false_convictions(seed, between_crashes_s):
    """Count refused requests among 500 during 30 unrelated crashes."""
    fleet = _fleet.Fleet(seed)
    until_s = 30 * between_crashes_s
    bystanders = add_bystanders(fleet, 500, until_s, (1.0, 30.0))
    for _ in range(30):
        server = fleet.rng.choice(fleet.servers)
        fleet.schedule(fleet.rng.uniform(0, until_s), fleet.crash, server)
    fleet.run(until_s + 300)
    assert {r.outcome for r in bystanders} <= {"done", "refused"}
    return sum(r.outcome == "refused" for r in bystanders)


def test_false_convictions_beside_unrelated_crashes():
    refused = sum(count_false_convictions(seed, 100.0) for seed in SEEDS)
    assert refused <= 0.001 * 500 * len(SEEDS)
