"""Fuzz tests of messages and documents."""

import json
import pathlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from buckthorntack import schema
from buckthorntack.schema import messages

SETTINGS = hypothesis.settings(
    max_examples=500, deadline=None, derandomize=True, database=None
)
VALID_MESSAGES = (
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
def mutated_message(draw):
    """Return a valid message with some bytes changed, removed or added."""
    name, payload = schema.encode(
        draw(strategies.sampled_from(VALID_MESSAGES))
    )
    data = bytearray(payload)
    for _ in range(draw(strategies.integers(0, 3))):
        offset = draw(strategies.integers(0, len(data)))
        data[offset : offset + 1] = draw(strategies.binary(max_size=3))
    return name, bytes(data)


names = strategies.sampled_from(
    [schema.encode(one)[0] for one in VALID_MESSAGES]
)
payloads = strategies.binary(max_size=80) | values.map(msgspec.msgpack.encode)


@SETTINGS
@hypothesis.given(
    mutated_message()
    | strategies.tuples(names | strategies.binary(), payloads)
)
def test_message_is_decoded_or_refused(frames):
    try:
        message = schema.decode(*frames)
    except schema.MalformedMessageError as error:
        assert str(error)
        return
    assert schema.decode(*schema.encode(message))._fields == message._fields


RECORDED = {
    name: bytes.fromhex(payload)
    for name, payload in json.loads(
        (pathlib.Path(__file__).parent / "recorded_messages.json").read_text()
    )["messages"].items()
}


@SETTINGS
@hypothesis.given(
    strategies.sampled_from(sorted(RECORDED)),
    strategies.sampled_from(["add", "remove", "replace"]),
    strategies.integers(0, 2**16),
    values,
)
def test_changed_field_is_left_out_or_refused(name, change, place, value):
    fields = msgspec.msgpack.decode(RECORDED[name])
    nested = [one for one in fields if isinstance(one, list) and one]
    if nested and place % 2:
        fields_changed = nested[place // 2 % len(nested)]
    else:
        fields_changed = fields
    if change == "add":
        fields_changed.append(value)
    elif change == "remove":
        fields_changed.pop()
    else:
        fields_changed[place % len(fields_changed)] = value
    frames = name.encode(), msgspec.msgpack.encode(fields)
    try:
        message = schema.decode(*frames)
    except schema.MalformedMessageError:
        return
    again = schema.decode_exactly(*schema.encode(message))
    # A NaN differs from itself, so their encodings are compared.
    assert schema.encode(again) == schema.encode(message)


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
def test_document_is_checked_without_fault(document_type, document):
    findings = schema.validate_document(*document_type, document)
    assert schema.is_sound(*document_type, document) == (not findings)
