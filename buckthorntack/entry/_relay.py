"""Validation of the server-sent events of one attempt."""

from buckthorntack import http1
from buckthorntack.entry import _errors

END_MARK = b"data: [DONE]"
SEPARATOR = b"\n\n"
#: Maximum number of digits of an event number.  int() raises an error for
#: numbers with thousands of digits.
MAX_NUMBER_DIGITS = 18


class EventRelay:
    """Filter that passes only complete events of one attempt, in order.

    Passing complete events only allows a stream to be resumed after any of
    them.  Each event must carry the attempt's id and the next number.

    :param attempt_id: id of the attempt.
    :param last_event: number of the last event that the caller received; -1
        if none.

    >>> relay = EventRelay("a1", -1)
    >>> relay.feed(b"id: a1/0" + b"\\n" + b"data: x")
    b''
    >>> relay.feed(SEPARATOR + b"id: a1").endswith(b"data: x" + SEPARATOR)
    True
    >>> relay.last_event, relay.done
    (0, False)
    """

    def __init__(self, attempt_id, last_event):
        self.attempt_id = attempt_id
        self.last_event = last_event
        self.done = False
        #: ``CrossedAnswerError`` after an event of another attempt or with a
        #: number that is not the next one.
        self.error = None
        self._prefix = f"id: {attempt_id}/".encode()
        self._incomplete = b""
        #: Bytes since the last event with a greater number than those before
        #: on this connection.
        self._open_bytes = 0
        self._last_seen = -1

    def on_reconnected(self):
        """Discard the incomplete event of the previous connection."""
        self._incomplete = b""
        self._open_bytes = 0
        self._last_seen = -1

    def feed(self, data):
        """Process received bytes of the stream.

        :param data: the received bytes.
        :returns: bytes of the complete events to pass on; empty once
            :attr:`error` is set.
        """
        self._open_bytes += len(data)
        complete = self._take_complete(data)
        events = self._check_events(complete) if complete else b""
        if self._open_bytes > http1.MAX_EVENT_BYTES:
            self._set_error("no event with a new number")
        return b"" if self.error is not None else events

    def _take_complete(self, data):
        """Return the complete events, and keep the incomplete one."""
        if self._incomplete:
            data = self._incomplete + data
        end = data.rfind(SEPARATOR) + len(SEPARATOR)
        if end < len(SEPARATOR):
            self._incomplete = data
            return b""
        self._incomplete = data[end:]
        return data[:end] if end < len(data) else data

    def _check_events(self, complete):
        """Return complete events without those that the caller received."""
        last_known = self.last_event
        all_new = True
        for event in complete.split(SEPARATOR)[:-1]:
            if event.startswith(self._prefix):
                all_new = self._record_event(event) and all_new
            elif event[:1] != b":":
                self._set_error("an event of another attempt")
            if self.error is not None:
                return b""
        return (
            complete if all_new else self._select_newer(complete, last_known)
        )

    def _record_event(self, event):
        """Record an event and return whether it is new."""
        number = self._parse_number(event)
        if number > self._last_seen:
            self._last_seen = number
            self._open_bytes = len(self._incomplete)
        if number <= self.last_event:
            return False
        if number != self.last_event + 1:
            self._set_error(f"event {number} arrived out of order")
            return False
        self.last_event = number
        self.done = event.endswith(END_MARK)
        return True

    def _parse_number(self, event):
        number = event[len(self._prefix) : event.find(b"\n")]
        if not number.isdigit() or len(number) > MAX_NUMBER_DIGITS:
            return -1
        return int(number)

    def _select_newer(self, complete, last_known):
        """Return the events after the last one that the caller received."""
        events = complete.split(SEPARATOR)[:-1]
        newer = [
            event + SEPARATOR
            for event in events
            if event[:1] != b":" and self._parse_number(event) > last_known
        ]
        return b"".join(newer)

    def _set_error(self, what):
        detail = f"{what} in the stream of attempt {self.attempt_id}"
        self.error = _errors.CrossedAnswerError(detail)
