"""Tests of prefix hashes and of the index of cached prefixes."""

import random

import hypothesis
from hypothesis import given
from hypothesis import strategies

from buckthorntack import routing
from buckthorntack.routing import _prefix


def event(sequence, kind, hashes=()):
    texts = [routing.format_prefix_hash(value) for value in hashes]
    return {"sequence": sequence, "kind": kind, "prefix_hashes": texts}


@hypothesis.settings(deadline=None, derandomize=True, database=None)
@given(
    prompt=strategies.binary(min_size=2000, max_size=40_000),
    cut=strategies.integers(0, 40_000),
)
def test_equal_prefixes_have_equal_hashes(prompt, cut):
    other = prompt[:cut] + b"!" + prompt[cut:]
    first = routing.prefix_hashes(prompt)
    second = routing.prefix_hashes(other)
    shared = sum(end <= cut for end in _prefix.BLOCK_ENDS_BYTES)
    shared = min(shared, len(first))
    assert first[:shared] == second[:shared]
    if shared < len(first) and cut < len(prompt) and prompt[cut] != 33:
        assert first[shared] != second[shared]


def test_long_prompts_have_few_blocks():
    assert len(routing.prefix_hashes(bytes(1_000_000))) < 100


def test_finds_the_deepest_and_shallower_holders():
    index = routing.PrefixIndex()
    hashes = tuple(range(1, 33))
    index.record_placement("whole", hashes)
    index.record_placement("half", hashes[:16])
    assert index.find_matches(hashes) == {"whole": 32, "half": 16}
    assert index.find_matches((99,)) == {}


def test_events_come_late_twice_and_with_gaps():
    index = routing.PrefixIndex()
    index.apply_events(
        "s1", [event(0, "stored", [1, 2]), event(1, "stored", [3])]
    )
    assert index.find_matches((1, 2, 3)) == {"s1": 3}
    index.apply_events("s1", [event(0, "removed", [1])])
    assert index.find_matches((1, 2, 3)) == {"s1": 3}
    index.apply_events("s1", [event(9, "stored", [4])])
    assert index.find_matches((1, 2, 3))["s1"] == 1.5
    for sequence in range(10, 60):
        index.apply_events("s1", [event(sequence, "stored", [5])])
    assert index.find_matches((1, 2, 3))["s1"] > 2.9
    index.apply_events("s1", [event(60, "removed", [3])])
    assert index.find_matches((1, 2, 3))["s1"] < 2.1
    index.apply_events("s1", [event(61, "cleared")])
    assert index.find_matches((1, 2, 3)) == {}


def test_memory_is_bounded():
    index = routing.PrefixIndex(max_blocks=1000)
    rng = random.Random(1)
    for number in range(200):
        hashes = tuple(rng.getrandbits(64) for _ in range(50))
        index.record_placement(f"s{number % 9}", hashes)
    assert len(index) == 1000
    assert index.find_matches(hashes) == {f"s{199 % 9}": 50}
