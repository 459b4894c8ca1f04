"""Load: entry VMs whose means differ threefold, one of them slowed."""

import collections
import random

import pytest

from buckthorntack import discovery
from buckthorntack.discovery.tests import _records

ANSWERS = 20_000


def share_of_callers(capacities, seed=1):
    """Share of callers that choose each entry VM, in the order given."""
    rng = random.Random(seed)
    nodes = [
        _records.node(f"10.1.0.{number + 1}:80", capacity=capacity)
        for number, capacity in enumerate(capacities)
    ]
    chosen = collections.Counter()
    for _ in range(ANSWERS):
        answer = discovery.select_entry_vms(
            nodes, "fukuoka", "fukuoka-a", None, 64, rng
        )
        assert len(answer.addresses) >= 2
        chosen[rng.choice(answer.addresses)] += 1
    return [chosen[node.service_address] / ANSWERS for node in nodes]


def test_callers_are_spread_by_capacity():
    capacities = [0.8, 0.8, 0.8, 1.0, 1.0, 1.0, 1.0, 2.6, 2.6, 2.6]
    shares = share_of_callers(capacities)
    for share, capacity in zip(shares, capacities, strict=True):
        assert share == pytest.approx(capacity / sum(capacities), rel=0.2)


@pytest.mark.parametrize("capacity", [0.0, 1.0])
def test_equal_entry_vms_are_all_named(capacity):
    nodes = [
        _records.node(f"10.1.0.{number}:80", capacity=capacity)
        for number in range(1, 12)
    ]
    for seed in range(20):
        answer = discovery.select_entry_vms(
            nodes, "fukuoka", "fukuoka-a", None, 64, random.Random(seed)
        )
        assert len(answer.addresses) == 11


# An entry VM that all leave at once overloads the others, and one without
# callers is never seen to recover.
def test_slowed_entry_vm_keeps_some_callers():
    shares = share_of_callers([1.0] * 9 + [0.25])
    assert 0.01 < shares[-1] < 0.05
    assert max(shares) < 0.13


# A node of an older build reports none.
def test_entry_vm_without_capacity_counts_as_a_capable_one():
    shares = share_of_callers([1.0, 1.0, 0.0])
    assert min(shares) > 0.3
