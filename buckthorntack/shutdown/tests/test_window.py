"""Decisions on work during a planned stop, without a network."""

import datetime

import hypothesis
import pytest
from hypothesis import strategies

from buckthorntack import shutdown
from buckthorntack.shutdown import _durations

SECOND = datetime.timedelta(seconds=1)
STARTED_AT = 100 * SECOND
seconds = strategies.floats(0.0, 100.0).map(
    lambda value: datetime.timedelta(seconds=value)
)


def may_begin(after_s, time_s, longest_s=None, grace_s=8.0, **fields):
    """Whether a request may begin some time after a stop signal."""
    now = STARTED_AT + after_s * SECOND
    longest = None if longest_s is None else longest_s * SECOND
    fields.setdefault("is_idempotent", True)
    return shutdown.may_begin(
        shutdown.plan_stop(STARTED_AT, grace_s * SECOND),
        now,
        shutdown.Work(now + time_s * SECOND, longest, **fields),
    )


def test_all_work_may_begin_while_no_stop_is_planned():
    work = shutdown.Work(9 * SECOND, None, False)
    assert shutdown.may_begin(None, SECOND, work)


# Guards against requests that come late in a stop and are cut at its end.
@pytest.mark.parametrize(
    ("after_s", "time_s", "grace_s", "expected"),
    [
        (0.0, 6.0, 8.0, True),
        (0.9, 6.0, 8.0, True),
        (1.1, 6.0, 8.0, False),
        (5.0, 2.0, 8.0, True),
        (5.1, 2.0, 8.0, False),
        (0.1, 0.5, 2.0, True),
        (0.1, 4.0, 2.0, False),
        (50.0, 6.0, 60.0, True),
        (55.0, 6.0, 60.0, False),
        (0.0, 0.1, 0.5, False),
    ],
)
@pytest.mark.parametrize("is_idempotent", [True, False])
def test_request_may_begin_if_its_time_is_over_before_the_stop(
    after_s, time_s, grace_s, expected, is_idempotent
):
    assert (
        may_begin(
            after_s, time_s, grace_s=grace_s, is_idempotent=is_idempotent
        )
        is expected
    )


@pytest.mark.parametrize(
    ("after_s", "longest_s", "fields", "expected"),
    [
        (1.0, 1.0, {}, True),
        (1.0, 5.0, {}, False),
        # Callers know of the stop by then, and others serve them at once.
        (2.5, 1.0, {}, False),
        (2.5, 1.0, {"is_retry": True}, True),
        (6.0, 1.0, {"is_retry": True}, False),
        (1.0, 1.0, {"is_idempotent": False}, False),
        (1.0, 1.0, {"is_forwarded": True}, False),
        (1.0, None, {}, False),
    ],
)
def test_durations_count_where_a_cut_costs_little(
    after_s, longest_s, fields, expected
):
    assert may_begin(after_s, 20.0, longest_s, **fields) is expected


# Guards against a late request whose own time outlasts the stop and that is
# begun all the same, by any combination of times.
@hypothesis.given(
    grace=seconds,
    after=seconds,
    time=seconds,
    longest=strategies.none() | seconds,
    is_idempotent=strategies.booleans(),
    is_forwarded=strategies.booleans(),
)
def test_late_request_is_never_begun_without_the_time_to_end_it(
    grace, after, time, longest, is_idempotent, is_forwarded
):
    window = shutdown.plan_stop(STARTED_AT, grace)
    now = max(STARTED_AT + after, window.accepts_until)
    work = shutdown.Work(
        now + time, longest, is_idempotent, is_forwarded=is_forwarded
    )
    if shutdown.may_begin(window, now, work):
        assert work.ends_by <= window.answers_until < window.closes_at
        assert window.closes_at < STARTED_AT + grace


def test_durations_are_forgotten():
    durations = shutdown.RecentDurations()
    for _ in range(_durations.MIN_SAMPLES):
        durations.record("chat", 5 * SECOND, SECOND)
    later = SECOND + _durations.PERIOD
    assert durations.longest("chat", later) == 5 * SECOND
    for _ in range(_durations.MIN_SAMPLES):
        durations.record("chat", SECOND, later)
    assert durations.longest("chat", later) == 5 * SECOND
    assert durations.longest("chat", later + _durations.PERIOD) == SECOND
    assert durations.longest("chat", later + 4 * _durations.PERIOD) is None
