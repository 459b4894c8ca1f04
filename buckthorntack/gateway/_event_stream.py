"""Parsing of event streams, so that another server can continue one."""

import re

from buckthorntack import errors
from buckthorntack import http1

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
        self._partial_event = bytearray()

    def feed(self, data):
        """Process bytes of the stream.

        :param data: the bytes.
        :returns: the events that are now complete.
        :raises StreamOrderError: an event is missing or repeated.
        """
        # What arrived before holds no end, but may hold the start of one.
        known_bytes = len(self._partial_event) - http1.MAX_EVENT_END_BYTES + 1
        start = max(0, known_bytes)
        self._partial_event += data
        end = http1.find_last_event_end(self._partial_event[start:])
        if not end:
            return b""
        complete = bytes(self._partial_event[: start + end])
        del self._partial_event[: start + end]
        for match in _EVENT_ID.finditer(_normalize_line_ends(complete)):
            self._check_event_order(int(match.group(1)))
        return complete

    @property
    def held_bytes(self):
        """Bytes of the event that is not complete."""
        return len(self._partial_event)

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
        remainder = bytes(self._partial_event)
        self._partial_event.clear()
        return remainder

    def discard_partial_event(self):
        """Discard a partial event, as another server continues the stream."""
        self._partial_event.clear()


def _normalize_line_ends(data):
    if b"\r" not in data:
        return data
    return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
