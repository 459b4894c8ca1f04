"""Tests of event streams that another server continues."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from buckthorntack.gateway import _event_stream

WHOLE = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(8))


@given(st.lists(st.integers(0, len(WHOLE)), max_size=6))
def test_bytes_come_out_unchanged_however_they_are_cut(cuts):
    stream = _event_stream.EventStream(None)
    edges = [0, *sorted(cuts), len(WHOLE)]
    pairs = zip(edges, edges[1:], strict=False)
    out = b"".join(stream.feed(WHOLE[a:b]) for a, b in pairs)
    assert out + stream.take_remainder() == WHOLE
    assert stream.last_event_id == 7


@given(st.integers(0, len(WHOLE) - 1))
def test_stream_that_breaks_anywhere_is_continued(cut):
    stream = _event_stream.EventStream(None)
    out = stream.feed(WHOLE[:cut])
    stream.discard_partial_event()
    first = 0 if stream.last_event_id is None else stream.last_event_id + 1
    rest = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(first, 8))
    out += stream.feed(rest)
    assert out == WHOLE


@pytest.mark.parametrize("next_id", [3, 4, 6, 0])
def test_continuation_at_the_wrong_event_is_an_error(next_id):
    stream = _event_stream.EventStream(4)
    with pytest.raises(_event_stream.StreamOrderError):
        stream.feed(b"id: %d\ndata: x\n\n" % next_id)


def test_other_lines_before_the_id_are_kept():
    event = b"x-version: 3\nid: 5\ndata: x\n\n"
    stream = _event_stream.EventStream(4)
    assert stream.feed(event) == event
    assert stream.last_event_id == 5


# Guards against events with CRLF or CR line ends that were held back until
# the end of their stream, and not checked.
@pytest.mark.parametrize("line_end", [b"\r\n", b"\r", b"\n"])
@given(cuts=st.lists(st.integers(0, 200), max_size=6))
def test_events_come_out_as_they_arrive_with_any_line_ends(line_end, cuts):
    whole = WHOLE.replace(b"\n", line_end)
    stream = _event_stream.EventStream(None)
    edges = [0, *sorted(cuts), len(whole)]
    out = b""
    for start, end in zip(edges, edges[1:], strict=False):
        out += stream.feed(whole[start:end])
        received = whole[: max(start, end)]
        # A trailing CR may belong to a CRLF.
        known = received.count(2 * line_end) - received.endswith(b"\r")
        assert stream.last_event_id is not None or known < 1
        assert (stream.last_event_id or 0) >= known - 1
    assert out + stream.take_remainder() == whole
    assert stream.last_event_id == 7
