"""A poison request among bystanders, resent through many entry VMs."""

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
        fleet.after(fleet.rng.uniform(0, until_s), fleet.send, request)
        requests.append(request)
    return requests


def poison(fleet, entry, at_s):
    request = _fleet.Request("poison", entry, 0.5, is_poison=True)
    fleet.after(at_s, fleet.send, request)
    return request


@pytest.mark.parametrize("seed", SEEDS)
def test_takes_down_at_most_two_and_bystanders_finish(seed):
    fleet = _fleet.Fleet(seed)
    bystanders = add_bystanders(fleet, 300, 40)
    names = list(fleet.quarantines)
    # Resent through other entry VMs and regions, from the time on at which
    # the news of the first crash has spread; several at once.
    resent = [poison(fleet, names[0], 10)]
    for number in range(40):
        time_s = 12 + number // 4
        resent.append(poison(fleet, fleet.rng.choice(names), time_s))
    fleet.run(120)
    assert fleet.poison_crashes["poison"] == 2
    assert {request.outcome for request in resent} == {"refused"}
    assert {request.outcome for request in bystanders} == {"done"}


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_that_run_at_once_add_one_server_each(seed):
    fleet = _fleet.Fleet(seed)
    names = list(fleet.quarantines)
    copies = [poison(fleet, name, 10) for name in names[:3]]
    fleet.run(60)
    assert fleet.poison_crashes["poison"] <= len(copies)
    assert {request.outcome for request in copies} == {"refused"}


@pytest.mark.parametrize("seed", SEEDS)
def test_each_side_of_a_partition_loses_at_most_two(seed):
    fleet = _fleet.Fleet(seed)
    names = list(fleet.quarantines)
    for name in names[2:]:
        fleet.side_of[name] = "other"
    for name in names:
        poison(fleet, name, 10 + 4 * names.index(name))
    fleet.run(100)
    assert fleet.poison_crashes["poison"] <= 4


def false_convictions(seed, between_crashes_s):
    """Bystanders refused among 500, beside 30 unrelated crashes."""
    fleet = _fleet.Fleet(seed)
    until_s = 30 * between_crashes_s
    bystanders = add_bystanders(fleet, 500, until_s, (1.0, 30.0))
    for _ in range(30):
        server = fleet.rng.choice(fleet.servers)
        fleet.after(fleet.rng.uniform(0, until_s), fleet.crash, server)
    fleet.run(until_s + 300)
    assert {r.outcome for r in bystanders} <= {"done", "refused"}
    return sum(r.outcome == "refused" for r in bystanders)


def test_false_convictions_beside_unrelated_crashes():
    refused = sum(false_convictions(seed, 100.0) for seed in SEEDS)
    assert refused <= 0.001 * 500 * len(SEEDS)
