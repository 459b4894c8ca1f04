"""Tests of a part of a prompt that crashes the servers that run it.

Several entry VMs send to the same servers in virtual time.  No two requests
are equal; the ones that crash servers share a block of their prompts.
"""

import asyncio
import contextlib
import datetime
import math
import random

import httpx
import pytest

from buckthorntack import membership
from buckthorntack import retries
from buckthorntack.entry import _prompt_quarantine
from buckthorntack.entry.tests import fakes

ENTRY_COUNT = 3
SERVERS = ("s1", "s2", "s3", "s4", "s5", "s6")
#: Time from the start of an answer to the crash of its server.
CRASH_DELAY_S = 0.1
#: Time until a crashed server is up again.
RESTART_S = 3.0
#: Longest time until a gossip item has reached another entry VM.
MAX_PROPAGATION_S = 0.5
#: Time within which entry VMs in contact share their state.
CONTACT_S = 5.0
#: Crashes after which requests may no longer reach servers.
MAX_CRASHES = 5
#: Requests that may reach servers all the same.
MAX_LATE_ARRIVALS = 3
DURATION_S = 45.0
#: Lease of a server after its start.
LEASE = datetime.timedelta(days=1)
#: Hash of the block with which all prompts begin.
FIRST_BLOCK = 11


class CrashingBackend:
    """HTTP transport to servers that crash while they run some requests.

    :param rng: source of randomness.
    """

    def __init__(self, rng):
        self.rng = rng
        self.on_restart = None
        #: Time from which no request crashes its server.
        self.mended_s = math.inf
        self.up_again_s = {}
        self.incarnations = {}
        #: Times at which servers crashed.
        self.crash_times_s = []
        #: Times at which crashing requests reached servers.
        self.arrival_times_s = []

    async def handle_async_request(self, request):
        host = request.url.host
        if _now_s() < self.up_again_s.get(host, 0.0):
            raise httpx.ConnectError("refused")
        if not request.headers.get("x-attempt-id"):
            return httpx.Response(404, stream=_Chunks(iter_nothing()))
        head = {"x-attempt-id": request.headers["x-attempt-id"]}
        incarnation = self.incarnations.get(host, 1)
        if b"crashing" in request.content and _now_s() < self.mended_s:
            self.arrival_times_s.append(_now_s())
            answer = self._crash(host, incarnation)
        else:
            answer = self._answer(host, incarnation)
        return httpx.Response(200, headers=head, stream=_Chunks(answer))

    async def aclose(self):
        return

    def crash(self, host):
        """Crash a server, which starts again after some time.

        :param host: host name of the server.
        """
        incarnation = self.incarnations.get(host, 1) + 1
        self.incarnations[host] = incarnation
        self.crash_times_s.append(_now_s())
        self.up_again_s[host] = _now_s() + RESTART_S
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self.on_restart, host, incarnation)

    async def _crash(self, host, incarnation):
        yield fakes.BODY[:4]
        await asyncio.sleep(CRASH_DELAY_S)
        if self.incarnations.get(host, 1) == incarnation:
            self.crash(host)
        raise httpx.ReadError("lost")

    async def _answer(self, host, incarnation):
        duration_s = self.rng.uniform(0.2, 1.5)
        for part in (fakes.BODY[:4], fakes.BODY[4:]):
            await asyncio.sleep(duration_s / 2)
            if self.incarnations.get(host, 1) != incarnation:
                raise httpx.ReadError("lost")
            yield part


class _Chunks(httpx.AsyncByteStream):
    def __init__(self, chunks):
        self.chunks = chunks

    def __aiter__(self):
        return self.chunks

    async def aclose(self):
        await self.chunks.aclose()


async def iter_nothing():
    """Iterate over no chunks."""
    for chunk in ():
        yield chunk


