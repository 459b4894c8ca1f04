"""Execution of requests: admission, attempts, retries and the response."""

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
from buckthorntack.entry import _admission_task
from buckthorntack.entry import _attempt
from buckthorntack.entry import _attempt_progress
from buckthorntack.entry import _errors
from buckthorntack.entry import _events
from buckthorntack.entry import _forwarding
from buckthorntack.entry import _relay
from buckthorntack.entry import _render

#: Failures in which the server closed or reset the connection.
CLOSED_FAILURES = (retries.LostBeforeHead, retries.LostMidStream)
#: Failures after which the attempt is known not to have run.
NOT_RUN_FAILURES = (retries.ConnectRefused, retries.SaidNotRun)
#: Failures of a connection on which the attempt was sent.
CONNECTION_FAILURES = (*CLOSED_FAILURES, retries.Silent)
#: Lowest HTTP status of an answer that is an error.
MIN_ERROR_STATUS = 400
#: Time for which a server is reserved for a suspect request that waits for
#: its claim.
RESERVATION_DURATION = datetime.timedelta(seconds=3)
#: Delay between rounds of resume requests to the entry VMs of a region.  It
#: is about the interval at which summaries of the region arrive.
RESUME_RETRY_DELAY = datetime.timedelta(milliseconds=300)


