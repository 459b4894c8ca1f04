"""Placement task with a fake HTTP transport for engines."""

import asyncio
import datetime
import json
import pathlib

from expression import Ok
import httpx

from buckthorntack import clock
from buckthorntack import objects
from buckthorntack import placement
from buckthorntack.placement.tests import worlds
from buckthorntack.schema import messages

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class FakeNetwork:
    """Delivers messages between tasks in one process."""

    def __init__(self):
        self.tasks = {}

    def sender(self, node):
        class Bound:
            def send(_, to, message):
                if to in self.tasks:
                    self.tasks[to].deliver(node, message)

        return Bound()


class FakeGroup:
    """Fake replicated group with a single replica."""

    def __init__(self, machine):
        self.machine = machine

    async def propose(self, command):
        return Ok(self.machine.apply(0, command))


class Harness:
    """Test harness with one control VM, issuers and a fake engine."""

    def __init__(self, answer):
        self.clock = clock.ManualClock()
        self.network = FakeNetwork()
        self.machine = placement.LeaseMachine()
        self.control = placement.LeaseGranterTask(
            self.machine,
            FakeGroup(self.machine),
            self.network.sender("control"),
            self.clock,
        )
        self.network.tasks["control"] = self.control
        self.orders = []
        self.items = []
        self.answer = answer
        self.servers = [worlds.record("s0", ""), worlds.record("s1", "m1")]

    def handle(self, request):
        assert request.url.path == "/orders"
        self.orders.append(json.loads(request.content))
        return self.answer(self.orders[-1])

    def issuer(self, node, client):
        lease = placement.IssuerLease(
            worlds.DOMAIN, f"{node}#1", worlds.TIMING
        )
        store = placement.WeightStoreBudget(1000, 1)
        demands = {"m1": (1, 0, 0.1), "m2": (1, 0, 0.1)}
        task = placement.PlacementTask(
            lease,
            placement.PlacementPlanner(worlds.TIMING, store),
            ["control"],
            self.network.sender(node),
            client,
            self.clock,
            lambda: worlds.inputs(self.servers, demands),
            self.items.append,
        )
        self.network.tasks[node] = task
        return task

    async def settle(self):
        for _ in range(10):
            await asyncio.sleep(0)

    async def pass_time(self, seconds):
        for _ in range(seconds):
            self.clock.advance(datetime.timedelta(seconds=1))
            await self.settle()

    async def run(self, seconds):
        transport = httpx.MockTransport(self.handle)
        async with (
            httpx.AsyncClient(transport=transport) as client,
            self.control,
            self.issuer("e0", client) as task,
        ):
            await self.settle()
            await self.pass_time(seconds)
            return task


def accept(order):
    return httpx.Response(
        200, json={"accepted": True, "fencing": order["fencing"]}
    )


def test_order_is_sent_and_drained_engine_is_told():
    harness = Harness(accept)
    asyncio.run(harness.run(10))
    (order,) = harness.orders
    assert order["fencing"] == 1
    assert order["model_versions"] == ["m2"]
    assert placement.read_drain_item(harness.items[-1]) == ["s0"]
    versions = [item.version for item in harness.items]
    assert versions == sorted(set(versions))


def test_refused_order_ends_the_lease_and_raises_the_number():
    def refuse(order):
        accepted = order["fencing"] > 41
        answer = {"accepted": accepted, "fencing": 41, "reason": "old"}
        return httpx.Response(200, json=answer)

    harness = Harness(refuse)
    asyncio.run(harness.run(20))
    assert [order["fencing"] for order in harness.orders][:2] == [1, 42]


def test_invalid_answers_do_no_harm():
    bodies = iter([b"nonsense", b'{"accepted": 1}', b"[]"])

    def confuse(_order):
        return httpx.Response(200, content=next(bodies, b"{}"))

    harness = Harness(confuse)
    task = asyncio.run(harness.run(150))
    assert len(harness.orders) > 1
    assert task.lease.fencing == 1


# A suspended issuer took its lease for valid after another one had it.
def test_suspension_counts_towards_the_lease():
    harness = Harness(accept)

    async def scenario():
        transport = httpx.MockTransport(harness.handle)
        async with (
            httpx.AsyncClient(transport=transport) as client,
            harness.control,
            harness.issuer("e0", client) as task,
        ):
            await harness.settle()
            await harness.pass_time(2)
            assert task.lease.is_held(task._now_ms())
            del harness.network.tasks["control"]
            orders = len(harness.orders)
            lease = datetime.timedelta(milliseconds=worlds.TIMING.lease_ms)
            harness.clock.suspend(lease)
            assert not task._may_issue(True)
            await harness.pass_time(1)
            assert len(harness.orders) == orders

    asyncio.run(scenario())


def test_request_in_anothers_name_is_ignored():
    harness = Harness(accept)

    async def scenario():
        async with harness.control:
            request = messages.LeaseRequest(
                worlds.DOMAIN, "e0#1", 1, 15_000, 0
            )
            harness.control.deliver("e1", request)
            await harness.settle()

    asyncio.run(scenario())
    assert harness.machine.row(worlds.DOMAIN).holder == ""


class FakeMembership:
    """Fake membership task."""

    def __init__(self, servers):
        self.found = servers
        self.items = []

    def servers(self):
        return self.found

    def publish(self, item):
        self.items.append(item)


def test_issuer_built_from_settings_follows_the_published_objects():
    harness = Harness(accept)
    loaded = objects.check_folder(EXAMPLES / "hoardline")
    published = objects.PublishedSet(1, loaded.named_objects)
    members = FakeMembership(
        [worlds.record("s0", "", pool="pitchwriter-fukuoka-a")]
    )
    settings = {
        "node_id": "e0",
        "failure_domain": worlds.DOMAIN,
        "control": ["control"],
        "weight_store": {"bytes_per_second": 1e9},
    }

    async def scenario():
        transport = httpx.MockTransport(harness.handle)
        async with httpx.AsyncClient(transport=transport) as client:
            task = placement.build_placement_task(
                settings,
                1,
                harness.network.sender("e0"),
                client,
                harness.clock,
                members,
                lambda: published,
                dict,
            )
            harness.network.tasks["e0"] = task
            async with harness.control, task:
                await harness.settle()
                await harness.pass_time(10)

    asyncio.run(scenario())
    (order,) = harness.orders
    assert order["model_versions"] == ["pitchwriter-7"]
    assert order["adapters"] == ["council-tone"]
    assert placement.drained_servers(members.items) == {"s0"}


def test_no_issuer_without_a_weight_store():
    assert placement.build_placement_task({}, 1, *[None] * 6) is None
