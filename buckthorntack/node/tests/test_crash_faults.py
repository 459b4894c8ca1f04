"""A request that crashes its servers is stopped, beside other traffic."""

import asyncio
import itertools

import pytest

from buckthorntack import standins
from buckthorntack.node.tests import _scenarios

MARK = "crash-the-server"
RESENDS = 24
BYSTANDERS = 6
TOKENS = 40
MOST_CRASHES = 2


@pytest.fixture(scope="module")
def world():
    layout = standins.Layout(one_way_ms=5.0, servers={"pitchwriter": 9})
    with _scenarios.Scenarios(layout) as scenarios:
        yield scenarios


def _crashes(world):
    return len(world.runs_with(MARK))


async def _restart_crashed(world, expected):
    """Restart backend servers that have crashed, as a platform would."""
    pools = {
        p["name"]: p for p in world.deployment.of_kind("BackendServerPool")
    }
    while True:
        for server_id in expected - world.deployment.servers.keys():
            pool = pools[server_id.rpartition("-")[0]]
            domain = pool["failure_domains"][0]
            await world.deployment.start_server(
                server_id, pool, domain, "model"
            )
        await asyncio.sleep(_scenarios.POLL_SECONDS)


async def _ask(world, url, content, **options):
    return await world.callers[_scenarios.WIDE].chat(
        url, "pitchwriter", content, stream=True, **options
    )


async def _resend(world):
    """Resend the request one after another, through all entry VMs."""
    places = itertools.cycle(
        (region, number)
        for number in range(2)
        for region in _scenarios.REGIONS
    )
    answers = []
    for region, number in itertools.islice(places, RESENDS):
        answers.append(await _ask(world, world.url(region, number), MARK))
    return answers


def _refused_as_not_run(answer):
    return answer.status != 200 and _scenarios.run_state(answer) == "not_run"


def test_request_that_crashes_servers_is_refused_everywhere(world):
    async def scenario():
        expected = set(world.deployment.servers)
        platform = asyncio.create_task(_restart_crashed(world, expected))
        await _ask(world, world.url("fukuoka"), "warm", max_tokens=1)
        contents = [
            (region, f"bystander {number} of {region}.")
            for region in _scenarios.REGIONS
            for number in range(BYSTANDERS)
        ]
        bystanders = [
            asyncio.create_task(
                _ask(world, world.url(region), content, max_tokens=TOKENS)
            )
            for region, content in contents
        ]
        answers = await _resend(world)
        last = answers[-len(_scenarios.REGIONS) * 2 :]
        platform.cancel()
        others = await asyncio.gather(*bystanders)
        assert 1 <= _crashes(world) <= MOST_CRASHES
        assert all(map(_refused_as_not_run, last)), last
        crashed = {run[0] for run in world.runs_with(MARK)}
        for (_, content), answer in zip(contents, others, strict=True):
            ran_on = {run[0] for run in world.runs_with(content)}
            assert answer.whole or ran_on & crashed, content

    world.run(scenario())
