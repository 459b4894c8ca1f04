"""Orders that are carried out after their callers have given them up."""

import asyncio
import socket
import time

import pytest

from buckthorntack.gateway import _operators
from buckthorntack.http1 import _server
from buckthorntack.platform.tests import _standins
from buckthorntack.schema import messages

DOMAIN = "a1"
PATH = f"/evacuations/{DOMAIN}"
#: An order, and the one that the same operator gave before and gives again.
CASES = [("DELETE", "POST"), ("POST", "DELETE")]
#: Age from which an order counts as given up, in the test of it.
PATIENCE_MS = 100


def run(scenario):
    _standins.run(scenario, entries=("a1",))


def send_unread(world, name, method, path):
    """Send a call on a new connection and return the connection.

    The event loop of the control VM does not run meanwhile, as if its process
    stood still.
    """
    call = f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
    call += "Content-Length: 0\r\n\r\n"
    address = (world.ip(name), _standins.CONTROL_PORT)
    caller = socket.create_connection(address)
    caller.sendall(call.encode())
    return caller


def leave_order_unread(world, name, method, path):
    """Send a call and close its connection before it is read."""
    send_unread(world, name, method, path).close()


async def order(world, name, method, path=PATH):
    """Give an order until it is acknowledged."""
    while True:
        if (await world.control(name, method, path)).status == 200:
            return
        await asyncio.sleep(_standins.POLL_S)


async def commit_earlier_proposals(world, name):
    """Wait until what a control VM has proposed before is applied."""
    version = world.nodes[name].machine.directives.version + 1
    document = _standins.configuration(version)
    assert (await world.publish(document, name)).status == 200
    await world.in_force(version)


def is_evacuated(world):
    return [
        DOMAIN in node.machine.directives.evacuated
        if node.settings.role == "control"
        else DOMAIN in node.shared_state.dispatcher.evacuated
        for node in world.nodes.values()
    ]


async def check_state_after(world, method):
    """Check that the order of a method is in force at all nodes."""
    await commit_earlier_proposals(world, "c0")
    expected = method == "POST"
    await world.until(lambda: len(set(is_evacuated(world))) == 1)
    assert is_evacuated(world)[0] is expected


async def wait_until_ended(world, name):
    """Wait until a control VM has noticed that a caller has left."""
    unanswered = world.nodes[name].listener.unanswered
    await world.until(lambda: unanswered[_server.EndReason.CLIENT_CLOSED] == 1)


# Guards against an evacuation that is undone by an order which a control VM
# reads after it stood still, though its caller has left.
@pytest.mark.parametrize("late, newer", CASES)
def test_order_of_a_caller_that_has_left_changes_nothing(late, newer):
    async def scenario(world):
        await world.begin()
        await order(world, "c1", late)
        await order(world, "c1", newer)
        leave_order_unread(world, "c0", late, PATH)
        await wait_until_ended(world, "c0")
        await check_state_after(world, newer)

    run(scenario)


# Guards against an evacuation that is undone by an order which a control VM
# reads after it stood still, though its caller turned to another one and only
# has not closed the connection.
@pytest.mark.parametrize("late, newer", CASES)
def test_order_that_was_not_read_in_time_changes_nothing(
    late, newer, monkeypatch
):
    async def scenario(world):
        await world.begin()
        await order(world, "c1", late)
        await order(world, "c1", newer)
        monkeypatch.setattr(_operators, "ORDER_PATIENCE_MS", PATIENCE_MS)
        caller = send_unread(world, "c0", late, PATH)
        # The event loop of the control VM does not run meanwhile.
        time.sleep(2 * PATIENCE_MS / 1e3)  # noqa: ASYNC251
        reader, writer = await asyncio.open_connection(sock=caller)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert head.startswith(b"HTTP/1.1 503 ")
        await check_state_after(world, newer)

    run(scenario)


# Guards against an evacuation that is undone by an order whose caller left, as
# the close of its connection arrives a moment after it.
@pytest.mark.parametrize("late, newer", CASES)
def test_order_whose_close_comes_behind_it_changes_nothing(late, newer):
    async def scenario(world):
        await world.begin()
        await order(world, "c1", late)
        await order(world, "c1", newer)
        caller = send_unread(world, "c0", late, PATH)
        replica = world.nodes["c0"].replica
        read_barrier = replica.read_barrier

        async def read_after_close():
            caller.close()
            return await read_barrier()

        replica.read_barrier = read_after_close
        await wait_until_ended(world, "c0")
        await check_state_after(world, newer)

    run(scenario)


class HeldProposals:
    """Holds back the proposals that a control VM forwards to the leader.

    :param links: the ``PlainLinks`` of the control VM.
    """

    def __init__(self, links):
        self.held = []
        self._links = links
        self._send = links.send
        links.send = self._hold

    def _hold(self, to, message):
        is_envelope = isinstance(message, messages.ReplicaEnvelope)
        if is_envelope and b"ForwardedProposal" in message.content:
            self.held.append((to, message))
        else:
            self._send(to, message)

    def release(self):
        """Deliver what was held back, and hold no more."""
        self._links.send = self._send
        for to, message in self.held:
            self._send(to, message)


def find_controls(world):
    """Return the names of a follower and of the leader."""
    names = {True: [], False: []}
    for name, node in world.nodes.items():
        if node.settings.role == "control":
            names[node.replica.is_leader()].append(name)
    return names[False][0], names[True][0]


# Guards against an evacuation that is undone by an order which waited on the
# link to the leader until after newer orders.
@pytest.mark.parametrize("late, newer", CASES)
def test_order_that_newer_ones_overtook_changes_nothing(late, newer):
    async def scenario(world):
        await world.begin()
        await order(world, "c0", newer)
        await world.until(lambda: len(set(is_evacuated(world))) == 1)
        follower, leader = find_controls(world)
        held = HeldProposals(world.nodes[follower].links)
        caller = asyncio.create_task(world.control(follower, late, PATH))
        await world.until(lambda: held.held)
        caller.cancel()
        await wait_until_ended(world, follower)
        await order(world, leader, late)
        await order(world, leader, newer)
        held.release()
        await commit_earlier_proposals(world, follower)
        await check_state_after(world, newer)

    run(scenario)


# Guards against an order that is dropped though its caller still waits, as
# another operator's order was applied meanwhile.
def test_order_that_was_overtaken_is_given_again_for_its_caller(monkeypatch):
    monkeypatch.setattr(_operators, "ORDER_PATIENCE_MS", 60_000)

    async def scenario(world):
        await world.begin()
        follower, leader = find_controls(world)
        held = HeldProposals(world.nodes[follower].links)
        caller = asyncio.create_task(world.control(follower, "POST", PATH))
        await world.until(lambda: held.held)
        await order(world, leader, "POST")
        await order(world, leader, "DELETE")
        held.release()
        assert (await caller).status == 200
        await check_state_after(world, "POST")

    run(scenario)


# Guards against the loss of a server that has started again, by the notice of
# leaving of its former start which a control VM reads late.
def test_late_notice_of_leaving_does_not_end_a_newer_start():
    async def scenario(world):
        await world.begin()
        server = await world.add_server("s1", "desk")
        server.crash()
        await world.restart_server(server)
        leave_order_unread(world, "c0", "DELETE", "/instances/s1")
        await commit_earlier_proposals(world, "c0")
        record = world.nodes["c0"].registry.servers["s1"].record
        assert record.state == "ready"
        assert (await world.ask("/safe/x")).status == 200

    run(scenario)
