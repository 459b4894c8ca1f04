"""Admission controller of an entry VM."""

import datetime
import heapq
import random

import expression

from buckthorntack.admission import _errors
from buckthorntack.admission import _queue
from buckthorntack.admission import _quota
from buckthorntack.admission import _types
from buckthorntack.admission import _usage

#: Weight of a new sample in the moving average of the time between
#: completions.
SAMPLE_WEIGHT = 0.05


class _Service:
    """Capacity and queue of one service."""

    __slots__ = ("between_ends_s", "last_end_s", "queue", "usage")

    def __init__(self, settings):
        self.queue = _queue.FairQueue()
        self.usage = _usage.SlotUsage(settings.reserved_share)
        self.last_end_s = None
        self.between_ends_s = None

    def next_request(self):
        """Dequeue the next request that may start now.

        :returns: ``AdmissionRequest`` or None.
        """
        if not self.queue or not self.usage.has_room():
            return None
        waiting = self.queue.pop(self.usage.has_room_for)
        return waiting.request if waiting is not None else None

    def record_end(self, request, now_s):
        """Release a slot and update the time between completions.

        :param request: ``AdmissionRequest``.
        :param now_s: monotonic time in seconds.
        """
        self.usage.record_end(request)
        if self.last_end_s is not None:
            sample_s = now_s - self.last_end_s
            known_s = self.between_ends_s
            if known_s is None:
                known_s = sample_s
            gain_s = (sample_s - known_s) * SAMPLE_WEIGHT
            self.between_ends_s = known_s + gain_s
        self.last_end_s = now_s if self.queue else None


