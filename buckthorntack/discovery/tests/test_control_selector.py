"""An entry VM follows the nearest control VM that replies."""

import datetime
import random

import pytest

from buckthorntack import discovery

S = datetime.timedelta(seconds=1)
NEAR, FAR, FARTHER = "10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"


@pytest.fixture
def selector():
    selector = discovery.ControlVmSelector(
        "fukuoka", "fukuoka-a", discovery.Timing(), random.Random(3)
    )
    selector.add(NEAR, "fukuoka", "fukuoka-a")
    selector.add(FAR, "kumamoto", "kumamoto-a")
    selector.add(FARTHER, "kagoshima", "kagoshima-a")
    return selector


def answer(selector, nodes, now, has_majority=True):
    for node_id in nodes:
        selector.on_report_sent(node_id, now)
        selector.on_reply(node_id, has_majority, now)


def test_all_are_asked_before_any_answered(selector):
    assert sorted(selector.select_targets(S)) == [NEAR, FAR, FARTHER]
    assert selector.followed_id is None


def test_nearest_is_followed(selector):
    answer(selector, [FARTHER, NEAR, FAR], S)
    assert selector.select_targets(S)[0] == NEAR


def test_silent_one_is_left_and_taken_up_again(selector):
    answer(selector, [NEAR, FAR], S)
    selector.select_targets(S)
    for step in range(2, 5):
        for node_id in selector.select_targets(step * S):
            selector.on_report_sent(node_id, step * S)
            if node_id != NEAR:
                selector.on_reply(node_id, True, step * S)
    assert selector.followed_id == FAR
    assert NEAR in selector.select_targets(5 * S)
    selector.on_reply(NEAR, True, 5 * S)
    assert selector.select_targets(5 * S)[0] == NEAR


def test_one_without_majority_is_left(selector):
    answer(selector, [NEAR], S, has_majority=False)
    answer(selector, [FAR], S)
    assert selector.select_targets(S)[0] == FAR


def test_without_any_majority_the_nearest_is_followed(selector):
    answer(selector, [NEAR, FAR], S, has_majority=False)
    assert selector.select_targets(S)[0] == NEAR


def test_all_are_asked_when_none_answers(selector):
    answer(selector, [NEAR, FAR], S)
    for step in range(2, 9):
        for node_id in selector.select_targets(step * S):
            selector.on_report_sent(node_id, step * S)
    assert selector.followed_id is None
    assert sorted(selector.select_targets(9 * S)) == [NEAR, FAR, FARTHER]


def test_last_one_known_is_never_forgotten(selector):
    for node_id in (NEAR, FAR, FARTHER):
        selector.remove(node_id)
    assert len(selector.select_targets(S)) == 1
