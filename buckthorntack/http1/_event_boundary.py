"""Where a stream of server-sent events may end."""

import re

from buckthorntack.http1 import _errors

#: Largest event, with the comments before it, that is taken.
MAX_EVENT_BYTES = 1_048_576
#: Longest pair of line ends, CRLF CRLF.
MAX_EVENT_END_BYTES = 4
#: What the end of an event ends with; after a CR there may be an LF.
_EVENT_ENDS = (b"\n\n", b"\n\r", b"\r\r")
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
        end = find_last_event_end(received)
        if end and (self._has_field or _FIELD.search(received, 0, end)):
            self._open_bytes = len(received) - end
            self._has_field = False
        if not self._has_field:
            self._has_field = (
                _FIELD.search(received, max(0, end - 1)) is not None
            )
        self._tail = (self._tail + data)[-MAX_EVENT_END_BYTES:]
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


def find_last_event_end(data):
    """Return the number of bytes up to the end of the last event.

    :param data: the bytes.

    >>> find_last_event_end(b"data: a\\r\\n\\r\\ndata: b")
    11
    """
    if b"\r" not in data:
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    end = max(data.rfind(line_ends) + 2 for line_ends in _EVENT_ENDS)
    if end < 2:
        return 0
    is_crlf = data[end - 1 : end + 1] == b"\r\n"
    return end + is_crlf
