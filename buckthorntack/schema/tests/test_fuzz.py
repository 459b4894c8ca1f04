"""Generated and mutated messages and documents."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from buckthorntack import schema
from buckthorntack.schema import messages

SETTINGS = hypothesis.settings(
    max_examples=500, deadline=None, derandomize=True, database=None
)
SOUND = (
    messages.Ping(5),
    messages.ForwardBody("f", 0, b"x", True),
    messages.ForwardHead("f", 0, 200, [], "a"),
    messages.Item("quarantine", "k", b"v", 1, 1000),
)
values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=6)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=12,
)


@strategies.composite
def mutated(draw):
    """A sound message with some of its bytes changed, cut or added."""
    name, payload = schema.encode(draw(strategies.sampled_from(SOUND)))
    data = bytearray(payload)
    for _ in range(draw(strategies.integers(0, 3))):
        place = draw(strategies.integers(0, len(data)))
        data[place : place + 1] = draw(strategies.binary(max_size=3))
    return name, bytes(data)


names = strategies.sampled_from([schema.encode(one)[0] for one in SOUND])
payloads = strategies.binary(max_size=80) | values.map(msgspec.msgpack.encode)


@SETTINGS
@hypothesis.given(
    mutated() | strategies.tuples(names | strategies.binary(), payloads)
)
def test_message_is_decoded_or_refused(frames):
    try:
        message = schema.decode(*frames)
    except schema.MalformedMessageError as error:
        assert str(error)
        return
    assert schema.decode(*schema.encode(message))._fields == message._fields


@pytest.mark.parametrize("kind", [b"\x91", b"\x81\xa0"])
def test_deep_message_is_refused(kind):
    with pytest.raises(schema.MalformedMessageError):
        schema.decode(b"Ping", kind * 50_000 + b"\xc0")


@SETTINGS
@hypothesis.given(
    strategies.sampled_from(
        [
            ("settings", "Settings"),
            ("objects", "ResidencyRule"),
            ("backend", "Announcement"),
        ]
    ),
    values,
)
def test_document_is_checked_without_fault(place, document):
    findings = schema.validate_document(*place, document)
    assert schema.is_sound(*place, document) == (not findings)
