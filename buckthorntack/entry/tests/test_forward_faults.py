"""Tests of message loss at each step of forwarding between regions."""

import asyncio
import contextlib
import functools
import itertools

import pytest

from buckthorntack import errors
from buckthorntack import routing
from buckthorntack.entry import _forward_receiver
from buckthorntack.entry import _forwarding
from buckthorntack.entry import _runner
from buckthorntack.entry.tests import fakes
from buckthorntack.routing.tests import _records
from buckthorntack.schema import messages

KINDS = ("stream", "whole", "booking")
ORIGIN = "entry-fukuoka"
RECEIVERS = ("entry-kumamoto", "entry-kumamoto-2")
#: Upper bound on the messages of one forward in each direction without fault.
MAX_MESSAGES = 12
#: One-way delay of the link.
DELAY_S = 0.055
#: Minimum time between arrivals, which keeps messages in the order sent.
MIN_ARRIVAL_GAP_S = 1e-6
RECEIVER_MESSAGES = (
    messages.ForwardRequest,
    messages.ForwardBody,
    messages.ForwardCancel,
    messages.ForwardCredit,
)


class Node:
    """Entry VM with its components and both sides of forwarding."""

    def __init__(self, name, region, backend, servers):
        self.name = name
        self.components = fakes.make_components(backend, region, servers)
        self.runner = _runner.Runner(self.components)
        self.forward_receiver = _forward_receiver.ForwardReceiverTask(
            self.components, self.runner, fakes.IDLE_TIMEOUT
        )

    def deliver(self, sender, message):
        if isinstance(message, RECEIVER_MESSAGES):
            self.forward_receiver.deliver(message, sender)
        else:
            self.components.forwarding.deliver(sender, message)


class Simulation:
    """Simulation of an origin without servers and two entry VMs with servers.

    :param backend: servers of the receiving region.
    :param is_lost: function that returns whether a message is lost, by its
        direction, ``out`` or ``back``, and its number.
    """

    def __init__(self, backend, is_lost=lambda direction, number: False):
        self.backend = backend
        self.is_lost = is_lost
        self.origin = Node(ORIGIN, "fukuoka", fakes.ScriptedBackend(), ())
        self.nodes = {ORIGIN: self.origin}
        for name in RECEIVERS:
            self.nodes[name] = Node(name, "kumamoto", backend, ("s1", "s2"))
        self.counts = {"out": 0, "back": 0}
        self.log = []
        self.arrival_s = 0.0
        for node in self.nodes.values():
            node.components.sender.receive = functools.partial(
                self.transmit, node
            )
        self.update_summary("pitchwriter", "w")
        self.update_summary("vergedesk", "")

    def update_summary(self, service, version):
        """Send the origin a summary of both services of the other region."""
        summary = _records.summary("kumamoto", lease_ms=10**8)
        offers = [
            messages.ServiceSummary("pitchwriter", "w", 2, 16, 0, 0),
            messages.ServiceSummary("vergedesk", "", 2, 16, 0, 0),
        ]
        entries = [_records.entry(name, "kumamoto") for name in RECEIVERS]
        summary = summary._replace(services=offers, entries=entries)
        router = self.origin.components.router
        router.update_summary(
            summary, self.origin.components.clock.monotonic()
        )

    def transmit(self, node, to, message):
        direction = "out" if node is self.origin else "back"
        number = self.counts[direction]
        self.counts[direction] += 1
        self.log.append(message)
        if not self.is_lost(direction, number):
            deliver = self.nodes[to].deliver
            loop = asyncio.get_running_loop()
            self.arrival_s = max(
                loop.time() + DELAY_S, self.arrival_s + MIN_ARRIVAL_GAP_S
            )
            loop.call_at(self.arrival_s, deliver, node.name, message)

    def requests(self):
        return [m for m in self.log if isinstance(m, messages.ForwardRequest)]

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        for name in RECEIVERS:
            await self.stack.enter_async_context(
                self.nodes[name].forward_receiver
            )
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    async def send(self, kind, **fields):
        request = fakes.make_request(kind, **fields)
        return await fakes.run_request(self.origin.components, request)


