"""Parsing of event streams, so that another server can continue one."""

import re

from buckthorntack import errors

_EVENT_END = b"\n\n"
#: The end of an event with any line ends; a CR may begin a CRLF.
_ANY_EVENT_END = re.compile(rb"(?:\r\n|\r(?!\n)|\n)(?:\r\n|\r|\n)")
_EVENT_ID = re.compile(rb"^id:[ ]?(\d{1,18})$", re.MULTILINE)


class StreamOrderError(errors.GatewayError):
    """A server sent stream events out of order."""

    number = 2219
    status = 502
    kind = "stream_order"
    remedy = "check the server for a fault in its event ids"
    run_state = errors.RunState.UNKNOWN


class EventStream:
    """Splits a stream into complete events and checks their order.

    :param last_event_id: id of the last event that the client received; None
        for none.

    >>> stream = EventStream(None)
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.last_event_id
    1
    """

    def __init__(self, last_event_id):
        self.last_event_id = last_event_id
        self._partial_event = b""

    def feed(self, data):
        """Process bytes of the stream.

        :param data: the bytes.
        :returns: the events that are now complete.
        :raises StreamOrderError: an event is missing or repeated.
        """
        self._partial_event += data
        boundary = _find_last_boundary(self._partial_event)
        if not boundary:
            return b""
        complete = self._partial_event[:boundary]
        self._partial_event = self._partial_event[len(complete) :]
        for match in _EVENT_ID.finditer(_normalize_line_ends(complete)):
            self._check_event_order(int(match.group(1)))
        return complete

    def _check_event_order(self, event_id):
        expected = event_id
        if self.last_event_id is not None:
            expected = self.last_event_id + 1
        if event_id != expected:
            raise StreamOrderError(
                f"got event {event_id}, expected {expected}"
            )
        self.last_event_id = event_id

    def take_remainder(self):
        """Remove and return the bytes after the last complete event."""
        remainder, self._partial_event = self._partial_event, b""
        return remainder

    def discard_partial_event(self):
        """Discard a partial event, as another server continues the stream."""
        self._partial_event = b""


def _find_last_boundary(data):
    """Return the number of bytes up to the end of the last complete event."""
    if b"\r" not in data:
        start = data.rfind(_EVENT_END)
        return start + len(_EVENT_END) if start >= 0 else 0
    boundary = 0
    for match in _ANY_EVENT_END.finditer(data):
        boundary = match.end()
    return boundary


def _normalize_line_ends(data):
    if b"\r" not in data:
        return data
    return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
