"""The life of one request at an entry VM."""

import asyncio
from typing import NamedTuple

import xxhash

from buckthorntack import clock as clocks
from buckthorntack import dispatch
from buckthorntack import errors
from buckthorntack import events
from buckthorntack import http1
from buckthorntack.directives import RequestKind
from buckthorntack.dispatch import Outcome
from buckthorntack.gateway import _event_stream
from buckthorntack.gateway import _events

#: Fields of ours between entry VMs; removed from what clients and servers
#: send.
OWN_PREFIX = b"x-gateway-"
RUN_STATE = b"x-gateway-run-state"
#: Servers that a request was sent to so far, at all entry VMs.
SENDS = b"x-gateway-sends"
#: Body of an answer that is kept until it is whole, so that a broken one can
#: be replaced; larger ones are passed on as they come.
KEPT_BODY_BYTES = 262_144
#: Connections that may fail before a request is given up; nothing is sent.
MOST_CONNECT_FAILURES = 3
#: Silence before the first part of an answer after which an idempotent
#: request is sent elsewhere; in multiples of the expected time, and at least.
PATIENCE_TIMES = 3.0
LEAST_PATIENCE_S = 1.5
#: Silence within a stream after which another server goes on with it;
#: callers give a stream up after two seconds.
STALL_S = 1.6
#: A request is answered so long before its time is over, as the answer has
#: to travel.
ANSWER_MARGIN_S = 0.02
#: Retry-After of a request that came before any configuration did.
UNCONFIGURED_RETRY_MS = 500.0
#: Age of an entry VM up to which it lets requests wait for what it is about
#: to learn: the configuration, and servers, which announce themselves every
#: 1.2 s.
YOUNG_S = 4.0
#: Longest such wait, as a share of the time left and at most.
YOUNG_WAIT_SHARE = 0.25
YOUNG_WAIT_S = 1.2
#: Retry-After of requests that crash servers: long enough to end the loop.
CRASHING_RETRY_MS = 10_000.0


class _Ended(NamedTuple):
    """The client has its final answer."""


class _NotSent(NamedTuple):
    """Nothing was sent."""

    reason: str


class _NotRun(NamedTuple):
    """The request was sent, and certainly not run."""

    reason: str
    retry_after_ms: float | None = None


class _Unknown(NamedTuple):
    """The request may have run."""

    reason: str


class _Failed(NamedTuple):
    """A whole answer that tells of a failure of the server."""

    head: http1.AnswerHead
    body: bytes


class Serving:
    """Handles requests at one entry VM.

    :param knowledge: the ``Knowledge``.
    :param clock: source of time.
    :param metrics: the ``EntryMetrics``.
    :param note_crash: called with fingerprint, server and attempt when the
        connection of a request broke.
    """

    def __init__(self, knowledge, clock, metrics, note_crash):
        self.knowledge = knowledge
        self.clock = clock
        self.metrics = metrics
        self.note_crash = note_crash
        self.log = events.EventLog("gateway")

    async def handle(self, request, reply):
        """Handle a request of a client.

        :param request: ``http1.Request``.
        :param reply: ``http1.Reply``.
        """
        await self._handle(request, reply, False)

    async def handle_forwarded(self, request, reply):
        """Handle a request that another entry VM hands over.

        :param request: ``http1.Request``.
        :param reply: ``http1.Reply``.
        """
        await self._handle(request, reply, True)

    async def _handle(self, request, reply, is_forwarded):
        sends = _count(request.headers, 0) if is_forwarded else 0
        request = request._replace(headers=_without_own(request.headers))
        handling = _Handling(self, request, reply, is_forwarded, sends)
        await handling.run()


