"""Runs one request: admission, attempts, retries, the answer."""

import asyncio
import datetime
import functools

from buckthorntack import admission
from buckthorntack import clock as clocks
from buckthorntack import errors
from buckthorntack import events
from buckthorntack import ledger
from buckthorntack import retries
from buckthorntack import routing
from buckthorntack.entry import _admitting
from buckthorntack.entry import _attempt
from buckthorntack.entry import _errors
from buckthorntack.entry import _events
from buckthorntack.entry import _forwarding
from buckthorntack.entry import _relay

#: Failures after which the other side is known to have closed.
CLOSED = (retries.LostBeforeHead, retries.LostMidStream)
NOT_RUN = (retries.ConnectRefused, retries.SaidNotRun)
LOST = (*CLOSED, retries.Silent)
#: How long a server is kept free for a suspect that waits for its claim.
RESERVED = datetime.timedelta(seconds=3)
#: Pause before the entry VMs of a region are asked again for an attempt;
#: their summaries come about as often.
RESUME_PAUSE = datetime.timedelta(milliseconds=300)


class Runner:
    """Runs requests with the collaborators of the entry role.

    :param parts: the ``EntryParts``.
    """

    def __init__(self, parts):
        self.parts = parts
        self._log = events.EventLog("entry")
        self._detached = set()

    async def run(self, request, sink):
        """Run a request and send its answer.

        :param request: the ``GatewayRequest``.
        :param sink: where the answer goes.
        :raises GatewayError: it failed; the answer may have begun.
        """
        if request.idempotent:
            await self._run(request, sink)
            return
        work = asyncio.create_task(self._run_once(request, sink))
        self._detached.add(work)
        work.add_done_callback(self._detached.discard)
        await asyncio.shield(work)

    async def _run_once(self, request, sink):
        """Run a non-idempotent request; an earlier sending may have run."""
        try:
            await self._run(request, sink)
        except errors.GatewayError as error:
            if error.run_state is not errors.RunState.NOT_RUN:
                raise
            await self._answer_refused(request, sink, error)

    async def _answer_refused(self, request, sink, error):
        """Refuse a request, unless an earlier sending of it has run.

        That this sending does not run says nothing of earlier ones under
        the same key: their home is asked first.

        :param request: the ``GatewayRequest``.
        :param sink: where the answer goes.
        :param error: why this sending did not run.
        :raises GatewayError: it was not run, or that is not known.
        """
        parts = self.parts
        attempt_id = parts.signer.issue(
            parts.region,
            parts.failure_domain,
            "",
            request.organisation,
            parts.rng,
        )
        claimed = await parts.once.claim(request, attempt_id)
        if isinstance(claimed, ledger.Granted):
            await parts.once.settle(
                request, claimed.attempt_id, errors.RunState.NOT_RUN
            )
            raise error
        done = parts.once.replay(request, claimed)
        await sink.start(done.status, done.headers, "")
        await sink.write(done.body)
        await sink.finish()

    async def drain(self):
        """Wait for requests whose callers have gone."""
        while self._detached:
            await asyncio.wait(list(self._detached))

    async def _run(self, request, sink):
        if request.resumed_attempt:  # it was admitted when it began
            await _Execution(self.parts, request, sink).run()
            return
        execution = _Execution(self.parts, request, sink)
        if self.parts.lacks_servers(request.service):
            execution.check_servers()
        await self.parts.admitting.admit(self._admission_request(request))
        tokens = 0
        try:
            tokens = await execution.run()
        finally:
            self.parts.admitting.finished(request.request_id, tokens)

    def _admission_request(self, request):
        published = self.parts.configuration.current()
        priority = published.priority(request.organisation)
        now = self.parts.clock.monotonic()
        quota = _admitting.CHARGED_ELSEWHERE
        organisation = f"{request.organisation}/forwarded"
        if request.origin_region is None:
            quota = admission.quota_limits(
                published.quota(request.organisation)
            )
            organisation = request.organisation
        return admission.AdmissionRequest(
            request.request_id,
            organisation,
            request.service,
            priority["rank"],
            priority["weight"],
            quota,
            request.prompt_tokens,
            clocks.milliseconds(request.deadline - now),
        )


