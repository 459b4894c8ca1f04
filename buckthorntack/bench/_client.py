"""A caller that measures when each part of an answer comes."""

import asyncio
import json
import re
import time
from typing import NamedTuple

import httpx

from buckthorntack.bench import _mix

#: One-way delay between callers and entry VMs.
CLIENT_DELAY_S = 0.003
READ_SECONDS = 60.0
CONNECT_SECONDS = 5.0
ERROR_EVENT = b"event: error"
END_MARK = b"data: [DONE]\n\n"
_EVENT_ID = re.compile(rb"^id: ([^/\n]+)/(\d+)$", re.MULTILINE)


class Observation(NamedTuple):
    """What a caller saw of one request."""

    request: _mix.TimedRequest
    status: int
    #: Run state told with a refusal; empty for an answer.
    run_state: str
    error: str
    #: Time to the first event or, if not streamed, to the answer's end.
    first_token_ms: float
    between_tokens_ms: tuple[float, ...]
    attempt_ids: frozenset[str]
    event_numbers: tuple[int, ...]
    whole: bool
    #: Whether the connection broke before the answer's end.
    broken: bool


class _Reading:
    """An answer as it comes."""

    def __init__(self, begun_s):
        self.begun_s = begun_s
        self.body = bytearray()
        self.times_s = []
        self.status = 0
        self.headers = {}
        self.failure = ""

    def take(self, data):
        self.body += data
        events = data.count(b"data: ")
        self.times_s += [time.monotonic()] * events


class LoadCaller:
    """Sends the requests of one organisation.

    :param token: the organisation's token.
    :param key_prefix: called with a region, gives the prefix of keys.
    """

    def __init__(self, token, key_prefix):
        self.token = token
        self.key_prefix = key_prefix
        self._keys = {}
        self._client = None

    async def __aenter__(self):
        limits = httpx.Limits(max_connections=None)
        timeout = httpx.Timeout(READ_SECONDS, connect=CONNECT_SECONDS)
        self._client = httpx.AsyncClient(
            limits=limits, timeout=timeout, trust_env=False
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._client.aclose()

    async def send(self, request, urls):
        """Send a request and take its answer.

        :param request: the ``TimedRequest``.
        :param urls: entry VMs to try, as long as none can be reached.
        :returns: the :class:`Observation`.
        """
        reading = _Reading(time.monotonic())
        arguments = self._arguments(request)
        for url in urls:
            reading.failure = ""
            await asyncio.sleep(CLIENT_DELAY_S)
            try:
                await self._ask(reading, request, url, arguments)
                break
            except httpx.ConnectError as failure:
                reading.failure = repr(failure)
            except httpx.HTTPError as failure:
                reading.failure = repr(failure)
                break
        return _observation(request, reading)

    async def _ask(self, reading, request, url, arguments):
        path = _path(request)
        async with self._client.stream(
            request.kind.method, url + path, **arguments
        ) as response:
            reading.status = response.status_code
            reading.headers = response.headers
            async for data in response.aiter_raw():
                reading.take(data)

    def _arguments(self, request):
        headers = {"authorization": f"Bearer {self.token}"}
        kind = request.kind
        if not kind.idempotent:
            headers["idempotency-key"] = self._key(request)
            return {"headers": headers, "json": {"lot": request.mark}}
        if kind.method == "GET":
            return {"headers": headers}
        message = {"role": "user", "content": _mix.prompt(request)}
        document = {
            "model": kind.service,
            "messages": [message],
            "stream": kind.streamed,
            "max_tokens": kind.max_tokens,
        }
        return {"headers": headers, "json": document}

    def _key(self, request):
        key = self._keys.get(request.number)
        if key is None:
            key = self.key_prefix(request.region) + request.mark
            self._keys[request.number] = key
        return key


def _path(request):
    kind = request.kind
    if kind.max_tokens:
        return kind.path
    path = f"/services/{kind.service}{kind.path}"
    return path if kind.method == "POST" else path + request.mark


def _observation(request, reading):
    body = bytes(reading.body)
    ended_s = time.monotonic()
    times_s = reading.times_s or [ended_s]
    first_s = times_s[0] - reading.begun_s + CLIENT_DELAY_S
    gaps = zip(times_s, times_s[1:], strict=False)
    pairs = _EVENT_ID.findall(body)
    named = {attempt.decode() for attempt, _ in pairs}
    if not pairs and "x-attempt-id" in reading.headers:
        named = {reading.headers["x-attempt-id"]}
    state, error = _refusal(reading, body)
    return Observation(
        request,
        reading.status,
        state,
        error,
        first_s * 1e3,
        tuple((b - a) * 1e3 for a, b in gaps),
        frozenset(named),
        tuple(int(number) for _, number in pairs),
        _is_whole(request, reading, body),
        bool(reading.failure),
    )


def _is_whole(request, reading, body):
    if reading.status != 200 or reading.failure:
        return False
    streamed = request.kind.max_tokens and request.kind.streamed
    return body.endswith(END_MARK) if streamed else bool(body)


def _refusal(reading, body):
    """Run state and kind of the error that an answer tells."""
    if reading.status == 200 and ERROR_EVENT in body:
        body = body[body.rfind(b"data: ") + len(b"data: ") :]
    elif reading.status == 200:
        return ("unknown" if reading.failure else ""), reading.failure
    elif reading.failure:
        unsent = "ConnectError" in reading.failure
        return ("not_run" if unsent else "unknown"), reading.failure
    try:
        error = json.loads(body)["error"]
        return error["run_state"], error["type"]
    except (ValueError, KeyError, TypeError):
        return "unknown", f"status {reading.status}"
