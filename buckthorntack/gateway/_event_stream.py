"""Events of a stream, so that another server can go on with it."""

import re

from buckthorntack import errors

_EVENT_END = b"\n\n"
_ID = re.compile(rb"^id:[ ]?(\d{1,18})\r?$", re.MULTILINE)


class StreamOrderError(errors.GatewayError):
    """A server continued a stream at the wrong event."""

    number = 2219
    status = 502
    kind = "stream_order"
    remedy = "look for a fault of the server"
    run_state = errors.RunState.UNKNOWN


class EventStream:
    """Whole events of a stream and the id of the last one.

    :param last_event: id that the client has already; None for none.

    >>> stream = EventStream(None)
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.last_event
    1
    """

    def __init__(self, last_event):
        self.last_event = last_event
        self._rest = b""

    def feed(self, data):
        """Take bytes of the stream.

        :param data: the bytes.
        :returns: the events that are whole now.
        :raises StreamOrderError: an event is missing or comes again.
        """
        self._rest += data
        end = self._rest.rfind(_EVENT_END)
        if end < 0:
            return b""
        whole = self._rest[: end + len(_EVENT_END)]
        self._rest = self._rest[len(whole) :]
        for found in _ID.finditer(whole):
            self._note(int(found.group(1)))
        return whole

    def _note(self, event_id):
        expected = event_id
        if self.last_event is not None:
            expected = self.last_event + 1
        if event_id != expected:
            raise StreamOrderError(f"event {event_id}, not {expected}")
        self.last_event = event_id

    def take_rest(self):
        """Bytes after the last whole event, at the end of the stream."""
        rest, self._rest = self._rest, b""
        return rest

    def restart(self):
        """Another server goes on; what it had begun to send is void."""
        self._rest = b""
