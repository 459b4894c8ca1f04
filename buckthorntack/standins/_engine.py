"""A fake model engine: paced tokens, a prefix cache, attempts, orders."""

import asyncio
import collections
import json
from typing import NamedTuple

import msgspec

from buckthorntack.routing import format_prefix_hash
from buckthorntack.routing import prefix_hashes
from buckthorntack.routing import read_prompt
from buckthorntack.standins import _asgi

KEPT_ATTEMPTS = 2000
KEEP_ALIVE_SECONDS = 0.5
CRASH_MARK = b"crash-the-server"
BYTES_PER_TOKEN = 4
KEEP_ALIVE = b": working\n\n"


class EngineProfile(NamedTuple):
    """How fast an engine is, and how large."""

    slots: int = 8
    prefill_tokens_per_second: float = 8000.0
    token_ms: float = 25.0
    cached_blocks: int = 4000
    default_tokens: int = 16


class EngineWork:
    """What an engine has done since it started."""

    def __init__(self):
        self.prefilled_tokens = 0.0
        self.cached_tokens = 0.0
        self.generated_tokens = 0


class EngineFaults:
    """Faults that a trial switches on."""

    def __init__(self):
        self.crash_on_mark = True
        self.silent_connections = 0
        self.crossed_answers = 0
        self.refuse_not_run = 0
        self.cut_after_events = None
        self.ignores_fencing = False


