"""Where a stream of server-sent events may end."""

import re

from buckthorntack.http1 import _errors

#: Largest event, with the comments before it, that is taken.
MAX_EVENT_BYTES = 1_048_576
#: Longest pair of line ends, CRLF CRLF.
_MAX_EVENT_END_BYTES = 4
#: The end of an event with any line ends.
_EVENT_END = re.compile(rb"(?:\r\n|\r(?!\n)|\n)(?:\r\n|\r|\n)")
#: The start of a line that is neither empty nor a comment.
_FIELD = re.compile(rb"[\r\n][^:\r\n]")


class EventBoundary:
    """Tracks whether the received part of a stream ends inside an event.

    An event ends with an empty line; CR, LF and CRLF end a line.

    >>> boundary = EventBoundary()
    >>> boundary.feed(b"data: a\\r\\n\\r")
    >>> boundary.is_inside_event
    False
    >>> boundary.feed(b"\\ndata: b\\r\\n")
    >>> boundary.is_inside_event
    True
    """

    def __init__(self):
        self._tail = b""
        #: Bytes since the end of the last event with a field.
        self._open_bytes = 0
        self._has_field = False

    def feed(self, data):
        """Process bytes of the stream.

        :param data: the bytes.
        :raises UnexpectedResponseError: an event does not end, or nothing but
            comments arrives.
        """
        # The first line begins without a line end before it.
        received = (self._tail or b"\n") + data
        self._open_bytes += len(data)
        end = _find_last_event_end(received)
        if end and (self._has_field or _FIELD.search(received, 0, end)):
            self._open_bytes = len(received) - end
            self._has_field = False
        if not self._has_field:
            self._has_field = (
                _FIELD.search(received, max(0, end - 1)) is not None
            )
        self._tail = (self._tail + data)[-_MAX_EVENT_END_BYTES:]
        if self._open_bytes > MAX_EVENT_BYTES:
            raise _errors.UnexpectedResponseError(
                "an event of the stream is too large"
            )

    @property
    def is_empty(self):
        """Whether no byte was received."""
        return not self._tail

    @property
    def is_inside_event(self):
        """Whether the last event that has begun is incomplete."""
        if not self._tail.strip(b"\r\n"):
            return False
        lines = self._tail.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return not lines.endswith(b"\n\n")


def _find_last_event_end(data):
    """Return the number of bytes up to the end of the last event."""
    if b"\r" not in data:
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    end = 0
    for match in _EVENT_END.finditer(data):
        end = match.end()
    return end
