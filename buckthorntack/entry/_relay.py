"""Checks a stream of events and hands on whole events of one attempt."""

import expression

from buckthorntack.entry import _errors

END_MARK = b"data: [DONE]"
SEPARATOR = b"\n\n"


class EventRelay:
    """Decision that guards one stream.

    Only whole events are handed on, so that a stream can be resumed after
    any of them; each must carry the attempt's id and the next number.

    :param attempt_id: the attempt.
    :param last_event: last event that the caller has; -1 if none.

    >>> relay = EventRelay("a1", -1)
    >>> relay.feed(b"id: a1/0" + b"\\n" + b"data: x").ok
    b''
    >>> relay.feed(SEPARATOR + b"id: a1").ok.endswith(b"data: x" + SEPARATOR)
    True
    >>> relay.last_event, relay.done
    (0, False)
    """

    def __init__(self, attempt_id, last_event):
        self.attempt_id = attempt_id
        self.last_event = last_event
        self.done = False
        self._prefix = f"id: {attempt_id}/".encode()
        self._rest = b""

    def reconnected(self):
        """Forget the part of an event that a lost connection left."""
        self._rest = b""

    def feed(self, data):
        """Take bytes of the stream.

        :param data: what was received.
        :returns: ``Result`` of the bytes to hand on; an error if an event
            belongs to another attempt or events are missing.
        """
        if self._rest:
            data = self._rest + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._rest = data
            return expression.Ok(b"")
        end += len(SEPARATOR)
        self._rest = data[end:]
        whole = data[:end]
        known = self.last_event
        all_new = self._check(whole)
        if all_new.is_error():
            return all_new
        if not all_new.ok:
            whole = self._newer(whole, known)
        return expression.Ok(whole)

    def _check(self, whole):
        """Check events; Ok tells whether all of them are new."""
        prefix = self._prefix
        all_new = True
        for event in whole.split(SEPARATOR)[:-1]:
            if event.startswith(prefix):
                number = self._number(event)
                if number == self.last_event + 1:
                    self.last_event = number
                    self.done = event.endswith(END_MARK)
                elif number > self.last_event:
                    return self._fault(f"event {number} came too early")
                else:
                    all_new = False
            elif event[:1] != b":":
                return self._fault("an event of another attempt")
        return expression.Ok(all_new)

    def _number(self, event):
        return int(event[len(self._prefix) : event.find(b"\n")])

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
        return expression.Error(_errors.CrossedAnswerError(detail))
