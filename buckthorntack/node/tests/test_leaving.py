"""Tests that backend servers and entry VMs leave without lost requests."""

import asyncio

import pytest

from buckthorntack import standins
from buckthorntack.node.tests import _harness

STREAM_COUNT = 100
TOKEN_COUNT = 240
PROBE_COUNT = 30
#: Time after which a leaving backend server must get no new requests.
LEAVE_TIMEOUT_SECONDS = 3.0


@pytest.fixture(scope="module")
def harness():
    layout = standins.Layout(
        one_way_ms=5.0,
        servers={"pitchwriter": 6},
        engine=standins.EngineProfile(slots=256),
    )
    with _harness.DeploymentHarness(layout) as started:
        yield started


async def _send_chat(harness, region, number, content, tokens):
    return await harness.callers[_harness.ALL_REGIONS_ORGANISATION].chat(
        harness.caller_url(region, number),
        "pitchwriter",
        content,
        stream=True,
        max_tokens=tokens,
    )


async def _send_until_accepted(harness, region, number, content, tokens):
    """Resend a request while it is refused as not run, as callers do."""
    while True:
        answer = await _send_chat(harness, region, number, content, tokens)
        if answer.status == 200:
            return answer
        assert _harness.run_state(answer) == "not_run", answer.body
        await asyncio.sleep(_harness.POLL_INTERVAL_SECONDS * 10)


async def _raise_quota(harness):
    """Raise a quota so that one organisation can open all streams."""
    quota = {
        "name": "large",
        "requests_per_second": 6000,
        "burst_requests": 24000,
        "tokens_per_minute": 600000000,
    }
    put = [{"kind": "Quota", "object": quota}]
    answer = await harness.submit_change("quota", put)
    assert answer["accepted"]
    await _harness.wait_until(
        lambda: all(
            harness.applied_revision(node) >= answer["revision"]
            for node in harness.deployment.nodes.values()
        )
    )


async def _send_probes(harness, marker):
    """Send concurrent requests to all entry VMs.

    There are so many that the leaving server would get some of them if it
    were still a candidate.
    """
    work = [
        _send_chat(harness, region, number, f"{marker} {count}.", 2)
        for region in _harness.REGIONS
        for number in range(len(harness.deployment.entries(region)))
        for count in range(PROBE_COUNT // 6)
    ]
    answers = await asyncio.gather(*work)
    assert all(answer.whole for answer in answers)


@pytest.mark.parametrize("state", ["draining", "withdrawn"])
def test_leaving_server_gets_no_new_work(harness, state):
    async def scenario():
        server = harness.list_servers("pitchwriter")[0]
        await server.announcer.set_state(state)
        await asyncio.sleep(LEAVE_TIMEOUT_SECONDS)
        before = len(server.fake.ran_for) + sum(server.fake.runs.values())
        await _send_probes(harness, f"left-{state}")
        after = len(server.fake.ran_for) + sum(server.fake.runs.values())
        await harness.deployment.kill_server(server)
        assert after == before

    harness.run(scenario())


def test_leaving_server_is_known_though_its_entry_vm_dies(harness):
    """The entry VM that got the announcement crashes right after it."""

    async def scenario():
        server = next(
            s
            for s in harness.list_servers("pitchwriter")
            if s.region == "kagoshima"
        )
        announcer = server.announcer
        node = harness.deployment.nodes["kagoshima-a-2"]
        announcer.announced_to = 1
        announcer.entry_urls.sort(
            key=lambda url: url != node.entry.backend_listener.url
        )
        await announcer.set_state("draining")
        await harness.deployment.kill_node("kagoshima-a-2")
        await asyncio.sleep(LEAVE_TIMEOUT_SECONDS)
        before = sum(server.fake.runs.values())
        await _send_probes(harness, "announced-to-the-dead")
        after = sum(server.fake.runs.values())
        await harness.deployment.start_node("kagoshima-a-2")
        node = harness.deployment.nodes["kagoshima-a-2"]
        await _harness.wait_until(node.is_ready)
        assert after == before

    harness.run(scenario())


def test_planned_stop_cuts_no_stream(harness):
    """Local and forwarded streams finish before the entry VM stops."""

    async def scenario():
        await _raise_quota(harness)
        stopping_id = "kumamoto-a-2"
        node = harness.deployment.nodes[stopping_id]
        shares = [("kumamoto", 1)] * (STREAM_COUNT // 2)
        shares += [("fukuoka", 0)] * (STREAM_COUNT // 2)
        others = [
            server
            for server in harness.list_servers("pitchwriter")
            if server.region != "kumamoto"
        ]
        for server in others:
            await harness.deployment.kill_server(server)
        pending = [
            asyncio.create_task(
                _send_until_accepted(
                    harness, region, number, f"stop {count}.", TOKEN_COUNT
                )
            )
            for count, (region, number) in enumerate(shares)
        ]
        await _harness.wait_until(lambda: len(node.entry.forward_receiver) > 0)
        await _harness.wait_until(
            lambda: len(harness.list_runs("stop ")) >= STREAM_COUNT
        )
        assert len(node.entry.forward_receiver) > 0
        assert node.entry.callers.in_progress > 0
        await harness.deployment.stop_node(stopping_id)
        answers = await asyncio.gather(*pending)
        await harness.deployment.start_node(stopping_id)
        cut = [answer for answer in answers if not answer.whole]
        assert not cut, [(a.status, a.body[-400:]) for a in cut]
        for answer in answers:
            numbers = _harness.parse_event_numbers(answer.body)
            assert numbers == list(range(TOKEN_COUNT + 1))

    harness.run(scenario())
