"""Unauthenticated links between nodes that restart or lose their disks."""

import asyncio

import logbook
import pytest

from buckthorntack import transport
from buckthorntack.schema import messages

TEST_TIMEOUT_S = 20


def make_ping(number):
    return messages.Ping(number)


class Node:
    """A node, and the messages that it has received."""

    def __init__(self, node_id, address):
        self.node_id = node_id
        self.received = []
        self.links = transport.PlainLinks(node_id, address, self.on_message)

    def on_message(self, sender, message):
        self.received.append((sender, message.sent_at_ms))


def run(scenario):
    async def bounded():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario()

    asyncio.run(bounded())


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


@pytest.fixture
def addresses():
    """Return two free addresses."""
    sockets = [transport.bind_listener("127.0.0.1:0") for _ in range(2)]
    found = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return found


def test_messages_go_both_ways_over_one_connection(addresses):
    async def scenario():
        near, far = Node("near", addresses[0]), Node("far", addresses[1])
        async with near.links, far.links:
            near.links.set_address("far", addresses[1])
            for number in range(100):
                assert near.links.send("far", make_ping(number))
            await wait_until(lambda: len(far.received) == 100)
            assert far.received == [("near", n) for n in range(100)]
            # The receiver knows no address and uses the open connection.
            assert far.links.send("near", make_ping(7))
            await wait_until(lambda: near.received)
            assert near.received == [("far", 7)]

    run(scenario)


def test_unknown_node_is_sent_nothing(addresses):
    async def scenario():
        node = Node("near", addresses[0])
        async with node.links:
            assert not node.links.send("far", make_ping(1))
            assert node.links.dropped_messages == 1

    run(scenario)


def test_own_messages_come_back(addresses):
    async def scenario():
        node = Node("near", addresses[0])
        async with node.links:
            node.links.send("near", make_ping(1))
            await wait_until(lambda: node.received)

    run(scenario)


def test_node_that_restarts_is_reached_again(addresses):
    async def scenario():
        near = Node("near", addresses[0])
        async with near.links:
            near.links.set_address("far", addresses[1])
            for start in range(3):
                far = Node("far", addresses[1])
                async with far.links:
                    number = 0
                    while not far.received:
                        number += 1
                        near.links.send("far", make_ping(start))
                        await asyncio.sleep(0.02)
                    assert set(far.received) == {("near", start)}

    run(scenario)


def test_node_with_another_disk_gets_its_messages_under_its_new_id(addresses):
    async def scenario():
        near, far = Node("near", addresses[0]), Node("far~2", addresses[1])
        async with near.links, far.links:
            near.links.set_address("far", addresses[1])
            near.links.send("far", make_ping(1))
            await wait_until(lambda: far.received)
            far.links.send("near", make_ping(2))
            await wait_until(lambda: near.received)
            assert near.received == [("far~2", 2)]
            assert near.links.send("far~2", make_ping(3))
            await wait_until(lambda: len(far.received) == 2)

    run(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x02me\x00\x00\x00\x05nope!",
        b"\x00\x00\x00\x02me\x00\x00\x00\x06Ping\x00\xc1",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_foreign_bytes_harm_nobody(addresses, data):
    async def scenario():
        node, peer = Node("near", addresses[0]), Node("far", addresses[1])
        async with node.links, peer.links:
            host, _, port = addresses[0].rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await writer.drain()
            peer.links.set_address("near", addresses[0])
            peer.links.send("near", make_ping(1))
            await wait_until(lambda: node.received)
            assert node.received == [("far", 1)]
            writer.close()

    run(scenario)


def test_message_that_comes_in_pieces_is_whole(addresses):
    async def scenario():
        node = Node("near", addresses[0])
        async with node.links:
            host, _, port = addresses[0].rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            message = b"Ping\x00\x91\x05"
            data = b"\x00\x00\x00\x02me" + len(message).to_bytes(4) + message
            for byte in data:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0.001)
            await wait_until(lambda: node.received)
            assert node.received == [("me", 5)]
            writer.close()

    run(scenario)


class _Picky(Node):
    """A node whose handler fails at some messages."""

    def on_message(self, sender, message):
        if message.sent_at_ms % 2:
            raise OverflowError("date value out of range")
        super().on_message(sender, message)


def lines_of(log, number):
    """Particulars of the log lines of an event."""
    return [
        record.extra
        for record in log.records
        if record.extra.get("event") == number
    ]


# A message whose handling failed ended its link; followers never went on.
def test_message_that_cannot_be_handled_costs_itself_only(addresses):
    async def scenario():
        near, far = Node("near", addresses[0]), _Picky("far", addresses[1])
        async with near.links, far.links:
            near.links.set_address("far", addresses[1])
            for number in range(6):
                assert near.links.send("far", make_ping(number))
            await wait_until(lambda: len(far.received) == 3)
            assert far.received == [("near", n) for n in (0, 2, 4)]
            assert far.links.received_messages == 6
            # The same connection carries the later ones.
            assert far.links.send("near", make_ping(7))
            await wait_until(lambda: near.received)

    with logbook.TestHandler() as log:
        run(scenario)
    lines = lines_of(log, 1209)
    assert [(line["peer"], line["kind"]) for line in lines] == [
        ("near", "Ping")
    ] * 3
    assert "date value out of range" in lines[0]["error"]
    # Both ends log the one connection that they had.
    assert len(lines_of(log, 1206)) == 2


# A message to itself that could not be handled was not logged as an event.
def test_own_message_that_cannot_be_handled_is_logged(addresses):
    async def scenario():
        node = _Picky("near", addresses[0])
        async with node.links:
            node.links.send("near", make_ping(1))
            node.links.send("near", make_ping(2))
            await wait_until(lambda: node.received)

    with logbook.TestHandler() as log:
        run(scenario)
    assert [line["kind"] for line in lines_of(log, 1209)] == ["Ping"]


# A port out of range ended the task of the connect; the messages stayed queued
# and each later one tried again at once.
@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:",
        "127.0.0.1:port",
        "",
        "127.0.0.1\0:80",
        "a..b:80",
        f"127.0.0.1:{'9' * 5000}",
        "\udc80:80",
    ],
)
def test_odd_address_fails_as_a_connect(addresses, address):
    async def scenario():
        node = Node("near", addresses[0])
        async with node.links:
            node.links.set_address("far", address)
            assert node.links.send("far", make_ping(1))
            await wait_until(lambda: node.links.dropped_messages)
            # Another attempt waits for the delay.
            assert not node.links.send("far", make_ping(2))

    with logbook.TestHandler() as log:
        run(scenario)
    assert [line["node"] for line in lines_of(log, 1208)] == ["far"]


# A message that could not be encoded ended the periodic task that sent it.
@pytest.mark.parametrize(
    "message",
    [
        make_ping(1 << 70),
        messages.PackedChanges("\udc80"),
    ],
)
def test_message_that_cannot_be_encoded_is_dropped(addresses, message):
    async def scenario():
        near, far = Node("near", addresses[0]), Node("far", addresses[1])
        async with near.links, far.links:
            near.links.set_address("far", addresses[1])
            assert not near.links.send("far", message)
            assert near.links.dropped_messages == 1
            assert near.links.send("far", make_ping(1))
            await wait_until(lambda: far.received)

    with logbook.TestHandler() as log:
        run(scenario)
    [line] = lines_of(log, 1210)
    assert line["peer"] == "far"
    assert line["kind"] == type(message).__name__