class _Attempt:
    """One request in progress or done, kept for resumption."""

    def __init__(self, attempt_id, tokens, streamed, model):
        self.attempt_id = attempt_id
        self.tokens = tokens
        self.streamed = streamed
        self.model = model
        self.events = []
        self.done = False
        self.cancelled = False
        self.changed = asyncio.Event()
        self.task = None

    def add(self, data):
        """Add the data of one event.

        :param data: its payload.
        """
        number = len(self.events)
        head = f"id: {self.attempt_id}/{number}\ndata: "
        self.events.append(head.encode() + data + b"\n\n")
        self._wake()

    def finish(self):
        """Mark the answer as whole."""
        self.done = True
        self._wake()

    def cancel(self):
        """Generate no more; who reads the stream sees it end."""
        self.cancelled = True
        self.task.cancel()
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class FakeEngine:
    """ASGI application of an engine.

    :param server_id: its id.
    :param profile: :class:`EngineProfile`.
    :param model_versions: names of model versions loaded.
    """

    def __init__(self, server_id, profile=None, model_versions=()):
        self.server_id = server_id
        self.profile = profile or EngineProfile()
        self.model_versions = list(model_versions)
        self.adapters = []
        self.role = "both"
        self.faults = EngineFaults()
        self.on_crash = None
        self.on_run = None
        self.work = EngineWork()
        self.attempts = collections.OrderedDict()
        self.running = 0
        self.waiting = 0
        self.runs = collections.Counter()
        self.ran_for = []
        self.cancelled = 0
        self.fencing = 0
        self.orders = []
        self._slots = asyncio.Semaphore(self.profile.slots)
        self._prefilling = asyncio.Lock()
        self._cache = collections.OrderedDict()
        self._cache_events = []
        self._cache_sequence = 0
        self._crashed = False

    async def __call__(self, scope, receive, send):
        method, path = scope["method"], scope["path"]
        if self._crashed:
            await asyncio.Event().wait()
        if method == "POST" and path.startswith("/v1/"):
            await self._run(scope, receive, send)
        elif path.startswith("/attempts/"):
            await self._attempt(scope, send)
        elif path == "/orders":
            await self._order(receive, send)
        else:
            await _asgi.answer_json(send, 404, {"error": "no such call"})

    def load_report(self):
        """Load as the engine announces it."""
        used = len(self._cache) / max(1, self.profile.cached_blocks)
        return {
            "running": self.running,
            "waiting": self.waiting,
            "cache_used_fraction": min(1.0, used),
        }

    def take_cache_events(self):
        """Cache events since the last call."""
        taken, self._cache_events = self._cache_events, []
        return taken

    def crash(self):
        """Drop all state, as a killed process does."""
        self._crashed = True
        for attempt in self.attempts.values():
            if attempt.task is not None:
                attempt.task.cancel()
        if self.on_crash is not None:
            self.on_crash()

    async def _run(self, scope, receive, send):
        body = await _asgi.read_body(receive)
        if body is None:
            return
        attempt_id = _asgi.header(scope, "x-attempt-id")
        if self.faults.refuse_not_run > 0:
            self.faults.refuse_not_run -= 1
            told = {"x-attempt-id": attempt_id, "x-run-state": "not_run"}
            await _asgi.answer_json(send, 503, {"error": "full"}, told)
            return
        if self.faults.crash_on_mark and CRASH_MARK in body:
            self._note_run(attempt_id, scope, body)
            self.crash()
            await asyncio.Event().wait()
        attempt = self._start(scope, body, attempt_id)
        if self.faults.silent_connections > 0:
            self.faults.silent_connections -= 1
            await asyncio.Event().wait()
        await self._answer(attempt, -1, send)

    def _note_run(self, attempt_id, scope, body):
        self.runs[attempt_id] += 1
        if self.on_run is not None:
            self.on_run(attempt_id, scope["path"], body)

    def _start(self, scope, body, attempt_id):
        self._note_run(attempt_id, scope, body)
        request = msgspec.json.decode(body)
        tokens = request.get("max_tokens") or self.profile.default_tokens
        attempt = _Attempt(
            attempt_id,
            tokens,
            bool(request.get("stream")),
            request.get("model", ""),
        )
        self.attempts[attempt_id] = attempt
        while len(self.attempts) > KEPT_ATTEMPTS:
            self.attempts.popitem(last=False)
        attempt.task = asyncio.create_task(self._generate(attempt, body))
        return attempt

    async def _generate(self, attempt, body):
        self.waiting += 1
        try:
            await self._slots.acquire()
        except asyncio.CancelledError:
            self.waiting -= 1
            raise
        try:
            await self._prefill(body)
            for number in range(attempt.tokens):
                attempt.add(_token(attempt, number))
                self.work.generated_tokens += 1
                await asyncio.sleep(self.profile.token_ms / 1e3)
            attempt.add(b"[DONE]")
            attempt.finish()
        finally:
            self.running -= 1
            self._slots.release()

    async def _prefill(self, body):
        """Prompts share the server's prefill speed: one after another."""
        try:
            await self._prefilling.acquire()
        finally:
            self.waiting -= 1
            self.running += 1
        try:
            await asyncio.sleep(self._prefill_seconds(body))
        finally:
            self._prefilling.release()

    def _prefill_seconds(self, body):
        prompt = read_prompt(body).ok.content
        hashes = prefix_hashes(prompt)
        cached = 0
        for block in hashes:
            if block not in self._cache:
                break
            cached += 1
        self._remember(hashes)
        share = cached / len(hashes) if hashes else 0.0
        whole = len(prompt) / BYTES_PER_TOKEN
        tokens = whole * (1 - share)
        self.work.prefilled_tokens += tokens
        self.work.cached_tokens += whole - tokens
        return tokens / self.profile.prefill_tokens_per_second

    def _remember(self, hashes):
        fresh = [block for block in hashes if block not in self._cache]
        for block in hashes:
            self._cache[block] = None
            self._cache.move_to_end(block)
        if fresh:
            self._note("stored", fresh)
        gone = []
        while len(self._cache) > self.profile.cached_blocks:
            gone.append(self._cache.popitem(last=False)[0])
        if gone:
            self._note("removed", gone)

    def _note(self, kind, hashes):
        self._cache_sequence += 1
        event = {
            "sequence": self._cache_sequence,
            "kind": kind,
            "prefix_hashes": [format_prefix_hash(block) for block in hashes],
        }
        self._cache_events.append(event)

    async def _answer(self, attempt, after, send):
        named = attempt.attempt_id
        if self.faults.crossed_answers > 0:
            self.faults.crossed_answers -= 1
            named = "another-attempt"
        if attempt.streamed:
            await self._stream(attempt, named, after, send)
        else:
            await self._whole(attempt, named, send)

    async def _stream(self, attempt, named, after, send):
        told = {"content-type": "text/event-stream", "x-attempt-id": named}
        await _asgi.start(send, 200, told)
        position = after + 1
        while True:
            changed = attempt.changed
            fresh = attempt.events[position:]
            position += len(fresh)
            if fresh:
                await _asgi.body(send, b"".join(fresh), more=True)
            cut = self.faults.cut_after_events
            if cut is not None and position >= cut:
                self.faults.cut_after_events = None
                raise ConnectionResetError("fault: connection cut")
            ended = attempt.done or attempt.cancelled
            if ended and position >= len(attempt.events):
                break
            await self._wait(changed, send)
        await _asgi.body(send, b"")

    async def _wait(self, changed, send):
        try:
            async with asyncio.timeout(KEEP_ALIVE_SECONDS):
                await changed.wait()
        except TimeoutError:
            await _asgi.body(send, KEEP_ALIVE, more=True)

    async def _whole(self, attempt, named, send):
        while not attempt.done:
            await attempt.changed.wait()
        content = " ".join(f"t{n}" for n in range(attempt.tokens))
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }
        document = {
            "id": attempt.attempt_id,
            "object": "chat.completion",
            "model": attempt.model,
            "choices": [choice],
            "usage": {"completion_tokens": attempt.tokens},
        }
        await _asgi.answer_json(send, 200, document, {"x-attempt-id": named})

    async def _attempt(self, scope, send):
        parts = scope["path"].split("/")
        attempt = self.attempts.get(parts[2])
        told = {"x-attempt-id": parts[2]}
        if attempt is None:
            await _asgi.answer_json(send, 404, {"error": "unknown"}, told)
        elif scope["method"] == "DELETE":
            self._cancel(attempt)
            await _asgi.answer_json(send, 200, {}, told)
        elif parts[-1] == "outcome":
            await _asgi.answer_json(send, 200, _outcome(attempt), told)
        else:
            query = scope["query_string"].decode()
            after = int(query.removeprefix("after=") or -1)
            await self._answer(attempt, after, send)

    def _cancel(self, attempt):
        if not attempt.done and not attempt.cancelled:
            self.cancelled += 1
            attempt.cancel()

    async def _order(self, receive, send):
        body = await _asgi.read_body(receive)
        if body is None:
            return
        order = json.loads(body)
        if order["fencing"] < self.fencing and not self.faults.ignores_fencing:
            reason = "an order with a higher fencing number was seen"
            refused = {"accepted": False, "fencing": self.fencing}
            await _asgi.answer_json(send, 409, {**refused, "reason": reason})
            return
        self.fencing = max(self.fencing, order["fencing"])
        self.orders.append(order)
        self.model_versions = list(order["model_versions"])
        self.adapters = list(order["adapters"])
        self.role = order["role"]
        answer = {"accepted": True, "fencing": self.fencing}
        await _asgi.answer_json(send, 200, answer)


def _outcome(attempt):
    return {
        "attempt_id": attempt.attempt_id,
        "run_state": "ran",
        "running": not attempt.done and not attempt.cancelled,
        "last_event": len(attempt.events) - 1,
    }


def _token(attempt, number):
    delta = {"content": f"t{number} "}
    document = {
        "id": attempt.attempt_id,
        "object": "chat.completion.chunk",
        "model": attempt.model,
        "choices": [{"index": 0, "delta": delta}],
    }
    return msgspec.json.encode(document)
