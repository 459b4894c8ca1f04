"""Requests at an entry VM whose graceful shutdown has a time limit."""

import asyncio
import contextlib
import re
import time

import httpx
import pytest

from buckthorntack import standins
from buckthorntack.node.tests import _harness

NOTICE_MS = 400
DRAIN_MS = 700
#: Time from the stop signal to a pause, and its length.  It begins before
#: requests in progress are ended and lasts beyond the limit of the stop.
PAUSE_AT_S = 0.78
PAUSE_S = 0.5
#: Longer than the whole stop.
RUN_MS = 8000.0
TOKEN_MS = 150.0
#: Tokens of a stream that outlasts the stop.
STREAM_TOKENS = 12


@pytest.fixture(scope="module")
def harness():
    layout = standins.Layout(
        one_way_ms=1.0,
        servers={"vergedesk": 3, "pitchwriter": 3},
        engine=standins.EngineProfile(token_ms=TOKEN_MS),
        timing={"stop_notice_ms": NOTICE_MS, "drain_ms": DRAIN_MS},
    )
    with _harness.DeploymentHarness(layout) as started:
        for server in started.list_servers("vergedesk"):
            server.fake.faults.delay_ms = RUN_MS
        yield started


async def _look_up(harness, url, marker):
    """Send an idempotent request; None if it gets no answer."""
    caller = harness.callers[_harness.ALL_REGIONS_ORGANISATION]
    try:
        return await caller.request(
            "GET", f"{url}/services/vergedesk/availability/{marker}"
        )
    except httpx.TransportError:
        return None


async def _chat(harness, url):
    """Ask for a completion that is no stream; None without an answer."""
    caller = harness.callers[_harness.ALL_REGIONS_ORGANISATION]
    try:
        return await caller.chat(url, "pitchwriter", "Stop.", max_tokens=64)
    except httpx.TransportError:
        return None


# Guards against requests in progress that the time limit of a planned stop
# cuts off without an answer.
def test_requests_in_progress_are_cut_at_the_limit_of_a_stop(harness):
    async def scenario():
        node = harness.deployment.nodes["fukuoka-a-2"]
        url = node.entry.caller_listener.url
        key = harness.deployment.key_prefix("fukuoka") + "cut"
        pending = [
            asyncio.create_task(harness.send_booking(url, key, "cut")),
            asyncio.create_task(_look_up(harness, url, "cut")),
            asyncio.create_task(_chat(harness, url)),
        ]
        callers = node.entry.callers
        await _harness.wait_until(lambda: callers.in_progress == len(pending))
        await _harness.wait_until(lambda: harness.list_runs("cut"))
        await harness.deployment.stop_node("fukuoka-a-2")
        answers = await asyncio.gather(*pending)
        assert [answer and answer.status for answer in answers] == [504] * 3
        for answer in answers:
            assert _harness.run_state(answer) == "unknown"

    harness.run(scenario())


# Guards against requests that come after the stop signal, are passed on to a
# server although the stop leaves no time for them, and are cut at its limit.
def test_requests_that_come_late_are_begun_without_time(harness):
    async def scenario():
        node = harness.deployment.nodes["kumamoto-a-2"]
        url = node.entry.caller_listener.url
        key = harness.deployment.key_prefix("kumamoto") + "late"
        stopping = asyncio.create_task(
            harness.deployment.stop_node("kumamoto-a-2")
        )
        await _harness.wait_until(lambda: not node.entry.is_ready())
        answers = await asyncio.gather(
            harness.send_booking(url, key, "late"),
            _look_up(harness, url, "late"),
            _chat(harness, url),
        )
        await stopping
        assert [answer and answer.status for answer in answers] == [503] * 3
        for answer in answers:
            assert _harness.run_state(answer) == "not_run"
            assert int(answer.headers["retry-after"]) > 0
        assert not harness.list_runs("late")

    harness.run(scenario())


