"""Where a stream of server-sent events may end."""

#: Longest pair of line ends, CRLF CRLF.
_MAX_EVENT_END_BYTES = 4


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

    def feed(self, data):
        """Process bytes of the stream.

        :param data: the bytes.
        """
        self._tail = (self._tail + data)[-_MAX_EVENT_END_BYTES:]

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
