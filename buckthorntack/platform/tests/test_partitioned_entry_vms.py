"""Entry VMs that lose their links to all servers, but nothing else."""

import asyncio
import enum
import time

import pytest

from buckthorntack import http1
from buckthorntack.platform.tests import test_requests

SAFE = "/safe/x"
#: Time from a cut after which callers must be served elsewhere (the platform's
#: ``contact_ms``).
SETTLING_S = 5.0
#: Requests to each entry VM after that time.
REQUESTS = 30
PAUSE_S = 0.02
#: Smallest share of the requests at an entry VM that is cut off which are
#: served at the first try, compared with the others.
LEAST_SHARE = 2 / 3
SERVERS = (
    ("s1", "desk"),
    ("s2", "desk"),
    ("s3", "desk", "b1"),
    ("s4", "desk", "b1"),
)
ENTRIES = ("a1", "a1", "a1", "b1")


class Link(enum.StrEnum):
    """How the link to a server fails."""

    HANGING = "hanging"
    RESET = "reset"
    #: Connections live on, new ones are refused.
    HALF_LIVING = "half_living"


def cut(world, entry, link):
    """Cut an entry VM off from all servers; return what ends the cut."""
    pool = world.nodes[entry].shared_state.pool
    open_connection = pool.open

    async def fail(address):
        if link is Link.HANGING:
            await asyncio.sleep(pool.connect_timeout_s)
        raise http1.ConnectError(f"{address}: cut off")

    def end():
        pool.open = open_connection

    pool.open = fail
    if link is not Link.HALF_LIVING:
        for server_id in world.servers:
            pool.close_idle(server_id)
    return end


async def ask_some(world, entry, count=REQUESTS):
    """Send requests at a steady rate; return the share that is served."""
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(world.ask(SAFE, entry=entry)))
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*tasks)
    return sum(answer.status == 200 for answer in answers) / count


async def until_loads_are_known(world, entry, region, server_id):
    fleet = world.nodes[entry].shared_state.fleet
    await world.until(
        lambda: fleet.remote_usage(region, server_id, time.monotonic())
    )


async def compare(world, cut_off, others, link):
    """Cut some entry VMs off; check how they are served beside others."""
    await until_loads_are_known(world, "e0", "south", "s3")
    await until_loads_are_known(world, "e3", "north", "s1")
    await asyncio.gather(
        *(ask_some(world, name, 5) for name in world.entry_names)
    )
    ends = [cut(world, name, link) for name in cut_off]
    settled_s = time.monotonic() + SETTLING_S
    while time.monotonic() < settled_s:
        for server in world.servers.values():
            await world.announce(server)
        await asyncio.gather(*(ask_some(world, name, 3) for name in cut_off))
    names = [*cut_off, *others]
    shares = await asyncio.gather(*(ask_some(world, name) for name in names))
    served = dict(zip(names, shares, strict=True))
    least = LEAST_SHARE * min(served[name] for name in others)
    assert all(served[name] >= least for name in cut_off), served
    assert min(served[name] for name in others) > 0.9, served
    for end in ends:
        end()
    return served


def make_scenario(cut_off, link):
    async def scenario(world):
        world.entry_names = [f"e{number}" for number in range(len(ENTRIES))]
        others = [n for n in world.entry_names if n not in cut_off]
        await compare(world, cut_off, others, link)

    return scenario


# Guards against callers of an entry VM without a path to any server that are
# refused while its neighbours reach the servers.
@pytest.mark.parametrize("link", list(Link))
def test_entry_vm_that_is_cut_off_hands_its_requests_to_neighbours(link):
    test_requests.run(make_scenario(["e0"], link), *SERVERS, entries=ENTRIES)


# Guards against requests that are handed to a neighbour without a path.
@pytest.mark.parametrize("link", list(Link))
def test_most_of_a_failure_domain_is_cut_off(link):
    scenario = make_scenario(["e0", "e1"], link)
    test_requests.run(scenario, *SERVERS, entries=ENTRIES)


