"""HTTP client that runs attempts at backend servers."""

import asyncio
import contextlib
from typing import NamedTuple

import httpx
import msgspec

from buckthorntack import errors
from buckthorntack import events as logs
from buckthorntack import http1
from buckthorntack import retries
from buckthorntack import transport
from buckthorntack.entry import _events

ATTEMPT_HEADER = "x-attempt-id"
STATE_HEADER = "x-run-state"
#: Timeout of connecting to a backend server.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Timeout of an outcome query or a cancellation as a whole.
QUERY_TIMEOUT_SECONDS = 2.0
#: Largest whole answer that is taken.
MAX_BODY_BYTES = 33_554_432
EVENT_STREAM_TYPE = "text/event-stream"
#: Headers of a server's response that are passed on to the caller.
RESPONSE_HEADERS = ("content-type", "location", "etag", "cache-control")
NOT_RUN_STATUS = 503
#: Errors after which the request cannot have reached the server.
CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout)
#: Errors that leave the result of an outcome query unknown.
QUERY_ERRORS = (
    httpx.HTTPError,
    TimeoutError,
    msgspec.DecodeError,
    ValueError,
    KeyError,
    TypeError,
)


class Completed(NamedTuple):
    """Result of an attempt whose response was received completely."""

    status: int
    headers: list[tuple[str, str]]
    #: Empty for a stream, whose events were already sent to the sink.
    body: bytes
    tokens: int


class Target(NamedTuple):
    """An attempt and the backend server that runs it."""

    attempt_id: str
    server_id: str
    url: str


