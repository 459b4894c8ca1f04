"""Proxying of requests from clients to servers and other regions."""

import asyncio
import datetime
import http
import math
from typing import NamedTuple

from buckthorntack import clock as clocks
from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack import errors
from buckthorntack import events
from buckthorntack import http1
from buckthorntack import quarantine
from buckthorntack import resumption
from buckthorntack import shutdown
from buckthorntack.directives import RequestKind
from buckthorntack.dispatch import Outcome
from buckthorntack.gateway import _attempt
from buckthorntack.gateway import _authorisation
from buckthorntack.gateway import _event_stream
from buckthorntack.gateway import _events
from buckthorntack.gateway import _hedged_attempts
from buckthorntack.gateway import _memory
from buckthorntack.gateway import _patience
from buckthorntack.gateway import _results
from buckthorntack.gateway import _server_calls
from buckthorntack.gateway import _server_notes
from buckthorntack.gateway import _shared_state
from buckthorntack.gateway import _stream_origin
from buckthorntack.gateway import _subject_watch

#: Prefix of the headers between entry VMs, which are removed from requests of
#: clients and responses of servers.
INTERNAL_HEADER_PREFIX = b"x-gateway-"
#: Header with the run state of a request, in responses between entry VMs.
RUN_STATE_HEADER = b"x-gateway-run-state"
#: Header with the number of servers that the request was sent to so far, by
#: all entry VMs.
SEND_COUNT_HEADER = b"x-gateway-sends"
#: Header with the version of the sender's configuration.
VERSION_HEADER = b"x-gateway-configuration"
#: Header with the fingerprint of the route by that configuration.
ROUTE_HEADER = b"x-gateway-route"
#: Digits of such a number; a longer one is not read.
MAX_COUNT_DIGITS = 18
#: Responses with a body up to this size are buffered, so that the request can
#: be retried if one breaks off; larger ones are passed on as they arrive.
MAX_BUFFERED_BODY_BYTES = 262_144
#: Body bytes of a refusal that are read so that its connection can be reused.
MAX_REFUSAL_BODY_BYTES = 65_536
#: Longest time to read the body of a refusal.
REFUSAL_BODY_TIMEOUT_S = 1.5
#: Maximum number of failed connects for a request; a failed connect sends
#: nothing.
MAX_CONNECT_FAILURES = 3
#: Maximum number of entry VMs of the own region that a request is forwarded
#: to, as no server is reachable here; the first may be cut off as well.
MAX_HOPS = 2
#: Time without a response after which an idempotent request is retried, as a
#: multiple of the expected time.
FIRST_BYTE_TIMEOUT_FACTOR = 3.0
#: Minimum time without a response before an idempotent request is retried,
#: unless its server is found to be unreachable.
MIN_FIRST_BYTE_TIMEOUT_S = 2.0
#: Time without data in a stream after which another server continues it, as a
#: share of the time after which callers abandon it, and its bounds.
STREAM_IDLE_SHARE = 0.7
MIN_STREAM_IDLE_TIMEOUT_S = 1.6
MAX_STREAM_IDLE_TIMEOUT_S = 2.2
#: Share of the same time after which a stream returns to its silent server on
#: a new connection if no other may go on, as its connection may be dead.
STREAM_RETURN_SHARE = 0.85
#: Time reserved before the deadline of a request for the response to reach the
#: client.
DEADLINE_MARGIN_S = 0.02
#: Time for which the choice stands for which a silent server was left.
REPLACEMENT_VALIDITY = datetime.timedelta(milliseconds=50)
#: Time after which a silent server is left for one that has the request and
#: has not refused it; two must not work on it for longer.
MAX_OVERLAP_S = 0.25
#: Retry-After of refused requests without an estimate, such as those before
#: the first configuration.
DEFAULT_RETRY_AFTER_MS = 500.0
#: Retry-After of requests that a planned stop leaves no time for; other entry
#: VMs serve them at once.
STOP_RETRY_AFTER_MS = 50.0
#: Reason of their refusals.
STOP_REASON = "the entry VM stops"
#: Time after the start of an entry VM during which requests wait for the first
#: configuration and for servers, which announce themselves every 1.2 s.
STARTUP_PERIOD_S = 4.0
#: Longest wait of a request during startup, as a share of its remaining time.
STARTUP_WAIT_SHARE = 0.25
#: Longest wait of a request during startup.
MAX_STARTUP_WAIT_S = 1.2
#: Longest wait of a forwarded request for the configuration of its sender; a
#: few one-way delays between regions.
MAX_VERSION_WAIT_S = 0.3
#: Retry-After of a forwarded request whose sender waits for the configuration.
VERSION_RETRY_AFTER_MS = 100.0


class RequestHandler:
    """Handles all requests of an entry VM.

    :param shared_state: the ``SharedState``.
    :param clock: source of time.
    :param metrics: the ``EntryMetrics``.
    :param on_quarantine_changed: called without arguments when the quarantine
        has records for other entry VMs.
    :param origins: the ``OriginTask``.
    :param incarnations: the ``IncarnationTask``.
    :param reachability: the ``ReachabilityTask``.
    """

    def __init__(
        self,
        shared_state,
        clock,
        metrics,
        on_quarantine_changed,
        origins,
        incarnations,
        reachability,
    ):
        self.shared_state = shared_state
        self.clock = clock
        self.metrics = metrics
        self.on_quarantine_changed = on_quarantine_changed
        self.origins = origins
        self.incarnations = incarnations
        self.reachability = reachability
        self.log = events.EventLog("gateway")
        #: The ``shutdown.StopWindow``; None while no stop is planned.
        self.stop_window = None
        self.durations = shutdown.RecentDurations()
        self._in_progress = set()

    def begin_stop(self, window):
        """Respond to all requests before a planned stop ends.

        :param window: the ``shutdown.StopWindow``.
        """
        self.stop_window = window
        for proxied_request in self._in_progress:
            proxied_request.update_deadline()

    async def handle(self, request, reply):
        """Handle a request of a client.

        :param request: ``http1.Request``.
        :param reply: ``http1.ResponseWriter``.
        """
        await self._handle(request, reply, False)

    async def handle_forwarded(self, request, reply):
        """Handle a request that another entry VM forwards.

        :param request: ``http1.Request``.
        :param reply: ``http1.ResponseWriter``.
        """
        await self._handle(request, reply, True)

    async def _handle(self, request, reply, is_forwarded):
        forwarding_headers = request.headers if is_forwarded else []
        request = request._replace(
            headers=_strip_internal_headers(request.headers)
        )
        proxied_request = _ProxiedRequest(
            self, request, reply, is_forwarded, forwarding_headers
        )
        self._in_progress.add(proxied_request)
        try:
            await proxied_request.run()
        finally:
            self._in_progress.discard(proxied_request)


class _Choice(NamedTuple):
    """Where a request goes."""

    #: The ``RoutingRequest``.
    request: object
    decision: object
    #: Monotonic time.
    at: datetime.timedelta


