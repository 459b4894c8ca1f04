"""Backend servers and entry VMs leave without loss."""

import asyncio

import pytest

from buckthorntack import standins
from buckthorntack.node.tests import _scenarios

STREAMS = 100
TOKENS = 240
PROBES = 30
#: Time after which a leaving backend server gets no new work.
LEAVE_SECONDS = 3.0


@pytest.fixture(scope="module")
def world():
    layout = standins.Layout(
        one_way_ms=5.0,
        servers={"pitchwriter": 6},
        engine=standins.EngineProfile(slots=256),
    )
    with _scenarios.Scenarios(layout) as scenarios:
        yield scenarios


async def _ask(world, region, number, content, tokens):
    return await world.callers[_scenarios.WIDE].chat(
        world.url(region, number),
        "pitchwriter",
        content,
        stream=True,
        max_tokens=tokens,
    )


async def _ask_until_taken(world, region, number, content, tokens):
    """Ask again while refused as not run, as callers do."""
    while True:
        answer = await _ask(world, region, number, content, tokens)
        if answer.status == 200:
            return answer
        assert _scenarios.run_state(answer) == "not_run", answer.body
        await asyncio.sleep(_scenarios.POLL_SECONDS * 10)


async def _raise_quota(world):
    """Let one organisation have all streams at once."""
    quota = {
        "name": "large",
        "requests_per_second": 6000,
        "burst_requests": 24000,
        "tokens_per_minute": 600000000,
    }
    put = [{"kind": "Quota", "object": quota}]
    answer = await world.change("quota", put)
    assert answer["accepted"]
    await _scenarios.until(
        lambda: all(
            world.revision(node) >= answer["revision"]
            for node in world.deployment.nodes.values()
        )
    )


async def _probe(world, mark):
    """Ask at all entry VMs, more than the servers that stay can ignore."""
    work = [
        _ask(world, node, number, f"{mark} {count}.", 2)
        for node in _scenarios.REGIONS
        for number in range(len(world.deployment.entries(node)))
        for count in range(PROBES // 6)
    ]
    answers = await asyncio.gather(*work)
    assert all(answer.whole for answer in answers)


@pytest.mark.parametrize("state", ["draining", "withdrawn"])
def test_leaving_server_gets_no_new_work(world, state):
    async def scenario():
        server = world.servers_of("pitchwriter")[0]
        await server.announcer.set_state(state)
        await asyncio.sleep(LEAVE_SECONDS)
        before = len(server.fake.ran_for) + sum(server.fake.runs.values())
        await _probe(world, f"left-{state}")
        after = len(server.fake.ran_for) + sum(server.fake.runs.values())
        await world.deployment.kill_server(server)
        assert after == before

    world.run(scenario())


def test_leaving_server_is_known_though_its_entry_vm_dies(world):
    """It announced its leaving to one entry VM, which died at once."""

    async def scenario():
        server = next(
            s
            for s in world.servers_of("pitchwriter")
            if s.region == "kagoshima"
        )
        announcer = server.announcer
        node = world.deployment.nodes["kagoshima-a-2"]
        announcer.announced_to = 1
        announcer.entry_urls.sort(
            key=lambda url: url != node.entry.backend_listener.url
        )
        await announcer.set_state("draining")
        await world.deployment.kill_node("kagoshima-a-2")
        await asyncio.sleep(LEAVE_SECONDS)
        before = sum(server.fake.runs.values())
        await _probe(world, "announced-to-the-dead")
        after = sum(server.fake.runs.values())
        await world.deployment.start_node("kagoshima-a-2")
        node = world.deployment.nodes["kagoshima-a-2"]
        await _scenarios.until(node.is_ready)
        assert after == before

    world.run(scenario())


def test_planned_stop_cuts_no_stream(world):
    """Streams of the entry VM's own callers and forwarded ones."""

    async def scenario():
        await _raise_quota(world)
        stopping = "kumamoto-a-2"
        node = world.deployment.nodes[stopping]
        shares = [("kumamoto", 1)] * (STREAMS // 2)
        shares += [("fukuoka", 0)] * (STREAMS // 2)
        others = [
            server
            for server in world.servers_of("pitchwriter")
            if server.region != "kumamoto"
        ]
        for server in others:
            await world.deployment.kill_server(server)
        asking = [
            asyncio.create_task(
                _ask_until_taken(
                    world, region, number, f"stop {count}.", TOKENS
                )
            )
            for count, (region, number) in enumerate(shares)
        ]
        await _scenarios.until(lambda: len(node.entry.forward_receiver) > 0)
        await _scenarios.until(
            lambda: len(world.runs_with("stop ")) >= STREAMS
        )
        assert len(node.entry.forward_receiver) > 0
        assert node.entry.callers.in_progress > 0
        await world.deployment.stop_node(stopping)
        answers = await asyncio.gather(*asking)
        await world.deployment.start_node(stopping)
        cut = [answer for answer in answers if not answer.whole]
        assert not cut, [(a.status, a.body[-400:]) for a in cut]
        for answer in answers:
            numbers = _scenarios.event_numbers(answer.body)
            assert numbers == list(range(TOKENS + 1))

    world.run(scenario())
