"""Times of a planned stop, and the work that fits into what is left."""

import datetime
from typing import NamedTuple

_MS = datetime.timedelta(milliseconds=1)
#: Time reserved at the end of the grace period for the end of the process.
EXIT_TIME = 700 * _MS
#: Time before that in which the last responses reach their clients.
DELIVERY_TIME = 300 * _MS
#: Time after the stop signal during which connections are still accepted, as
#: callers use a directory response that lists this VM for that long.
ACCEPT_TIME = 2000 * _MS
#: Multiple of the longest recent duration that a request is given.
DURATION_MARGIN = 1.5


class StopWindow(NamedTuple):
    """Times of a planned stop; monotonic."""

    #: Until then new connections are accepted.
    accepts_until: datetime.timedelta
    #: Until then requests are responded to.
    answers_until: datetime.timedelta
    #: Then all connections are closed.
    closes_at: datetime.timedelta


class Work(NamedTuple):
    """What is known of the time that a request may take."""

    #: Monotonic time of its deadline or the timeout of its route.
    ends_by: datetime.timedelta
    #: Longest recent duration of such requests; None if too few are known.
    longest: datetime.timedelta | None
    is_idempotent: bool
    #: Whether another entry VM forwards it.
    is_forwarded: bool = False
    #: Whether an earlier attempt has failed.
    is_retry: bool = False


def plan_stop(started_at, grace):
    """Return the times of a planned stop.

    :param started_at: monotonic time of the stop signal.
    :param grace: time from the stop signal to the kill.
    :returns: the ``StopWindow``; a short grace period leaves no time for
        responses.

    >>> second = datetime.timedelta(seconds=1)
    >>> [time / second for time in plan_stop(10 * second, 8 * second)]
    [12.0, 17.0, 17.3]
    """
    closes_at = started_at + grace - EXIT_TIME
    return StopWindow(
        accepts_until=started_at + min(ACCEPT_TIME, grace / 2),
        answers_until=closes_at - DELIVERY_TIME,
        closes_at=closes_at,
    )


def may_begin(window, now, work):
    """Whether an attempt at a request may be made during a planned stop.

    A request whose time is over before the stop ends always may.  Estimates
    count only for requests that may be repeated, and only while clients can
    not know of the stop: a refusal costs them another connection, a response
    that is cut costs them what it held.

    :param window: the ``StopWindow``; None while no stop is planned.
    :param now: monotonic time.
    :param work: the ``Work``.
    :returns: whether its response can be expected to be complete in time.
    """
    if window is None or work.ends_by <= window.answers_until:
        return True
    if not work.is_idempotent or work.longest is None or work.is_forwarded:
        return False
    if now >= window.accepts_until and not work.is_retry:
        return False
    return now + work.longest * DURATION_MARGIN <= window.answers_until
