"""HTTP application for callers."""

import asyncio
import contextlib

from buckthorntack import errors
from buckthorntack import events
from buckthorntack import ledger
from buckthorntack import transport
from buckthorntack.entry import _errors
from buckthorntack.entry import _events
from buckthorntack.entry import _reading
from buckthorntack.entry import _render
from buckthorntack.entry import _sink

ENTRY_LIST_MS = 5000
MODELS_PATH = "/v1/models"
ENTRIES_PATH = "/v1/entries"
ATTEMPTS_PREFIX = "/v1/attempts/"


class CallersApp:
    """Serves callers.

    :param parts: the ``EntryParts``.
    :param runner: the ``Runner``.
    :param limits: the settings' limits.
    """

    def __init__(self, parts, runner, limits):
        self.parts = parts
        self.runner = runner
        self.limits = limits
        self.reader = _reading.Reader(parts)
        self.in_progress = 0
        self._log = events.EventLog("entry")

    def asgi(self):
        """The application."""
        return transport.mounted_app(self.handle)

    async def handle(self, scope, receive, send):
        """Answer one request.

        :param scope: ASGI scope.
        :param receive: ASGI receive.
        :param send: ASGI send.
        """
        sink = _sink.CallerSink(send, "")
        self.in_progress += 1
        self.parts.members.set_in_flight(self.in_progress)
        try:
            await self._answer(scope, receive, sink)
            self.parts.metrics.answered(scope["method"])
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
            self.in_progress -= 1

    async def _refuse(self, sink, error):
        self.parts.metrics.refused(error)
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

    async def _answer(self, scope, receive, sink):
        headers = _reading.read_headers(scope, self.limits["header_bytes"])
        sink.request_id = _reading.request_id(headers)
        if self.in_progress > self.limits["connections"]:
            raise _errors.BusyError("", retry_after_ms=1000)
        path = scope["path"]
        organisation = self.reader.organisation(headers)
        if path == MODELS_PATH:
            await _render.send_json(sink, self._models(organisation))
        elif path == ENTRIES_PATH:
            await _render.send_json(sink, self._entries(organisation))
        elif path.startswith(ATTEMPTS_PREFIX):
            await self._cancel(scope, sink, organisation)
        else:
            self._check_residency(organisation)
            request = await self._read(scope, receive, headers, organisation)
            request = request._replace(request_id=sink.request_id)
            await self._run(request, receive, sink)

    def _check_residency(self, organisation):
        """Refuse before a byte of the body is read."""
        allowed = self.reader.published().allowed_regions(organisation)
        if self.parts.region not in allowed:
            detail = f"{organisation} may not send to {self.parts.region}"
            raise _errors.WrongRegionError(detail)

    async def _read(self, scope, receive, headers, organisation):
        path, method = scope["path"], scope["method"]
        if path in _reading.COMPLETION_PATHS and "last-event-id" in headers:
            return self.reader.resumption(headers, organisation)
        body = await _reading.read_body(
            headers, receive, self.limits["body_bytes"]
        )
        if path in _reading.COMPLETION_PATHS and method == "POST":
            return self.reader.completion(path, headers, body, organisation)
        if path.startswith(_reading.SERVICES_PREFIX):
            path = scope["raw_path"].partition(b"?")[0].decode("latin-1")
            query = _reading.read_query(scope)
            return self.reader.service_call(
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
        work = asyncio.create_task(self.runner.run(request, sink))
        gone = asyncio.create_task(_wait_until_gone(receive))
        try:
            await asyncio.wait(
                {work, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                work.cancel()
            await asyncio.gather(work, return_exceptions=True)
        finally:
            work.cancel()
            gone.cancel()
        if not work.cancelled():
            work.result()
            self._log.write(_events.REQUEST_ENDED, request=request.request_id)

    def _models(self, organisation):
        published = self.reader.published()
        models = [
            {"id": name, "object": "model", "owned_by": "operator"}
            for name in published.models_for(organisation)
        ]
        return {"object": "list", "data": models}

    def _entries(self, organisation):
        """Entry VMs to use, best first, and the prefix of new keys."""
        parts = self.parts
        allowed = self.reader.published().allowed_regions(organisation)
        regions = sorted(allowed, key=lambda name: name != parts.region)
        records = []
        for region in regions:
            records += parts.members.entry_list(region, parts.failure_domain)
        entries = [
            {
                "node_id": record.node_id,
                "url": record.caller_url,
                "region": record.region,
                "failure_domain": record.failure_domain,
            }
            for record in records
        ]
        document = {"entries": entries, "time_to_live_ms": ENTRY_LIST_MS}
        home = parts.own_home(allowed)
        if home is not None:
            wall_ms = int(parts.clock.wall().timestamp() * 1000)
            prefix = ledger.key_prefix(home["home_id"], wall_ms)
            document["idempotency_key_prefix"] = prefix
        return document

    async def _cancel(self, scope, sink, organisation):
        attempt_id = scope["path"].removeprefix(ATTEMPTS_PREFIX)
        verified = self.parts.signer.verify(attempt_id, organisation)
        if verified.is_error():
            raise verified.error
        target = self.parts.locate(attempt_id, organisation)
        if scope["method"] != "DELETE" or target is None:
            raise _errors.NotFoundError("attempt, or not of this region")
        self.parts.attempts.cancel(target)
        await _render.send_json(sink, {"cancelled": attempt_id})


async def _wait_until_gone(receive):
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
