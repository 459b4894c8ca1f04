"""Tests of event streams that another server continues."""

import itertools
import re
import time

from hypothesis import given
from hypothesis import strategies as st
import pytest

from buckthorntack import http1
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


LINES = re.compile(rb"[^\r\n]+|\r\n|\r|\n")


@given(st.lists(st.sampled_from([b"a", b"\r", b"\n"]), max_size=12))
def test_last_event_ends_with_the_last_empty_line(parts):
    data = b"".join(parts)
    ends = [0]
    for one, other in itertools.pairwise(LINES.finditer(data)):
        if not (one[0] + other[0]).strip(b"\r\n"):
            ends.append(other.end())
    assert http1.find_last_event_end(data) == ends[-1]


def measure_s(parts):
    """Processor time that a stream in these parts takes."""
    stream = _event_stream.EventStream(None)
    started_s = time.process_time()
    for part in parts:
        stream.feed(part)
    return time.process_time() - started_s


# Guards against an event that arrives in many parts, all of which were
# searched again with each of them, while all other requests waited.
def test_time_for_a_long_event_grows_with_its_size_only():
    count = http1.MAX_EVENT_BYTES // 128
    short_s = measure_s([b"data: %b\r\r" % (b"a" * 50)] * count)
    long_s = measure_s([b"data: %b\r" % (b"a" * 57)] * count)
    assert long_s < 20 * short_s
