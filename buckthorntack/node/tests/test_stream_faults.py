"""Tests that streams arrive complete and only at their own caller."""

import asyncio

import httpx
import pytest

from buckthorntack.node.tests import _harness

TOKEN_COUNT = 60
EVENTS_BEFORE_KILL = 15
#: Another organisation whose requests all regions may serve.
OTHER_ORGANISATION = "sponsor-archive"


@pytest.fixture(scope="module")
def harness():
    with _harness.DeploymentHarness() as started:
        yield started


class _StreamReader:
    """Caller that reads a stream until it ends or its connection is lost."""

    def __init__(self, caller, url, content):
        self.caller = caller
        self.url = url
        self.content = content
        self.status = None
        self.body = b""
        self.broken = False

    async def run(self):
        headers = {"authorization": f"Bearer {self.caller.token}"}
        document = {
            "model": "pitchwriter",
            "messages": [{"role": "user", "content": self.content}],
            "stream": True,
            "max_tokens": TOKEN_COUNT,
        }
        url = f"{self.url}/v1/chat/completions"
        try:
            async with (
                httpx.AsyncClient(timeout=60, trust_env=False) as client,
                client.stream(
                    "POST", url, json=document, headers=headers
                ) as answer,
            ):
                self.status = answer.status_code
                async for chunk in answer.aiter_raw():
                    self.body += chunk
        except httpx.TransportError:
            self.broken = True

    def complete_events(self):
        """Return the received bytes up to the last complete event."""
        return self.body[: self.body.rfind(b"\n\n") + 2]

    def last_event_id(self):
        """Return the id of the last complete event."""
        at = self.complete_events().rfind(b"id: ") + 4
        return self.body[at : self.body.find(b"\n", at)].decode()


async def _read_until_killed(harness, region, content):
    """Read a stream and kill its entry VM after the first events."""
    caller = harness.callers[_harness.ALL_REGIONS_ORGANISATION]
    reader = _StreamReader(caller, harness.caller_url(region, 1), content)
    task = asyncio.create_task(reader.run())
    await _harness.wait_until(
        lambda: (
            task.done()
            or len(_harness.parse_event_numbers(reader.body))
            >= EVENTS_BEFORE_KILL
        )
    )
    assert not task.done(), (reader.status, reader.body)
    await harness.deployment.kill_node(f"{region}-a-2")
    await task
    assert reader.broken
    return reader


async def _restart_node(harness, node_id):
    await harness.deployment.start_node(node_id)
    await _harness.wait_until(harness.deployment.nodes[node_id].is_ready)


async def _resume_stream(
    harness, url, event_id, organisation=_harness.ALL_REGIONS_ORGANISATION
):
    return await harness.callers[organisation].stream(
        "POST",
        f"{url}/v1/chat/completions",
        {"last-event-id": event_id},
    )


@pytest.mark.parametrize("resume_region", _harness.REGIONS)
def test_stream_of_dead_entry_vm_is_resumed(harness, resume_region):
    async def scenario():
        marker = f"entry VM dies, {resume_region}"
        reader = await _read_until_killed(harness, "fukuoka", marker)
        answer = await _resume_stream(
            harness, harness.caller_url(resume_region), reader.last_event_id()
        )
        await _restart_node(harness, "fukuoka-a-2")
        assert answer.status == 200, answer.body
        assert answer.whole
        whole = reader.complete_events() + answer.body
        assert _harness.parse_event_numbers(whole) == list(
            range(TOKEN_COUNT + 1)
        )
        assert len(harness.list_runs(marker)) == 1

    harness.run(scenario())


def test_other_organisation_cannot_touch_a_stream(harness):
    async def scenario():
        marker = "not yours"
        reader = await _read_until_killed(harness, "fukuoka", marker)
        event_id = reader.last_event_id()
        attempt_id = event_id.rpartition("/")[0]
        for region in _harness.REGIONS:
            url = harness.caller_url(region)
            resumed = await _resume_stream(
                harness, url, event_id, OTHER_ORGANISATION
            )
            assert resumed.status in (401, 403, 404), resumed.status
            assert b"t1" not in resumed.body
            cancelled = await harness.callers[OTHER_ORGANISATION].request(
                "DELETE", f"{url}/v1/attempts/{attempt_id}"
            )
            assert cancelled.status in (401, 403, 404), cancelled.status
        answer = await _resume_stream(
            harness, harness.caller_url("kagoshima"), event_id
        )
        await _restart_node(harness, "fukuoka-a-2")
        assert answer.whole
        whole = reader.complete_events() + answer.body
        assert _harness.parse_event_numbers(whole) == list(
            range(TOKEN_COUNT + 1)
        )

    harness.run(scenario())


def _list_engines(harness):
    return [server.fake for server in harness.list_servers("pitchwriter")]


async def _send_chat(harness, region, content):
    return await harness.callers[_harness.ALL_REGIONS_ORGANISATION].chat(
        harness.caller_url(region),
        "pitchwriter",
        content,
        stream=True,
        max_tokens=TOKEN_COUNT,
    )


def test_stream_survives_a_silent_connection(harness):
    async def scenario():
        marker = "connection goes silent"
        for engine in _list_engines(harness):
            engine.faults.silent_connections = 1
        answer = await _send_chat(harness, "kumamoto", marker)
        for engine in _list_engines(harness):
            engine.faults.silent_connections = 0
        assert answer.whole, answer.body
        numbers = _harness.parse_event_numbers(answer.body)
        assert numbers == list(range(TOKEN_COUNT + 1))
        assert len(harness.list_runs(marker)) == 1

    harness.run(scenario())


@pytest.mark.parametrize("streamed", [True, False])
def test_crossed_answers_reach_no_caller(harness, streamed):
    async def scenario():
        marker = f"crossed, {streamed}"
        for engine in _list_engines(harness):
            engine.faults.crossed_answers = 1
        answer = await harness.callers[_harness.ALL_REGIONS_ORGANISATION].chat(
            harness.caller_url("kumamoto"),
            "pitchwriter",
            marker,
            stream=streamed,
            max_tokens=8,
        )
        for engine in _list_engines(harness):
            engine.faults.crossed_answers = 0
        runs = {run[1] for run in harness.list_runs(marker)}
        assert runs
        assert b"another-attempt" not in answer.body
        assert "another-attempt" not in str(answer.headers)
        assert answer.status == 200 or _harness.run_state(answer) != (
            "not_run"
        )
        if answer.status == 200:
            assert answer.headers["x-attempt-id"] in runs

    harness.run(scenario())