def run_scenario(kind, is_lost=lambda direction, number: False, backend=None):
    """Forward a request over a lossy link and check the invariants."""

    async def scenario():
        simulation = Simulation(backend or fakes.ScriptedBackend(), is_lost)
        async with simulation:
            sink, error = await simulation.send(kind)
            # Waits for work that continues at the receiving entry VMs after
            # the origin has given up.
            await asyncio.sleep(300)
            await asyncio.sleep(0)
        check(kind, simulation, sink, error)
        return simulation, sink, error

    return fakes.run(scenario())


def check(kind, simulation, sink, error):
    """Check the invariants that hold after any losses."""
    runs = simulation.backend.runs
    assert sink.finished == (error is None)
    if error is None:
        assert sink.status == 200
        assert sink.body == expected(kind, sink.attempt_id)
    elif error.run_state is errors.RunState.NOT_RUN:
        assert runs == []
    if kind == "stream" and sink.started:
        assert expected(kind, sink.attempt_id).startswith(sink.body)
    if kind == "booking":
        assert len(runs) <= 1
    for node in simulation.nodes.values():
        assert len(node.forward_receiver) == 0
        assert not node.components.admission_task.running


def expected(kind, attempt_id):
    if kind == "stream":
        return b"".join(fakes.build_stream(attempt_id))
    return fakes.BODY


@pytest.mark.parametrize("kind", KINDS)
def test_without_fault(kind):
    simulation, _, error = run_scenario(kind)
    assert error is None
    assert len(simulation.backend.runs) == 1
    assert max(simulation.counts.values()) <= MAX_MESSAGES


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("direction", ["out", "back"])
@pytest.mark.parametrize("position", range(MAX_MESSAGES))
def test_one_message_lost(kind, direction, position):
    run_scenario(kind, lambda w, number: (w, number) == (direction, position))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("direction", ["out", "back"])
@pytest.mark.parametrize("position", range(MAX_MESSAGES))
def test_link_cut_one_way_from_a_message_on(kind, direction, position):
    run_scenario(kind, lambda w, number: w == direction and number >= position)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("position", range(MAX_MESSAGES))
def test_link_cut_both_ways_from_a_message_on(kind, position):
    run_scenario(kind, lambda _, number: number >= position)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "fault", ["refused", "lost", "silent", "lost midway", "crossed", "not run"]
)
def test_server_over_there_fails(kind, fault):
    run_scenario(kind, backend=fakes.ScriptedBackend([fault]))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["refused", "not run"])
def test_what_no_server_over_there_takes_is_not_run(kind, fault):
    simulation, _, error = run_scenario(
        kind, backend=fakes.ScriptedBackend([fault] * 99)
    )
    assert error.run_state is errors.RunState.NOT_RUN
    assert simulation.backend.runs == []


