"""A late request at two servers, the first answer of which is used."""

import asyncio

from buckthorntack import dispatch
from buckthorntack import quarantine
from buckthorntack.gateway import _attempt
from buckthorntack.gateway import _results

#: Results of failed attempts, the one that tells most of the request first.
_RANKED_RESULTS = (
    _results.Started,
    _results.Unknown,
    _results.NotRun,
    _results.NotSent,
)


def make(proxied, routing_request, decision):
    """Return the hedged attempts of a request that may need a second server.

    :param proxied: the ``_ProxiedRequest``, whose attempt has begun.
    :param routing_request: the ``RoutingRequest``.
    :param decision: the ``Serve`` of that attempt.
    :returns: :class:`HedgedAttempts`, or None.
    """
    hedging = proxied.shared_state.hedging
    if not hedging.is_on or not _may_repeat(proxied):
        return None
    late_after_s = hedging.late_after_s(
        proxied.service.name, proxied.attempt.in_flight
    )
    if late_after_s is None:
        return None
    return HedgedAttempts(proxied, routing_request, decision, late_after_s)


def _may_repeat(proxied):
    """Whether two servers may run a request at the same time."""
    has_begun = (
        proxied.reply.started
        or proxied.stream is not None
        or proxied.origin is not None
        or proxied.metadata.last_event_id is not None
    )
    route = proxied.route
    return (
        route.is_idempotent
        and not has_begun
        and proxied.send_count + 1 < route.max_attempts
    )


class HedgedAttempts:
    """An attempt and, if its answer is late, a second one.

    :param proxied: the ``_ProxiedRequest``, whose attempt has begun.
    :param routing_request: the ``RoutingRequest``.
    :param decision: the ``Serve`` of that attempt.
    :param late_after_s: time after which its answer is late.
    """

    def __init__(self, proxied, routing_request, decision, late_after_s):
        self.proxied = proxied
        self.routing_request = routing_request
        self.decision = decision
        self.late_after_s = late_after_s
        self.shared_state = proxied.shared_state
        self.metrics = proxied.handler.metrics
        #: Attempts that have not ended, by their task.
        self._attempts = {}

    async def run(self):
        """Make the attempts and relay the first answer.

        :returns: the result of the attempt whose answer is used.
        """
        tasks = []
        try:
            first = self._start(self.proxied.attempt, self.decision)
            tasks.append(first)
            second = await self._wait_until_late(first)
            if second is not None:
                tasks.append(second)
            chosen = await self._wait_for_answer(tasks)
            self._end_others(tasks, chosen)
            self.proxied.attempt = self._attempts[chosen]
            return await self.proxied.relay_answer(
                self._attempts[chosen], chosen.result()
            )
        finally:
            for task in tasks:
                task.cancel()
            for attempt in self._attempts.values():
                self.proxied.end_attempt(attempt)
            await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, attempt, decision):
        task = asyncio.ensure_future(
            self.proxied.start_answer(attempt, decision)
        )
        self._attempts[task] = attempt
        return task

    async def _wait_until_late(self, first):
        """Wait for an answer; make a second attempt once that shall be.

        What withholds it may pass, so it is decided again each time that the
        wait has doubled.

        :param first: task of the first attempt.
        :returns: task of the second attempt, or None.
        """
        wait_s = self.late_after_s
        decision = None
        while True:
            await asyncio.wait([first], timeout=wait_s)
            if first.done():
                break
            now = self.proxied.handler.clock.monotonic()
            decision = self._decide(now)
            if not isinstance(decision, dispatch.Withheld):
                return self._send_again(decision, now)
            started_s = self.proxied.attempt.in_flight.started_s
            wait_s = max(self.late_after_s, now.total_seconds() - started_s)
        if decision is not None:
            self.proxied.hedge = decision.reason
            self.metrics.record_withheld_hedge(decision.reason)
        return None

    def _send_again(self, decision, now):
        self.proxied.hedge = "sent"
        self.metrics.record_hedge("sent")
        self.proxied.log_decision(decision)
        attempt = _attempt.Attempt()
        self.proxied.begin_attempt(
            attempt, self.routing_request, decision, now
        )
        return self._start(attempt, decision)

    def _decide(self, now):
        proxied, hedging = self.proxied, self.shared_state.hedging
        first = proxied.attempt
        if first.sent_at is None:
            return dispatch.Withheld("not_connected")
        if not proxied.can_retry():
            return dispatch.Withheld("no_attempts")
        if not isinstance(proxied.watch.check(True), quarantine.Admitted):
            return dispatch.Withheld("quarantine")
        decision = hedging.choose(
            self.shared_state.dispatcher,
            self.routing_request,
            self.shared_state.list_servers(proxied.service.name),
            first.in_flight,
            now,
        )
        if isinstance(decision, dispatch.Withheld):
            return decision
        withheld = hedging.take(
            proxied.service.name,
            now.total_seconds(),
            proxied.take_retry_budget,
        )
        return withheld or decision

    async def _wait_for_answer(self, tasks):
        """Return the first task with an answer, or the last that failed."""
        pending = set(tasks)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in tasks:
                if task in done and _is_answer(task.result()):
                    return task
        return min(
            tasks, key=lambda task: _RANKED_RESULTS.index(type(task.result()))
        )

    def _end_others(self, tasks, chosen):
        """Cancel or record the attempt whose answer is not used."""
        is_won = _is_answer(chosen.result())
        if is_won and len(tasks) > 1:
            self.proxied.hedge = "lost" if chosen is tasks[0] else "won"
            if chosen is not tasks[0]:
                self.metrics.record_hedge("won")
        for task in tasks:
            if task is chosen:
                continue
            attempt = self._attempts.pop(task)
            if not task.done() or _is_answer(task.result()):
                self._cancel(task, attempt)
            else:
                self._record_failure(attempt, task.result())
            self.proxied.end_attempt(attempt)

    def _cancel(self, task, attempt):
        task.cancel()
        if attempt.connection is not None:
            attempt.connection.close()
        now_s = self.proxied.handler.clock.monotonic().total_seconds()
        in_flight = attempt.in_flight
        self.shared_state.fleet.on_answer_overtaken(in_flight, now_s)
        self.metrics.record_cancelled_hedge(now_s - in_flight.started_s)
        if attempt.sent_at is not None:
            self.proxied.may_have_run = True

    def _record_failure(self, attempt, result):
        if isinstance(result, _results.Started):
            attempt.connection.close()
            attempt.outcome = dispatch.Outcome.ERROR
            result = _results.Unknown(
                f"{attempt.destination}: {result.head.status}"
            )
        self.proxied.record_other_result(attempt, result)


def _is_answer(start):
    """Whether the answer of an attempt may be used at once."""
    return isinstance(start, _results.Started) and start.head.status < 500
