"""Load: callers that were refused return while others still come."""

import itertools

import pytest

from buckthorntack import dispatch


def test_promised_returns_do_not_meet():
    returns = dispatch.Returns()
    times_s = []
    for number in range(20):
        now_s = 10.0 + number * 0.01
        wait_ms = returns.promise_ms(300.0, 100.0, 1500.0, now_s)
        if wait_ms is not None:
            assert 299.9 <= wait_ms <= 1500.0
            times_s.append(now_s + wait_ms / 1e3)
    assert 12 <= len(times_s) < 20
    gaps_s = [late - early for early, late in itertools.pairwise(times_s)]
    assert min(gaps_s) >= 0.0999


# Guards against promises that count for ever.
def test_promises_start_anew_after_a_pause():
    returns = dispatch.Returns()
    while returns.promise_ms(300.0, 100.0, 1500.0, 10.0) is not None:
        pass
    wait_ms = returns.promise_ms(300.0, 100.0, 1500.0, 12.0)
    assert wait_ms == pytest.approx(300.0)


def test_a_return_has_less_time_left_than_is_usual():
    returns = dispatch.Returns()
    for _ in range(50):
        assert not returns.is_return("r", 5000.0)
    assert returns.is_return("r", 4000.0)
    assert not returns.is_return("r", 4900.0)
    assert not returns.is_return("other", 1000.0)


# Guards against returns that leave fresh requests without room.
def test_returns_get_a_part_of_the_served_work():
    returns = dispatch.Returns()
    admitted = 0
    for _ in range(400):
        returns.on_served("r", 25.0)
        admitted += returns.take_credit("r", 25.0)
    assert admitted == 40
