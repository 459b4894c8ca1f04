"""Prompts of which a part crashes the servers that answer them."""

import datetime
import itertools

from buckthorntack import http1
from buckthorntack.platform import _headers
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

PATH = "/draft/x"
CULPRIT = b"culprit:"
MAX_CRASHES = 5
TRIAL_PERIOD = datetime.timedelta(milliseconds=400)
SERVERS = tuple((f"s{number}", "text") for number in range(6))


def crash_on_culprit(crashed):
    """Behaviour: break off answers to prompts with the crashing part.

    :param crashed: list that gets the ids of the servers.
    """

    async def behave(server, request, reply):
        parts = http1.find_header(request.headers, _headers.PROMPT_PREFIX)
        if CULPRIT in parts:
            crashed.append(server.server_id)
            behaviour = _standins.stream(3, cut_after=1)
        else:
            behaviour = _standins.stream(3)
        await behaviour(server, request, reply)

    return behave


async def ask(world, entry, number, part="tools"):
    """Send a request for a stream whose prompt no other has."""
    return await world.ask(
        PATH,
        entry=entry,
        method="POST",
        body=b"%d" % number,
        X_Buckthorntack_Token_Count="60,10",
        X_Buckthorntack_Prompt_Prefix=f"first:20,{part}:20,own{number}:20",
    )


async def ask_until_refused(world, entry, numbers, crashed):
    """Send requests with the crashing part until one is refused."""
    answer = await ask(world, entry, next(numbers), "culprit")
    while answer.status != 503:
        assert len(crashed) <= MAX_CRASHES
        answer = await ask(world, entry, next(numbers), "culprit")
    return answer


# Guards against requests that crash one server after the other, as they share
# a part of their prompts but no two of them are equal.
def test_part_that_crashes_servers_is_refused_at_all_entry_vms():
    async def scenario(world):
        crashed = []
        for server in world.servers.values():
            server.behave = crash_on_culprit(crashed)
        numbers = itertools.count()
        for entry in ("e0", "e1", "e0"):
            answer = await ask(world, entry, next(numbers))
            assert answer.status == 200
        for entry in ("e0", "e1", "e2"):
            answer = await ask_until_refused(world, entry, numbers, crashed)
            assert float(answer.headers[b"retry-after"]) > 0
        answer = await ask(world, "e0", next(numbers))
        assert answer.status == 200
        assert answer.whole

    test_requests.run(scenario, *SERVERS)


# Guards against a part that stays refused at some entry VM though it no
# longer crashes servers.
def test_part_is_served_again_after_a_trial():
    async def scenario(world):
        crashed = []
        for server in world.servers.values():
            server.behave = crash_on_culprit(crashed)
        numbers = itertools.count()
        tables = [
            node.shared_state.quarantine
            for name, node in world.nodes.items()
            if name.startswith("e")
        ]
        for table in tables:
            table.settings = table.settings._replace(trial_period=TRIAL_PERIOD)
        await ask_until_refused(world, "e0", numbers, crashed)
        await world.until(lambda: all(table.list_blamed() for table in tables))
        before = len(crashed)
        for server in world.servers.values():
            server.behave = _standins.stream(3)
        answer = await ask(world, "e0", next(numbers), "culprit")
        while answer.status != 200:
            assert answer.status == 503
            answer = await ask(world, "e0", next(numbers), "culprit")
        await world.until(
            lambda: not any(table.list_blamed() for table in tables)
        )
        assert len(crashed) == before

    test_requests.run(scenario, *SERVERS)


# Guards against an entry VM that starts after a part was refused and lets
# requests with it reach servers.
def test_entry_vm_that_starts_later_refuses_the_part():
    async def scenario(world):
        crashed = []
        for server in world.servers.values():
            server.behave = crash_on_culprit(crashed)
        numbers = itertools.count()
        await ask_until_refused(world, "e0", numbers, crashed)
        await world.kill("e1")
        await world.start_entry("e1", "a1")
        table = world.nodes["e1"].shared_state.quarantine
        await world.until(lambda: "part/culprit" in table.list_blamed())
        before = len(crashed)
        answer = await ask(world, "e1", next(numbers), "culprit")
        assert answer.status == 503
        assert len(crashed) == before

    test_requests.run(scenario, *SERVERS)
