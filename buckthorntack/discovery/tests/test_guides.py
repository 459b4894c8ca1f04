"""An entry VM follows a control VM that answers, the nearest first."""

import datetime
import random

import pytest

from buckthorntack import discovery

S = datetime.timedelta(seconds=1)
NEAR, FAR, FARTHER = "10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"


@pytest.fixture
def guides():
    made = discovery.Guides(
        "fukuoka", "fukuoka-a", discovery.Timing(), random.Random(3)
    )
    made.learn(NEAR, "fukuoka", "fukuoka-a")
    made.learn(FAR, "kumamoto", "kumamoto-a")
    made.learn(FARTHER, "kagoshima", "kagoshima-a")
    return made


def answer(guides, nodes, now, has_majority=True):
    for node_id in nodes:
        guides.asked(node_id, now)
        guides.answered(node_id, has_majority, now)


def test_all_are_asked_before_any_answered(guides):
    assert sorted(guides.choose(S)) == [NEAR, FAR, FARTHER]
    assert guides.chosen is None


def test_nearest_is_followed(guides):
    answer(guides, [FARTHER, NEAR, FAR], S)
    assert guides.choose(S)[0] == NEAR


def test_silent_one_is_left_and_taken_up_again(guides):
    answer(guides, [NEAR, FAR], S)
    guides.choose(S)
    for step in range(2, 5):
        for node_id in guides.choose(step * S):
            guides.asked(node_id, step * S)
            if node_id != NEAR:
                guides.answered(node_id, True, step * S)
    assert guides.chosen == FAR
    assert NEAR in guides.choose(5 * S)
    guides.answered(NEAR, True, 5 * S)
    assert guides.choose(5 * S)[0] == NEAR


def test_one_without_majority_is_left(guides):
    answer(guides, [NEAR], S, has_majority=False)
    answer(guides, [FAR], S)
    assert guides.choose(S)[0] == FAR


def test_without_any_majority_the_nearest_is_followed(guides):
    answer(guides, [NEAR, FAR], S, has_majority=False)
    assert guides.choose(S)[0] == NEAR


def test_all_are_asked_when_none_answers(guides):
    answer(guides, [NEAR, FAR], S)
    for step in range(2, 9):
        for node_id in guides.choose(step * S):
            guides.asked(node_id, step * S)
    assert guides.chosen is None
    assert sorted(guides.choose(9 * S)) == [NEAR, FAR, FARTHER]


def test_last_one_known_is_never_forgotten(guides):
    for node_id in (NEAR, FAR, FARTHER):
        guides.forget(node_id)
    assert len(guides.choose(S)) == 1
