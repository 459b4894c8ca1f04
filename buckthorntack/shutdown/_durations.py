"""How long requests took of late."""

import datetime

#: Time after which a duration is forgotten, at the latest after twice that.
PERIOD = datetime.timedelta(seconds=30)
#: Requests without which the longest duration says little.
MIN_SAMPLES = 20


class RecentDurations:
    """Longest recent duration of requests, by the name of their route.

    >>> second = datetime.timedelta(seconds=1)
    >>> durations = RecentDurations()
    >>> for number in range(20):
    ...     durations.record("chat", number * second / 10, second)
    >>> durations.longest("chat", 2 * second) / second
    1.9
    >>> durations.longest("search", 2 * second) is None
    True
    """

    def __init__(self):
        self._until = None
        #: Number and longest duration of requests by route, in the present
        #: and the former period.
        self._present = {}
        self._former = {}

    def record(self, route, duration, now):
        """Add a request that was responded to.

        :param route: name of its route.
        :param duration: time from its receipt to the end of the response.
        :param now: monotonic time.
        """
        self._turn(now)
        count, longest = self._present.get(route, (0, duration))
        self._present[route] = (count + 1, max(longest, duration))

    def longest(self, route, now):
        """Return the longest recent duration.

        :param route: name of the route.
        :param now: monotonic time.
        :returns: the duration; None if too few requests are known.
        """
        self._turn(now)
        found = [
            period[route]
            for period in (self._present, self._former)
            if route in period
        ]
        if sum(count for count, _ in found) < MIN_SAMPLES:
            return None
        return max(duration for _, duration in found)

    def _turn(self, now):
        """Begin a new period if the present one is over."""
        if self._until is None or now >= self._until + PERIOD:
            self._former = {}
        elif now >= self._until:
            self._former = self._present
        else:
            return
        self._present = {}
        self._until = now + PERIOD
