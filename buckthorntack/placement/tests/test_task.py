"""The placement task with engines behind a fake HTTP transport."""

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


class Wire:
    """Carries messages between two tasks in one process."""

    def __init__(self):
        self.tasks = {}

    def sender(self, node):
        class Bound:
            def send(_, to, message):
                if to in self.tasks:
                    self.tasks[to].deliver(node, message)

        return Bound()


class Group:
    """A replicated group of one."""

    def __init__(self, machine):
        self.machine = machine

    async def propose(self, command):
        return Ok(self.machine.apply(0, command))


class Bench:
    """One control VM, issuers and a fake engine."""

    def __init__(self, answer):
        self.clock = clock.ManualClock()
        self.wire = Wire()
        self.machine = placement.LeaseMachine()
        self.control = placement.LeaseGranterTask(
            self.machine,
            Group(self.machine),
            self.wire.sender("control"),
            self.clock,
        )
        self.wire.tasks["control"] = self.control
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
            self.wire.sender(node),
            client,
            self.clock,
            lambda: worlds.inputs(self.servers, demands),
            self.items.append,
        )
        self.wire.tasks[node] = task
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
    bench = Bench(accept)
    asyncio.run(bench.run(10))
    (order,) = bench.orders
    assert order["fencing"] == 1
    assert order["model_versions"] == ["m2"]
    assert placement.read_drain_item(bench.items[-1]) == ["s0"]
    versions = [item.version for item in bench.items]
    assert versions == sorted(set(versions))


def test_refused_order_ends_the_lease_and_raises_the_number():
    def refuse(order):
        accepted = order["fencing"] > 41
        answer = {"accepted": accepted, "fencing": 41, "reason": "old"}
        return httpx.Response(200, json=answer)

    bench = Bench(refuse)
    asyncio.run(bench.run(20))
    assert [order["fencing"] for order in bench.orders][:2] == [1, 42]


def test_invalid_answers_do_no_harm():
    bodies = iter([b"nonsense", b'{"accepted": 1}', b"[]"])

    def confuse(_order):
        return httpx.Response(200, content=next(bodies, b"{}"))

    bench = Bench(confuse)
    task = asyncio.run(bench.run(150))
    assert len(bench.orders) > 1
    assert task.lease.fencing == 1


def test_request_in_anothers_name_is_ignored():
    bench = Bench(accept)

    async def scenario():
        async with bench.control:
            request = messages.LeaseRequest(
                worlds.DOMAIN, "e0#1", 1, 15_000, 0
            )
            bench.control.deliver("e1", request)
            await bench.settle()

    asyncio.run(scenario())
    assert bench.machine.row(worlds.DOMAIN).holder == ""


class Members:
    """Stands for the membership task."""

    def __init__(self, servers):
        self.found = servers
        self.items = []

    def servers(self):
        return self.found

    def publish(self, item):
        self.items.append(item)


def test_issuer_built_from_settings_follows_the_published_objects():
    bench = Bench(accept)
    loaded = objects.check_folder(EXAMPLES / "hoardline")
    published = objects.PublishedSet(1, loaded.named_objects)
    members = Members([worlds.record("s0", "", pool="pitchwriter-fukuoka-a")])
    settings = {
        "node_id": "e0",
        "failure_domain": worlds.DOMAIN,
        "control": ["control"],
        "weight_store": {"bytes_per_second": 1e9},
    }

    async def scenario():
        transport = httpx.MockTransport(bench.handle)
        async with httpx.AsyncClient(transport=transport) as client:
            task = placement.build_issuer(
                settings,
                1,
                bench.wire.sender("e0"),
                client,
                bench.clock,
                members,
                lambda: published,
                dict,
            )
            bench.wire.tasks["e0"] = task
            async with bench.control, task:
                await bench.settle()
                await bench.pass_time(10)

    asyncio.run(scenario())
    (order,) = bench.orders
    assert order["model_versions"] == ["pitchwriter-7"]
    assert order["adapters"] == ["council-tone"]
    assert placement.drained_servers(members.items) == {"s0"}


def test_no_issuer_without_a_weight_store():
    assert placement.build_issuer({}, 1, *[None] * 6) is None