class _Execution:
    """The attempts of one request."""

    def __init__(self, parts, request, sink):
        self.parts = parts
        self.request = request
        self.sink = sink
        self.context = retries.AttemptContext(
            request.request_id,
            request.fingerprint,
            request.idempotent,
            request.deadline,
            last_event=request.resume_after,
        )
        self.relay = None
        self.target = None
        self.record = None
        self.decision = None
        self.route = None
        self.suspect = False
        self._log = events.EventLog("entry")

    def check_servers(self):
        """Refuse at once what would wait in vain.

        :raises GatewayError: no backend server can run it.
        """
        route = self._route_request(False, None)
        now = self.parts.clock.monotonic()
        chosen = self.parts.router.choose(route, now)
        if chosen.is_error():
            raise chosen.error

    async def run(self):
        """Attempt until there is an answer.

        :returns: tokens generated.
        :raises GatewayError: there will be no answer.
        """
        if self.request.resumed_attempt:
            result = await self._resume_for_caller()
        else:
            self.parts.retry_policy.record_first_attempt()
            result = await self._attempt()
        while not isinstance(result, _attempt.Done):
            result = await self._after(result)
        await self._answer(result)
        return result.tokens

    async def _answer(self, done):
        if not self.sink.started:
            attempt_id = self.target.attempt_id if self.target else ""
            await self.sink.start(done.status, done.headers, attempt_id)
            await self.sink.write(done.body)
        await self.sink.finish()

    async def _after(self, failure):
        now = self.parts.clock.monotonic()
        if self.relay is not None:
            self._note_progress(self.relay.last_event, now)
        step = self.parts.retry_policy.next_step(failure, self.context, now)
        self._log.write(
            _events.ATTEMPT_FAILED,
            request=self.request.request_id,
            failure=type(failure).__name__,
            server=failure.server_id,
            step=type(step).__name__,
        )
        return await self._take_step(step)

    def _note_progress(self, last_event, now):
        """Give a stream that went on another deadline for its next event."""
        if last_event > self.context.last_event:
            patience = datetime.timedelta(milliseconds=self.parts.deadline_ms)
            deadline = max(self.context.deadline, now + patience)
            self.context = self.context._replace(deadline=deadline)
        self.context = self.context._replace(last_event=last_event)

    @functools.singledispatchmethod
    async def _take_step(self, step):
        raise TypeError(f"{type(step).__name__} is no step")

    @_take_step.register
    async def _(self, step: retries.Retry):
        await self._settle(errors.RunState.NOT_RUN)
        self.context = step.context
        await self.parts.clock.sleep(step.delay)
        return await self._attempt()

    @_take_step.register
    async def _(self, step: retries.Resume):
        self.context = step.context
        await self.parts.clock.sleep(step.delay)
        return await self._resume()

    @_take_step.register
    async def _(self, step: retries.AskOutcome):
        self.context = step.context
        await self.parts.clock.sleep(step.delay)
        if self.target is None:
            return retries.OutcomeTold(
                self._place(), errors.RunState.UNKNOWN, False
            )
        return await self.parts.attempts.ask_outcome(self.target)

    @_take_step.register
    async def _(self, step: retries.GiveUp):
        await self._settle(step.error.run_state)
        raise step.error

    async def _settle(self, outcome):
        """Tell the ledger's home about the attempt that ended."""
        if self.request.idempotent or self.target is None:
            return
        target, self.target = self.target, None
        await self.parts.once.settle(self.request, target.attempt_id, outcome)

    def _place(self):
        if isinstance(self.decision, routing.RouteForward):
            return self.decision.failure_domain
        return self.target.server_id if self.target else ""

    async def _attempt(self):
        verdict = self._permission()
        now = self.parts.clock.monotonic()
        self.suspect = isinstance(verdict, retries.Suspect)
        preferred = None if self.suspect else verdict.running_on
        self.route = self._route_request(self.suspect, preferred)
        chosen = self.parts.router.choose(self.route, now)
        if chosen.is_error():
            raise self._refusal(chosen.error)
        self.decision = chosen.ok
        self._log_decision()
        if isinstance(self.decision, routing.RouteForward):
            return await self._forward()
        if self.suspect:
            await self._claim_alone()
        return await self._run_locally()

    def _permission(self):
        try:
            return self.parts.watching.check(self.request)
        except errors.GatewayError as error:
            raise self._refusal(error) from error

    async def _claim_alone(self):
        """Wait until a suspect may run alone on the server chosen."""
        server_id = self.decision.server_id
        self.parts.router.reserve_server(
            server_id, RESERVED, self.parts.clock.monotonic()
        )
        try:
            await self.parts.watching.claim(self.request, server_id)
        except errors.GatewayError as error:
            raise self._refusal(error) from error

    def _refusal(self, error):
        """The truth about all attempts, when no further one is made."""
        if error.run_state is not errors.RunState.NOT_RUN:
            return error
        step = self.parts.retry_policy.give_up(self.context, error.detail)
        if step.error.run_state is errors.RunState.NOT_RUN:
            return error
        return step.error

    def _route_request(self, isolate, preferred):
        request = self.request
        return routing.RouteRequest(
            request.request_id,
            request.organisation,
            request.service,
            request.model_version,
            request.prefix_hashes,
            request.prompt_tokens,
            len(request.body),
            request.allowed_regions,
            origin_region=request.origin_region,
            excluded_servers=self.context.excluded,
            idempotent=request.idempotent,
            isolate=isolate,
            preferred_server=preferred,
            fingerprint=request.fingerprint,
        )

    def _log_decision(self):
        decision = self.decision
        place = getattr(decision, "server_id", None)
        self._log.write(
            _events.ROUTED,
            request=self.request.request_id,
            organisation=self.request.organisation,
            attempt=self.context.attempts,
            server=place,
            region=getattr(decision, "region", self.parts.region),
            **decision.reasons._asdict(),
        )

    async def _run_locally(self):
        now = self.parts.clock.monotonic()
        decision = self.decision
        request = self.request
        parts = self.parts
        self.record = parts.servers.get(decision.server_id)
        attempt_id = parts.signer.issue(
            parts.region,
            parts.failure_domain,
            decision.server_id,
            request.organisation,
            parts.rng,
        )
        self.target = _attempt.Target(
            attempt_id, decision.server_id, decision.url
        )
        if not request.idempotent:
            granted = await self._claim()
            if isinstance(granted, ledger.Replay):
                self.target = None
                return parts.once.replay(request, granted)
        if request.streamed:
            self.relay = _relay.EventRelay(attempt_id, -1)
        parts.router.on_attempt_started(
            decision.server_id,
            attempt_id,
            request.prompt_tokens,
            now,
            cached_share=decision.reasons.cached_share,
            isolated=self.suspect,
        )
        return await self._observed(self._send())

    async def _claim(self):
        try:
            granted = await self.parts.once.claim(
                self.request, self.target.attempt_id
            )
        except errors.GatewayError:
            self.target = None
            raise
        if isinstance(granted, ledger.Granted):
            attempt_id = granted.attempt_id
            self.target = self.target._replace(attempt_id=attempt_id)
        return granted

    def _send(self):
        priority = self.parts.configuration.current().priority(
            self.request.organisation
        )
        return self.parts.attempts.run(
            self.request,
            self.target,
            priority["rank"],
            self.sink,
            self.relay,
            self._head_came,
        )

    def _head_came(self):
        now = self.parts.clock.monotonic()
        self.parts.router.on_attempt_first_byte(
            self.target.server_id, self.target.attempt_id, now
        )

    async def _observed(self, work):
        """Await an attempt and tell all who keep count of it."""
        request, target, parts = self.request, self.target, self.parts
        parts.watching.started(request.fingerprint, target.server_id)
        result = None
        try:
            result = await work
        except asyncio.CancelledError:
            parts.attempts.cancel(target)
            raise
        finally:
            finished = isinstance(result, _attempt.Done)
            parts.watching.stopped(
                request.fingerprint, target.server_id, finished
            )
            if isinstance(result, NOT_RUN):
                parts.watching.release(request.fingerprint)
            parts.router.on_attempt_finished(
                target.server_id,
                target.attempt_id,
                _outcome(result),
                parts.clock.monotonic(),
            )
        self._report_loss(result)
        if finished and not request.idempotent:
            await parts.once.settle(request, target.attempt_id, result)
        return result

    def _report_loss(self, result):
        if isinstance(result, LOST) and self.record is not None:
            self.parts.watching.connection_lost(
                self.record,
                self.request.fingerprint,
                isinstance(result, CLOSED),
            )
        elif isinstance(
            result, (retries.ConnectRefused, retries.ResumeFailed)
        ):
            self.parts.watching.connect_refused(result.server_id)

    async def _resume(self):
        if isinstance(self.decision, routing.RouteForward):
            return await self._resume_elsewhere()
        if self.target is None:
            return retries.ResumeFailed(self._place())
        return await self._observed(
            self.parts.attempts.resume(
                self.target, self.sink, self.relay, lambda: None
            )
        )

    async def _resume_for_caller(self):
        attempt_id = self.request.resumed_attempt
        target = self.parts.locate(attempt_id, self.request.organisation)
        if target is None:
            return await self._forward_resume(attempt_id)
        self.target = target
        self.record = self.parts.servers.get(target.server_id)
        self.relay = _relay.EventRelay(attempt_id, self.request.resume_after)
        return await self._resume()

    async def _forward(self):
        decision = self.decision
        entries = decision.entries
        now = self.parts.clock.monotonic()
        forward_id = f"{self.request.request_id}/{self.context.attempts}"
        router = self.parts.router
        router.on_forward_started(decision, forward_id, self.route, now)
        result = None
        try:
            result = await self._hand_over(forward_id, self.request, entries)
        finally:
            router.on_forward_finished(
                decision,
                forward_id,
                self.route,
                _outcome(result),
                self.parts.clock.monotonic(),
            )
        return result

    async def _hand_over(self, forward_id, request, entries):
        try:
            return await self.parts.forwarding.forward(
                forward_id,
                request,
                entries,
                self._place(),
                self.sink,
                self._relay_seen,
            )
        except _forwarding.ForwardFailed as failed:
            if _forwarding.retryable(failed.error):
                wait_ms = failed.error.retry_after_ms
                return retries.SaidNotRun(failed.place, wait_ms)
            raise self._refusal(failed.error) from failed

    def _relay_seen(self, relay):
        self.relay = relay
        if isinstance(self.decision, routing.RouteForward):
            forward_id = f"{self.request.request_id}/{self.context.attempts}"
            self.parts.router.on_forward_first_byte(
                self.decision,
                forward_id,
                self.route,
                self.parts.clock.monotonic(),
            )

    async def _resume_elsewhere(self):
        """Resume a forwarded stream through another entry VM."""
        if self.relay is None:
            return retries.ResumeFailed(self._place())
        request = self.request._replace(
            resumed_attempt=self.relay.attempt_id,
            resume_after=self.relay.last_event,
            deadline=self.context.deadline,
        )
        count = self.context.resumes
        forward_id = f"{request.request_id}/{self.context.attempts}.{count}"
        entries = self.decision.entries
        turned = entries[count % len(entries) :] + entries
        return await self._hand_over(forward_id, request, turned)

    async def _forward_resume(self, attempt_id):
        verified = self.parts.signer.verify(
            attempt_id, self.request.organisation
        )
        if verified.is_error():
            raise verified.error
        region = verified.ok.region
        if region not in self.request.allowed_regions:
            raise _errors.AttemptLostError(f"region {region} is not allowed")
        if self.request.origin_region is not None:
            raise _errors.AttemptLostError(attempt_id)
        return await self._ask_region(region, attempt_id)

    async def _ask_region(self, region, attempt_id):
        """Resume through any entry VM of a region.

        An entry VM that has just started may be the only one in its region's
        summary, and may have died since: the others become known a little
        later, so they are asked until the request's deadline.
        """
        rounds = 0
        while self.parts.clock.monotonic() < self.context.deadline:
            for record in self.parts.members.entries_of(region):
                forward_id = f"{self.request.request_id}/r{rounds}"
                rounds += 1
                result = await self._hand_over(
                    forward_id, self._from_last_event(), [record.node_id]
                )
                if isinstance(result, _attempt.Done):
                    return result
            await self.parts.clock.sleep(RESUME_PAUSE)
        raise _errors.RegionSilentError(f"{attempt_id} in {region}")

    def _from_last_event(self):
        """The caller's resumption, after what it has been sent since."""
        if self.relay is None:
            return self.request
        return self.request._replace(resume_after=self.relay.last_event)


def _outcome(result):
    if isinstance(result, _attempt.Done):
        return routing.AttemptOutcome.OK
    if isinstance(result, retries.SaidNotRun):
        return routing.AttemptOutcome.BUSY
    if result is None:
        return routing.AttemptOutcome.CANCELLED
    return routing.AttemptOutcome.FAILED
