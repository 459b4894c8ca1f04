"""Callers that were refused: when they may return, and whether they have."""

#: Part of the usual time left below which a request is taken for a return.
RETURN_LEFT_SHARE = 0.9
#: Part of the served work that may be returns admitted beyond the limit.  More
#: of them would leave fresh requests without room, which then return.
RETURN_SHARE = 0.1
#: Work of the returns that may be admitted beyond the limit at once.
RETURN_BURST_MS = 400.0
#: Factor on the limit of such a return.
RETURN_WAIT_FACTOR = 1.5
#: Weights of a sample in the usual time left, above and below it.
_RISE_WEIGHT = 0.2
_FALL_WEIGHT = 0.005
#: Longest wait that callers accept, as a part of the time left.
LONGEST_WAIT_SHARE = 1 / 3


class Returns:
    """Returns of callers, as seen by one entry VM."""

    def __init__(self):
        #: Time that a request has left when it first comes, by route.
        self._usual_ms = {}
        #: Work that returns may take beyond the limit, by route: those of a
        #: long kind must not use up what short kinds leave.
        self._credit_ms = {}
        self._promised_s = 0.0

    def copy(self):
        """Return a copy that changes by itself."""
        copied = Returns()
        copied._usual_ms = dict(self._usual_ms)
        copied._credit_ms = dict(self._credit_ms)
        copied._promised_s = self._promised_s
        return copied

    def set_routes(self, names):
        """Set the routes of the configuration.

        :param names: iterable of their names.
        """
        names = set(names)
        for by_route in (self._usual_ms, self._credit_ms):
            for name in by_route.keys() - names:
                del by_route[name]

    def is_return(self, route_name, remaining_ms):
        """Whether a request has clearly less time left than is usual.

        :param route_name: its route.
        :param remaining_ms: time that it has left.
        """
        usual_ms = self._usual_ms.get(route_name, remaining_ms)
        is_longer = remaining_ms > usual_ms
        weight = _RISE_WEIGHT if is_longer else _FALL_WEIGHT
        usual_ms += (remaining_ms - usual_ms) * weight
        self._usual_ms[route_name] = usual_ms
        return remaining_ms < usual_ms * RETURN_LEFT_SHARE

    def on_served(self, route_name, work_ms):
        """Count a request that was served within its limit.

        :param route_name: its route.
        :param work_ms: part of an engine's time that it takes.
        """
        credit_ms = self._credit_ms.get(route_name, 0.0)
        self._credit_ms[route_name] = min(
            RETURN_BURST_MS, credit_ms + work_ms * RETURN_SHARE
        )

    def take_credit(self, route_name, work_ms):
        """Return whether a return may be admitted beyond its limit.

        :param route_name: its route.
        :param work_ms: part of an engine's time that it takes.
        """
        credit_ms = self._credit_ms.get(route_name, 0.0)
        if credit_ms < work_ms:
            return False
        self._credit_ms[route_name] = credit_ms - work_ms
        return True

    def promise_ms(self, least_ms, interval_ms, longest_ms, now_s):
        """Give a caller a time to return at which no other one was told to.

        :param least_ms: time until the queue has drained.
        :param interval_ms: time in which this entry VM's part of the room
            takes one return.
        :param longest_ms: longest wait that the caller accepts.
        :param now_s: monotonic time in seconds.
        :returns: the wait, or None if there is no room in time.
        """
        promised_s = max(
            now_s + least_ms / 1e3, self._promised_s + interval_ms / 1e3
        )
        wait_ms = (promised_s - now_s) * 1e3
        if wait_ms > longest_ms:
            return None
        self._promised_s = promised_s
        return wait_ms
