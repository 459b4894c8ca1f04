import random

import pytest

from buckthorntack import entry


def _events(attempt, first, last):
    parts = [
        f"id: {attempt}/{number}\ndata: t{number}\n\n".encode()
        for number in range(first, last)
    ]
    return (
        b"".join(parts)
        + f"id: {attempt}/{last}\n".encode()
        + (b"data: [DONE]\n\n")
    )


@pytest.mark.parametrize("seed", range(20))
def test_any_cut_into_parts_gives_the_same_bytes(seed):
    rng = random.Random(seed)
    stream = _events("a", 0, 20)
    relay = entry.EventRelay("a", -1)
    passed = b""
    position = 0
    while position < len(stream):
        size = rng.randint(1, 60)
        passed += relay.feed(stream[position : position + size])
        position += size
    assert passed == stream
    assert relay.done
    assert relay.last_event == 20


def test_resumed_stream_with_repeated_events_has_no_repetition():
    stream = _events("a", 0, 5)
    relay = entry.EventRelay("a", -1)
    first = relay.feed(stream[:60])
    relay.on_reconnected()
    rest = relay.feed(stream)
    assert first + rest == stream


def test_event_of_another_attempt_is_refused():
    relay = entry.EventRelay("a", -1)
    assert relay.feed(_events("b", 0, 1)) == b""
    assert relay.error is not None


def test_missing_event_is_refused():
    relay = entry.EventRelay("a", -1)
    assert relay.feed(_events("a", 1, 2)) == b""
    assert relay.error is not None


def test_comments_keep_a_stream_alive():
    relay = entry.EventRelay("a", -1)
    assert relay.feed(b": working\n\n") == b": working\n\n"


def test_number_of_thousands_of_digits_is_never_handed_on():
    relay = entry.EventRelay("a", -1)
    event = b"id: a/" + b"9" * 5000 + b"\ndata: t\n\n"
    assert relay.feed(event) == b""
