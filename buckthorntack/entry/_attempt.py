"""One attempt at a backend server, over HTTP."""

import asyncio
import contextlib
from typing import NamedTuple

import httpx
import msgspec

from buckthorntack import errors
from buckthorntack import retries
from buckthorntack import transport

ATTEMPT_HEADER = "x-attempt-id"
STATE_HEADER = "x-run-state"
CONNECT_SECONDS = 1.0
ASK_SECONDS = 2.0
EVENT_STREAM = "text/event-stream"
PASSED_HEADERS = ("content-type", "location", "etag", "cache-control")
NOT_RUN_STATUS = 503
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout)


UNREADABLE = (
    httpx.HTTPError,
    TimeoutError,
    msgspec.DecodeError,
    ValueError,
    KeyError,
    TypeError,
)


class Done(NamedTuple):
    """The attempt's whole answer was received."""

    status: int
    headers: list[tuple[str, str]]
    #: Empty for a stream, which was handed on already.
    body: bytes
    tokens: int


class Target(NamedTuple):
    """Where an attempt runs."""

    attempt_id: str
    server_id: str
    url: str


class AttemptClient:
    """Owns the connections to backend servers.

    :param clock: source of time.
    :param progress: longest silence of an open connection.
    """

    def __init__(self, clock, progress):
        self.clock = clock
        self.progress = progress
        self._shared = None
        self._single = None
        self._cancels = set()

    async def __aenter__(self):
        self._shared = transport.StreamingTransport()
        self._single = transport.StreamingTransport(keep_alive=False)
        return self

    async def __aexit__(self, *exc_info):
        await asyncio.gather(*self._cancels, return_exceptions=True)
        await self._shared.aclose()
        await self._single.aclose()

    async def run(self, request, target, priority, sink, relay, on_head):
        """Send a request and take its answer.

        :param request: the ``GatewayRequest``.
        :param target: the :class:`Target`.
        :param priority: rank told to the server.
        :param sink: where a stream goes.
        :param relay: the ``EventRelay`` of a stream, else ``None``.
        :param on_head: called when the head has come.
        :returns: :class:`Done` or a failure of ``retries``.
        """
        headers = {
            ATTEMPT_HEADER: target.attempt_id,
            "x-request-id": request.request_id,
            "x-priority": str(priority),
            "content-type": request.content_type,
        }
        client = self._shared if request.idempotent else self._single
        outgoing = _request(
            request.method, target.url + request.path, headers, request.body
        )
        opened = _opened(client, outgoing)
        return await self._take(opened, target, sink, relay, on_head)

    async def resume(self, target, sink, relay, on_head):
        """Take the rest of an attempt's answer on a new connection.

        :param target: the :class:`Target`.
        :param sink: where a stream goes.
        :param relay: the ``EventRelay`` of a stream, else ``None``.
        :param on_head: called when the head has come.
        :returns: :class:`Done` or a failure of ``retries``.
        """
        after = relay.last_event if relay is not None else -1
        if relay is not None:
            relay.reconnected()
        url = f"{target.url}/attempts/{target.attempt_id}?after={after}"
        opened = _opened(self._single, _request("GET", url))
        result = await self._take(opened, target, sink, relay, on_head)
        if isinstance(result, Done) and result.status == 404:
            return retries.ResumeFailed(target.server_id)
        if isinstance(result, retries.ConnectRefused):
            return retries.ResumeFailed(target.server_id)
        return result

    async def ask_outcome(self, target):
        """Ask what became of an attempt, on a new connection.

        :param target: the :class:`Target`.
        :returns: ``retries.OutcomeTold``.
        """
        unknown = retries.OutcomeTold(
            target.server_id, errors.RunState.UNKNOWN, False
        )
        url = f"{target.url}/attempts/{target.attempt_id}/outcome"
        try:
            async with asyncio.timeout(ASK_SECONDS):
                request = _request("GET", url)
                async with _opened(self._single, request) as answer:
                    content = await answer.aread()
            told = msgspec.json.decode(content)
            state = errors.RunState(told["run_state"])
            running = bool(told["running"])
        except UNREADABLE:
            return unknown
        if answer.headers.get(ATTEMPT_HEADER) != target.attempt_id:
            return unknown
        return retries.OutcomeTold(target.server_id, state, running)

    async def fetch(self, target):
        """Fetch the whole answer of an attempt that has ended.

        :param target: the :class:`Target`.
        :returns: :class:`Done`, or None if it cannot be had.
        """
        result = await self.resume(target, None, None, lambda: None)
        if isinstance(result, Done) and result.status < 400:
            return result
        return None

    def cancel(self, target):
        """Tell a server in the background that an answer is not wanted.

        :param target: the :class:`Target`.
        """
        url = f"{target.url}/attempts/{target.attempt_id}"
        work = asyncio.create_task(self._send_cancel(url))
        self._cancels.add(work)
        work.add_done_callback(self._cancels.discard)

    async def _send_cancel(self, url):
        try:
            async with asyncio.timeout(ASK_SECONDS):
                async with _opened(self._single, _request("DELETE", url)):
                    return
        except (httpx.HTTPError, TimeoutError):
            return

    async def _take(self, opened, target, sink, relay, on_head):
        server_id = target.server_id
        head_came = False
        try:
            async with asyncio.timeout(None) as limit:
                limit.reschedule(self._limit())
                async with opened as response:
                    head_came = True
                    told = response.headers.get(ATTEMPT_HEADER, "")
                    if told != target.attempt_id:
                        return retries.CrossedAnswer(server_id)
                    on_head()
                    return await self._read(
                        response, target, sink, relay, limit
                    )
        except TimeoutError:
            return retries.Silent(server_id)
        except NOT_SENT:
            return retries.ConnectRefused(server_id)
        except httpx.HTTPError:
            if head_came:
                return retries.LostMidStream(server_id)
            return retries.LostBeforeHead(server_id)

    def _limit(self):
        now = asyncio.get_running_loop().time()
        return now + self.progress.total_seconds()

    async def _read(self, response, target, sink, relay, limit):
        kind = response.headers.get("content-type", "")
        is_stream = kind.startswith(EVENT_STREAM)
        if relay is not None and is_stream and response.status_code == 200:
            return await self._read_events(
                response, target, sink, relay, limit
            )
        return await self._read_whole(response, target, limit)

    async def _read_events(self, response, target, sink, relay, limit):
        loop = asyncio.get_running_loop()
        pause = self.progress.total_seconds()
        async for data in response.stream:
            if limit.when() - loop.time() < pause / 2:
                limit.reschedule(loop.time() + pause)
            checked = relay.feed(data)
            if relay.error is not None:
                return retries.CrossedAnswer(target.server_id)
            await self._hand_on(checked, target, sink, relay)
            if relay.done:
                return Done(200, [], b"", relay.last_event)
        return retries.LostMidStream(target.server_id)

    async def _hand_on(self, checked, target, sink, relay):
        """Send events; the head, which names the attempt, with the first."""
        if not checked or relay.last_event < 0:
            return
        if not sink.started:
            headers = [("content-type", EVENT_STREAM)]
            headers.append(("cache-control", "no-store"))
            await sink.start(200, headers, target.attempt_id)
        await sink.write(checked)

    async def _read_whole(self, response, target, limit):
        parts = []
        async for data in response.stream:
            limit.reschedule(self._limit())
            parts.append(data)
        body = b"".join(parts)
        status = response.status_code
        state = response.headers.get(STATE_HEADER, "")
        if status == NOT_RUN_STATUS and state == errors.RunState.NOT_RUN:
            return retries.SaidNotRun(target.server_id)
        if status >= 500:
            return retries.EngineError(target.server_id, status)
        headers = [
            (name, response.headers[name])
            for name in PASSED_HEADERS
            if name in response.headers
        ]
        return Done(status, headers, body, _tokens(body))


def _request(method, url, headers=(), body=b""):
    return httpx.Request(
        method,
        url,
        headers=dict(headers),
        content=body,
        extensions={"timeout": {"connect": CONNECT_SECONDS}},
    )


@contextlib.asynccontextmanager
async def _opened(client, request):
    """The answer to a request, closed at the end.

    :param client: the ``StreamingTransport``.
    :param request: ``httpx.Request``.
    """
    response = await client.handle_async_request(request)
    try:
        yield response
    finally:
        await response.stream.aclose()


def _tokens(body):
    return len(body) // 16
