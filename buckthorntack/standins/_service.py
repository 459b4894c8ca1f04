"""A fake plain service that books, and tells what is free."""

import asyncio
import collections
import json

from buckthorntack.standins import _asgi


class ServiceFaults:
    """Faults that a trial switches on."""

    def __init__(self):
        self.silent_after_run = 0
        self.refuse_not_run = 0
        self.delay_ms = 2.0


class FakeService:
    """ASGI application of a plain service.

    :param server_id: its id.
    """

    def __init__(self, server_id):
        self.server_id = server_id
        self.faults = ServiceFaults()
        self.runs = collections.Counter()
        self.bodies = []
        self.answers = {}
        self.running = 0
        self.on_run = None

    async def __call__(self, scope, receive, send):
        body = await _asgi.read_body(receive)
        if body is None:
            return
        if scope["path"].startswith("/attempts/"):
            await self._attempt(scope, send)
            return
        attempt_id = _asgi.header(scope, "x-attempt-id")
        told = {"x-attempt-id": attempt_id}
        if self.faults.refuse_not_run > 0:
            self.faults.refuse_not_run -= 1
            told["x-run-state"] = "not_run"
            await _asgi.answer_json(send, 503, {"error": "full"}, told)
            return
        answer = await self._work(scope, body, attempt_id)
        if self.faults.silent_after_run > 0:
            self.faults.silent_after_run -= 1
            await asyncio.Event().wait()
        await _asgi.answer_json(send, 200, answer, told)

    async def _work(self, scope, body, attempt_id):
        self.running += 1
        if self.on_run is not None:
            self.on_run(attempt_id, scope["path"], body)
        await asyncio.sleep(self.faults.delay_ms / 1e3)
        self.running -= 1
        self.runs[attempt_id] += 1
        self.bodies.append((scope["method"], scope["path"], body))
        answer = {"number": len(self.bodies), "path": scope["path"]}
        self.answers[attempt_id] = answer
        return answer

    def load_report(self):
        """Load as the service announces it."""
        return {
            "running": self.running,
            "waiting": 0,
            "cache_used_fraction": 0.0,
        }

    def take_cache_events(self):
        """A plain service has no prompt cache."""
        return []

    async def _attempt(self, scope, send):
        parts = scope["path"].split("/")
        attempt_id = parts[2]
        told = {"x-attempt-id": attempt_id}
        known = self.answers.get(attempt_id)
        if known is None:
            await _asgi.answer_json(send, 404, {"error": "unknown"}, told)
        elif parts[-1] == "outcome":
            outcome = {
                "attempt_id": attempt_id,
                "run_state": "ran",
                "running": False,
            }
            await _asgi.answer_json(send, 200, outcome, told)
        else:
            await _asgi.answer_json(send, 200, known, told)


def booked(service, path):
    """Bodies that a service ran under one path.

    :param service: the :class:`FakeService`.
    :param path: the path.
    :returns: parsed bodies, in order.
    """
    return [
        json.loads(body) for _, seen, body in service.bodies if seen == path
    ]
