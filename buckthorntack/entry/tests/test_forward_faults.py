"""Every loss at every step of a forward, between two entry VMs."""

import asyncio
import contextlib
import functools
import itertools

import pytest

from buckthorntack import errors
from buckthorntack import routing
from buckthorntack.entry import _accepting
from buckthorntack.entry import _forwarding
from buckthorntack.entry import _runner
from buckthorntack.entry.tests import fakes
from buckthorntack.routing.tests import _records
from buckthorntack.schema import messages

KINDS = ("stream", "whole", "booking")
ORIGIN = "entry-fukuoka"
ANSWERING = ("entry-kumamoto", "entry-kumamoto-2")
#: More messages than a hand-over without fault takes either way.
MESSAGES = 12
DELAY_S = 0.055
#: Keeps the order of messages that are sent at the same time.
GAP_S = 1e-6
TO_ANSWERING = (
    messages.ForwardRequest,
    messages.ForwardBody,
    messages.ForwardCancel,
    messages.ForwardCredit,
)


class Node:
    """An entry VM: the collaborators, and both sides of forwarding."""

    def __init__(self, name, region, backend, servers):
        self.name = name
        self.parts = fakes.make_parts(backend, region, servers)
        self.runner = _runner.Runner(self.parts)
        self.accepting = _accepting.AcceptingTask(
            self.parts, self.runner, fakes.PROGRESS
        )

    def deliver(self, sender, message):
        if isinstance(message, TO_ANSWERING):
            self.accepting.deliver(message, sender)
        else:
            self.parts.forwarding.deliver(sender, message)


class World:
    """One origin without servers and two entry VMs that have some.

    :param backend: the answering region's servers.
    :param loses: told a message's direction and number, says if it is lost.
    """

    def __init__(self, backend, loses=lambda way, number: False):
        self.backend = backend
        self.loses = loses
        self.origin = Node(ORIGIN, "fukuoka", fakes.Backend(), ())
        self.nodes = {ORIGIN: self.origin}
        for name in ANSWERING:
            self.nodes[name] = Node(name, "kumamoto", backend, ("s1", "s2"))
        self.counts = {"out": 0, "back": 0}
        self.log = []
        self.arrival_s = 0.0
        for node in self.nodes.values():
            node.parts.sender.receive = functools.partial(self.carry, node)
        self.offer("pitchwriter", "w")
        self.offer("vergedesk", "")

    def offer(self, service, version):
        """Have the origin know of both services over there."""
        summary = _records.summary("kumamoto", lease_ms=10**8)
        offers = [
            messages.ServiceSummary("pitchwriter", "w", 2, 16, 0, 0),
            messages.ServiceSummary("vergedesk", "", 2, 16, 0, 0),
        ]
        entries = [_records.entry(name, "kumamoto") for name in ANSWERING]
        summary = summary._replace(services=offers, entries=entries)
        router = self.origin.parts.router
        router.update_summary(summary, self.origin.parts.clock.monotonic())

    def carry(self, node, to, message):
        way = "out" if node is self.origin else "back"
        number = self.counts[way]
        self.counts[way] += 1
        self.log.append(message)
        if not self.loses(way, number):
            deliver = self.nodes[to].deliver
            loop = asyncio.get_running_loop()
            self.arrival_s = max(loop.time() + DELAY_S, self.arrival_s + GAP_S)
            loop.call_at(self.arrival_s, deliver, node.name, message)

    def requests(self):
        return [m for m in self.log if isinstance(m, messages.ForwardRequest)]

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        for name in ANSWERING:
            await self.stack.enter_async_context(self.nodes[name].accepting)
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    async def send(self, kind, **fields):
        request = fakes.make_request(kind, **fields)
        return await fakes.answer(self.origin.parts, request)


def play(kind, loses=lambda way, number: False, backend=None):
    """Forward a request over a link that loses some messages."""

    async def scenario():
        world = World(backend or fakes.Backend(), loses)
        async with world:
            sink, error = await world.send(kind)
            # What goes on over there after the origin has given up.
            await asyncio.sleep(300)
            await asyncio.sleep(0)
        check(kind, world, sink, error)
        return world, sink, error

    return fakes.run(scenario())


def check(kind, world, sink, error):
    """What must hold after any losses."""
    runs = world.backend.runs
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
    for node in world.nodes.values():
        assert len(node.accepting) == 0
        assert not node.parts.admitting.running


def expected(kind, attempt_id):
    if kind == "stream":
        return b"".join(fakes.whole_stream(attempt_id))
    return fakes.BODY


@pytest.mark.parametrize("kind", KINDS)
def test_without_fault(kind):
    world, _, error = play(kind)
    assert error is None
    assert len(world.backend.runs) == 1
    assert max(world.counts.values()) <= MESSAGES


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("way", ["out", "back"])
@pytest.mark.parametrize("place", range(MESSAGES))
def test_one_message_lost(kind, way, place):
    play(kind, lambda w, number: (w, number) == (way, place))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("way", ["out", "back"])
@pytest.mark.parametrize("place", range(MESSAGES))
def test_link_cut_one_way_from_a_message_on(kind, way, place):
    play(kind, lambda w, number: w == way and number >= place)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("place", range(MESSAGES))