class GossipingMembers(fakes.FakeMembers):
    """Membership of an entry VM whose items reach its peers after a delay.

    :param rng: source of randomness.
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.peers = []
        self.functions = {}

    def listen(self, kind, function):
        self.functions[kind] = function

    def notify(self, change):
        """Pass a change to the functions that listen to its kind."""
        self.functions[type(change)](change)

    def publish(self, item):
        loop = asyncio.get_running_loop()
        change = membership.ItemChanged(item)
        for peer in self.peers:
            delay_s = self.rng.uniform(0.0, MAX_PROPAGATION_S)
            loop.call_later(delay_s, peer.notify, change)


def _now_s():
    return asyncio.get_running_loop().time()


class Deployment:
    """Entry VMs of a region and the servers that all of them use.

    :param seed: seed of all random choices.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.backend = CrashingBackend(self.rng)
        self.backend.on_restart = self._restart
        self.entries = []
        self.count = 0
        for number in range(ENTRY_COUNT):
            components = fakes.make_components(self.backend, servers=SERVERS)
            members = GossipingMembers(self.rng)
            components.members = members
            monitor = components.crash_monitor
            monitor.members = members
            monitor.quarantine.node_id = f"e{number}"
            monitor.prompts = _prompt_quarantine.PromptQuarantine(
                f"e{number}",
                lambda: [f"e{peer}" for peer in range(ENTRY_COUNT)],
                datetime.timedelta(seconds=MAX_PROPAGATION_S),
            )
            self.entries.append(components)
        for components in self.entries:
            components.members.peers = [
                other.members
                for other in self.entries
                if other is not components
            ]

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the crash monitors of all entry VMs."""
        async with contextlib.AsyncExitStack() as stack:
            for components in self.entries:
                await stack.enter_async_context(components.crash_monitor)
            yield

    async def send(self, prompt, blocks):
        """Send a request, unlike all others, through any entry VM.

        :param prompt: text of the request.
        :param blocks: hashes of the shared blocks of its prompt.
        :returns: the time of sending in seconds, and the error or None.
        """
        self.count += 1
        now_s = _now_s()
        request = fakes.make_request(
            "whole",
            request_id=f"r{self.count}",
            body=f"{prompt} {self.count}".encode(),
            fingerprint=f"f{self.count}",
            prefix_hashes=(*blocks, 10_000 + self.count),
            deadline=datetime.timedelta(seconds=now_s + 20),
        )
        components = self.rng.choice(self.entries)
        _, error = await fakes.run_request(components, request)
        return now_s, error

    async def send_repeatedly(self, interval_s, prompt, blocks):
        """Send requests at random times until the end of the test.

        :param interval_s: mean time between requests.
        :param prompt: text of the requests.
        :param blocks: hashes of the shared blocks of their prompts.
        :returns: the results of all requests.
        """
        tasks = []
        while _now_s() < DURATION_S:
            await asyncio.sleep(self.rng.expovariate(1 / interval_s))
            tasks.append(asyncio.create_task(self.send(prompt, blocks)))
        return await asyncio.gather(*tasks)

    def _restart(self, host, incarnation):
        for components in self.entries:
            record = components.servers[host]
            record = record._replace(incarnation=incarnation)
            components.servers[host] = record
            now = components.clock.monotonic()
            components.router.update_server(record, now)
            components.members.notify(
                membership.ServerChanged(record, now + LEASE)
            )


def run_crashing_block(seed, blocks):
    """Send crashing and sound requests that share the first block.

    :param seed: seed of all random choices.
    :param blocks: hashes of the shared blocks of the crashing requests.
    :returns: the ``CrashingBackend`` and the results of the sound requests.
    """

    async def scenario():
        deployment = Deployment(seed)
        async with deployment.running():
            _, sound = await asyncio.gather(
                deployment.send_repeatedly(0.5, "crashing", blocks),
                deployment.send_repeatedly(0.2, "sound", blocks[:1]),
            )
        return deployment.backend, sound

    return fakes.run(scenario())


# Guards against judging whole requests only: each engine that runs the shared
# block crashes, and no two requests are equal.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "blocks", [(FIRST_BLOCK, 12), (FIRST_BLOCK, 12, 13, 14)]
)
def test_prompt_block_that_crashes_servers_is_refused(blocks, seed):
    backend, sound = run_crashing_block(seed, blocks)
    assert len(backend.crash_times_s) >= 2
    late = []
    if len(backend.crash_times_s) >= MAX_CRASHES:
        settled_s = backend.crash_times_s[MAX_CRASHES - 1] + CONTACT_S
        late = [time for time in backend.arrival_times_s if time > settled_s]
    assert len(late) <= MAX_LATE_ARRIVALS, len(backend.crash_times_s)
    settled_s = backend.crash_times_s[:MAX_CRASHES][-1] + 2 * CONTACT_S
    errors = [error for time, error in sound if time > settled_s]
    assert len(errors) >= 20
    assert not any(errors), errors


# Guards against refusing a block for good.
@pytest.mark.parametrize("seed", range(3))
def test_prompt_block_is_served_again_once_it_is_mended(seed):
    async def scenario():
        deployment = Deployment(seed)
        deployment.backend.mended_s = 15.0
        async with deployment.running():
            return await deployment.send_repeatedly(
                0.5, "crashing", (FIRST_BLOCK, 12)
            )

    results = fakes.run(scenario())
    refused = [time for time, error in results if error is not None]
    assert any(time > 15.0 for time in refused)
    errors = [error for time, error in results if time > 40.0]
    assert errors
    assert not any(errors), errors


async def crash_repeatedly(deployment, interval_s):
    """Crash servers at random times until the end of the test.

    :param deployment: the :class:`Deployment`.
    :param interval_s: mean time between crashes.
    """
    rng = deployment.rng
    while _now_s() < DURATION_S:
        await asyncio.sleep(rng.expovariate(1 / interval_s))
        host = f"pitchwriter-{rng.choice(SERVERS)}"
        if _now_s() >= deployment.backend.up_again_s.get(host, 0.0):
            deployment.backend.crash(host)


# Guards against blaming a block that takes part in each crash only because
# all prompts have it.
@pytest.mark.parametrize("seed", range(3))
def test_shared_block_is_not_blamed_for_unrelated_crashes(seed):
    async def scenario():
        deployment = Deployment(seed)
        async with deployment.running():
            _, sound = await asyncio.gather(
                crash_repeatedly(deployment, 3.0),
                deployment.send_repeatedly(0.2, "sound", (FIRST_BLOCK, 12)),
            )
        return deployment.backend, sound

    backend, sound = fakes.run(scenario())
    assert len(backend.crash_times_s) >= MAX_CRASHES
    refused = [
        error
        for _, error in sound
        if isinstance(error, retries.ConvictedError)
    ]
    assert not refused
