"""Requests that break off, at the stand-ins of servers."""

import asyncio

import pytest

from buckthorntack.standins import _engine
from buckthorntack.standins import _service

PART = {"type": "http.request", "body": b"par", "more_body": True}
DISCONNECT = {"type": "http.disconnect"}
SCOPE = {
    "method": "POST",
    "path": "/v1/completions",
    "headers": [(b"x-attempt-id", b"a1")],
    "query_string": b"",
}


# Guards against a stand-in that runs a request whose body was cut.
@pytest.mark.parametrize("server", [_engine.FakeEngine, _service.FakeService])
def test_request_that_breaks_off_is_not_run(server):
    application = server("s1")
    messages = [PART, DISCONNECT]
    sent = []

    async def receive():
        return messages.pop(0)

    async def send(message):
        sent.append(message)

    asyncio.run(application(SCOPE, receive, send))
    assert not application.runs
    assert not sent