def test_link_cut_both_ways_from_a_message_on(kind, place):
    play(kind, lambda _, number: number >= place)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "fault", ["refused", "lost", "silent", "lost midway", "crossed", "not run"]
)
def test_server_over_there_fails(kind, fault):
    play(kind, backend=fakes.Backend([fault]))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["refused", "not run"])
def test_what_no_server_over_there_takes_is_not_run(kind, fault):
    world, _, error = play(kind, backend=fakes.Backend([fault] * 99))
    assert error.run_state is errors.RunState.NOT_RUN
    assert world.backend.runs == []


@pytest.mark.parametrize("kind", KINDS)
def test_no_link_means_not_run(kind):
    async def scenario():
        world = World(fakes.Backend())
        world.origin.parts.sender.takes = False
        async with world:
            _, error = await world.send(kind)
        assert error.run_state is errors.RunState.NOT_RUN
        assert world.backend.runs == []

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_forwarded_request_is_not_forwarded_again(kind):
    async def scenario():
        world = World(fakes.Backend())
        for name in ANSWERING:
            node = world.nodes[name]
            for server_id in node.parts.servers:
                node.parts.router.remove_server(
                    server_id, node.parts.clock.monotonic()
                )
            elsewhere = _records.summary("kagoshima", lease_ms=10**8)
            node.parts.router.update_summary(
                elsewhere, node.parts.clock.monotonic()
            )
        async with world:
            _, error = await world.send(kind)
        assert error.run_state is errors.RunState.NOT_RUN
        assert {m.origin_region for m in world.requests()} == {"fukuoka"}

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_residency_is_checked_where_it_is_accepted(kind):
    """The origin's set is older than the one over there."""

    async def scenario():
        world = World(fakes.Backend())
        async with world:
            sink, error = await world.send(
                kind, organisation="fukuoka-council"
            )
        ends = [m for m in world.log if isinstance(m, messages.ForwardEnd)]
        kinds = {message.error_kind for message in ends}
        assert kinds == {routing.ResidencyError.kind}
        assert error.run_state is errors.RunState.NOT_RUN
        assert world.backend.sent == []
        assert not sink.started

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_revision_that_is_not_known_over_there_is_not_run(kind):
    async def scenario():
        world = World(fakes.Backend())
        async with world:
            _, error = await world.send(kind, revision=2)
        assert error.run_state is errors.RunState.NOT_RUN
        assert world.backend.sent == []

    fakes.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 1.0])
def test_caller_that_leaves_cancels_what_was_forwarded(kind, after_s):
    async def scenario():
        world = World(fakes.Backend(["silent"]))
        async with world:
            work = asyncio.create_task(world.send(kind))
            await asyncio.sleep(after_s)
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
            await asyncio.sleep(300)
            await asyncio.sleep(0)
        runs = world.backend.runs
        assert len(runs) <= 1
        if kind != "booking":
            assert world.backend.cancelled == runs
        assert all(len(n.accepting) == 0 for n in world.nodes.values())

    fakes.run(scenario())


@pytest.mark.parametrize("given_up", [0, 1])
def test_part_of_a_request_is_forgotten(given_up):
    """A hand-over that stops halfway leaves nothing behind."""

    async def scenario():
        world = World(fakes.Backend())
        node = world.nodes[ANSWERING[0]]
        body = b"x" * (2 * _forwarding.BODY_PART_BYTES)
        outgoing = _forwarding.Outgoing("f1", node.name)
        async with world:
            sender = world.origin.parts.sender
            request = fakes.make_request("whole", body=body)
            sending = asyncio.create_task(
                world.origin.parts.forwarding._hand_over(outgoing, request)
            )
            sender.receive = functools.partial(stop_after, world, given_up)
            assert not await sending
            await asyncio.sleep(300)
            assert len(node.accepting) == 0

    fakes.run(scenario())


def stop_after(world, parts, to, message):
    """Take the request and some parts of its body, then nothing more."""
    world.carry(world.origin, to, message)
    sender = world.origin.parts.sender
    sender.takes = world.counts["out"] <= parts


@pytest.mark.parametrize("kind", KINDS)
def test_two_messages_lost(kind):
    points = list(itertools.product(["out", "back"], range(8)))
    for pair in itertools.combinations(points, 2):
        play(kind, lambda *point, pair=pair: point in pair)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["lost", "silent midway", "crossed"])
def test_server_over_there_fails_and_a_message_is_lost(kind, fault):
    for point in itertools.product(["out", "back"], range(8)):
        backend = fakes.Backend([fault])
        play(kind, lambda *at, point=point: at == point, backend)


@pytest.mark.parametrize("kind", KINDS)
def test_planned_stop_waits_for_what_was_forwarded(kind):
    """The server's connection is silent, so that the answer takes long."""

    async def scenario():
        world = World(fakes.Backend(["silent"]))
        async with world:
            work = asyncio.create_task(world.send(kind))
            await asyncio.sleep(0.2)
            assert len(world.backend.runs) == 1
            for name in ANSWERING:
                await world.nodes[name].accepting.drain()
                await world.nodes[name].runner.drain()
                assert not world.nodes[name].parts.admitting.running
            sink, error = await work
        assert error is None
        assert sink.body == expected(kind, sink.attempt_id)

    fakes.run(scenario())
