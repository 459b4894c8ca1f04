"""Compressed changes of a registry, and nodes that cannot read them."""

import zlib

import pytest

from buckthorntack import schema
from buckthorntack.gateway import _packing
from buckthorntack.gateway.tests import fleets
from buckthorntack.schema import messages

CHANGES = messages.RegistryChanges(
    1, 2, 3, [fleets.Fleet(6).servers[0]] * _packing.MIN_PACKED_RECORDS, []
)


def test_many_changes_are_packed_and_few_are_not():
    packed = _packing.pack(CHANGES)
    assert _packing.unpack(packed) == CHANGES
    few = CHANGES._replace(servers=CHANGES.servers[1:])
    assert _packing.pack(few) == few


@pytest.mark.parametrize("content", [b"", b"x", zlib.compress(b"\x91\x05")])
def test_malformed_content_is_refused(content):
    with pytest.raises(schema.MalformedMessageError):
        _packing.unpack(messages.PackedChanges(content))


# A build without packed changes would learn of no server.
def test_followers_of_earlier_builds_get_plain_changes():
    fleet = fleets.Fleet(12)
    for number, entry in enumerate(fleet.entries.values()):
        entry.protocol_version = number % 2
    kinds = {0: set(), 1: set()}
    post = fleet.post

    def observe(sender, to, message):
        if to in fleet.entries:
            version = fleet.entries[to].protocol_version
            kinds[version].add(type(message).__name__)
        post(sender, to, message)

    fleet.post = observe
    fleet.advance(4 * fleets.S)
    assert "PackedChanges" not in kinds[0]
    assert "PackedChanges" in kinds[1]
    for entry in fleet.entries.values():
        assert len(entry.servers) == len(fleet.servers)