class AttemptClient:
    """Client with the connections to backend servers.

    :param clock: source of time.
    :param idle_timeout: time without data after which an open connection
        counts as failed.
    """

    def __init__(self, clock, idle_timeout):
        self.clock = clock
        self.idle_timeout = idle_timeout
        self._pooled = None
        self._unpooled = None
        self._cancel_tasks = set()
        self._log = logs.EventLog("entry")

    async def __aenter__(self):
        self._pooled = transport.StreamingTransport()
        self._unpooled = transport.StreamingTransport(keep_alive=False)
        return self

    async def __aexit__(self, *exc_info):
        await asyncio.gather(*self._cancel_tasks, return_exceptions=True)
        await self._pooled.aclose()
        await self._unpooled.aclose()

    async def run(
        self, request, target, priority, sink, relay, on_head, on_data
    ):
        """Send a request to a backend server and receive its response.

        :param request: the ``GatewayRequest``.
        :param target: the :class:`Target`.
        :param priority: priority rank sent to the server.
        :param sink: sink that the events of a stream are written to.
        :param relay: the ``EventRelay`` of a stream, else ``None``.
        :param on_head: function called when the head has been received.
        :param on_data: function called when data has been received.
        :returns: :class:`Completed` or a failure type of ``retries``.
        """
        headers = {
            ATTEMPT_HEADER: target.attempt_id,
            "x-request-id": request.request_id,
            "x-priority": str(priority),
            "content-type": request.content_type,
        }
        client = self._pooled if request.idempotent else self._unpooled
        outgoing = _build_request(
            request.method, target.url + request.path, headers, request.body
        )
        response_context = _open_response(client, outgoing)
        return await self._receive(
            response_context, target, sink, relay, on_head, on_data
        )

    async def resume(self, target, sink, relay, on_head, on_data=lambda: None):
        """Receive the rest of an attempt's response on a new connection.

        :param target: the :class:`Target`.
        :param sink: sink that the events of a stream are written to.
        :param relay: the ``EventRelay`` of a stream, else ``None``.
        :param on_head: function called when the head has been received.
        :param on_data: function called when data has been received.
        :returns: :class:`Completed` or a failure type of ``retries``.
        """
        after = relay.last_event if relay is not None else -1
        if relay is not None:
            relay.on_reconnected()
        url = f"{target.url}/attempts/{target.attempt_id}?after={after}"
        response_context = _open_response(
            self._unpooled, _build_request("GET", url)
        )
        result = await self._receive(
            response_context, target, sink, relay, on_head, on_data
        )
        if isinstance(result, Completed) and result.status == 404:
            return retries.ResumeFailed(target.server_id)
        if isinstance(result, retries.ConnectRefused):
            return retries.ResumeFailed(target.server_id)
        return result

    async def query_outcome(self, target):
        """Query the outcome of an attempt on a new connection.

        :param target: the :class:`Target`.
        :returns: ``retries.OutcomeTold``; its state is ``UNKNOWN`` if the
            server gave no valid response.
        """
        unknown = retries.OutcomeTold(
            target.server_id, errors.RunState.UNKNOWN, False
        )
        url = f"{target.url}/attempts/{target.attempt_id}/outcome"
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                request = _build_request("GET", url)
                async with _open_response(self._unpooled, request) as response:
                    content = await response.aread()
            outcome = msgspec.json.decode(content)
            state = errors.RunState(outcome["run_state"])
            running = bool(outcome["running"])
        except QUERY_ERRORS:
            return unknown
        if response.headers.get(ATTEMPT_HEADER) != target.attempt_id:
            return unknown
        return retries.OutcomeTold(target.server_id, state, running)

    async def fetch(self, target):
        """Fetch the whole response of an attempt that has ended.

        :param target: the :class:`Target`.
        :returns: :class:`Completed`, or ``None`` if the server no longer
            returns the response.
        """
        result = await self.resume(target, None, None, lambda: None)
        if isinstance(result, Completed) and result.status < 400:
            return result
        return None

    def cancel(self, target):
        """Cancel an attempt at its server, in a background task.

        :param target: the :class:`Target`.
        """
        url = f"{target.url}/attempts/{target.attempt_id}"
        task = asyncio.create_task(self._send_cancel(url))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _send_cancel(self, url):
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                async with _open_response(
                    self._unpooled, _build_request("DELETE", url)
                ):
                    return
        except (httpx.HTTPError, TimeoutError):
            return

    async def _receive(
        self, response_context, target, sink, relay, on_head, on_data
    ):
        server_id = target.server_id
        has_head = False
        try:
            async with asyncio.timeout(None) as timer:
                timer.reschedule(self._next_timeout())
                async with response_context as response:
                    has_head = True
                    attempt_id = response.headers.get(ATTEMPT_HEADER, "")
                    if attempt_id != target.attempt_id:
                        return retries.CrossedAnswer(server_id)
                    on_head()
                    return await self._read_response(
                        response, target, sink, relay, timer, on_data
                    )
        except TimeoutError:
            return retries.Silent(server_id)
        except CONNECT_ERRORS:
            return retries.ConnectRefused(server_id)
        except (httpx.HTTPError, http1.IncompleteResponseError) as error:
            self._log.write(
                _events.ANSWER_LOST,
                server=server_id,
                attempt=target.attempt_id,
                error=repr(error),
            )
            if has_head:
                return retries.LostMidStream(server_id)
            return retries.LostBeforeHead(server_id)

    def _next_timeout(self):
        now = asyncio.get_running_loop().time()
        return now + self.idle_timeout.total_seconds()

    async def _read_response(
        self, response, target, sink, relay, timer, on_data
    ):
        kind = response.headers.get("content-type", "")
        is_stream = kind.startswith(EVENT_STREAM_TYPE)
        if relay is not None and is_stream and response.status_code == 200:
            return await self._read_events(
                response, target, sink, relay, timer, on_data
            )
        return await self._read_body(
            response, target, timer, is_stream, on_data
        )

    async def _read_events(
        self, response, target, sink, relay, timer, on_data
    ):
        loop = asyncio.get_running_loop()
        idle_timeout_s = self.idle_timeout.total_seconds()
        async for data in response.stream:
            on_data()
            if timer.when() - loop.time() < idle_timeout_s / 2:
                timer.reschedule(loop.time() + idle_timeout_s)
            events = relay.feed(data)
            if relay.error is not None:
                return retries.CrossedAnswer(target.server_id)
            await self._write_events(events, target, sink, relay)
            if relay.done:
                return Completed(200, [], b"", relay.last_event)
        return retries.LostMidStream(target.server_id)

    async def _write_events(self, events, target, sink, relay):
        """Write checked bytes of a stream once it has a numbered event.

        The head waits for the first event because it names the attempt.
        """
        if not events or relay.last_event < 0:
            return
        if not sink.started:
            headers = [("content-type", EVENT_STREAM_TYPE)]
            headers.append(("cache-control", "no-store"))
            await sink.start(200, headers, target.attempt_id)
        await sink.write(events)

    async def _read_body(self, response, target, timer, is_stream, on_data):
        chunks = []
        size_bytes = 0
        boundary = http1.EventBoundary()
        async for data in response.stream:
            on_data()
            timer.reschedule(self._next_timeout())
            chunks.append(data)
            size_bytes += len(data)
            if size_bytes > MAX_BODY_BYTES:
                raise http1.UnexpectedResponseError("the body is too large")
            if is_stream:
                boundary.feed(data)
        if is_stream and boundary.is_inside_event:
            return retries.LostMidStream(target.server_id)
        body = b"".join(chunks)
        status = response.status_code
        state = response.headers.get(STATE_HEADER, "")
        if status == NOT_RUN_STATUS and state == errors.RunState.NOT_RUN:
            return retries.SaidNotRun(target.server_id)
        if status >= 500:
            return retries.EngineError(target.server_id, status)
        headers = [
            (name, response.headers[name])
            for name in RESPONSE_HEADERS
            if name in response.headers
        ]
        return Completed(status, headers, body, _estimate_tokens(body))


def _build_request(method, url, headers=(), body=b""):
    return httpx.Request(
        method,
        url,
        headers=dict(headers),
        content=body,
        extensions={"timeout": {"connect": CONNECT_TIMEOUT_SECONDS}},
    )


@contextlib.asynccontextmanager
async def _open_response(client, request):
    """Send a request and yield its response, which is closed on exit.

    :param client: the ``StreamingTransport``.
    :param request: the ``httpx.Request``.
    """
    response = await client.handle_async_request(request)
    try:
        yield response
    finally:
        await response.stream.aclose()


def _estimate_tokens(body):
    return len(body) // 16