class _ProxiedRequest:
    """One request, from its routing to its final response."""

    def __init__(
        self, handler, request, reply, is_forwarded, forwarding_headers
    ):
        self.handler = handler
        self.shared_state = handler.shared_state
        self.dialect = handler.shared_state.dialect
        self.request = request
        self.reply = reply
        self.is_forwarded = is_forwarded
        self.forwarding_headers = forwarding_headers
        self.metadata = None
        self.route = None
        #: Who sent it; None if callers need no keys.
        self.caller = None
        #: What its organisation was charged here; None for nothing.
        self.charge = None
        #: Whether the client was told that it did not run.
        self.is_refused = False
        self.service = None
        #: The ``SubjectWatch`` of the request.
        self.watch = None
        #: When its own time or that of its route is over; 0 until its route
        #: is known.
        self._full_deadline_s = 0.0
        #: The same, or the end of a planned stop.
        self.deadline_s = 0.0
        #: ``asyncio.Timeout`` of its attempts.
        self._timeout = None
        self.excluded_ids = set()
        #: Service whose budget was charged for a retry that is not made yet;
        #: empty for none.
        self._reserved_retry = ""
        self.send_count = _parse_count(
            forwarding_headers, SEND_COUNT_HEADER, 0
        )
        self.connect_failures = 0
        self.may_have_run = False
        self.error_response = None
        self.stream = None
        #: Where the stream began; None before its first event, or if that is
        #: not known.
        self.origin = _stream_origin.read_headers(forwarding_headers)
        #: Whether a control VM, which refuses old records, knows it.
        self.is_origin_kept = self.origin is not None
        #: Server and incarnation that began it, if that was here.
        self.began_at = ()
        #: When the caller got the last event, or the request came.
        self.progress_s = request.received_s
        self.retry_after_ms = None
        #: Entry VM that the request was last forwarded to; empty for none.
        self.forwarded_to = ""
        #: Number of entry VMs of this region that it was forwarded to.
        self.hops = 0
        self.reason = ""
        self.first_byte_s = 0.0
        self.longest_gap_s = 0.0
        #: What became of a second copy; empty if none was considered.
        self.hedge = ""
        #: The ``_Choice`` for which a silent server was left; None for none.
        self.replacement = None
        #: The last attempt.
        self.attempt = _attempt.Attempt()
        #: Attempt at a silent server, and its connection, that another one
        #: shall replace; None for none.
        self._silent = None
        self._overlap_timer = None

    async def run(self):
        """Process the request up to its final response."""
        outcome = "client_left"
        try:
            await self._proxy()
            outcome = "answered" if self.reply.ended else "cut"
            self._record_duration()
        finally:
            self._refund_quota()
            self._return_retry()
            self._log_end(outcome)

    async def _proxy(self):
        read = self.dialect.parse_request(self.request)
        if read.is_error():
            self._send_local_response(
                400, read.error.detail, errors.RunState.NOT_RUN
            )
            return
        self.metadata = read.ok
        await self._wait_for_configuration()
        if not await self._has_route_of_sender():
            return
        if not self._find_route() or not self._authorise():
            return
        if not self.is_forwarded and not self._charge_quota():
            return
        self._set_deadline()
        try:
            async with asyncio.timeout_at(self.deadline_s) as self._timeout:
                await self._serve()
        except TimeoutError:
            self._timeout = None
            self._on_timeout()

    async def _serve(self):
        """Find the service of an authorised request and send it there."""
        if not self._may_begin_attempt():
            self._refuse_for_stop()
            return
        if self._is_resumption() and not await self._find_origin():
            return
        self.service = self._choose_service()
        if self.service is None:
            self._send_refusal(
                "its service has left the route; send the request again"
                " without Last-Event-Id",
                None,
            )
            return
        self.watch = _subject_watch.SubjectWatch(
            self.handler, self.request, self.metadata
        )
        if self._is_quarantined():
            return
        if not self.is_forwarded:
            self.shared_state.budgets.record_request(self.service.name)
            self.shared_state.hedging.record_request(self.service.name)
        await self._retry_until_completed()

    def _refuse_for_stop(self):
        """Send the final failure of a request that has no time left."""
        self.handler.metrics.record_stop_refusal()
        self._send_final_failure(STOP_REASON, STOP_RETRY_AFTER_MS)

    def _record_duration(self):
        """Record how long a request took that a server responded to."""
        if not (self.reply.ended and self.send_count):
            return
        if self.reply.status >= http.HTTPStatus.BAD_REQUEST:
            return
        now = self.handler.clock.monotonic()
        received_at = datetime.timedelta(seconds=self.request.received_s)
        self.handler.durations.record(self.route.name, now - received_at, now)

    async def _wait_for_configuration(self):
        timeout_s = (self.metadata.timeout_ms or 0.0) / 1e3
        wait_until_s = self._now_s() + self._startup_wait_s(timeout_s)
        while self.shared_state.table is None and self._now_s() < wait_until_s:
            await self.shared_state.wait_for_change(
                wait_until_s - self._now_s()
            )

    async def _has_route_of_sender(self):
        """Wait for the route that the request was forwarded by.

        Another configuration may have other services or regions for it.  By
        an older one it would go where callers have seen the newer one in
        force; by a newer one they would see it through a sender that then
        goes on with its own.

        :returns: whether it is here; if not, the request is refused.
        """
        headers = self.forwarding_headers
        version = _parse_count(headers, VERSION_HEADER, None)
        if version is None:
            return True
        expected = http1.find_header(headers, ROUTE_HEADER)
        if self._fingerprint_route() == expected:
            return True
        await self._wait_for_version(version)
        if self._fingerprint_route() == expected:
            return True
        if self.shared_state.version < version:
            self._send_refusal(
                "older configuration here", DEFAULT_RETRY_AFTER_MS
            )
        else:
            self._send_refusal("another route here", VERSION_RETRY_AFTER_MS)
        return False

    def _fingerprint_route(self):
        """Return the fingerprint of the route by the active configuration."""
        table = self.shared_state.table
        if table is None:
            return b""
        route = table.find_route(self.metadata.host, self.metadata.path)
        return directives.fingerprint_route(route).encode()

    async def _wait_for_version(self, version):
        wait_until_s = self._now_s() + MAX_VERSION_WAIT_S
        while self.shared_state.version < version:
            remaining_s = wait_until_s - self._now_s()
            if remaining_s <= 0:
                return
            await self.shared_state.wait_for_change(remaining_s)

    def _startup_wait_s(self, remaining_s):
        """Longest wait for state that an entry VM lacks after its start."""
        started_s = self.shared_state.started_at.total_seconds()
        if self._now_s() - started_s > STARTUP_PERIOD_S:
            return 0.0
        return min(remaining_s * STARTUP_WAIT_SHARE, MAX_STARTUP_WAIT_S)

    def _find_route(self):
        table = self.shared_state.table
        if table is None:
            self._send_refusal("no configuration yet", DEFAULT_RETRY_AFTER_MS)
            return False
        self.route = table.find_route(self.metadata.host, self.metadata.path)
        if self.route is not None:
            return True
        if self.is_forwarded:
            # The sender has a newer or older configuration.
            self._send_refusal("no route here", DEFAULT_RETRY_AFTER_MS)
        else:
            self._send_local_response(404, "no route", errors.RunState.NOT_RUN)
        return False

    def _authorise(self):
        """Find the caller; refuse the request if its key is not known.

        :returns: whether the request may go on.
        """
        table = self.shared_state.table
        result = _authorisation.find_forwarded_caller(
            table, self.route, self.forwarding_headers
        )
        if result is None:
            result = _authorisation.authorise(
                table, self.route, self.metadata.api_key
            )
        if result.is_error():
            self._refuse_caller(result.error)
            return False
        self.caller = result.ok
        self.reply.assign_owner(_memory.get_owner(self.caller))
        return self._narrow_route()

    def _charge_quota(self):
        """Charge the organisation's quota; refuse the request beyond it.

        :returns: whether the request may go on.
        """
        result = self.shared_state.quota_charger.charge(
            self.caller, self.metadata.prompt, self._now_s()
        )
        if result.is_ok():
            self.charge = result.ok
            self.handler.metrics.record_quota("admitted", self.charge)
            return True
        error = result.error
        self.handler.metrics.record_quota("refused", error.charge)
        self.handler.log.write(
            _events.QUOTA_REFUSED,
            request=self._request_id_text(),
            organisation=error.charge.organisation,
            amount=error.charge.amount,
            retry_after_ms=round(error.retry_after_ms),
        )
        self._send_local_response(
            error.status, error.detail, error.run_state, error.retry_after_ms
        )
        return False

    def _refund_quota(self):
        """Give the charge back unless a server may have run the request."""
        charge, self.charge = self.charge, None
        if charge is None or (self.send_count and not self.is_refused):
            return
        self.shared_state.quota_charger.refund(charge, self._now_s())
        self.handler.metrics.record_quota("refunded", charge)

    def _refuse_caller(self, error):
        if self.is_forwarded:
            # The sender has a newer or older configuration.
            self._send_refusal(error.detail, DEFAULT_RETRY_AFTER_MS)
            return
        self.handler.metrics.record_unknown_key()
        self._send_local_response(
            error.status, error.detail, errors.RunState.NOT_RUN
        )

    def _is_resumption(self):
        """Whether the request asks for the rest of a stream."""
        return (
            self.route.kind is RequestKind.STREAM
            and self.metadata.last_event_id is not None
        )

    async def _find_origin(self):
        """Find where the stream began; refuse the request if nobody knows.

        :returns: whether it is known.
        """
        if self.origin is None and not self.is_forwarded:
            self.origin = await self.handler.origins.find(
                self.metadata.resumed_request_id
            )
        if self.origin is None:
            self._send_refusal(
                "the software version that began the stream is not known; send"
                " the request again without Last-Event-Id",
                DEFAULT_RETRY_AFTER_MS,
            )
        self.is_origin_kept = self.origin is not None
        return self.is_origin_kept

    async def _confirm_origin(self):
        """Whether a stream that began here may go on by its origin."""
        if self.origin is None or self.is_origin_kept:
            return True
        kept = await self.handler.origins.find(self.metadata.request_id)
        self.is_origin_kept = kept == self.origin
        return self.is_origin_kept

    def _choose_service(self):
        splits = self.route.splits
        services = self.shared_state.table.configuration.services
        if self.origin is not None:
            return _stream_origin.find_service(
                self.route, services, self.origin
            )
        if len(splits) == 1:
            return services[splits[0].service]
        weights = [split.weight for split in splits]
        chosen = self.shared_state.rng.choices(splits, weights)[0]
        return services[chosen.service]

    def _set_deadline(self):
        timeout_s = self.route.timeout.total_seconds()
        if self.metadata.timeout_ms is not None:
            timeout_s = min(timeout_s, self.metadata.timeout_ms / 1e3)
        self._full_deadline_s = (
            self.request.received_s + timeout_s - DEADLINE_MARGIN_S
        )
        self.update_deadline()

    def update_deadline(self):
        """Move the deadline to what its time and a planned stop leave.

        A response that has begun may go on until its connection is closed.
        """
        self.deadline_s = self._full_deadline_s
        window = self.handler.stop_window
        if window is not None and not self.reply.started:
            answers_until_s = window.answers_until.total_seconds()
            self.deadline_s = min(self.deadline_s, answers_until_s)
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(self.deadline_s)

    def _may_begin_attempt(self):
        """Whether a planned stop leaves time for another attempt."""
        window = self.handler.stop_window
        if window is None or self.reply.started:
            return True
        now = self.handler.clock.monotonic()
        work = shutdown.Work(
            datetime.timedelta(seconds=self._full_deadline_s),
            self.handler.durations.longest(self.route.name, now),
            self.route.is_idempotent,
            is_forwarded=self.is_forwarded,
            is_retry=self.send_count > 0,
        )
        return shutdown.may_begin(window, now, work)

    def _now_s(self):
        return self.handler.clock.monotonic().total_seconds()

    def _remaining_s(self):
        return self.deadline_s - self._now_s()

    async def _wait_for_servers(self):
        wait_until_s = self._now_s() + self._startup_wait_s(
            self._remaining_s()
        )
        while self._now_s() < wait_until_s:
            if self._are_servers_known():
                return
            await self.shared_state.wait_for_change(
                wait_until_s - self._now_s()
            )

    def _are_servers_known(self):
        """Whether there are servers, and the state of most is known.

        The first that is known would get all requests that waited.  Those of
        this region come first, as long as there are any.  Where no server is
        cold after its start, it does not matter which start it is.
        """
        shared_state = self.shared_state
        ready = [
            view.record
            for view in shared_state.list_servers(self.service.name)
            if view.record.state == "ready"
        ]
        if self.service.warmup_per_s <= 0:
            return bool(ready)
        region = shared_state.settings.region
        local = [record for record in ready if record.region == region]
        restarts, now_s = shared_state.fleet.restarts, self._now_s()
        unknown = [
            record
            for record in local or ready
            if restarts.is_unknown(record.server_id, now_s)
        ]
        return bool(ready) and 2 * len(unknown) <= len(local or ready)

    async def _retry_until_completed(self):
        await self._wait_for_servers()
        while True:
            if self._remaining_s() <= 0:
                # A delayed timer must not let an expired request be sent.
                raise TimeoutError
            if self._is_quarantined() or not self._narrow_route():
                return
            if not self._may_begin_attempt():
                self._refuse_for_stop()
                return
            if not await self._confirm_origin():
                self._send_final_failure(
                    "no control VM confirms which software version began it",
                    None,
                )
                return
            routing_request, decision, now = self._choose()
            if isinstance(decision, dispatch.Refuse):
                if self._waits_for_version(decision):
                    await self.handler.clock.sleep(_stream_origin.RETRY_DELAY)
                    continue
                self.log_decision(decision)
                self.handler.metrics.record_refusal(decision)
                self._send_final_failure(
                    decision.reason, decision.retry_after_ms
                )
                return
            self.log_decision(decision)
            send_count_before = self.send_count
            self.attempt = _attempt.Attempt()
            if isinstance(decision, dispatch.Serve):
                result = await self._send_to_server(
                    routing_request, decision, now
                )
            else:
                result = await self._forward_to_region(decision)
            if isinstance(result, _results.Completed):
                return
            self._log_failure(self.attempt, result)
            if not self._should_retry(result, send_count_before):
                self._send_final_failure(self.reason, self.retry_after_ms)
                return

    def _choose(self):
        """Return the ``_Choice`` of the next attempt."""
        now = self.handler.clock.monotonic()
        choice, self.replacement = self.replacement, None
        if choice is not None and self._is_valid(choice, now):
            return choice
        request = self._build_routing_request()
        servers = self.shared_state.list_servers(self.service.name)
        decision = self.shared_state.dispatcher.choose(request, servers, now)
        return _Choice(request, decision, now)

    def _is_valid(self, choice, now):
        """Whether nothing is known to have changed since a choice."""
        if now - choice.at > REPLACEMENT_VALIDITY:
            return False
        if isinstance(choice.decision, dispatch.Forward):
            return True
        server_id = choice.decision.server_id
        return (
            server_id in self.shared_state.registry.servers
            and server_id not in self.excluded_ids
        )

    def _waits_for_version(self, refusal):
        """Whether a stream waits for a busy server of its software version.

        No other server can continue it, and its caller waits as well.  The
        entry VM that it was forwarded by may know of a better one.
        """
        if self.origin is None or self.is_forwarded or not refusal.may_wait:
            return False
        waited_s = self._now_s() - self.progress_s
        return waited_s < _stream_origin.compute_patience_s(self.route)

    def _narrow_route(self):
        """Keep to the regions of the newest configuration.

        :returns: False if no region is left and the request has failed.
        """
        route = self._find_narrowed_route()
        if route is None:
            self._send_final_failure("no region may serve it", None)
            return False
        self.route = route
        return True

    def _find_narrowed_route(self):
        """Return the route with the regions of the newest configuration.

        :returns: the route; None if no region is left.
        """
        table = self.shared_state.table
        route = table.narrow_route(self.route)
        if route is None or self.caller is None:
            return route
        # The regions of an organisation that was removed since stay.
        organisation = self.caller.organisation
        if organisation is not None:
            organisation = (
                table.find_organisation(organisation.name) or organisation
            )
        return directives.restrict_to_organisation(route, organisation)

    def _build_routing_request(self):
        prompt = self.metadata.prompt if self.service.engine else None
        can_continue = not self.reply.started or self.stream is not None
        can_forward = not self.is_forwarded and can_continue
        origin = self.origin
        return dispatch.RoutingRequest(
            self.route,
            self.service,
            prompt,
            self._list_tried_ids(),
            self._remaining_s() * 1e3,
            can_forward,
            can_forward and self._can_hop(),
            None if origin is None else origin.software_version,
            None if self.caller is None else self.caller.organisation,
        )

    def _can_hop(self):
        """Whether another entry VM of this region may get the request."""
        shared_state = self.shared_state
        has_suspects = shared_state.dispatcher.reachability.has_suspects
        if not has_suspects or self.hops >= MAX_HOPS:
            return False
        return bool(self._list_targets(shared_state.settings.region))

    def _list_targets(self, region):
        """List the entry VMs of a region that may get the request."""
        return [
            record
            for record in self.shared_state.list_forward_targets(
                region, self.service.name
            )
            if record.node_id not in self.excluded_ids
        ]

    def _list_tried_ids(self):
        """List the servers that shall not get the request again.

        A stream may return to one if there is no other of its version.
        """
        tried = frozenset(self.excluded_ids)
        if self.origin is None or self.is_forwarded:
            return tried
        servers = self.shared_state.list_servers(self.service.name)
        is_any_left = any(
            view.record.server_id not in tried
            for view in servers
            if view.record.state == "ready"
            and view.record.software_version == self.origin.software_version
        )
        return tried if is_any_left else frozenset()

    def _should_retry(self, result, send_count_before):
        """Record a failed attempt; return whether to make another."""
        self._record_result(result)
        if isinstance(result, _results.NotSent):
            return self.connect_failures <= MAX_CONNECT_FAILURES
        if isinstance(result, _results.OutOfDate):
            return False
        if self.may_have_run and not self.route.is_idempotent:
            return False
        if not self._can_continue():
            return False
        if (
            isinstance(result, _results.NotRun)
            and self.send_count == send_count_before
        ):
            # No server got the request, so the next send is not a retry.
            return self.send_count < self.route.max_attempts
        return self.take_retry_budget()

    def _may_return(self):
        """Whether a stream may go on at the server that is silent.

        Its caller leaves soon, and would lose what the server sends later.
        """
        if self.origin is None:
            return False
        waited_s = self._now_s() - self.progress_s
        patience_s = _stream_origin.compute_patience_s(self.route)
        return waited_s >= patience_s * STREAM_RETURN_SHARE

    def _can_continue(self):
        """Whether another response can continue the body that was sent."""
        if not self.reply.started:
            return True
        return self.stream is not None and self.origin is not None

    def _record_result(self, result):
        """Record what an attempt that failed says of the request."""
        if isinstance(result, _results.Failed):
            self.error_response = result
            self.may_have_run = True
            return
        self.reason = result.reason
        if isinstance(result, _results.NotSent):
            self.connect_failures += 1
        elif isinstance(result, _results.Unknown):
            self.may_have_run = True
        elif isinstance(result, _results.NotRun):
            self.retry_after_ms = result.retry_after_ms

    def record_other_result(self, attempt, result):
        """Record a failed attempt while another one goes on.

        :param attempt: the ``Attempt``.
        :param result: its result.
        """
        self._log_failure(attempt, result)
        self._record_result(result)

    def take_retry_budget(self):
        """Take a retry from the budget; return whether it is granted."""
        if self.send_count >= self.route.max_attempts:
            return False
        reserved, self._reserved_retry = self._reserved_retry, ""
        return bool(reserved) or self._charge_retry()

    def _charge_retry(self):
        now_s = self._now_s()
        return self.shared_state.budgets.take_retry(self.service.name, now_s)

    def _has_retry(self):
        """Whether a retry is reserved, or left in the budget."""
        return bool(
            self._reserved_retry
        ) or self.shared_state.budgets.has_retry(
            self.service.name, self._now_s()
        )

    def _reserve_retry(self):
        """Charge the budget for a retry that others shall not take.

        :returns: whether one is reserved.
        """
        if not self._reserved_retry and self._charge_retry():
            self._reserved_retry = self.service.name
        return bool(self._reserved_retry)

    def _return_retry(self):
        """Give a reserved retry back that was not made."""
        if self._reserved_retry:
            self.shared_state.budgets.refund_retry(self._reserved_retry)
            self._reserved_retry = ""

    def can_retry(self):
        """Whether the request may be retried, regardless of the budget."""
        return (
            self.route.is_idempotent
            and self.send_count < self.route.max_attempts
        )

    async def _can_leave_server(self):
        """Whether another attempt would be made at a server now."""
        if not self._find_replacement():
            return False
        if self.origin is not None and not (
            # The first choice may be out of date after the wait.
            await self._confirm_replacement() and self._find_replacement()
        ):
            return False
        return self._reserve_retry()

    async def _confirm_replacement(self):
        """Whether control VMs confirm that a stream may go on elsewhere."""
        if not await self._confirm_origin():
            return False
        decision = self.replacement.decision
        if isinstance(decision, dispatch.Forward):
            return True
        view = self.shared_state.registry.servers.get(decision.server_id)
        if view is None:
            return False
        return await self._doubt_version(view.record) is None

    def _find_replacement(self):
        """Choose the next attempt as if the present one had failed."""
        if not self._can_continue():
            return False
        shared_state = self.shared_state
        now = self.handler.clock.monotonic()
        if not self.can_retry() or not self._has_retry():
            return False
        if not self._may_begin_attempt():
            return False
        if not isinstance(self.watch.check(True), quarantine.Admitted):
            return False
        route = self._find_narrowed_route()
        if route is None:
            return False
        self.route = route
        request = self._build_routing_request()
        if not self._may_return():
            request = request._replace(
                tried_server_ids=frozenset(self.excluded_ids)
            )
        decision = shared_state.dispatcher.choose_replacement(
            request, shared_state.list_servers(self.service.name), now
        )
        if isinstance(decision, dispatch.Refuse) or (
            isinstance(decision, dispatch.Forward)
            and not self._list_targets(decision.region)
        ):
            return False
        # Another choice may refuse the request, as some are made at random.
        self.replacement = _Choice(request, decision, now)
        return True

    async def _send_to_server(self, routing_request, decision, now):
        """Send the request to a server and relay its response."""
        attempt = self.attempt
        self.begin_attempt(attempt, routing_request, decision, now)
        hedge = _hedged_attempts.make(self, routing_request, decision)
        if hedge is not None:
            return await hedge.run()
        try:
            start = await self.start_answer(attempt, decision)
            return await self.relay_answer(attempt, start)
        finally:
            self.end_attempt(attempt)

    def begin_attempt(self, attempt, routing_request, decision, now):
        """Count an attempt that is about to be made at a server.

        :param attempt: its ``Attempt``, to be given to :meth:`end_attempt`.
        :param routing_request: the ``RoutingRequest``.
        :param decision: the ``Serve``.
        :param now: monotonic time of the decision.
        """
        server_id = decision.server_id
        shared_state = self.shared_state
        view = shared_state.registry.servers[server_id]
        self.excluded_ids.add(server_id)
        attempt.destination = server_id
        attempt.server = view.record
        attempt.routing_request = routing_request
        attempt.was_cold = shared_state.dispatcher.is_cold(view, now)
        shared_state.dispatcher.on_request_sent(routing_request, view, now)
        attempt.in_flight = shared_state.dispatcher.create_in_flight_request(
            routing_request, decision, now, view.record.born_ms
        )
        shared_state.fleet.on_request_sent(
            attempt.in_flight, routing_request.prompt
        )
        shared_state.hedging.on_request_sent(
            self.service.name, attempt.in_flight
        )
        shared_state.exchange.on_request_sent(attempt.in_flight)
        shared_state.wake_if_urgent()

    def end_attempt(self, attempt):
        """Stop counting an attempt and give its connection back.

        :param attempt: the ``Attempt``; it may have ended already.
        """
        if attempt.has_ended:
            return
        attempt.has_ended = True
        now_s = self._now_s()
        in_flight = attempt.in_flight
        shared_state = self.shared_state
        shared_state.hedging.on_request_ended(
            self.service.name, in_flight, now_s
        )
        shared_state.fleet.on_request_ended(in_flight, attempt.outcome, now_s)
        if attempt.connection is not None:
            shared_state.pool.release(in_flight.server_id, attempt.connection)

    async def start_answer(self, attempt, decision):
        """Send the request to a server and wait for its answer's start.

        :param attempt: the ``Attempt``, which has begun.
        :param decision: its ``Serve``.
        :returns: ``Started``, or the result of the attempt that failed.
        """
        server_id = decision.server_id
        try:
            attempt.connection = await self.shared_state.acquire_connection(
                server_id, attempt.server.address, self.metadata.request_id
            )
            if self.origin is not None:
                doubt = await self._doubt_version(
                    attempt.server
                ) or await self._doubt_start(
                    attempt.server, attempt.connection
                )
                if doubt is not None:
                    return doubt
            state = self.shared_state.fleet.state(server_id)
            if state.is_paused(self._now_s()):
                # Another request was refused while this one connected.
                return _results.NotSent(f"{server_id} is paused")
            if not self._may_still_send(attempt):
                return _results.NotSent(f"{server_id} counts as cold")
            if not self.watch.start_attempt(
                attempt, attempt.server, self.send_count > 0
            ):
                return _results.NotSent("a subject was refused meanwhile")
            self.send_count += 1
            self._hold_for_caller(attempt.connection)
            attempt.connection.send(
                self._encode_server_request(decision),
                self.metadata.request_id,
                self.request.method == b"HEAD",
            )
            self._limit_overlap()
            attempt.origin = resumption.StreamOrigin(
                self.service.name, attempt.server.software_version
            )
            attempt.began_at = tuple(attempt.incarnation)
            start = await self._await_start(
                attempt, attempt.connection, decision.expected_ms
            )
        except http1.ConnectError as error:
            attempt.outcome = Outcome.UNREACHABLE
            return _results.NotSent(error.detail)
        except http1.IncompleteResponseError as error:
            return await self._on_connection_lost(attempt, error)
        if not isinstance(start, _results.Started):
            attempt.outcome = _results.classify_outcome(
                start, self.reply.status
            )
        return start

    def _may_still_send(self, attempt):
        """Whether the server may get the request after the wait for it.

        It may have started again meanwhile.
        """
        shared_state = self.shared_state
        view = shared_state.registry.servers.get(attempt.destination)
        return view is None or shared_state.dispatcher.may_still_send(
            attempt.routing_request,
            view,
            attempt.was_cold,
            self.handler.clock.monotonic(),
        )

    async def _doubt_version(self, server):
        """Check the software version of a server that continues a stream.

        :param server: its ``AnnouncedServer``.
        :returns: the result of the attempt if it is in doubt, else None.
        """
        state = await self.handler.incarnations.check(server)
        if state is resumption.IncarnationState.NEWEST:
            return None
        if state is resumption.IncarnationState.REPLACED:
            return _results.NotSent(f"{server.server_id} has started again")
        return _results.OutOfDate(
            "too few control VMs confirm what is known of its server"
        )

    async def _doubt_start(self, server, connection):
        """Check that a server has announced its present start.

        It is asked on the connection that then carries the request, which
        only the same start can answer.

        :param server: its ``AnnouncedServer``.
        :param connection: the ``http1.Connection``.
        :returns: the result of the attempt if it is in doubt, else None.
        """
        if self.service.engine is None or not server.born_ms:
            return None
        shared_state = self.shared_state
        server_id = server.server_id
        try:
            born_ms = await _server_calls.get_start(
                connection, shared_state.dialect, server.address
            )
        except (TimeoutError, http1.IncompleteResponseError) as error:
            reason = f"{server_id} does not tell its start: {error!r}"
            return _results.NotSent(reason)
        if born_ms not in (None, server.born_ms):
            shared_state.on_server_failure(
                server_id, _shared_state.ConnectionFailure.RESTARTED
            )
            return _results.NotSent(f"{server_id} has started again")
        if not connection.is_reusable():
            return _results.NotSent(f"{server_id} ended the connection")
        return None

    async def relay_answer(self, attempt, start):
        """Relay a response of a server that has begun.

        :param attempt: the ``Attempt``.
        :param start: result of :meth:`start_answer`.
        :returns: the result of the attempt.
        """
        if not isinstance(start, _results.Started):
            return start
        try:
            result = await self._relay_rest(attempt.connection, start)
        except http1.IncompleteResponseError as error:
            return await self._on_connection_lost(attempt, error)
        attempt.outcome = _results.classify_outcome(result, self.reply.status)
        return result

    def _hold_for_caller(self, connection):
        """Count what the connection to a server holds to the caller."""
        if self.reply.account is not None:
            connection.hold_for(
                self.reply.account, self.shared_state.memory_watch
            )

    async def _on_connection_lost(self, attempt, error):
        attempt.outcome = Outcome.LOST
        if not isinstance(error, _subject_watch.NO_CRASHES):
            self.handler.reachability.on_connection_lost(attempt.destination)
        await self.watch.on_connection_lost(attempt, error)
        return _results.Unknown(error.detail)

    def _encode_server_request(self, decision):
        headers = self.dialect.build_server_headers(
            self.request,
            decision.server_id,
            self._forwarded_timeout_ms(),
            self._last_event_id(),
            decision.fetch_from,
            self.caller,
        )
        return self._encode_request(headers)

    def _encode_request(self, headers):
        request = self.request
        return http1.encode_request(
            request.method, request.target, headers, request.body
        )

    def _forwarded_timeout_ms(self):
        """Remaining time that is sent on with the request."""
        return max(1.0, self._remaining_s() * 1e3)

    def _last_event_id(self):
        """Id of the last stream event that the client is known to have."""
        return self.stream.last_event_id if self.stream else None

    async def _forward_to_region(self, decision):
        """Forward the request to an entry VM of another or of this region."""
        self.attempt.destination = decision.region
        is_hop = decision.region == self.shared_state.settings.region
        self.hops += is_hop
        entry_vms = self._list_targets(decision.region)
        if not entry_vms:
            self._exclude_region(decision.region)
            return _results.NotSent(f"no entry VM known in {decision.region}")
        weights = [record.capacity or 1.0 for record in entry_vms]
        [record] = self.shared_state.rng.choices(entry_vms, weights)
        self.excluded_ids.add(record.node_id)
        self.forwarded_to = record.node_id
        pool = self.shared_state.forward_pool
        address = self.shared_state.find_forward_address(record)
        connection = None
        try:
            connection = await pool.acquire(
                record.node_id, address, self.metadata.request_id
            )
            if not is_hop:
                self._exclude_region(decision.region)
                # The report of a neighbour counts its request at once.
                self.shared_state.fleet.on_request_forwarded(
                    decision, self.metadata.prompt, self._now_s()
                )
            payload = self._encode_forwarded_request()
            # The region may use all attempts; its response has the real count.
            self.send_count = max(self.send_count + 1, self.route.max_attempts)
            self._hold_for_caller(connection)
            connection.send(
                payload,
                self.metadata.request_id,
                self.request.method == b"HEAD",
            )
            self._limit_overlap()
            start = await self._await_start(
                self.attempt, connection, decision.expected_ms
            )
            if not isinstance(start, _results.Started):
                return start
            return await self._relay_rest(connection, start)
        except http1.ConnectError as error:
            return _results.NotSent(error.detail)
        except http1.IncompleteResponseError as error:
            return _results.Unknown(error.detail)
        finally:
            if connection is not None:
                pool.release(record.node_id, connection)

    def _exclude_region(self, region):
        """Exclude all servers of a region from further attempts."""
        for view in self.shared_state.list_servers(self.service.name):
            if view.record.region == region:
                self.excluded_ids.add(view.record.server_id)

    def _encode_forwarded_request(self):
        headers = self.dialect.build_forward_headers(
            self.request,
            self._forwarded_timeout_ms(),
            self._last_event_id(),
            self.caller,
        )
        headers.extend(_authorisation.write_headers(self.caller))
        headers.append((SEND_COUNT_HEADER, str(self.send_count).encode()))
        version = self.shared_state.version
        headers.append((VERSION_HEADER, str(version).encode()))
        headers.append((ROUTE_HEADER, self._fingerprint_route()))
        headers.extend(_stream_origin.write_headers(self.origin))
        return self._encode_request(headers)

    async def _await_start(self, attempt, connection, expected_ms):
        """Wait for the start of a response.

        :returns: ``Started``, or the result of an attempt that failed.
        """
        first_byte_timeout_s = None
        if self.can_retry():
            first_byte_timeout_s = (
                FIRST_BYTE_TIMEOUT_FACTOR * expected_ms / 1e3
            )
            first_byte_timeout_s = max(
                MIN_FIRST_BYTE_TIMEOUT_S, first_byte_timeout_s
            )

        async def read_start():
            head = await connection.read_head()
            if self._is_stream(head):
                return head, await connection.read()
            return head, b""

        try:
            head, first_data = await _patience.read(
                self.handler,
                attempt.incarnation,
                read_start,
                first_byte_timeout_s,
                self.deadline_s,
                self._can_leave_server,
            )
        except TimeoutError:
            if self._remaining_s() <= 0:
                raise
            connection.close()
            return _results.Unknown("silent before its answer")
        self._return_retry()
        if attempt.in_flight is None:
            attempt.origin = _stream_origin.read_headers(head.headers)
            attempt.began_at = _stream_origin.read_server(head.headers)
        if self._silent is not None and self._is_stream(head):
            self._end_silent_attempt()
        attempt.framing = head.framing.value
        attempt.answer_started_s = self._now_s()
        metadata = self.dialect.parse_response(head)
        if attempt.in_flight is not None:
            now_s = self._now_s()
            is_answered = head.status < http.HTTPStatus.BAD_REQUEST
            self.shared_state.fleet.on_first_byte(
                attempt.in_flight, now_s, is_answered
            )
            self.shared_state.on_request_answered(
                attempt.destination,
                connection,
                attempt.sent_at.total_seconds(),
            )
            _server_notes.note_server_state(
                self.handler, self._request_id_text(), attempt, metadata
            )
        refusal = self._parse_refusal(attempt, head, metadata)
        if refusal is not None:
            await self._discard_body(connection)
            return refusal
        if attempt.in_flight is not None:
            self.shared_state.hedging.on_answer(
                self.service.name, attempt.in_flight, self._now_s()
            )
        return _results.Started(head, first_data)

    async def _relay_rest(self, connection, start):
        """Relay a response that has begun."""
        head = start.head
        if self._is_stream(head):
            return await self._relay_stream(connection, head, start.first_data)
        if self.reply.started:
            # Nothing but a stream can continue a stream that has begun.
            connection.close()
            return _results.Failed(head, b"")
        return await self._relay_buffered(connection, head)

    def _is_stream(self, head):
        return self.route.kind is RequestKind.STREAM and head.status == 200

    def _parse_refusal(self, attempt, head, metadata):
        """Return the result of a response that refuses the request.

        Only an entry VM may tell the run state and the number of sends.

        :returns: ``NotRun`` or ``Unknown``; None for any other response.
        """
        destination = attempt.destination
        run_state = None
        if attempt.in_flight is None:
            run_state = http1.find_header(head.headers, RUN_STATE_HEADER)
        if run_state is not None:
            retry_after_ms = _retry_after_ms(head)
            self.send_count = _parse_count(
                head.headers, SEND_COUNT_HEADER, self.send_count
            )
            if run_state == errors.RunState.NOT_RUN.value.encode():
                return _results.NotRun(
                    f"{destination} refused it", retry_after_ms
                )
            return _results.Unknown(f"{destination}: {head.status}")
        if metadata.is_other_server:
            self.shared_state.registry.mark_server_gone(
                destination, None, self.handler.clock.monotonic()
            )
            self.shared_state.on_servers_changed([destination])
            return _results.NotRun("another server has its address")
        if metadata.not_run:
            return _results.NotRun(
                f"{destination} has no room ({head.status})"
            )
        return None

    async def _discard_body(self, connection):
        """Read the body of a refusal.

        :raises IncompleteResponseError: the body does not end.
        """
        size_bytes = 0
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
                while data := await connection.read():
                    size_bytes += len(data)
                    if size_bytes > MAX_REFUSAL_BODY_BYTES:
                        raise http1.UnexpectedResponseError(
                            "the body of a refusal is too large"
                        )
        except TimeoutError:
            raise http1.IncompleteResponseError(
                "the body of a refusal did not end in time"
            ) from None

    async def _relay_buffered(self, connection, head):
        """Relay a response once complete, or as it arrives if large."""
        parts = []
        size_bytes = 0
        while data := await connection.read():
            self.watch.on_answer_data(self.attempt, head)
            parts.append(data)
            size_bytes += len(data)
            self.reply.note_buffered(size_bytes)
            if size_bytes > MAX_BUFFERED_BODY_BYTES or self.reply.is_over:
                return await self._relay_unbuffered(connection, head, parts)
        body = b"".join(parts)
        self.attempt.body_bytes = size_bytes
        self._record_body_end(is_inside_event=False)
        if head.status >= 500 and self.can_retry():
            return _results.Failed(head, body)
        self._send_buffered(head, body)
        self.watch.on_answer_end(self.attempt, head)
        return _results.Completed()

    async def _relay_unbuffered(self, connection, head, parts):
        self._start_response(head, head.length)
        for part in parts:
            self.attempt.body_bytes += len(part)
            self.reply.write(part)
        # The caller's list lasts as long as the body.
        parts.clear()
        while data := await connection.read():
            self.watch.on_answer_data(self.attempt, head)
            self.attempt.body_bytes += len(data)
            self.reply.write(data)
            await self.reply.flush()
        self._record_body_end(is_inside_event=False)
        self.reply.end()
        self.watch.on_answer_end(self.attempt, head)
        return _results.Completed()

    def _send_buffered(self, head, body):
        self._start_response(head, len(body))
        self.reply.write(body)
        self.reply.end()

    def _start_response(self, head, length):
        headers = _strip_internal_headers(
            http1.strip_hop_by_hop_headers(head.headers)
        )
        if self.is_forwarded:
            headers.extend(_stream_origin.write_headers(self.origin))
            headers.extend(_stream_origin.write_server(self.began_at))
        self.reply.start(head.status, headers, head.reason, length)
        if self.handler.stop_window is not None:
            self.update_deadline()
        self._record_first_byte()

    async def _relay_stream(self, connection, head, data):
        """Relay stream events as they arrive."""
        if self.stream is None and self.route.resumable:
            self.stream = _event_stream.EventStream(
                self.metadata.last_event_id
            )
        stream = self.stream
        if stream is not None:
            stream.discard_partial_event()
        boundary = http1.EventBoundary()
        try:
            while data:
                self.watch.on_answer_data(self.attempt, head)
                boundary.feed(data)
                self.attempt.body_bytes += len(data)
                if not self._comes_from_origin():
                    connection.close()
                    return _results.Unknown(
                        "another software version answered"
                    )
                complete_events = (
                    stream.feed(data) if stream is not None else data
                )
                if complete_events:
                    if self.origin is None and not self.reply.started:
                        self._record_origin()
                    if not self.reply.started:
                        self._start_response(head, None)
                    self.reply.write(complete_events)
                    self.progress_s = self._now_s()
                if stream is not None:
                    self._count_partial_event(stream)
                if complete_events:
                    await self.reply.flush()
                data, result = await self._read_or_replace(connection)
                if result is not None:
                    return result
        except TimeoutError:
            connection.close()
            raise
        except _event_stream.StreamOrderError as error:
            connection.close()
            return _results.Unknown(error.detail)
        self._record_body_end(boundary.is_inside_event)
        _check_stream_end(head, boundary)
        if not self.reply.started:
            self._start_response(head, None)
        if stream is not None:
            self.reply.write(stream.take_remainder())
        self.reply.end()
        self.watch.on_answer_end(self.attempt, head)
        return _results.Completed()

    async def _read_or_replace(self, connection):
        """Read stream data, or continue the stream elsewhere.

        :param connection: the connection to the server.
        :returns: the data, and the result of the attempt that has replaced
            this one; None if none has.
        :raises TimeoutError: the time of the request is over.
        """
        while True:
            try:
                return await self._read_stream_data(connection), None
            except TimeoutError:
                if self._remaining_s() <= 0:
                    raise
            while True:
                is_tried, result = await self._replace_silent(connection)
                if result is not None:
                    return b"", result
                if not is_tried or not await self._can_replace_again():
                    break

    async def _can_replace_again(self):
        """Whether yet another server may continue a stream."""
        return (
            self.connect_failures <= MAX_CONNECT_FAILURES
            and await self._can_leave_server()
        )

    async def _replace_silent(self, connection):
        """Continue a stream elsewhere whose server is silent.

        Its connection stays open until another response begins or is about
        to, as the server may go on.

        :param connection: the connection to the silent server.
        :returns: whether another attempt was made, and its result if that has
            replaced the silent one, else None.
        """
        silent, sends = self.attempt, self.send_count
        routing_request, decision, now = self._choose()
        self.log_decision(decision)
        if isinstance(decision, dispatch.Refuse):
            return False, None
        if not self.take_retry_budget():
            return False, None
        self._silent = (silent, connection)
        if self._is_same_server(decision, silent):
            # Its place is taken as long as the former run holds it.
            self._end_silent_attempt()
        self.attempt = _attempt.Attempt()
        try:
            if isinstance(decision, dispatch.Serve):
                result = await self._send_to_server(
                    routing_request, decision, now
                )
            else:
                result = await self._forward_to_region(decision)
        finally:
            self._stop_overlap_timer()
        if isinstance(result, _results.Completed):
            self._end_silent_attempt()
        if self._silent is None:
            return True, result
        self._silent = None
        if self.send_count == sends:
            # No server got it, so the retry is still to be made.
            self._reserved_retry = self.service.name
        self.record_other_result(self.attempt, result)
        self.attempt = silent
        return True, None

    def _is_same_server(self, decision, attempt):
        is_served_here = isinstance(decision, dispatch.Serve)
        return is_served_here and decision.server_id == attempt.destination

    def _limit_overlap(self):
        """Leave a silent server soon, as another one has the request."""
        if self._silent is not None and self._overlap_timer is None:
            self._overlap_timer = asyncio.get_running_loop().call_later(
                MAX_OVERLAP_S, self._end_silent_attempt
            )

    def _stop_overlap_timer(self):
        if self._overlap_timer is not None:
            self._overlap_timer.cancel()
            self._overlap_timer = None

    def _end_silent_attempt(self):
        """Leave a silent server, as another one goes on."""
        # The next server may fall silent as well, and be replaced.
        self._stop_overlap_timer()
        if self._silent is None:
            return
        (silent, connection), self._silent = self._silent, None
        connection.close()
        result = _results.Unknown("silent within its stream")
        silent.outcome = _results.classify_outcome(result, self.reply.status)
        self.record_other_result(silent, result)
        if silent.in_flight is not None:
            self.end_attempt(silent)

    def _count_partial_event(self, stream):
        """Count an event that is not complete as held.

        What one read may bring is in transit: a stream that holds no more of
        an event does not wait for others to give back memory.

        :raises UnexpectedResponseError: its rest would never find room.
        """
        size_bytes = stream.held_bytes
        is_in_transit = size_bytes <= http1.READ_BYTES
        self.reply.note_buffered(0 if is_in_transit else size_bytes)
        if not is_in_transit and size_bytes > self.reply.max_buffered_bytes:
            raise http1.UnexpectedResponseError(
                "an event of the stream is too large for this VM"
            )

    def _comes_from_origin(self):
        """Whether the stream may go on with the data of this attempt.

        It is checked once, with the first data.
        """
        if self.origin is None or self.attempt.has_checked_origin:
            return True
        self.attempt.has_checked_origin = True
        return self._is_same_incarnation() and (
            self.attempt.origin == self.origin
        )

    def _record_origin(self):
        """Record where the stream begins, before its first event leaves."""
        self.attempt.has_checked_origin = True
        origin = self.attempt.origin
        if origin is None or not self._is_same_incarnation():
            return
        self.origin = origin
        self.began_at = self.attempt.began_at
        if not self.route.resumable:
            return
        if not self.is_forwarded:
            self.handler.origins.record(
                self.metadata.request_id,
                resumption.Beginning(origin, *self.began_at),
            )
        self.service = self.shared_state.table.configuration.services.get(
            origin.service, self.service
        )

    def _is_same_incarnation(self):
        """Whether the server has not started again since the request."""
        if self.attempt.incarnation is None:
            return True
        view = self.shared_state.registry.servers.get(
            self.attempt.incarnation.server_id
        )
        return view is None or (
            view.record.born_ms == self.attempt.incarnation.born_ms
        )

    async def _read_stream_data(self, connection):
        idle_timeout_s = None
        if self.can_retry():
            patience_s = _stream_origin.compute_patience_s(self.route)
            idle_timeout_s = min(
                max(patience_s * STREAM_IDLE_SHARE, MIN_STREAM_IDLE_TIMEOUT_S),
                MAX_STREAM_IDLE_TIMEOUT_S,
            )
        started_s = self._now_s()
        data = await _patience.read(
            self.handler,
            self.attempt.incarnation,
            connection.read,
            idle_timeout_s,
            self.deadline_s,
            self._can_leave_server,
        )
        self._return_retry()
        self.longest_gap_s = max(self.longest_gap_s, self._now_s() - started_s)
        return data

    def _send_final_failure(self, reason, retry_after_ms):
        """Send the final response after the last failed attempt."""
        if self.reply.started:
            self.reply.abort()
        elif self.error_response is not None:
            self._send_buffered(*self.error_response)
        elif self.may_have_run:
            self._send_local_response(
                502, self.reason, errors.RunState.UNKNOWN
            )
        else:
            self._send_refusal(reason, retry_after_ms)

    def _on_timeout(self):
        if self.reply.started:
            if not self.reply.ended:
                self.reply.abort(http1.EndReason.DEADLINE)
        elif self.error_response is not None:
            self._send_buffered(*self.error_response)
        elif self.send_count:
            self._send_local_response(
                504, self._explain_timeout(), errors.RunState.UNKNOWN
            )
        elif self._is_ended_by_stop():
            self.handler.metrics.record_stop_refusal()
            self._send_refusal(STOP_REASON, STOP_RETRY_AFTER_MS)
        else:
            self._send_refusal("out of time", None)

    def _is_ended_by_stop(self):
        """Whether a planned stop leaves less time than the request has."""
        return self.deadline_s < self._full_deadline_s

    def _explain_timeout(self):
        return STOP_REASON if self._is_ended_by_stop() else "out of time"

    def _send_refusal(self, reason, retry_after_ms):
        if retry_after_ms is None:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        self._send_local_response(
            503, reason, errors.RunState.NOT_RUN, retry_after_ms
        )

    def _send_local_response(
        self, status, reason, run_state, retry_after_ms=None
    ):
        """Send a response that this entry VM creates itself."""
        self.reason = reason
        self.is_refused = run_state is errors.RunState.NOT_RUN
        request_id = self.metadata.request_id if self.metadata else b""
        headers = self.dialect.build_local_headers(request_id, retry_after_ms)
        if self.is_forwarded:
            headers.append((RUN_STATE_HEADER, run_state.value.encode()))
            headers.append((SEND_COUNT_HEADER, str(self.send_count).encode()))
        self.reply.send(status, headers, reason.encode() + b"\n")

    def _is_quarantined(self):
        """Send the final failure if the quarantine refuses the request."""
        verdict = self.watch.check(self.send_count > 0)
        if not isinstance(verdict, quarantine.Refused):
            return False
        self.handler.metrics.record_quarantine_refusal()
        self._send_final_failure(
            "crashes servers", clocks.milliseconds(verdict.retry_after)
        )
        return True

    def _request_id_text(self):
        return (
            self.metadata.request_id.decode("latin-1") if self.metadata else ""
        )

    def log_decision(self, decision):
        fields = decision._asdict()
        server_id = fields.get("server_id")
        if server_id is not None:
            now = self.handler.clock.monotonic()
            usage = self.shared_state.fleet.usage(server_id)
            view = self.shared_state.registry.servers[server_id]
            fields["running"] = usage.running
            fields["waiting"] = usage.waiting
            fields["server_age_ms"] = clocks.milliseconds(
                now - view.last_heard_at
            )
            fields["software_version"] = view.record.software_version
            fields["born_ms"] = view.record.born_ms
            fields["is_cold"] = self.shared_state.dispatcher.is_cold(view, now)
        stream = self.stream
        last_event_id = (
            self.metadata.last_event_id
            if stream is None
            else stream.last_event_id
        )
        if last_event_id is not None:
            fields["last_event_id"] = last_event_id
            fields["resumes"] = self.metadata.resumed_request_id.decode(
                "latin-1"
            )
        self.handler.log.write(
            dispatch.REQUEST_ROUTED,
            request=self._request_id_text(),
            route=self.route.name,
            version=self.shared_state.version,
            prompt_tokens=self.metadata.prompt.tokens
            if self.metadata.prompt
            else 0,
            decision=type(decision).__name__,
            left_ms=round(self._remaining_s() * 1e3),
            **fields,
        )

    def _log_failure(self, attempt, result):
        self.handler.metrics.record_failed_attempt(type(result).__name__)
        self.handler.log.write(
            _events.ATTEMPT_FAILED,
            request=self._request_id_text(),
            place=attempt.destination,
            forwarded_to=self.forwarded_to,
            result=type(result).__name__,
            reason=getattr(result, "reason", ""),
            sends=self.send_count,
            framing=attempt.framing,
            body_bytes=attempt.body_bytes,
        )

    def _record_first_byte(self):
        self.first_byte_s = self._now_s() - self.request.received_s
        self.handler.metrics.record_first_byte(
            self.route.kind.value, self.first_byte_s
        )

    def _record_body_end(self, is_inside_event):
        """Record the end of a body that its framing marks as complete."""
        self.attempt.ended_inside_event = is_inside_event
        place = "inside_event" if is_inside_event else "boundary"
        self.handler.metrics.record_body_end(self.attempt.framing, place)

    def _log_end(self, outcome):
        now_s = self._now_s()
        duration_s = now_s - self.request.received_s
        kind = self.route.kind.value if self.route else ""
        self.handler.metrics.record_request(
            kind, self.reply.status, outcome, duration_s
        )
        fields = {"hedge": self.hedge} if self.hedge else {}
        self.handler.log.write(
            _events.REQUEST_ENDED,
            request=self._request_id_text(),
            route=self.route.name if self.route else "",
            place=self.attempt.destination,
            forwarded_to=self.forwarded_to,
            outcome=outcome,
            status=self.reply.status,
            sends=self.send_count,
            framing=self.attempt.framing,
            body_bytes=self.attempt.body_bytes,
            ended_inside_event=self.attempt.ended_inside_event,
            first_ms=round(self.first_byte_s * 1e3),
            longest_pause_ms=round(self.longest_gap_s * 1e3),
            took_ms=round(duration_s * 1e3),
            reason=self.reason,
            forwarded=self.is_forwarded,
            **fields,
        )