# Guards against callers of a failure domain that is cut off as a whole, while
# another region reaches its servers.
@pytest.mark.parametrize("link", list(Link))
def test_all_of_a_failure_domain_is_cut_off(link):
    scenario = make_scenario(["e0", "e1", "e2"], link)
    test_requests.run(scenario, *SERVERS, entries=ENTRIES)


# Guards against an entry VM that goes on handing requests over once it reaches
# the servers again, and against callers whose requests are the probes.
def test_end_of_a_cut_is_noticed_without_requests():
    async def scenario(world):
        world.entry_names = [f"e{number}" for number in range(len(ENTRIES))]
        await compare(world, ["e0"], ["e1", "e2", "e3"], Link.HANGING)
        state = world.nodes["e0"].shared_state
        await world.until(
            lambda: not state.dispatcher.reachability.list_unreachable()
        )
        count = sum(len(s.requests) for s in world.servers.values())
        assert await ask_some(world, "e0", 10) == 1.0
        assert sum(len(s.requests) for s in world.servers.values()) == (
            count + 10
        )

    test_requests.run(scenario, *SERVERS, entries=ENTRIES)


# Guards against an entry VM that is passed over for good after the only server
# of a service has crashed and started again.
def test_restart_of_the_only_server_ends_what_others_were_told():
    async def scenario(world):
        server = world.servers["s1"]
        server.crash()
        for _ in range(4):
            await world.ask(SAFE, entry="e0")

        def is_told():
            records = world.nodes["e1"].shared_state.list_entry_vms("north")
            told = {r.node_id: r.unreachable_services for r in records}
            own_id = world.nodes["e0"].settings.service_address
            return bool(told.get(own_id))

        await world.until(is_told)
        await world.restart_server(server)
        await world.until(lambda: not is_told())

    test_requests.run(scenario, SERVERS[0], entries=("a1", "a1"))


# Guards against a crash that is counted after the quarantine has drawn its
# conclusions from the other records of it, and blamed a part that was sound.
def test_crash_is_counted_at_once_or_not_at_all():
    async def scenario(world):
        node = world.nodes["e0"]
        pool, task = node.shared_state.pool, node.reachability_task
        open_connection = pool.open

        async def open_late(address):
            await asyncio.sleep(0.3)
            return await open_connection(address)

        pool.open = open_late
        counted = []
        await task.call_unless_cut_off("s1", lambda: counted.append("s1"))
        await asyncio.sleep(0.5)
        assert counted == []

    test_requests.run(scenario, *SERVERS[:2], entries=("a1",))


# Guards against a crash that is not counted as its client has left meanwhile.
def test_crash_counts_though_its_client_has_left():
    async def scenario(world):
        task = world.nodes["e0"].reachability_task
        counted = []
        call = asyncio.create_task(
            task.call_unless_cut_off("s1", lambda: counted.append("s1"))
        )
        await asyncio.sleep(0)
        call.cancel()
        await world.until(lambda: counted)

    test_requests.run(scenario, *SERVERS[:2], entries=("a1",))


# Guards against a lost link that counts as a crash, so that the requests that
# were under way are refused at all entry VMs.
def test_lost_link_is_no_crash():
    async def scenario(world):
        gate = asyncio.Event()

        async def wait(server, request, reply):
            await gate.wait()
            reply.send(200, server.headers(request), b"late")

        for server in world.servers.values():
            server.behave = wait
        tasks = [
            asyncio.create_task(world.ask(SAFE, method="PUT", body=b"%d" % n))
            for n in range(4)
        ]
        await world.until(
            lambda: sum(len(s.requests) for s in world.servers.values()) == 4
        )
        counted = []
        quarantine = world.nodes["e0"].shared_state.quarantine
        quarantine.on_attempt_lost = lambda *args: counted.append(args)
        cut(world, "e0", Link.HANGING)
        for server in world.servers.values():
            for connection in list(server.listener.connections):
                connection.transport.abort()
        gate.set()
        await asyncio.gather(*tasks)
        # Longer than a connect may take.
        await asyncio.sleep(1.0)
        assert counted == []

    test_requests.run(scenario, *SERVERS[:2], entries=("a1", "a1"))
