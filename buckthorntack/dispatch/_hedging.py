"""When a late request is sent to a second server, and to which one."""

import bisect
from typing import NamedTuple

from buckthorntack import retries
from buckthorntack.dispatch import _decisions

#: Upper bounds of the histogram's buckets: ratios of observed to expected
#: time.
RATIO_BOUNDS = tuple(2.0 ** (step / 4) for step in range(-12, 33))
#: Samples after which an older one has lost most of its weight.
HISTORY_SAMPLES = 500
#: Samples without which no quantile is known.
MIN_SAMPLES = 50
#: Lowest quantile after which an answer counts as late.
MIN_QUANTILE = 0.9
#: Least time after which an answer counts as late; entry VMs are themselves
#: that late at times.
MIN_LATE_S = 0.01
#: Second sends that an entry VM may save up for a service.
MAX_SAVED_SENDS = 3.0
#: Share of the slots of a region's servers above which room is short.
MAX_BUSY_SHARE = 0.5
#: Share of the other servers with a late request above which all count as
#: slow.
MAX_LATE_SHARE = 1 / 3
#: Time for which an answer shows that its server is in use.
ANSWER_MEMORY_S = 1.0


class Withheld(NamedTuple):
    """Decision not to send a late request again."""

    reason: str


class LatenessHistogram:
    """Recent ratios of observed to expected time; old ones fade.

    >>> histogram = LatenessHistogram()
    >>> for _ in range(100):
    ...     histogram.record(0.99)
    >>> histogram.quantile(0.9)
    1.0
    """

    def __init__(self):
        self._weights = [0.0] * (len(RATIO_BOUNDS) + 1)
        self._samples = 0

    def record(self, ratio):
        """Add a sample.

        :param ratio: observed time divided by expected time.
        """
        keep = 1.0 - 1.0 / HISTORY_SAMPLES
        self._weights = [weight * keep for weight in self._weights]
        self._weights[bisect.bisect_left(RATIO_BOUNDS, ratio)] += 1.0
        self._samples += 1

    def quantile(self, share):
        """Return the ratio that a share of the samples does not exceed.

        :param share: the share, below 1.
        :returns: the ratio; None if there are too few samples, or if it is
            beyond the histogram.
        """
        if self._samples < MIN_SAMPLES:
            return None
        return self._bound_of(0, share)

    def likely_beyond(self, ratio):
        """Return the median of the samples that are larger than a ratio.

        :param ratio: the ratio.
        :returns: the median; None if there is none.
        """
        first = bisect.bisect_left(RATIO_BOUNDS, ratio) + 1
        return self._bound_of(first, 0.5)

    def _bound_of(self, first, share):
        left = sum(self._weights[first:]) * share
        if left <= 0:
            return None
        for weight, bound in zip(
            self._weights[first:], RATIO_BOUNDS[first:], strict=False
        ):
            left -= weight
            if left <= 0:
                return bound
        return None


class _ServiceState:
    """What is known of the answers of one service.

    :param share: allowed second sends per request.
    """

    def __init__(self, share):
        self.histogram = LatenessHistogram()
        self.budget = retries.RetryBudget(share, MAX_SAVED_SENDS, 0.0)
        while self.budget.try_acquire(0.0):
            pass  # A budget is earned by requests only.
        #: Requests that wait for their answer, by their identity.
        self.waiting = {}
        self.answered_s = {}