def _strip_internal_headers(headers):
    """Return the headers without those between entry VMs."""
    return [
        pair
        for pair in headers
        if not pair[0].lower().startswith(INTERNAL_HEADER_PREFIX)
    ]


def _check_stream_end(head, boundary):
    """Check that a stream was not broken off.

    :param head: head of the response.
    :param boundary: the ``EventBoundary`` of the received body.
    :raises IncompleteResponseError: the stream ended inside an event, or its
        connection closed before the first one.
    """
    if boundary.is_inside_event:
        raise http1.IncompleteResponseError("the stream ended inside an event")
    is_unframed = head.framing is http1.BodyFraming.CONNECTION_CLOSE
    if is_unframed and boundary.is_empty:
        raise http1.IncompleteResponseError(
            "the connection closed before the first event"
        )


def _retry_after_ms(head):
    value = http1.find_header(head.headers, b"retry-after")
    try:
        delay_ms = float(value) * 1e3 if value else math.nan
    except ValueError:
        return None
    return delay_ms if math.isfinite(delay_ms) and delay_ms >= 0 else None


def _parse_count(headers, name, default):
    """Return a number that another entry VM reports."""
    value = http1.find_header(headers, name) or b""
    is_count = value.isdigit() and len(value) <= MAX_COUNT_DIGITS
    return int(value) if is_count else default
