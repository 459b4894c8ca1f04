"""HTTP application that serves callers."""

import asyncio
import contextlib

from buckthorntack import errors
from buckthorntack import events
from buckthorntack import ledger
from buckthorntack import transport
from buckthorntack.entry import _errors
from buckthorntack.entry import _events
from buckthorntack.entry import _parsing
from buckthorntack.entry import _render
from buckthorntack.entry import _sink

#: Time for which a caller may use a list of entry VMs.
ENTRY_LIST_TTL_MS = 5000
MODELS_PATH = "/v1/models"
ENTRIES_PATH = "/v1/entries"
ATTEMPTS_PREFIX = "/v1/attempts/"


class CallersApp:
    """ASGI application for callers' requests.

    :param components: the ``EntryComponents``.
    :param runner: the ``Runner``.
    :param limits: section ``limits`` of the settings.
    """

    def __init__(self, components, runner, limits):
        self.components = components
        self.runner = runner
        self.limits = limits
        self.parser = _parsing.RequestParser(components)
        self.in_progress = 0
        self._sinks = set()
        self._log = events.EventLog("entry")

    def asgi(self):
        """Return the ASGI application."""
        return transport.mounted_app(self.handle)

    async def handle(self, scope, receive, send):
        """Handle one HTTP request.

        :param scope: ASGI connection scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        sink = _sink.CallerSink(send, "", self.components.planned_stop)
        self.in_progress += 1
        self._sinks.add(sink)
        self.components.members.set_in_flight(self.in_progress)
        try:
            await self._respond(scope, receive, sink)
            self.components.metrics.record_response(scope["method"])
        except errors.GatewayError as error:
            await self._refuse(sink, error)
        except asyncio.CancelledError:
            raise
        except Exception as fault:
            self._log.write(
                _events.FAULT, request=sink.request_id, fault=repr(fault)
            )
            error = _errors.InternalError(f"request {sink.request_id}")
            await self._refuse(sink, error)
        finally:
            self._sinks.discard(sink)
            self.in_progress -= 1

    def has_unanswered(self):
        """Whether the response to a request in progress has not begun."""
        return not all(sink.started for sink in self._sinks)

    async def _refuse(self, sink, error):
        self.components.metrics.record_refusal(error)
        self._log.write(
            _events.REQUEST_REFUSED,
            request=sink.request_id,
            error=error.number,
            kind=error.kind,
            run_state=error.run_state.value,
            detail=error.detail,
        )
        with contextlib.suppress(OSError):
            await _render.send_error(sink, error, sink.request_id)

    async def _respond(self, scope, receive, sink):
        headers = _parsing.read_headers(scope, self.limits["header_bytes"])
        sink.request_id = _parsing.choose_request_id(headers)
        if self.in_progress > self.limits["connections"]:
            raise _errors.BusyError("", retry_after_ms=1000)
        path = scope["path"]
        organisation = self.parser.authenticate(headers)
        if path == MODELS_PATH:
            await _render.send_json(sink, self._build_model_list(organisation))
        elif path == ENTRIES_PATH:
            await _render.send_json(sink, self._build_entry_list(organisation))
        elif path.startswith(ATTEMPTS_PREFIX):
            await self._cancel_attempt(scope, sink, organisation)
        else:
            self._check_residency(organisation)
            request = await self._parse_request(
                scope, receive, headers, organisation
            )
            request = request._replace(request_id=sink.request_id)
            await self._run(request, receive, sink)

    def _check_residency(self, organisation):
        """Refuse a request that must not be sent to this region.

        The check precedes the reading of the body, which must not be
        received outside the organisation's residency.
        """
        allowed = self.parser.current_configuration().allowed_regions(
            organisation
        )
        if self.components.region not in allowed:
            detail = f"{organisation} may not use {self.components.region}"
            raise _errors.WrongRegionError(detail)

    async def _parse_request(self, scope, receive, headers, organisation):
        path, method = scope["path"], scope["method"]
        if path in _parsing.COMPLETION_PATHS and "last-event-id" in headers:
            return self.parser.parse_resumption(headers, organisation)
        body = await _parsing.read_body(
            headers, receive, self.limits["body_bytes"]
        )
        if path in _parsing.COMPLETION_PATHS and method == "POST":
            return self.parser.parse_completion(
                path, headers, body, organisation
            )
        if path.startswith(_parsing.SERVICES_PREFIX):
            path = scope["raw_path"].partition(b"?")[0].decode("latin-1")
            query = _parsing.read_query(scope)
            return self.parser.parse_service_call(
                method, path, query, headers, body, organisation
            )
        raise _errors.NotFoundError(f"{method} {path[:200]}")

    async def _run(self, request, receive, sink):
        self._log.write(
            _events.REQUEST_TAKEN,
            request=request.request_id,
            organisation=request.organisation,
            service=request.service,
        )
        run_task = asyncio.create_task(self._run_until_stop(request, sink))
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {run_task, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
            if not run_task.done():
                run_task.cancel()
            await asyncio.gather(run_task, return_exceptions=True)
        finally:
            run_task.cancel()
            disconnect.cancel()
        if not run_task.cancelled():
            run_task.result()
            self._log.write(_events.REQUEST_ENDED, request=request.request_id)

    async def _run_until_stop(self, request, sink):
        async with self.components.planned_stop.limit(sink):
            await self.runner.run(request, sink)

    def _build_model_list(self, organisation):
        published = self.parser.current_configuration()
        models = [
            {"id": name, "object": "model", "owned_by": "operator"}
            for name in published.models_for(organisation)
        ]
        return {"object": "list", "data": models}

    def _build_entry_list(self, organisation):
        """Return the entry VMs, best first, and the prefix for new keys.

        The prefix is that of idempotency keys with a ledger home in an
        allowed region.
        """
        components = self.components
        allowed = self.parser.current_configuration().allowed_regions(
            organisation
        )
        regions = sorted(allowed, key=lambda name: name != components.region)
        records = []
        for region in regions:
            records += components.members.entry_list(
                region, components.failure_domain
            )
        entries = [
            {
                "node_id": record.node_id,
                "url": record.caller_url,
                "region": record.region,
                "failure_domain": record.failure_domain,
            }
            for record in records
        ]
        document = {"entries": entries, "time_to_live_ms": ENTRY_LIST_TTL_MS}
        home = components.choose_key_home(allowed)
        if home is not None:
            wall_ms = int(components.clock.wall().timestamp() * 1000)
            prefix = ledger.key_prefix(home["home_id"], wall_ms)
            document["idempotency_key_prefix"] = prefix
        return document

    async def _cancel_attempt(self, scope, sink, organisation):
        attempt_id = scope["path"].removeprefix(ATTEMPTS_PREFIX)
        verified = self.components.signer.verify(attempt_id, organisation)
        if verified.is_error():
            raise verified.error
        target = self.components.find_target(attempt_id, organisation)
        if scope["method"] != "DELETE" or target is None:
            raise _errors.NotFoundError("no such attempt in this region")
        self.components.attempt_client.cancel(target)
        await _render.send_json(sink, {"cancelled": attempt_id})


async def _wait_for_disconnect(receive):
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