class AdmissionController:
    """Controller that starts, queues or refuses requests.

    Call :meth:`tick` after each call of another method and at least every
    50 ms, and carry out the commands that it returns at once.

    :param node_id: this entry VM.
    :param incarnation: number that differs between starts of the process.
    :param settings: ``AdmissionSettings``.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        settings: _types.AdmissionSettings,
        rng: random.Random,
    ):
        self.settings = settings
        self.rng = rng
        self._quotas = _quota.QuotaTable(node_id, incarnation, settings)
        self._services = {}
        self._in_flight = {}
        self._deadlines = []
        self._commands = []

    def offer(
        self, request: _types.AdmissionRequest, now: datetime.timedelta
    ) -> _types.AdmissionResult:
        """Admit, queue or refuse a request.

        :param request: the request.
        :param now: monotonic time.
        :returns: ``Admitted``, ``Queued`` or the error of the refusal.
        """
        now_s = now.total_seconds()
        wait_s = self._quotas.try_charge(
            request.organisation, request.quota, request.prompt_tokens, now_s
        )
        if wait_s is not None:
            return expression.Error(self._quota_error(request, wait_s))
        service = self._service(request.service)
        service.usage.record_demand(request, now_s)
        if not service.queue and service.usage.has_room_for(request):
            service.queue.charge(request)
            self._start(service, request)
            return expression.Ok(_types.Admitted(request.request_id))
        return self._enqueue(service, request, now_s)

    def on_request_finished(
        self, request_id: str, generated_tokens: int, now: datetime.timedelta
    ) -> None:
        """Release the slot of an admitted request that has ended.

        :param request_id: id of the request.
        :param generated_tokens: tokens generated for the request.
        :param now: monotonic time.
        """
        request = self._in_flight.pop(request_id, None)
        if request is None:
            return
        self._quotas.charge_generated(request.organisation, generated_tokens)
        service = self._services[request.service]
        service.record_end(request, now.total_seconds())

    def cancel_request(self, request_id: str) -> None:
        """Remove a request whose caller has disconnected.

        No command is returned for the request.

        :param request_id: id of the request.
        """
        request = self._in_flight.pop(request_id, None)
        if request is not None:
            self._services[request.service].usage.record_end(request)
            return
        for service in self._services.values():
            waiting = service.queue.remove(request_id)
            if waiting is not None:
                self._refund(waiting.request)
                return

    def set_capacity(
        self, service: str, slots: int, now: datetime.timedelta
    ) -> None:
        """Set how many requests of a service this entry VM may have in flight.

        :param service: name of the service.
        :param slots: number of requests; 0 until this method is called.
        :param now: monotonic time.
        """
        self._service(service).usage.slots = slots

    def tick(
        self, now: datetime.timedelta
    ) -> list[_types.Admitted | _types.Refused]:
        """Start queued requests and refuse those past their deadline.

        :param now: monotonic time.
        :returns: commands to carry out at once.
        """
        self._expire(now.total_seconds())
        for service in self._services.values():
            while (request := service.next_request()) is not None:
                self._start(service, request)
                self._commands.append(_types.Admitted(request.request_id))
        commands = self._commands
        self._commands = []
        return commands

    def set_entry_count(self, count: int) -> None:
        """Set the number of entry VMs that share the quotas.

        :param count: known entry VMs that have not deregistered, including
            unreachable ones.
        """
        self._quotas.set_entry_count(count)

    def build_usage_report(self, now: datetime.timedelta):
        """Build the report for other entry VMs; send one every 500 ms.

        :param now: monotonic time.
        :returns: ``UsageReport``.
        """
        return self._quotas.build_report(now.total_seconds())

    def on_usage_report(self, report, now: datetime.timedelta) -> None:
        """Process the report of another entry VM; duplicates have no effect.

        :param report: ``UsageReport``.
        :param now: monotonic time.
        """
        self._quotas.on_report(report, now.total_seconds())

    def quota_share(self, organisation: str, now: datetime.timedelta) -> float:
        """Share of a quota that this entry VM may use now.

        :param organisation: name of the organisation.
        :param now: monotonic time.
        :returns: fraction of the whole quota, from 0 to 1.
        """
        return self._quotas.usable_share(organisation, now.total_seconds())

    def active_organisations(self) -> int:
        """Number of organisations that have state at this entry VM."""
        return len(self._quotas)

    def queue_length(self, service: str) -> int:
        """Number of queued requests of a service.

        :param service: name of the service.
        """
        return len(self._service(service).queue)

    def _service(self, name):
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(self.settings)
        return service

    def _start(self, service, request):
        service.usage.record_start(request)
        self._in_flight[request.request_id] = request

    def _enqueue(self, service, request, now_s):
        deadline_s = now_s + request.deadline_ms / 1e3
        expected_s = self._expected_wait_s(service, request)
        if now_s + expected_s > deadline_s:
            self._refund(request)
            return expression.Error(
                self._deadline_error(request, expected_s, "would start after")
            )
        queue = service.queue
        queue.push(request, deadline_s)
        heapq.heappush(self._deadlines, (deadline_s, request.request_id))
        if len(queue) > self.settings.queue_requests:
            victim = queue.shed_candidate().request
            queue.remove(victim.request_id)
            error = self._shed(service, victim)
            if victim is request:
                return expression.Error(error)
            self._commands.append(_types.Refused(victim.request_id, error))
        return expression.Ok(_types.Queued(request.request_id, len(queue)))

    def _expected_wait_s(self, service, request):
        if service.between_ends_s is None:
            return 0.0
        ahead = service.queue.estimate_ahead(request)
        return ahead * service.between_ends_s

    def _shed(self, service, request):
        self._refund(request)
        between_s = service.between_ends_s or 0.0
        return _errors.QueueFullError(
            f"{len(service.queue)} requests wait for {request.service}",
            self._retry_after_ms(len(service.queue) * between_s),
        )

    def _expire(self, now_s):
        deadlines = self._deadlines
        while deadlines and deadlines[0][0] <= now_s:
            _, request_id = heapq.heappop(deadlines)
            for service in self._services.values():
                waiting = service.queue.remove(request_id)
                if waiting is not None:
                    self._refuse_expired(service, waiting.request)

    def _refuse_expired(self, service, request):
        self._refund(request)
        wait_s = len(service.queue) * (service.between_ends_s or 0.0)
        error = self._deadline_error(request, wait_s, "did not start by")
        self._commands.append(_types.Refused(request.request_id, error))

    def _deadline_error(self, request, wait_s, what):
        return _errors.DeadlineError(
            f"{request.request_id} {what} its deadline of "
            f"{request.deadline_ms} ms at {request.service}",
            self._retry_after_ms(wait_s),
        )

    def _quota_error(self, request, wait_s):
        return _errors.QuotaExceededError(
            f"the quota of {request.organisation} is used up",
            self._retry_after_ms(wait_s),
        )

    def _retry_after_ms(self, wait_s):
        settings = self.settings
        wait_ms = min(wait_s * 1e3, settings.max_retry_after_ms)
        wait_ms = max(wait_ms, settings.min_retry_after_ms)
        jitter = self.rng.random() * settings.retry_jitter_share
        return int(wait_ms * (1.0 + jitter)) + 1

    def _refund(self, request):
        self._quotas.refund(request.organisation, request.prompt_tokens)