class Runner:
    """Executor of requests with the components of the entry role.

    :param components: the ``EntryComponents``.
    """

    def __init__(self, components):
        self.components = components
        self._log = events.EventLog("entry")
        self._detached = set()

    async def run(self, request, sink):
        """Run a request and send its response.

        A non-idempotent request runs to its end even if the caller
        disconnects, so that its outcome reaches the ledger.

        :param request: the ``GatewayRequest``.
        :param sink: sink for the response.
        :raises GatewayError: the request failed; part of the response may
            have been sent.
        """
        if request.idempotent:
            await self._run(request, sink)
            return
        work = asyncio.create_task(self._run_at_most_once(request, sink))
        self._detached.add(work)
        work.add_done_callback(self._detached.discard)
        await asyncio.shield(work)

    async def _run_at_most_once(self, request, sink):
        """Run a non-idempotent request, which may have run before.

        The caller may have sent it before under the same key.
        """
        try:
            await self._run(request, sink)
        except errors.GatewayError as error:
            if error.run_state is not errors.RunState.NOT_RUN:
                raise
            await self._replay_or_raise(request, sink, error)

    async def _replay_or_raise(self, request, sink, error):
        """Replay the response of an earlier request, or raise the error.

        An earlier request under the same key may have run although this one
        did not.  The ledger home knows and is queried first.

        :param request: the ``GatewayRequest``.
        :param sink: sink for the response.
        :param error: reason why this request did not run.
        :raises GatewayError: no earlier request ran, or that is unknown.
        """
        components = self.components
        attempt_id = components.signer.issue(
            components.region,
            components.failure_domain,
            "",
            request.organisation,
            components.rng,
        )
        claimed = await components.idempotency.claim(request, attempt_id)
        if isinstance(claimed, ledger.Granted):
            await components.idempotency.report_outcome(
                request, claimed.attempt_id, errors.RunState.NOT_RUN
            )
            raise error
        completed = components.idempotency.build_replay(request, claimed)
        await _render.send_whole(
            sink, completed.status, completed.headers, completed.body
        )

    async def drain(self):
        """Wait for all running non-idempotent requests to end.

        They continue after their callers have disconnected.
        """
        while self._detached:
            await asyncio.wait(list(self._detached))

    async def _run(self, request, sink):
        stop = self.components.planned_stop
        stop.check(request)
        started_at = self.components.clock.monotonic()
        await self._admit_and_run(request, sink)
        stop.record_duration(request.service, started_at)

    async def _admit_and_run(self, request, sink):
        if request.resumed_attempt:  # The attempt was admitted when it began.
            await _Execution(self.components, request, sink).run()
            return
        execution = _Execution(self.components, request, sink)
        if self.components.has_no_servers(request.service):
            execution.check_servers()
        await self.components.admission_task.admit(
            self._admission_request(request)
        )
        tokens = 0
        try:
            tokens = await execution.run()
        finally:
            self.components.admission_task.on_request_finished(
                request.request_id, tokens
            )

    def _admission_request(self, request):
        published = self.components.configuration.current()
        priority = published.priority(request.organisation)
        now = self.components.clock.monotonic()
        quota = _admission_task.UNLIMITED_QUOTA
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
    """Sequence of attempts for one request."""

    def __init__(self, components, request, sink):
        self.components = components
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
        self.is_suspect = False
        self.progress = _attempt_progress.AttemptProgress(
            components.clock.monotonic()
        )
        self._log = events.EventLog("entry")

    def check_servers(self):
        """Check before admission that some server can run the request.

        Without the check, the request would wait in the admission queue
        until its deadline.

        :raises GatewayError: no backend server can run the request.
        """
        route = self._build_route_request(False, None)
        now = self.components.clock.monotonic()
        chosen = self.components.router.choose(route, now)
        if chosen.is_error():
            raise chosen.error

    async def run(self):
        """Make attempts until one succeeds or the policy gives up.

        :returns: number of generated tokens.
        :raises GatewayError: no attempt succeeded.
        """
        if self.request.resumed_attempt:
            result = await self._resume_for_caller()
        else:
            self.components.retry_policy.record_first_attempt()
            result = await self._make_attempt()
        while not isinstance(result, _attempt.Completed):
            result = await self._handle_failure(result)
        await self._send_response(result)
        return result.tokens

    async def _send_response(self, completed):
        if self.sink.started:
            await self.sink.finish()
            return
        await _render.send_whole(
            self.sink,
            completed.status,
            completed.headers,
            completed.body,
            self.target.attempt_id if self.target else "",
        )

    async def _handle_failure(self, failure):
        now = self.components.clock.monotonic()
        if self.relay is not None:
            self._extend_deadline(self.relay.last_event, now)
        step = self.components.retry_policy.next_step(
            failure, self.context, now
        )
        self._log.write(
            _events.ATTEMPT_FAILED,
            request=self.request.request_id,
            failure=type(failure).__name__,
            server=failure.server_id,
            step=type(step).__name__,
        )
        return await self._execute_step(step)

    def _extend_deadline(self, last_event, now):
        """Extend the deadline if the stream has received new events."""
        if last_event > self.context.last_event:
            timeout = datetime.timedelta(
                milliseconds=self.components.deadline_ms
            )
            deadline = max(self.context.deadline, now + timeout)
            self.context = self.context._replace(deadline=deadline)
        self.context = self.context._replace(last_event=last_event)

    @functools.singledispatchmethod
    async def _execute_step(self, step):
        raise TypeError(f"{type(step).__name__} is not a step")

    @_execute_step.register
    async def _(self, step: retries.Retry):
        await self._report_outcome(errors.RunState.NOT_RUN)
        self.context = step.context
        await self.components.clock.sleep(step.delay)
        return await self._make_attempt()

    @_execute_step.register
    async def _(self, step: retries.Resume):
        self.context = step.context
        await self.components.clock.sleep(step.delay)
        return await self._resume()

    @_execute_step.register
    async def _(self, step: retries.AskOutcome):
        self.context = step.context
        await self.components.clock.sleep(step.delay)
        if self.target is None:
            return retries.OutcomeTold(
                self._target_name(), errors.RunState.UNKNOWN, False
            )
        return await self.components.attempt_client.query_outcome(self.target)

    @_execute_step.register
    async def _(self, step: retries.GiveUp):
        await self._report_outcome(step.error.run_state)
        raise step.error

    async def _report_outcome(self, outcome):
        """Report the end of the current attempt to the ledger home."""
        if self.request.idempotent or self.target is None:
            return
        target, self.target = self.target, None
        await self.components.idempotency.report_outcome(
            self.request, target.attempt_id, outcome
        )

    def _target_name(self):
        if isinstance(self.decision, routing.RouteForward):
            return self.decision.failure_domain
        return self.target.server_id if self.target else ""

    def _check_stop(self):
        """Check whether a planned stop leaves time for another attempt."""
        is_retry = self.context.attempts > 1
        try:
            self.components.planned_stop.check(self.request, is_retry)
        except errors.GatewayError as error:
            raise self._build_refusal(error) from error

    async def _make_attempt(self):
        self._check_stop()
        verdict = self._check_quarantine()
        now = self.components.clock.monotonic()
        self.is_suspect = isinstance(verdict, retries.Suspect)
        preferred = None if self.is_suspect else verdict.running_on
        self.route = self._build_route_request(self.is_suspect, preferred)
        chosen = self.components.router.choose(self.route, now)
        if chosen.is_error():
            raise self._build_refusal(chosen.error)
        self.decision = chosen.ok
        self._log_decision()
        if isinstance(self.decision, routing.RouteForward):
            return await self._forward()
        if self.is_suspect:
            await self._claim_isolated_run()
        return await self._run_locally()

    def _check_quarantine(self):
        try:
            return self.components.crash_monitor.check(self.request)
        except errors.GatewayError as error:
            raise self._build_refusal(error) from error

    async def _claim_isolated_run(self):
        """Wait until a suspect request may run isolated on its server."""
        server_id = self.decision.server_id
        self.components.router.reserve_server(
            server_id, RESERVATION_DURATION, self.components.clock.monotonic()
        )
        try:
            await self.components.crash_monitor.claim(self.request, server_id)
        except errors.GatewayError as error:
            raise self._build_refusal(error) from error

    def _build_refusal(self, error):
        """Return the error to send when no further attempt is made.

        Its run state covers all attempts made so far.
        """
        if error.run_state is not errors.RunState.NOT_RUN:
            return error
        step = self.components.retry_policy.give_up(self.context, error.detail)
        if step.error.run_state is errors.RunState.NOT_RUN:
            return error
        return step.error

    def _build_route_request(self, isolate, preferred):
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
        server_id = getattr(decision, "server_id", None)
        self._log.write(
            _events.ROUTED,
            request=self.request.request_id,
            organisation=self.request.organisation,
            attempt=self.context.attempts,
            server=server_id,
            region=getattr(decision, "region", self.components.region),
            **decision.reasons._asdict(),
        )

    async def _run_locally(self):
        now = self.components.clock.monotonic()
        decision = self.decision
        request = self.request
        components = self.components
        self.record = components.servers.get(decision.server_id)
        attempt_id = components.signer.issue(
            components.region,
            components.failure_domain,
            decision.server_id,
            request.organisation,
            components.rng,
        )
        self.target = _attempt.Target(
            attempt_id, decision.server_id, decision.url
        )
        self._check_prompt_before_attempt()
        if not request.idempotent:
            granted = await self._claim_key()
            if isinstance(granted, ledger.Replay):
                self.target = None
                return components.idempotency.build_replay(request, granted)
        self.progress = _attempt_progress.AttemptProgress(now)
        if request.streamed:
            self.relay = _relay.EventRelay(attempt_id, -1)
        components.router.on_attempt_started(
            decision.server_id,
            attempt_id,
            request.prompt_tokens,
            now,
            cached_share=decision.reasons.cached_share,
            isolated=self.is_suspect,
        )
        return await self._track_attempt(self._send_attempt())

    def _check_prompt_before_attempt(self):
        """Check the prompt again, as time may have passed since routing."""
        try:
            self.components.crash_monitor.start_attempt(self.request)
        except errors.GatewayError as error:
            self.target = None
            raise self._build_refusal(error) from error

    async def _claim_key(self):
        try:
            granted = await self.components.idempotency.claim(
                self.request, self.target.attempt_id
            )
        except errors.GatewayError:
            self.target = None
            raise
        if isinstance(granted, ledger.Granted):
            attempt_id = granted.attempt_id
            self.target = self.target._replace(attempt_id=attempt_id)
        return granted

    def _send_attempt(self):
        priority = self.components.configuration.current().priority(
            self.request.organisation
        )
        return self.components.attempt_client.run(
            self.request,
            self.target,
            priority["rank"],
            self.sink,
            self.relay,
            self._on_head,
            self._on_data,
        )

    def _on_data(self):
        if self.progress.record_data(self.components.clock.monotonic()):
            self.components.crash_monitor.on_answer_continued(self.request)

    def _on_head(self):
        now = self.components.clock.monotonic()
        self.components.router.on_attempt_first_byte(
            self.target.server_id, self.target.attempt_id, now
        )

    async def _track_attempt(self, work):
        """Await an attempt and record its start and its end.

        The router, the crash monitor and the ledger home are informed.
        """
        request, target, components = (
            self.request,
            self.target,
            self.components,
        )
        components.crash_monitor.on_attempt_started(
            request.fingerprint, target.server_id
        )
        result = None
        try:
            result = await work
        except asyncio.CancelledError:
            if not components.planned_stop.is_over:
                components.attempt_client.cancel(target)
            raise
        finally:
            finished = isinstance(result, _attempt.Completed)
            if finished and result.status < MIN_ERROR_STATUS:
                components.crash_monitor.on_answer_continued(request)
            components.crash_monitor.on_attempt_ended(
                request.fingerprint, target.server_id, finished
            )
            if isinstance(result, NOT_RUN_FAILURES):
                components.crash_monitor.release_claim(request.fingerprint)
            components.router.on_attempt_finished(
                target.server_id,
                target.attempt_id,
                _classify_outcome(result),
                components.clock.monotonic(),
            )
        self._report_loss(result)
        if finished and not request.idempotent:
            await components.idempotency.report_outcome(
                request, target.attempt_id, result
            )
        return result

    def _report_loss(self, result):
        if isinstance(result, CONNECTION_FAILURES) and self.record is not None:
            self.components.crash_monitor.on_connection_lost(
                self.record,
                self.request,
                isinstance(result, CLOSED_FAILURES),
                self.progress,
            )
        elif isinstance(
            result, (retries.ConnectRefused, retries.ResumeFailed)
        ):
            self.components.crash_monitor.on_connect_refused(result.server_id)

    async def _resume(self):
        if isinstance(self.decision, routing.RouteForward):
            return await self._resume_forwarded_stream()
        if self.target is None:
            return retries.ResumeFailed(self._target_name())
        return await self._track_attempt(
            self.components.attempt_client.resume(
                self.target,
                self.sink,
                self.relay,
                lambda: None,
                self._on_data,
            )
        )

    async def _resume_for_caller(self):
        attempt_id = self.request.resumed_attempt
        target = self.components.find_target(
            attempt_id, self.request.organisation
        )
        if target is None:
            return await self._forward_resume_request(attempt_id)
        self.target = target
        self.record = self.components.servers.get(target.server_id)
        self.relay = _relay.EventRelay(attempt_id, self.request.resume_after)
        return await self._resume()

    async def _forward(self):
        decision = self.decision
        entries = decision.entries
        now = self.components.clock.monotonic()
        forward_id = f"{self.request.request_id}/{self.context.attempts}"
        router = self.components.router
        router.on_forward_started(decision, forward_id, self.route, now)
        result = None
        try:
            result = await self._forward_to(forward_id, self.request, entries)
        finally:
            router.on_forward_finished(
                decision,
                forward_id,
                self.route,
                _classify_outcome(result),
                self.components.clock.monotonic(),
            )
        return result

    async def _forward_to(self, forward_id, request, entries):
        try:
            return await self.components.forwarding.forward(
                forward_id,
                request,
                entries,
                self._target_name(),
                self.sink,
                self._on_relay,
            )
        except _forwarding.ForwardFailed as failed:
            if _forwarding.is_retryable(failed.error):
                wait_ms = failed.error.retry_after_ms
                return retries.SaidNotRun(failed.target, wait_ms)
            raise self._build_refusal(failed.error) from failed

    def _on_relay(self, relay):
        self.relay = relay
        if isinstance(self.decision, routing.RouteForward):
            forward_id = f"{self.request.request_id}/{self.context.attempts}"
            self.components.router.on_forward_first_byte(
                self.decision,
                forward_id,
                self.route,
                self.components.clock.monotonic(),
            )

    async def _resume_forwarded_stream(self):
        """Resume a forwarded stream through the next entry VM in turn."""
        if self.relay is None:
            return retries.ResumeFailed(self._target_name())
        request = self.request._replace(
            resumed_attempt=self.relay.attempt_id,
            resume_after=self.relay.last_event,
            deadline=self.context.deadline,
        )
        count = self.context.resumes
        forward_id = f"{request.request_id}/{self.context.attempts}.{count}"
        entries = self.decision.entries
        rotated = entries[count % len(entries) :] + entries
        return await self._forward_to(forward_id, request, rotated)

    async def _forward_resume_request(self, attempt_id):
        verified = self.components.signer.verify(
            attempt_id, self.request.organisation
        )
        if verified.is_error():
            raise verified.error
        region = verified.ok.region
        if region not in self.request.allowed_regions:
            raise _errors.AttemptLostError(
                f"resuming in region {region} is not allowed"
            )
        if self.request.origin_region is not None:
            raise _errors.AttemptLostError(attempt_id)
        return await self._resume_in_region(region, attempt_id)

    async def _resume_in_region(self, region, attempt_id):
        """Resume an attempt through any entry VM of its region.

        A region's summary may list only an entry VM that had just started
        and has crashed since.  The other entry VMs appear in the next
        summaries, so resuming is retried until the request's deadline.
        """
        resume_count = 0
        while self.components.clock.monotonic() < self.context.deadline:
            for record in self.components.members.entries_of(region):
                forward_id = f"{self.request.request_id}/r{resume_count}"
                resume_count += 1
                result = await self._forward_to(
                    forward_id, self._build_resume_request(), [record.node_id]
                )
                if isinstance(result, _attempt.Completed):
                    return result
            await self.components.clock.sleep(RESUME_RETRY_DELAY)
        raise _errors.RegionSilentError(f"{attempt_id} in {region}")

    def _build_resume_request(self):
        """Return the request to resume after the last event sent."""
        if self.relay is None:
            return self.request
        return self.request._replace(resume_after=self.relay.last_event)


def _classify_outcome(result):
    if isinstance(result, _attempt.Completed):
        return routing.AttemptOutcome.OK
    if isinstance(result, retries.SaidNotRun):
        return routing.AttemptOutcome.BUSY
    if result is None:
        return routing.AttemptOutcome.CANCELLED
    return routing.AttemptOutcome.FAILED
