"""Servers that name in their answers how many requests they take."""

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

SAFE = "/safe/x"
BORN_MS = 1000
#: Lower than what a test sends, so that few requests go to the server.
LIMIT = b"0.01"
REQUESTS = 15


async def _answer_limited(server, request, reply):
    headers = [*server.headers(request), (b"Server-Limit", LIMIT)]
    reply.send(200, headers, b"limited")


async def _make_limited(world):
    """Let the only server name its limit to one entry VM."""
    world.servers["s1"].behave = _answer_limited
    assert (await world.ask(SAFE, entry="e0")).status == 200
    await world.until(
        lambda: (
            world.nodes["e1"].shared_state.fleet.limits.per_s("s1", BORN_MS)
            == float(LIMIT)
        )
    )


# Guards against a limit that binds only the entry VM that it was told.
def test_limit_told_to_one_entry_vm_binds_all():
    async def scenario(world):
        await _make_limited(world)
        other = await world.add_server("s2", "desk")
        remote = world.nodes["e2"].shared_state.fleet
        await world.until(
            lambda: remote.remote_usage("north", "s2", 0.0) is not None
        )
        for entry in ("e0", "e1", "e2"):
            for _ in range(REQUESTS):
                answer = await world.ask(SAFE, entry=entry)
                assert answer.status == 200, (entry, answer.body)
        # The first, and one by the first of the entry VMs that may send.
        assert len(world.servers["s1"].requests) <= 2
        assert len(other.requests) >= 3 * REQUESTS - 1

    test_requests.run(scenario, ("s1", "desk"))


# Guards against a request that waits for a server that takes no more.
def test_request_that_no_server_takes_is_refused_at_once():
    async def scenario(world):
        await _make_limited(world)
        answers = [
            await world.ask(SAFE, entry=entry)
            for entry in ("e0", "e1", "e0", "e1")
        ]
        refused = [answer for answer in answers if answer.status != 200]
        assert len(refused) >= 3
        for answer in refused:
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) > 0
        assert len(world.servers["s1"].requests) <= 2

    test_requests.run(scenario, ("s1", "desk"))


def test_limit_ends_with_an_answer_that_names_none():
    async def scenario(world):
        await _make_limited(world)
        server = world.servers["s1"]
        server.behave = _standins.answer_whole
        for node in ("e0", "e1"):
            # As if the interval between two requests had passed.
            world.nodes[node].shared_state.rates.remove_server("s1")
        statuses = [
            (await world.ask(SAFE, entry=entry)).status
            for entry in ("e0", "e1")
        ]
        assert 200 in statuses
        await world.until(
            lambda: all(
                world.nodes[node].shared_state.fleet.limits.per_s(
                    "s1", BORN_MS
                )
                is None
                for node in ("e0", "e1")
            )
        )
        for _ in range(REQUESTS):
            assert (await world.ask(SAFE, entry="e1")).status == 200

    test_requests.run(scenario, ("s1", "desk"))
