"""Tests that a request that crashes backend servers is quarantined.

Other requests at the same time must be served.
"""

import asyncio
import itertools

import pytest

from buckthorntack import standins
from buckthorntack.node.tests import _harness

CRASH_MARKER = "crash-the-server"
RESEND_COUNT = 24
BYSTANDERS_PER_REGION = 6
TOKEN_COUNT = 40
MAX_CRASHES = 2


@pytest.fixture(scope="module")
def harness():
    layout = standins.Layout(one_way_ms=5.0, servers={"pitchwriter": 9})
    with _harness.DeploymentHarness(layout) as started:
        yield started


def _count_crashes(harness):
    return len(harness.list_runs(CRASH_MARKER))


async def _restart_crashed_servers(harness, expected):
    """Restart crashed backend servers, as a container platform does."""
    pools = {
        p["name"]: p for p in harness.deployment.of_kind("BackendServerPool")
    }
    while True:
        for server_id in expected - harness.deployment.servers.keys():
            pool = pools[server_id.rpartition("-")[0]]
            domain = pool["failure_domains"][0]
            await harness.deployment.start_server(
                server_id, pool, domain, "model"
            )
        await asyncio.sleep(_harness.POLL_INTERVAL_SECONDS)


async def _send_chat(harness, url, content, **options):
    return await harness.callers[_harness.ALL_REGIONS_ORGANISATION].chat(
        url, "pitchwriter", content, stream=True, **options
    )


async def _resend_everywhere(harness):
    """Send the crashing request repeatedly, in turn to each entry VM."""
    places = itertools.cycle(
        (region, number) for number in range(2) for region in _harness.REGIONS
    )
    answers = []
    for region, number in itertools.islice(places, RESEND_COUNT):
        answers.append(
            await _send_chat(
                harness, harness.caller_url(region, number), CRASH_MARKER
            )
        )
    return answers


def _is_refused_as_not_run(answer):
    return answer.status != 200 and _harness.run_state(answer) == "not_run"


def test_request_that_crashes_servers_is_refused_everywhere(harness):
    async def scenario():
        expected = set(harness.deployment.servers)
        platform = asyncio.create_task(
            _restart_crashed_servers(harness, expected)
        )
        await _send_chat(
            harness, harness.caller_url("fukuoka"), "warm", max_tokens=1
        )
        contents = [
            (region, f"bystander {number} of {region}.")
            for region in _harness.REGIONS
            for number in range(BYSTANDERS_PER_REGION)
        ]
        bystanders = [
            asyncio.create_task(
                _send_chat(
                    harness,
                    harness.caller_url(region),
                    content,
                    max_tokens=TOKEN_COUNT,
                )
            )
            for region, content in contents
        ]
        answers = await _resend_everywhere(harness)
        last = answers[-len(_harness.REGIONS) * 2 :]
        platform.cancel()
        others = await asyncio.gather(*bystanders)
        assert 1 <= _count_crashes(harness) <= MAX_CRASHES
        assert all(map(_is_refused_as_not_run, last)), last
        crashed = {run[0] for run in harness.list_runs(CRASH_MARKER)}
        for (_, content), answer in zip(contents, others, strict=True):
            ran_on = {run[0] for run in harness.list_runs(content)}
            assert answer.whole or ran_on & crashed, content

    harness.run(scenario())
