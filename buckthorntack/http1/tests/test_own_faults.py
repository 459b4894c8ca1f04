"""Faults of the gateway itself while a request is read."""

import logbook
import pytest

from buckthorntack import http1
from buckthorntack.http1 import _server
from buckthorntack.http1.tests import test_slow_peers

BODY_BYTES = 100_000
WHOLE = b"POST /small HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b" % (
    BODY_BYTES,
    b"a" * BODY_BYTES,
)
CHUNKED = (
    b"POST /small HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%b\r\n0\r\n\r\n" % (BODY_BYTES, b"a" * BODY_BYTES)
)
SMALL = b"POST /small HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"


def fail(*arguments):
    raise TypeError("an argument is missing")


def list_errors(log):
    """Names and errors of the lines that are errors."""
    return [
        (record.extra["name"], record.extra["error"])
        for record in log.records
        if record.level >= logbook.ERROR
    ]


def run(scenario, sent):
    """Send some bytes to a listener that fails to find an organisation.

    :param scenario: coroutine function of the relay, the whole response and
        the log.
    """

    async def begun(relay):
        memory = relay.front.memory
        relay.front.memory = memory._replace(find_owner=fail)
        reader, writer = await relay.connect()
        log = logbook.TestHandler()
        with log.applicationbound():
            writer.write(sent)
            await scenario(relay, await reader.read(), log)
        writer.close()
        await relay.until(lambda: relay.budget.held_bytes == 0)

    test_slow_peers.run(begun)


# Guards against a fault of the gateway's own that is answered as one of the
# request, which its caller then gives up.
@pytest.mark.parametrize("sent", [WHOLE, CHUNKED], ids=["length", "chunks"])
def test_fault_while_a_request_is_read_is_an_internal_error(sent):
    async def scenario(relay, response, log):
        assert response.startswith(b"HTTP/1.1 500 ")
        # Header fields of what is not handled.
        assert b"Retry-After: 1\r\n" in response
        assert response.endswith(b"\r\n\r\ninternal error\n")
        assert relay.handled == 0
        error = repr(TypeError("an argument is missing"))
        assert list_errors(log) == [("reading_failed", error)]

    run(scenario, sent)


def test_earlier_request_is_answered_before_the_internal_error():
    async def scenario(relay, response, log):
        first, _, second = response.partition(b"HTTP/1.1 500 ")
        assert first.startswith(b"HTTP/1.1 200 ")
        assert second.endswith(b"\r\n\r\ninternal error\n")
        assert relay.handled == 1

    run(scenario, SMALL + WHOLE)


# Guards against "not run" for a request that is whole and may run.
def test_fault_after_a_request_is_whole_promises_nothing(monkeypatch):
    async def scenario(relay, response, log):
        assert response == b""
        reason = http1.EndReason.HANDLER_FAILED
        assert relay.front.unanswered == {reason: 1}
        assert [event for event, _ in list_errors(log)] == ["reading_failed"]

    monkeypatch.setattr(_server._ServerConnection, "_start_next_request", fail)
    run(scenario, SMALL)


# Guards against bytes that are no request and that count as a fault.
def test_bytes_that_are_no_request_are_refused_as_such():
    async def scenario(relay, response, log):
        assert response.startswith(b"HTTP/1.1 400 ")
        assert list_errors(log) == []

    run(scenario, b"no request\r\n\r\n")
