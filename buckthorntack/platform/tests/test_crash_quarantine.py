"""Requests with a part of a prompt that crashes each server."""

import asyncio

import pytest

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENTS = 4
FIRST, SOUND, CULPRIT = "first", "second", "culprit"
ENTRIES = {"e0": "a1", "e1": "a1", "e2": "b1", "e3": "b1"}
#: Entry VMs that requests with the part go to, one after the other.
TURNS = ("e0", "e2", "e1", "e3")
#: Crashes after which a part is refused that was never answered.
CRASHES = 3
#: Pairs of crashes of a whole service, and the pause between two events of
#: the answers that they end.
SERIES = 3
EVENT_PAUSE_S = 0.1
#: Time for news of a crash to reach the entry VMs in touch.
SPREAD_S = 1.0
#: Time within which a machine that has just started must be in touch.
CONTACT_S = 5.0
SERVERS = [(f"s{n}", "text", "a1") for n in range(4)]
SERVERS += [(f"s{n}", "text", "b1") for n in range(4, 8)]

each_place = pytest.mark.parametrize(
    "parts",
    [(FIRST, CULPRIT), (FIRST, SOUND, CULPRIT)],
    ids=["second", "third"],
)


class World:
    """A deployment whose servers crash on a part of a prompt.

    :param deployment: the ``Deployment``.
    :param parts: shared parts of the prompts that have the culprit.
    """

    def __init__(self, deployment, parts):
        self.deployment = deployment
        self.parts = parts
        self.number = 0
        sound = _standins.stream(EVENTS, pause_s=EVENT_PAUSE_S)
        for server in deployment.servers.values():
            server.behave = _standins.crash_on(CULPRIT, sound)

    @property
    def crashes(self):
        """Number of crashes so far."""
        return sum(s.crashes for s in self.deployment.servers.values())

    @property
    def arrivals(self):
        """Number of requests with the culprit that reached servers."""
        return sum(
            _standins.has_part(request, CULPRIT)
            for server in self.deployment.servers.values()
            for request in server.requests
        )

    async def ask(self, entry, parts):
        """Send a request with a last part and an id of its own."""
        self.number += 1
        prefix = "".join(f"{part}:400," for part in parts)
        return await self.deployment.ask(
            f"/talk/{self.number}",
            entry=entry,
            method="POST",
            body=b"%d" % self.number,
            X_Buckthorntack_Token_Count=f"{400 * len(parts) + 250},{EVENTS}",
            X_Buckthorntack_Prompt_Prefix=f"{prefix}own{self.number}:250",
        )

    async def ask_sound(self, entry):
        """Send a sound request with the same first part."""
        answer = await self.ask(entry, (FIRST, f"other{self.number}"))
        assert answer.status == 200, (entry, answer.body)
        assert answer.body == _standins.whole_stream(EVENTS)

    async def restart_crashed(self):
        """Start all servers again that are down."""
        for server in self.deployment.servers.values():
            if server.is_down:
                await self.deployment.restart_server(server)

    async def crash_servers(self):
        """Send requests with the culprit until enough servers crashed."""
        for entry in TURNS:
            await self.ask_sound(entry)
        for turn in range(CRASHES):
            if self.crashes < CRASHES:
                await self.ask(TURNS[turn], self.parts)
                await self.restart_crashed()
        assert self.crashes >= CRASHES
        await asyncio.sleep(SPREAD_S)

    async def crash_service(self):
        """Crash all servers at once while each entry VM has requests."""
        servers = list(self.deployment.servers.values())
        begun = [
            asyncio.create_task(self.ask(entry, self.parts))
            for entry in TURNS * 2
        ]
        await self.deployment.until(
            lambda: sum(s.listener.count_active_connections() for s in servers)
        )
        for server in servers:
            server.crash()
        await asyncio.gather(*begun)
        await self.restart_crashed()

    async def check_sound(self):
        """Check that requests with the parts are served everywhere."""
        await asyncio.sleep(SPREAD_S)
        for entry in TURNS:
            await self.ask_sound(entry)
            answer = await self.ask(entry, self.parts)
            assert answer.status == 200, (entry, answer.body)

    async def check_refused(self, entry):
        """Check that a request with the culprit is refused and not sent."""
        crashes, arrivals = self.crashes, self.arrivals
        answer = await self.ask(entry, self.parts)
        seen = (answer.status, self.crashes, self.arrivals)
        assert seen == (503, crashes, arrivals), entry
        assert float(answer.headers[b"retry-after"]) > 0


def run(scenario, parts):
    """Run a scenario of a :class:`World`."""

    async def begun(deployment):
        await scenario(World(deployment, parts))

    test_requests.run(begun, *SERVERS, entries=tuple(ENTRIES.values()))


# Guards against requests, no two alike, that share a part of their prompt
# and crash one server after the other.
@each_place
def test_part_that_crashes_servers_is_refused_at_every_entry_vm(parts):
    async def scenario(world):
        await world.crash_servers()
        for entry in ENTRIES:
            await world.check_refused(entry)

    run(scenario, parts)


# Guards against a quarantine that also refuses the parts that sound requests
# share with those that crash servers.
@each_place
def test_sound_requests_with_the_same_first_part_are_answered(parts):
    async def scenario(world):
        await world.crash_servers()
        for entry in TURNS * 2:
            await world.check_refused(entry)
            await world.ask_sound(entry)

    run(scenario, parts)


# Guards against an entry VM that has just started and sends the requests on
# that the others refuse.
def test_entry_vm_that_starts_later_refuses_the_part():
    async def scenario(world):
        await world.crash_servers()
        await world.deployment.start_entry("later", "b1")
        await world.deployment.in_force(1)
        await asyncio.sleep(CONTACT_S)
        await world.check_refused("later")
        await world.ask_sound("later")

    run(scenario, (FIRST, CULPRIT))


# Guards against sound requests that are refused later, as they ran at servers
# that crashed for other reasons.
def test_requests_at_servers_that_crash_by_themselves_are_not_refused():
    async def scenario(world):
        await world.check_sound()
        for _ in range(SERIES):
            await world.crash_service()
            await world.crash_service()
            await world.check_sound()

    run(scenario, (FIRST, SOUND))