class _Handling:
    """One request, from its routing to its final answer."""

    def __init__(self, serving, request, reply, is_forwarded, sends):
        self.serving = serving
        self.knowledge = serving.knowledge
        self.dialect = serving.knowledge.dialect
        self.request = request
        self.reply = reply
        self.is_forwarded = is_forwarded
        self.facts = None
        self.route = None
        self.service = None
        self.fingerprint = ""
        self.until_s = 0.0
        self.tried = set()
        self.sends = sends
        self.connect_failures = 0
        self.may_have_run = False
        self.kept = None
        self.stream = None
        self.retry_after_ms = None
        self.place = ""
        self.reason = ""
        self.first_s = 0.0
        self.longest_pause_s = 0.0

    async def run(self):
        """Give the request its final answer."""
        outcome = "client_left"
        try:
            await self._run()
            outcome = "answered" if self.reply.ended else "cut"
        finally:
            self._note_end(outcome)

    async def _run(self):
        read = self.dialect.read_request(self.request)
        if read.is_error():
            self._answer(400, read.error.detail, errors.RunState.NOT_RUN)
            return
        self.facts = read.ok
        await self._wait_for_configuration()
        if not self._find_route():
            return
        self.service = self._pick_service()
        self.fingerprint = _fingerprint(self.request)
        if self.knowledge.crashes.is_refused(self.fingerprint):
            self._refuse("crashes servers", CRASHING_RETRY_MS)
            return
        if not self.is_forwarded:
            self.knowledge.budgets.record_request(self.service.name)
        self._set_deadline()
        try:
            async with asyncio.timeout_at(self.until_s):
                await self._attempt_until_answered()
        except TimeoutError:
            self._out_of_time()

    async def _wait_for_configuration(self):
        patience_s = (self.facts.patience_ms or 0.0) / 1e3
        until_s = self._now_s() + self._young_wait_s(patience_s)
        while self.knowledge.table is None and self._now_s() < until_s:
            await self.knowledge.changed(until_s - self._now_s())

    def _young_wait_s(self, left_s):
        """How long to wait for what an entry VM learns after its start."""
        started_s = self.knowledge.started_at.total_seconds()
        if self._now_s() - started_s > YOUNG_S:
            return 0.0
        return min(left_s * YOUNG_WAIT_SHARE, YOUNG_WAIT_S)

    def _find_route(self):
        table = self.knowledge.table
        if table is None:
            self._refuse("no configuration yet", UNCONFIGURED_RETRY_MS)
            return False
        self.route = table.find(self.facts.host, self.facts.path)
        if self.route is not None:
            return True
        if self.is_forwarded:
            # The sender knows a newer or older configuration.
            self._refuse("no route here", UNCONFIGURED_RETRY_MS)
        else:
            self._answer(404, "no route", errors.RunState.NOT_RUN)
        return False

    def _pick_service(self):
        splits = self.route.splits
        services = self.knowledge.table.configuration.services
        if len(splits) == 1:
            return services[splits[0].service]
        weights = [split.weight for split in splits]
        chosen = self.knowledge.rng.choices(splits, weights)[0]
        return services[chosen.service]

    def _set_deadline(self):
        timeout_s = self.route.timeout.total_seconds()
        if self.facts.patience_ms is not None:
            timeout_s = min(timeout_s, self.facts.patience_ms / 1e3)
        self.until_s = self.request.received_s + timeout_s - ANSWER_MARGIN_S

    def _now_s(self):
        return self.serving.clock.monotonic().total_seconds()

    def _left_s(self):
        return self.until_s - self._now_s()

    async def _wait_for_servers(self):
        until_s = self._now_s() + self._young_wait_s(self._left_s())
        name = self.service.name
        while self._now_s() < until_s:
            if any(
                view.record.state == "ready"
                for view in self.knowledge.servers_of(name)
            ):
                return
            await self.knowledge.changed(until_s - self._now_s())

    async def _attempt_until_answered(self):
        await self._wait_for_servers()
        while True:
            if self._left_s() <= 0:
                # A late timer must not let a request out after its time.
                raise TimeoutError
            now = self.serving.clock.monotonic()
            wanted = self._wanted()
            servers = self.knowledge.servers_of(self.service.name)
            decision = self.knowledge.dispatcher.choose(wanted, servers, now)
            self._log_decision(decision)
            if isinstance(decision, dispatch.Refuse):
                self._give_up(decision.reason, decision.retry_after_ms)
                return
            sends_before = self.sends
            if isinstance(decision, dispatch.Serve):
                result = await self._ask_server(wanted, decision, now)
            else:
                result = await self._ask_region(decision)
            if isinstance(result, _Ended):
                return
            self._log_failure(result)
            if not self._may_go_on(result, sends_before):
                self._give_up(self.reason, self.retry_after_ms)
                return

    def _wanted(self):
        prompt = self.facts.prompt if self.service.engine else None
        return dispatch.RoutingRequest(
            self.route,
            self.service,
            prompt,
            frozenset(self.tried),
            self._left_s() * 1e3,
            not self.is_forwarded and not self.reply.started,
        )

    def _may_go_on(self, result, sends_before):
        """Note how an attempt failed; whether another one may be made."""
        if isinstance(result, _NotSent):
            self.reason = result.reason
            self.connect_failures += 1
            return self.connect_failures <= MOST_CONNECT_FAILURES
        if isinstance(result, _Failed):
            self.kept = result
            self.may_have_run = True
        elif isinstance(result, _Unknown):
            self.reason = result.reason
            self.may_have_run = True
        else:
            self.reason = result.reason
            self.retry_after_ms = result.retry_after_ms
        if self.may_have_run and not self.route.idempotent:
            return False
        if isinstance(result, _NotRun) and self.sends == sends_before:
            # No server got it, so that the next send is no repeated one.
            return self.sends < self.route.max_attempts
        return self._may_repeat()

    def _may_repeat(self):
        """Take a repeated send from the budget, if there is room for it."""
        if self.sends >= self.route.max_attempts:
            return False
        now_s = self._now_s()
        return self.knowledge.budgets.take_retry(self.service.name, now_s)

    def _can_repeat(self):
        """Whether another server may get the request, budget apart."""
        return self.route.idempotent and self.sends < self.route.max_attempts

    async def _ask_server(self, wanted, decision, now):
        """Send the request to a server and pass its answer on."""
        server_id = decision.server_id
        view = self.knowledge.registry.servers[server_id]
        self.tried.add(server_id)
        self.place = server_id
        pool = self.knowledge.pool
        fleet = self.knowledge.fleet
        if self.knowledge.dispatcher.is_cold(view, now):
            self.knowledge.warmup_limiter.on_request_sent(
                server_id,
                self.service.warmup_per_s,
                self.knowledge.dispatcher.members,
                now.total_seconds(),
            )
        flight = self.knowledge.dispatcher.create_in_flight_request(
            wanted, decision, now
        )
        fleet.on_request_sent(flight, wanted.prompt)
        self.knowledge.exchange.on_request_sent(flight)
        self.knowledge.tell_if_urgent()
        outcome = Outcome.ABANDONED
        connection = None
        try:
            connection = await pool.take(server_id, view.record.address)
            self.sends += 1
            connection.send(
                self._server_payload(decision),
                self.facts.request_id,
                self.request.method == b"HEAD",
            )
            result = await self._take_answer(
                connection, decision.expected_ms, flight
            )
            outcome = _outcome_of(result, self.reply.status)
        except http1.ConnectError as error:
            outcome = Outcome.LOST
            result = _NotSent(error.detail)
        except http1.AnswerBrokenError as error:
            outcome = Outcome.LOST
            self._note_crash(server_id, error)
            result = _Unknown(error.detail)
        finally:
            now_s = self._now_s()
            fleet.on_request_ended(flight, outcome, now_s)
            if connection is not None:
                pool.give_back(server_id, connection)
        return result

    def _server_payload(self, decision):
        headers = self.dialect.server_headers(
            self.request,
            decision.server_id,
            self._sent_left_ms(),
            self._last_event(),
            decision.fetch_from,
        )
        return self._payload(headers)

    def _payload(self, headers):
        request = self.request
        return http1.encode_request(
            request.method, request.target, headers, request.body
        )

    def _sent_left_ms(self):
        """Time left as others are told it."""
        return max(1.0, self._left_s() * 1e3)

    def _last_event(self):
        """Last event that this entry VM knows the client to have."""
        return self.stream.last_event if self.stream else None

    async def _ask_region(self, decision):
        """Hand the request over to an entry VM of another region."""
        self.place = decision.region
        entries = self.knowledge.entries_of(decision.region)
        entries = [e for e in entries if e.node_id not in self.tried]
        if not entries:
            self._avoid_region(decision.region)
            return _NotSent(f"no entry VM known in {decision.region}")
        record = self.knowledge.rng.choice(entries)
        self.tried.add(record.node_id)
        pool = self.knowledge.forward_pool
        address = self.knowledge.forward_address_of(record)
        connection = None
        try:
            connection = await pool.take(record.node_id, address)
            self._avoid_region(decision.region)
            self.knowledge.fleet.on_request_forwarded(
                decision, self.facts.prompt, self._now_s()
            )
            payload = self._forwarded_payload()
            # Until it says otherwise, that region may use all attempts.
            self.sends = max(self.sends + 1, self.route.max_attempts)
            connection.send(
                payload,
                self.facts.request_id,
                self.request.method == b"HEAD",
            )
            return await self._take_answer(
                connection, decision.expected_ms, None
            )
        except http1.ConnectError as error:
            return _NotSent(error.detail)
        except http1.AnswerBrokenError as error:
            return _Unknown(error.detail)
        finally:
            if connection is not None:
                pool.give_back(record.node_id, connection)

    def _avoid_region(self, region):
        """Choose no server of a region any more."""
        for view in self.knowledge.servers_of(self.service.name):
            if view.record.region == region:
                self.tried.add(view.record.server_id)

    def _forwarded_payload(self):
        headers = self.dialect.forward_headers(
            self.request, self._sent_left_ms(), self._last_event()
        )
        headers.append((SENDS, str(self.sends).encode()))
        return self._payload(headers)

    async def _take_answer(self, connection, expected_ms, flight):
        patience_s = None
        if self._can_repeat():
            patience_s = PATIENCE_TIMES * expected_ms / 1e3
            patience_s = max(LEAST_PATIENCE_S, patience_s)
        try:
            async with asyncio.timeout(patience_s):
                head = await connection.head()
                first = b""
                if self._is_stream(head):
                    first = await connection.read()
        except TimeoutError:
            if self._left_s() <= 0:
                raise
            connection.close()
            return _Unknown("silent before its answer")
        if flight is not None:
            now_s = self._now_s()
            self.knowledge.fleet.on_first_byte(flight, now_s)
        refusal = self._read_refusal(head)
        if refusal is not None:
            await self._drop_body(connection)
            return refusal
        if self._is_stream(head):
            return await self._relay_stream(connection, head, first)
        return await self._relay_whole(connection, head)

    def _is_stream(self, head):
        return self.route.kind is RequestKind.STREAM and head.status == 200

    def _read_refusal(self, head):
        """What an answer says that promises that nothing was run."""
        own = http1.find_header(head.headers, RUN_STATE)
        if own is not None:
            after = _retry_after_ms(head)
            self.sends = _count(head.headers, self.sends)
            if own == errors.RunState.NOT_RUN.value.encode():
                return _NotRun(f"{self.place} refused it", after)
            return _Unknown(f"{self.place}: {head.status}")
        facts = self.dialect.read_answer(head)
        if facts.is_other_server:
            self.knowledge.registry.mark_server_gone(
                self.place, None, self.serving.clock.monotonic()
            )
            self.knowledge.servers_changed([self.place])
            return _NotRun("another server has its address")
        if facts.not_run:
            return _NotRun(f"{self.place} has no room ({head.status})")
        return None

    async def _drop_body(self, connection):
        while await connection.read():
            pass

    async def _relay_whole(self, connection, head):
        """Pass an answer on once it is whole, or as it comes if large."""
        parts = []
        size_bytes = 0
        while data := await connection.read():
            parts.append(data)
            size_bytes += len(data)
            if size_bytes > KEPT_BODY_BYTES:
                return await self._relay_large(connection, head, parts)
        body = b"".join(parts)
        if head.status >= 500 and self._can_repeat():
            return _Failed(head, body)
        self._send_whole(head, body)
        if head.status < 500:
            self.knowledge.crashes.clear_crashes(self.fingerprint)
        return _Ended()

    async def _relay_large(self, connection, head, parts):
        self._start(head, head.length)
        for part in parts:
            self.reply.write(part)
        try:
            while data := await connection.read():
                self.reply.write(data)
                await self.reply.flush()
        except http1.AnswerBrokenError:
            self.reply.abort()
            return _Ended()
        self.reply.end()
        return _Ended()

    def _send_whole(self, head, body):
        self._start(head, len(body))
        self.reply.write(body)
        self.reply.end()

    def _start(self, head, length):
        headers = _without_own(http1.end_to_end(head.headers))
        self.reply.start(head.status, headers, head.reason, length)
        self._observe_first()

    async def _relay_stream(self, connection, head, data):
        """Pass events on as they come."""
        if self.stream is None and self.route.resumable:
            self.stream = _event_stream.EventStream(self.facts.last_event)
        stream = self.stream
        if stream is not None:
            stream.restart()
        try:
            while data:
                whole = stream.feed(data) if stream is not None else data
                if whole:
                    if not self.reply.started:
                        self._start(head, None)
                    self.reply.write(whole)
                    await self.reply.flush()
                data = await self._next_data(connection)
        except TimeoutError:
            connection.close()
            if self._left_s() <= 0:
                raise
            return _Unknown("silent within its stream")
        except _event_stream.StreamOrderError as error:
            connection.close()
            return _Unknown(error.detail)
        if not self.reply.started:
            self._start(head, None)
        if stream is not None:
            self.reply.write(stream.take_rest())
        self.reply.end()
        self.knowledge.crashes.clear_crashes(self.fingerprint)
        return _Ended()

    async def _next_data(self, connection):
        stall_s = STALL_S if self._can_repeat() else None
        began_s = self._now_s()
        async with asyncio.timeout(stall_s):
            data = await connection.read()
        self.longest_pause_s = max(
            self.longest_pause_s, self._now_s() - began_s
        )
        return data

    def _give_up(self, reason, retry_after_ms):
        """Answer a request that no server will be asked for any more."""
        if self.reply.started:
            self.reply.abort()
        elif self.kept is not None:
            self._send_whole(*self.kept)
        elif self.may_have_run:
            self._answer(502, self.reason, errors.RunState.UNKNOWN)
        else:
            self._refuse(reason, retry_after_ms)

    def _out_of_time(self):
        if self.reply.started:
            if not self.reply.ended:
                self.reply.abort()
        elif self.kept is not None:
            self._send_whole(*self.kept)
        elif self.sends:
            self._answer(504, "out of time", errors.RunState.UNKNOWN)
        else:
            self._refuse("out of time", None)

    def _refuse(self, reason, retry_after_ms):
        if retry_after_ms is None:
            retry_after_ms = UNCONFIGURED_RETRY_MS
        self._answer(503, reason, errors.RunState.NOT_RUN, retry_after_ms)

    def _answer(self, status, reason, run_state, retry_after_ms=None):
        """Send an answer of ours."""
        self.reason = reason
        request_id = self.facts.request_id if self.facts else b""
        headers = self.dialect.own_headers(request_id, retry_after_ms)
        if self.is_forwarded:
            headers.append((RUN_STATE, run_state.value.encode()))
            headers.append((SENDS, str(self.sends).encode()))
        self.reply.send(status, headers, reason.encode() + b"\n")

    def _note_crash(self, server_id, error):
        attempt = f"{self.facts.request_id.decode('latin-1')}/{server_id}"
        if self.knowledge.crashes.record_crash(self.fingerprint, attempt):
            self.serving.note_crash(self.fingerprint, server_id, attempt)
            self.serving.log.write(
                _events.CRASH_NOTED,
                request=self._name(),
                fingerprint=self.fingerprint,
                server=server_id,
                error=error.detail,
            )

    def _name(self):
        return self.facts.request_id.decode("latin-1") if self.facts else ""

    def _log_decision(self, decision):
        fields = decision._asdict()
        server_id = fields.get("server_id")
        if server_id is not None:
            now = self.serving.clock.monotonic()
            usage = self.knowledge.fleet.usage(server_id)
            view = self.knowledge.registry.servers[server_id]
            fields["running"] = usage.running
            fields["waiting"] = usage.waiting
            fields["server_age_ms"] = clocks.milliseconds(
                now - view.last_heard_at
            )
        self.serving.log.write(
            dispatch.REQUEST_ROUTED,
            request=self._name(),
            route=self.route.name,
            version=self.knowledge.version,
            prompt_tokens=self.facts.prompt.tokens if self.facts.prompt else 0,
            decision=type(decision).__name__,
            left_ms=round(self._left_s() * 1e3),
            **fields,
        )

    def _log_failure(self, result):
        self.serving.metrics.attempt_failed(type(result).__name__)
        self.serving.log.write(
            _events.ATTEMPT_FAILED,
            request=self._name(),
            place=self.place,
            result=type(result).__name__,
            reason=getattr(result, "reason", ""),
            sends=self.sends,
        )

    def _observe_first(self):
        self.first_s = self._now_s() - self.request.received_s
        self.serving.metrics.first_byte(self.route.kind.value, self.first_s)

    def _note_end(self, outcome):
        now_s = self._now_s()
        took_s = now_s - self.request.received_s
        kind = self.route.kind.value if self.route else ""
        self.serving.metrics.ended(kind, self.reply.status, outcome, took_s)
        self.serving.log.write(
            _events.REQUEST_ENDED,
            request=self._name(),
            route=self.route.name if self.route else "",
            place=self.place,
            outcome=outcome,
            status=self.reply.status,
            sends=self.sends,
            first_ms=round(self.first_s * 1e3),
            longest_pause_ms=round(self.longest_pause_s * 1e3),
            took_ms=round(took_s * 1e3),
            reason=self.reason,
            forwarded=self.is_forwarded,
        )


def _without_own(headers):
    """Header fields but for those between entry VMs."""
    return [
        pair for pair in headers if not pair[0].lower().startswith(OWN_PREFIX)
    ]


def _outcome_of(result, status):
    if isinstance(result, _NotRun):
        return Outcome.FULL
    if isinstance(result, _Failed) or status >= 500:
        return Outcome.ERROR
    if isinstance(result, _Unknown):
        return Outcome.LOST
    return Outcome.OK


def _retry_after_ms(head):
    value = http1.find_header(head.headers, b"retry-after")
    try:
        return float(value) * 1e3 if value else None
    except ValueError:
        return None


def _count(headers, default):
    """Servers that a request was sent to, as another entry VM says."""
    value = http1.find_header(headers, SENDS)
    return int(value) if value and value.isdigit() else default


def _fingerprint(request):
    digest = xxhash.xxh3_64()
    digest.update(request.method)
    digest.update(request.target)
    digest.update(request.body)
    return digest.hexdigest()
