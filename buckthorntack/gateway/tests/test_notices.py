"""When a condition that lasts is reported."""

import datetime

from buckthorntack.gateway import _notices

S = datetime.timedelta(seconds=1)


def test_condition_is_reported_after_a_delay_and_then_periodically():
    condition = _notices.LastingCondition(3 * S, 10 * S)
    reported = [
        second
        for second in range(30)
        if condition.check(True, second * S) is not None
    ]
    assert reported == [3, 13, 23]


def test_condition_that_ended_starts_anew():
    condition = _notices.LastingCondition(3 * S, 10 * S)
    condition.check(True, 0 * S)
    assert condition.check(False, 2 * S) is None
    assert condition.check(True, 4 * S) is None
    assert condition.check(True, 6 * S) is None
    assert condition.check(True, 7 * S) == 3 * S
