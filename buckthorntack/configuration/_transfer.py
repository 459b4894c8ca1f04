"""Receiving a full copy in chunks."""

import datetime
import itertools

from buckthorntack.configuration import _commands
from buckthorntack.schema import messages

#: Chunks asked for ahead.
WINDOW_CHUNKS = 4
#: Silence after which missing chunks are asked for again.
CHUNK_TIMEOUT = datetime.timedelta(seconds=1)


class CopyTransfer:
    """A full copy on its way from one source.

    :param source: node that gives the copy.
    :param now: monotonic time.
    """

    def __init__(self, source, now):
        self.source = source
        self.progress_at = now
        self.revision = 0
        self._chunks = {}
        self._count = 1

    def ask(self):
        """Ask for the next missing chunks."""
        missing = (i for i in range(self._count) if i not in self._chunks)
        wanted = itertools.islice(missing, WINDOW_CHUNKS)
        return [self._request(index) for index in wanted]

    def _request(self, index):
        request = messages.ConfigurationChunkRequest(self.revision, index)
        return _commands.Send(self.source, request)

    def take(self, chunk, now):
        """Take a chunk.

        :param chunk: a ``ConfigurationChunk`` from the source.
        :param now: monotonic time.
        :returns: commands that ask for more.
        """
        if chunk.revision < self.revision:
            return []
        if chunk.revision > self.revision:
            self._start(chunk)
        if chunk.index in self._chunks:  # to ask ahead again would double all
            return []
        self._chunks[chunk.index] = chunk.data
        self.progress_at = now
        if self.complete():
            return []
        return self._ask_ahead(chunk.index)

    def _start(self, chunk):
        self.revision = chunk.revision
        self._count = chunk.chunks
        self._chunks = {}

    def _ask_ahead(self, index):
        if len(self._chunks) == 1:
            return self.ask()
        ahead = index + WINDOW_CHUNKS
        if ahead < self._count and ahead not in self._chunks:
            return [self._request(ahead)]
        return []

    def overdue(self, now):
        """Whether chunks must be asked for again.

        :param now: monotonic time.
        """
        return now - self.progress_at >= CHUNK_TIMEOUT

    def retry(self, now):
        """Ask again for what is missing.

        :param now: monotonic time.
        """
        self.progress_at = now
        return self.ask()

    def complete(self):
        """Whether all chunks are there."""
        return self.revision > 0 and len(self._chunks) == self._count

    def copy(self):
        """The encoded copy; only when complete."""
        return b"".join(self._chunks[i] for i in range(self._count))
