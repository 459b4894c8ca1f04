import asyncio
import contextlib
import datetime
import resource

import logbook
import zmq

from buckthorntack import clock
from buckthorntack import security
from buckthorntack import transport
from buckthorntack.schema import messages


def _new_keys():
    public_key, secret_key = zmq.curve_keypair()
    return security.LinkKeys(public_key, secret_key, frozenset([public_key]))


async def _wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


async def _exchange_messages(sender_keys, receiver_keys, count):
    received = []

    def handle(sender, message):
        received.append((sender, message))

    source = clock.SystemClock()
    receiver = transport.LinkTask(
        "b", "127.0.0.1:0", receiver_keys, {}, handle, source
    )
    async with receiver:
        addresses = {"b": receiver.address}
        sender = transport.LinkTask(
            "a", "127.0.0.1:0", sender_keys, addresses, handle, source
        )
        async with sender:
            for number in range(count):
                await _wait_until(lambda n=number: _send_ping(sender, n))
            await _wait_until(lambda: len(received) == count)
    return received


def _send_ping(sender, number):
    return sender.send("b", messages.Ping(sent_at_ms=number))


def test_messages_arrive_in_order_from_a_named_sender():
    keys = _new_keys()
    received = asyncio.run(_exchange_messages(keys, keys, 500))
    assert [sender for sender, _ in received] == ["a"] * 500
    assert [message.sent_at_ms for _, message in received] == list(range(500))


def test_foreign_key_is_refused():
    async def attempt():
        ours = _new_keys()
        theirs = _new_keys()
        foreign = security.LinkKeys(
            ours.public_key, theirs.secret_key, frozenset([ours.public_key])
        )
        try:
            async with asyncio.timeout(1):
                await _exchange_messages(foreign, ours, 1)
        except TimeoutError:
            return "refused"
        return "accepted"

    assert asyncio.run(attempt()) == "refused"


def test_unknown_peer_is_no_error():
    async def attempt():
        keys = _new_keys()
        task = transport.LinkTask(
            "a", "127.0.0.1:0", keys, {}, None, clock.SystemClock()
        )
        async with task:
            return task.send("nobody", messages.Ping(sent_at_ms=1))

    assert asyncio.run(attempt()) is False


def test_shaper_delays_by_distance_and_queue_and_cuts():
    partitioned_regions = set()
    shaper = transport.LinkShaper(
        region="kumamoto",
        region_of={"a": "fukuoka", "b": "kumamoto"}.get,
        delay=datetime.timedelta(milliseconds=55),
        local_delay=datetime.timedelta(milliseconds=1),
        bytes_per_second=1_000_000,
        link_free_at={},
        partitioned_regions=partitioned_regions,
    )
    now = datetime.timedelta(seconds=1)
    assert shaper.arrival_delay("b", 10, now) == datetime.timedelta(
        milliseconds=1
    )
    first = shaper.arrival_delay("a", 100_000, now)
    second = shaper.arrival_delay("a", 100_000, now)
    assert first == datetime.timedelta(milliseconds=155)
    assert second == datetime.timedelta(milliseconds=255)
    partitioned_regions.add(("fukuoka", "kumamoto"))
    assert shaper.arrival_delay("a", 1, now) is None


def test_rotation_links_nodes_of_both_keys():
    old, new = _new_keys(), _new_keys()
    both = frozenset([old.public_key, new.public_key])
    still_old = old._replace(accepted_public_keys=both)
    already_new = new._replace(accepted_public_keys=both)
    assert len(asyncio.run(_exchange_messages(still_old, already_new, 5))) == 5
    assert len(asyncio.run(_exchange_messages(already_new, still_old, 5))) == 5


def test_links_to_530_peers_can_be_opened():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    file_limit = 8192 if hard == resource.RLIM_INFINITY else min(hard, 8192)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, file_limit), hard))
    addresses = {f"n{n}": f"127.0.0.1:{n + 1}" for n in range(530)}

    async def start():
        source = clock.SystemClock()
        link = transport.LinkTask(
            "a", "127.0.0.1:0", _new_keys(), addresses, _ignore, source
        )
        async with link:
            return len(link.addresses)

    try:
        assert asyncio.run(start()) == 530
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def _ignore(sender, message):
    pass


# A message whose handling failed was not logged as an event of the node.
def test_message_that_cannot_be_handled_costs_itself_only():
    keys = _new_keys()
    received = []

    def handle(sender, message):
        if message.sent_at_ms % 2:
            raise OverflowError("date value out of range")
        received.append(message.sent_at_ms)

    async def scenario():
        source = clock.SystemClock()
        receiver = transport.LinkTask(
            "b", "127.0.0.1:0", keys, {}, handle, source
        )
        async with asyncio.timeout(20), receiver:
            addresses = {"b": receiver.address}
            sender = transport.LinkTask(
                "a", "127.0.0.1:0", keys, addresses, None, source
            )
            async with sender:
                await _wait_until(lambda: _send_ping(sender, 0))
                await _wait_until(lambda: received)
                for number in range(1, 9):
                    _send_ping(sender, number)
                await _wait_until(lambda: len(received) == 5)

    with logbook.TestHandler() as log:
        asyncio.run(scenario())
    assert received == [0, 2, 4, 6, 8]
    lines = [r.extra for r in log.records if r.extra.get("event") == 1209]
    assert [(line["peer"], line["kind"]) for line in lines] == [
        ("a", "Ping")
    ] * 4


# A message that could not be encoded ended the periodic task that sent it.
def test_message_that_cannot_be_encoded_is_dropped():
    async def attempt():
        task = transport.LinkTask(
            "a",
            "127.0.0.1:0",
            _new_keys(),
            {"b": "127.0.0.1:9"},
            None,
            clock.SystemClock(),
        )
        async with task:
            assert not task.send("b", messages.Ping(sent_at_ms=1 << 70))
            assert task.dropped_messages == 1

    with logbook.TestHandler() as log:
        asyncio.run(attempt())
    lines = [r.extra for r in log.records if r.extra.get("event") == 1210]
    assert [line["kind"] for line in lines] == ["Ping"]


# Links that were opened right after others had closed received nothing.
def test_links_opened_right_after_others_closed_receive():
    keys = _new_keys()
    received = []

    def handle(sender, message):
        received.append(message.sent_at_ms)

    def create_links(node_id, address, addresses):
        return transport.LinkTask(
            node_id, address, keys, addresses, handle, clock.SystemClock()
        )

    async def exchange(sender, number):
        await _wait_until(
            lambda: _send_ping(sender, number) and number in received
        )

    async def scenario():
        async with asyncio.timeout(10), contextlib.AsyncExitStack() as stack:
            async with create_links("b", "127.0.0.1:0", {}) as former:
                address = former.address
                sender = await stack.enter_async_context(
                    create_links("a", "127.0.0.1:0", {"b": address})
                )
                await exchange(sender, 0)
            async with create_links("b", address, {}):
                await exchange(sender, 1)

    asyncio.run(scenario())
    assert set(received) == {0, 1}
