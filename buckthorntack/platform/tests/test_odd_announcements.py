"""Announcements that no server would send, beside those of sound servers."""

import datetime
import json

import pytest

from buckthorntack.platform import _announcements
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

#: Time of day, since 1970.
NOW = datetime.timedelta(days=20_000)
SOUND = {
    "service": "desk",
    "address": "127.0.0.1:9000",
    "zone": "a1",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 3,
    "born": 1000,
}
#: Deeper than any decoder follows.
NESTED = b"[" * 200_000 + b"]" * 200_000
ODD_FIELDS = [
    ("capacity", 10**30),
    ("capacity", -4),
    ("capacity", 0),
    ("capacity", 1 << 63),
    ("sequence", 1 << 64),
    ("sequence", (1 << 64) - 1),
    ("sequence", -1),
    ("born", 10**40),
    ("born", -(1 << 63) - 1),
    ("born", (NOW + datetime.timedelta(days=2)).total_seconds() * 1000),
    ("warmup_left_ms", 1e300),
    ("remaining_ms", 1e308),
    ("remaining_ms", 1e15),
    ("address", "127.0.0.1:99999"),
    ("address", "127.0.0.1:0"),
    ("address", "127.0.0.1:²"),
    ("address", "127.0.0.1:" + "9" * 5000),
    ("address", "127.0.0\0.1:9000"),
    ("address", "127.0.0.1\r\nHost: x:9000"),
    ("address", "shop.example:9000"),
    ("address", "127.0.0.1"),
    ("service", ""),
    ("service", "x" * 100_000),
    ("version", 7),
    ("version", "v" * 1000),
    ("zone", "nowhere"),
    ("state", "napping"),
]


def encode(**fields):
    """Encode an announcement with some fields replaced."""
    return json.dumps({**SOUND, **fields}).encode()


ODD_CONTENTS = [
    b"",
    b"\xff\xfe",
    b"[]",
    b"null",
    encode()[:-1],
    encode()[:-1] + b', "unknown": ' + NESTED + b"}",
    encode(service="\ud800"),
    *(encode(**{name: value}) for name, value in ODD_FIELDS),
]


def describe(content):
    return ascii(content[-60:])


# Guards against a value that cannot be sent to followers, and against an
# address that no connection can be opened to.
@pytest.mark.parametrize("content", ODD_CONTENTS, ids=describe)
def test_odd_announcement_is_refused(content):
    read = _announcements.read_announcement(
        "s1", content, _standins.REGIONS, NOW
    )
    assert read.is_error()
    assert len(read.error.detail) <= 500


# Guards against header fields that the id of a server smuggles in.
@pytest.mark.parametrize("server_id", ["", "a\r\nB: c", "\0", "é", "x" * 999])
def test_odd_id_is_refused(server_id):
    read = _announcements.read_announcement(
        server_id, encode(), _standins.REGIONS, NOW
    )
    assert read.is_error()


@pytest.mark.parametrize(
    ("name", "value"), [("warmup_left_ms", -3.5), ("remaining_ms", -1)]
)
def test_time_that_is_over_counts_as_none_left(name, value):
    read = _announcements.read_announcement(
        "s1", encode(**{name: value}), _standins.REGIONS, NOW
    )
    assert read.ok.cold_left_ms == 0
    assert read.ok.reclaim_left_ms == (0 if name == "remaining_ms" else -1)


@pytest.mark.parametrize("content", [b"[", b"\xff", NESTED, b'{"born": 1e40}'])
def test_odd_notice_of_leaving_is_read_without_an_incarnation(content):
    assert _announcements.read_leave(content).is_error()


# Guards against followers that hear of no server any more, once one entry
# cannot be encoded or read.
def test_other_servers_are_heard_of_beside_odd_announcements():
    async def scenario(world):
        address = f"{world.ip('c0')}:{_standins.CONTROL_PORT}"
        for number, content in enumerate(ODD_CONTENTS):
            answer = await _standins.call(
                address, "PUT", f"/instances/odd{number}", content
            )
            assert answer.status == 400, content
        server = await world.add_server("s1", "desk")
        answer = await world.ask("/safe/x")
        assert answer.status == 200
        assert server.requests
        for node in world.nodes.values():
            assert set(node.registry.servers) == {"s1"}

    test_requests.run(scenario)


# Guards against a sound server that stays unknown after another writer
# announced it with the highest numbers that are taken.
def test_server_is_used_after_odd_announcements_under_its_id():
    async def scenario(world):
        address = f"{world.ip('c0')}:{_standins.CONTROL_PORT}"
        for content in ODD_CONTENTS:
            await _standins.call(address, "PUT", "/instances/s1", content)
        await world.add_server("s1", "desk")
        assert (await world.ask("/safe/x")).status == 200

    test_requests.run(scenario)
