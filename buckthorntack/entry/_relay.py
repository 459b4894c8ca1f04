"""Checks a stream of events and hands on whole events of one attempt."""

from buckthorntack.entry import _errors

END_MARK = b"data: [DONE]"
SEPARATOR = b"\n\n"
MOST_NUMBER_DIGITS = 18


class EventRelay:
    """Decision that guards one stream.

    Only whole events are handed on, so that a stream can be resumed after
    any of them; each must carry the attempt's id and the next number.

    :param attempt_id: the attempt.
    :param last_event: last event that the caller has; -1 if none.

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
        #: ``CrossedAnswerError`` once an event was not the attempt's next.
        self.error = None
        self._prefix = f"id: {attempt_id}/".encode()
        self._rest = b""

    def reconnected(self):
        """Forget the part of an event that a lost connection left."""
        self._rest = b""

    def feed(self, data):
        """Take bytes of the stream.

        :param data: what was received.
        :returns: the bytes to hand on; none once :attr:`error` is set.
        """
        if self._rest:
            data = self._rest + data
        end = data.rfind(SEPARATOR) + len(SEPARATOR)
        if end < len(SEPARATOR):
            self._rest = data
            return b""
        self._rest = data[end:]
        whole = data[:end] if end < len(data) else data
        return self._checked(whole)

    def _checked(self, whole):
        """Whole events, without those that the caller has."""
        known = self.last_event
        all_new = True
        for event in whole.split(SEPARATOR)[:-1]:
            if event.startswith(self._prefix):
                all_new = self._count(event) and all_new
            elif event[:1] != b":":
                self._fault("an event of another attempt")
            if self.error is not None:
                return b""
        return whole if all_new else self._newer(whole, known)

    def _count(self, event):
        """Take note of an event; whether it is new."""
        number = self._number(event)
        if number <= self.last_event:
            return False
        if number != self.last_event + 1:
            self._fault(f"event {number} came too early")
            return False
        self.last_event = number
        self.done = event.endswith(END_MARK)
        return True

    def _number(self, event):
        number = event[len(self._prefix) : event.find(b"\n")]
        if not number.isdigit() or len(number) > MOST_NUMBER_DIGITS:
            return -1
        return int(number)

    def _newer(self, whole, known):
        """Events after one that the caller has."""
        events = whole.split(SEPARATOR)[:-1]
        kept = [
            event + SEPARATOR
            for event in events
            if event[:1] != b":" and self._number(event) > known
        ]
        return b"".join(kept)

    def _fault(self, what):
        detail = f"{what} in the stream of attempt {self.attempt_id}"
        self.error = _errors.CrossedAnswerError(detail)
