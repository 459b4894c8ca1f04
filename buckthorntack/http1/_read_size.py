"""Sizes of reads: while one is parsed, all other connections wait."""

from buckthorntack.http1 import _memory

#: Size of the largest read.
MAX_READ_BYTES = _memory.READ_BYTES
#: Parts of bodies that one read may have.
MAX_READ_PARTS = 1024


class ReadSize:
    """Keeps the reads of a connection so small that they are parsed quickly.

    :param transport: its transport.
    """

    def __init__(self, transport):
        self._transport = transport
        self._parts = 0
        transport.max_size = MAX_READ_BYTES

    def count_parts(self, count):
        """Count parts of a body in the present read.

        :param count: how many.
        """
        self._parts += count

    def end_read(self, size_bytes):
        """Let further reads be small if this one had too many parts.

        :param size_bytes: its size.
        """
        parts, self._parts = self._parts, 0
        if parts > MAX_READ_PARTS:
            self._transport.max_size = size_bytes * MAX_READ_PARTS // parts