class Hedging:
    """Second sends of late requests, within a share of each service's.

    :param share: allowed second sends per request of a service; 0 for none.
    """

    def __init__(self, share):
        self.share = share
        self._quantile = max(MIN_QUANTILE, 1.0 - share)
        self._services = {}

    @property
    def is_on(self):
        """Whether late requests are sent again at all."""
        return self.share > 0

    def _state(self, service):
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(self.share)
        return state

    def record_request(self, service):
        """Record a request, which adds to the budget of its service.

        :param service: name of the service.
        """
        if self.is_on:
            self._state(service).budget.record_first_attempt()

    def on_request_sent(self, service, flight):
        """Record that a request waits for its answer.

        :param service: name of the service.
        :param flight: the ``InFlightRequest``.
        """
        if self.is_on:
            self._state(service).waiting[id(flight)] = flight

    def on_answer(self, service, flight, now_s):
        """Learn from the first byte of an answer.

        :param service: name of the service.
        :param flight: the ``InFlightRequest``.
        :param now_s: monotonic time.
        """
        if not self.is_on:
            return
        state = self._state(service)
        if state.waiting.pop(id(flight), None) is not None:
            state.histogram.record(_ratio(flight, now_s))
            state.answered_s[flight.server_id] = now_s

    def on_request_ended(self, service, flight, now_s):
        """Forget a request; if it got no answer yet, learn how late that is.

        :param service: name of the service.
        :param flight: the ``InFlightRequest``.
        :param now_s: monotonic time.
        """
        if not self.is_on:
            return
        state = self._state(service)
        if state.waiting.pop(id(flight), None) is None:
            return
        late_ratio = state.histogram.quantile(self._quantile)
        ratio = _ratio(flight, now_s)
        if late_ratio is not None and ratio >= late_ratio:
            # Without these the quantile would fall with each second send.
            state.histogram.record(ratio)

    def remove_server(self, server_id):
        """Forget a server that has gone.

        :param server_id: the server.
        """
        for state in self._services.values():
            state.answered_s.pop(server_id, None)

    def late_after_s(self, service, flight):
        """Time after its start at which a request counts as late.

        :param service: name of the service.
        :param flight: the ``InFlightRequest``.
        :returns: time in seconds; None if it is not known.
        """
        ratio = self._state(service).histogram.quantile(self._quantile)
        if ratio is None:
            return None
        return max(MIN_LATE_S, ratio * flight.expected_ms / 1e3)

    def choose(self, dispatcher, request, servers, flight, now):
        """Choose a second server for a late request.

        :param dispatcher: the ``Dispatcher``.
        :param request: the ``RoutingRequest`` of the first send.
        :param servers: ``ServerView`` of all servers of the service.
        :param flight: the ``InFlightRequest`` of the first send.
        :param now: monotonic time.
        :returns: ``Serve`` or :class:`Withheld`.
        """
        now_s = now.total_seconds()
        if self._is_wave(request.service.name, flight, now_s):
            return Withheld("all_slow")
        local = [
            view
            for view in servers
            if view.record.region == dispatcher.region
            and view.record.state == "ready"
        ]
        if _is_room_short(dispatcher.fleet, local):
            return Withheld("no_room")
        views = [
            view
            for view in local
            if view.record.server_id != flight.server_id
            and _is_sound(dispatcher, view, now)
        ]
        waited_ms = (now_s - flight.started_s) * 1e3
        decision = dispatcher.choose(
            request._replace(
                tried_server_ids=request.tried_server_ids | {flight.server_id},
                remaining_ms=request.remaining_ms - waited_ms,
                can_forward=False,
                can_hop=False,
            ),
            views,
            now,
        )
        if not isinstance(decision, _decisions.Serve):
            return Withheld("too_late" if views else "no_server")
        left_ms = self._likely_left_ms(request.service.name, flight, waited_ms)
        if decision.expected_ms >= left_ms:
            return Withheld("no_gain")
        return decision

    def take(self, service, now_s, take_retry):
        """Charge a second send to both budgets, if they have room.

        :param service: name of the service.
        :param now_s: monotonic time.
        :param take_retry: function without arguments that charges the retry
            budget; it returns whether that had room.
        :returns: None, or :class:`Withheld`.
        """
        if not self._state(service).budget.try_acquire(now_s):
            return Withheld("share_used_up")
        return None if take_retry() else Withheld("no_retries")

    def _likely_left_ms(self, service, flight, waited_ms):
        expected_ms = max(1.0, flight.expected_ms)
        histogram = self._state(service).histogram
        ratio = histogram.likely_beyond(waited_ms / expected_ms)
        if ratio is None:
            # Later than all known ones: as late again.
            return waited_ms
        return ratio * expected_ms - waited_ms

    def _is_wave(self, service, flight, now_s):
        """Whether the other servers are slow as well."""
        state = self._state(service)
        waiting, late = set(), set()
        for other in state.waiting.values():
            if other.server_id == flight.server_id:
                continue
            waiting.add(other.server_id)
            late_after_s = self.late_after_s(service, other)
            if (
                late_after_s is not None
                and now_s - other.started_s >= late_after_s
            ):
                late.add(other.server_id)

        def list_answered(since_s):
            return {
                server_id
                for server_id, answered_s in state.answered_s.items()
                if server_id != flight.server_id and answered_s >= since_s
            }

        if waiting and not list_answered(flight.started_s):
            return True
        recent = list_answered(now_s - ANSWER_MEMORY_S)
        return len(late) > MAX_LATE_SHARE * len(waiting | recent)


def _ratio(flight, now_s):
    return (now_s - flight.started_s) * 1e3 / max(1.0, flight.expected_ms)


def _is_room_short(fleet, views):
    slots = sum(view.record.slots for view in views)
    usages = [fleet.usage(view.record.server_id) for view in views]
    busy = sum(usage.running + usage.waiting for usage in usages)
    return busy > MAX_BUSY_SHARE * slots


def _is_sound(dispatcher, view, now):
    """Whether a server may get extra work, with a slot free for it."""
    record = view.record
    fleet = dispatcher.fleet
    usage = fleet.usage(record.server_id)
    return not (
        record.silent
        or dispatcher.is_cold(view, now)
        or fleet.limits.is_brittle(record.server_id)
        or fleet.limits.per_s(record.server_id, record.born_ms) is not None
        or fleet.state(record.server_id).is_ejected(now.total_seconds())
        or usage.running + usage.waiting >= record.slots
    )