@pytest.mark.parametrize("kind", KINDS)
def test_no_link_means_not_run(kind):
    async def scenario():
        simulation = Simulation(fakes.ScriptedBackend())
        simulation.origin.components.sender.is_open = False
        async with simulation:
            _, error = await simulation.send(kind)
        assert error.run_state is errors.RunState.NOT_RUN
        assert simulation.backend.runs == []

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_forwarded_request_is_not_forwarded_again(kind):
    async def scenario():
        simulation = Simulation(fakes.ScriptedBackend())
        for name in RECEIVERS:
            node = simulation.nodes[name]
            for server_id in node.components.servers:
                node.components.router.remove_server(
                    server_id, node.components.clock.monotonic()
                )
            elsewhere = _records.summary("kagoshima", lease_ms=10**8)
            node.components.router.update_summary(
                elsewhere, node.components.clock.monotonic()
            )
        async with simulation:
            _, error = await simulation.send(kind)
        assert error.run_state is errors.RunState.NOT_RUN
        assert {m.origin_region for m in simulation.requests()} == {"fukuoka"}

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_residency_is_checked_where_it_is_accepted(kind):
    """The origin has an older configuration than the receiving region."""

    async def scenario():
        simulation = Simulation(fakes.ScriptedBackend())
        async with simulation:
            sink, error = await simulation.send(
                kind, organisation="fukuoka-council"
            )
        ends = [
            m for m in simulation.log if isinstance(m, messages.ForwardEnd)
        ]
        kinds = {message.error_kind for message in ends}
        assert kinds == {routing.ResidencyError.kind}
        assert error.run_state is errors.RunState.NOT_RUN
        assert simulation.backend.sent == []
        assert not sink.started

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_revision_that_is_not_known_over_there_is_not_run(kind):
    async def scenario():
        simulation = Simulation(fakes.ScriptedBackend())
        async with simulation:
            _, error = await simulation.send(kind, revision=2)
        assert error.run_state is errors.RunState.NOT_RUN
        assert simulation.backend.sent == []

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 1.0])
def test_caller_that_leaves_cancels_what_was_forwarded(kind, after_s):
    async def scenario():
        simulation = Simulation(fakes.ScriptedBackend(["silent"]))
        async with simulation:
            work = asyncio.create_task(simulation.send(kind))
            await asyncio.sleep(after_s)
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
            await asyncio.sleep(300)
            await asyncio.sleep(0)
        runs = simulation.backend.runs
        assert len(runs) <= 1
        if kind != "booking":
            assert simulation.backend.cancelled == runs
        assert all(
            len(n.forward_receiver) == 0 for n in simulation.nodes.values()
        )

    fakes.run(scenario())


@pytest.mark.parametrize("part_count", [0, 1])
def test_part_of_a_request_is_forgotten(part_count):
    """A forwarded request whose body stays incomplete is dropped."""

    async def scenario():
        simulation = Simulation(fakes.ScriptedBackend())
        node = simulation.nodes[RECEIVERS[0]]
        body = b"x" * (2 * _forwarding.BODY_PART_BYTES)
        outgoing = _forwarding.OutgoingForward("f1", node.name)
        async with simulation:
            sender = simulation.origin.components.sender
            request = fakes.make_request("whole", body=body)
            sending = asyncio.create_task(
                simulation.origin.components.forwarding._send_request(
                    outgoing, request
                )
            )
            sender.receive = functools.partial(
                accept_parts, simulation, part_count
            )
            assert not await sending
            await asyncio.sleep(300)
            assert len(node.forward_receiver) == 0

    fakes.run(scenario())


def accept_parts(simulation, part_count, to, message):
    """Pass on the request and some parts of its body, then close the link."""
    simulation.transmit(simulation.origin, to, message)
    sender = simulation.origin.components.sender
    sender.is_open = simulation.counts["out"] <= part_count


@pytest.mark.parametrize("kind", KINDS)
def test_two_messages_lost(kind):
    points = list(itertools.product(["out", "back"], range(8)))
    for pair in itertools.combinations(points, 2):
        run_scenario(kind, lambda *point, pair=pair: point in pair)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["lost", "silent midway", "crossed"])
def test_server_over_there_fails_and_a_message_is_lost(kind, fault):
    for point in itertools.product(["out", "back"], range(8)):
        backend = fakes.ScriptedBackend([fault])
        run_scenario(kind, lambda *at, point=point: at == point, backend)


@pytest.mark.parametrize("kind", KINDS)
def test_planned_stop_waits_for_what_was_forwarded(kind):
    """The server's connection stalls, so that the response takes long."""

    async def scenario():
        simulation = Simulation(fakes.ScriptedBackend(["silent"]))
        async with simulation:
            work = asyncio.create_task(simulation.send(kind))
            await asyncio.sleep(0.2)
            assert len(simulation.backend.runs) == 1
            for name in RECEIVERS:
                await simulation.nodes[name].forward_receiver.drain()
                await simulation.nodes[name].runner.drain()
                assert not simulation.nodes[
                    name
                ].components.admission_task.running
            sink, error = await work
        assert error is None
        assert sink.body == expected(kind, sink.attempt_id)

    fakes.run(scenario())