async def _read_stream(harness, url, body):
    """Read a stream into a ``bytearray`` until its connection is lost."""
    caller = harness.callers[_harness.ALL_REGIONS_ORGANISATION]
    document = {
        "model": "pitchwriter",
        "stream": True,
        "max_tokens": STREAM_TOKENS,
        "messages": [{"role": "user", "content": "Resume."}],
    }
    async with httpx.AsyncClient(timeout=30, trust_env=False) as client:
        request = client.stream(
            "POST",
            f"{url}/v1/chat/completions",
            headers={"authorization": f"Bearer {caller.token}"},
            json=document,
        )
        with pytest.raises(httpx.TransportError):
            async with request as response:
                async for part in response.aiter_raw():
                    body += part


# Guards against a stream that the time limit of a planned stop cuts off and
# that cannot be resumed, as its attempt is cancelled at its server.
def test_stream_that_a_stop_cuts_off_is_cancelled_at_its_server(harness):
    async def scenario():
        node = harness.deployment.nodes["kagoshima-a-2"]
        url = node.entry.caller_listener.url
        body = bytearray()
        reading = asyncio.create_task(_read_stream(harness, url, body))
        await _harness.wait_until(lambda: b"id: " in body)
        await harness.deployment.stop_node("kagoshima-a-2")
        await reading
        event_ids = re.findall(rb"^id: (\S+)$", bytes(body), re.MULTILINE)
        caller = harness.callers[_harness.ALL_REGIONS_ORGANISATION]
        answer = await caller.chat(
            harness.caller_url("kagoshima"),
            "pitchwriter",
            "Resume.",
            stream=True,
            headers={"last-event-id": event_ids[-1].decode()},
        )
        assert answer.whole, answer.body
        numbers = _harness.parse_event_numbers(bytes(body))
        numbers += _harness.parse_event_numbers(answer.body)
        assert numbers == list(range(STREAM_TOKENS + 1))

    harness.run(scenario())


async def _ask_from_afar(harness):
    """Ask for a stream whose only servers are in kumamoto."""
    caller = harness.callers[_harness.ALL_REGIONS_ORGANISATION]
    with contextlib.suppress(httpx.TransportError):
        await caller.chat(
            harness.caller_url("fukuoka"),
            "pitchwriter",
            "Far.",
            stream=True,
            max_tokens=100,
        )


# Guards against forwarded streams that a planned stop waits for beyond its
# time limit, until the process is killed.
def test_forwarded_streams_hold_up_a_stop_beyond_its_limit(harness):
    async def scenario():
        for server in harness.list_servers("pitchwriter"):
            if server.region != "kumamoto":
                await harness.deployment.kill_server(server)
        (node,) = harness.deployment.entries("kumamoto")
        asked = asyncio.create_task(_ask_from_afar(harness))
        await _harness.wait_until(lambda: len(node.entry.forward_receiver))
        servers = [
            server
            for server in harness.list_servers("pitchwriter")
            if server.region == "kumamoto"
        ]
        await _harness.wait_until(
            lambda: any(s.fake.load_report()["running"] for s in servers)
        )
        await harness.deployment.stop_node(node.links.node_id)
        assert any(s.fake.load_report()["running"] for s in servers)
        asked.cancel()

    harness.run(scenario())


# Guards against requests in progress that are cut off without an answer, as
# the process stood still at the time at which it had to answer them.
def test_requests_are_cut_without_an_answer_after_a_pause(harness):
    async def scenario():
        node = harness.deployment.nodes["fukuoka-a-1"]
        url = node.entry.caller_listener.url
        key = harness.deployment.key_prefix("fukuoka") + "pause"
        pending = [
            asyncio.create_task(harness.send_booking(url, key, "pause")),
            asyncio.create_task(_look_up(harness, url, "pause")),
        ]
        callers = node.entry.callers
        await _harness.wait_until(lambda: callers.in_progress == len(pending))
        await _harness.wait_until(lambda: harness.list_runs("pause"))
        loop = asyncio.get_running_loop()
        loop.call_later(PAUSE_AT_S, time.sleep, PAUSE_S)
        await harness.deployment.stop_node("fukuoka-a-1")
        answers = await asyncio.gather(*pending)
        assert [answer and answer.status for answer in answers] == [504] * 2
        for answer in answers:
            assert _harness.run_state(answer) == "unknown"

    harness.run(scenario())
