"""What servers say of the requests that they take."""

import pytest

from buckthorntack import dispatch

SERVER = "s1"


@pytest.fixture
def limits():
    known = dispatch.ServerLimits()
    known.on_answer(SERVER, 5, 2.0, sent_s=1.0, now_s=2.0)
    return known


def test_limit_holds_for_the_incarnation_that_named_it(limits):
    assert limits.per_s(SERVER, 5) == 2.0
    assert limits.per_s(SERVER, 6) is None
    assert limits.per_s("s2", 5) is None


def test_answer_of_a_later_incarnation_ends_it(limits):
    limits.on_answer(SERVER, 6, 3.0, sent_s=3.0, now_s=4.0)
    limits.on_answer(SERVER, 5, 1.0, sent_s=1.0, now_s=5.0)
    assert limits.per_s(SERVER, 6) == 3.0


# Guards against an end of the limit told by an answer that was begun before.
def test_answer_without_a_limit_ends_it_only_if_asked_for_later(limits):
    limits.on_answer(SERVER, 5, None, sent_s=1.9, now_s=2.5)
    assert limits.per_s(SERVER, 5) == 2.0
    limits.on_answer(SERVER, 5, None, sent_s=2.1, now_s=2.6)
    assert limits.per_s(SERVER, 5) is None


def test_only_changes_are_told(limits):
    assert [stated.per_s for stated in limits.take_changes()] == [2.0]
    limits.on_answer(SERVER, 5, 2.0, sent_s=3.0, now_s=4.0)
    limits.on_answer("s2", 5, None, sent_s=3.0, now_s=4.0)
    assert limits.take_changes() == []
    limits.on_answer(SERVER, 5, 0.5, sent_s=3.0, now_s=4.0)
    assert [stated.per_s for stated in limits.take_changes()] == [0.5]


def test_server_that_has_gone_is_forgotten(limits):
    limits.remove_server(SERVER)
    assert limits.per_s(SERVER, 5) is None
