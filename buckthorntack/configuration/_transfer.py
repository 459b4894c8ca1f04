"""Reception of a full copy in chunks."""

import datetime
import itertools

from buckthorntack.configuration import _commands
from buckthorntack.schema import messages

#: Number of chunk requests in flight.
WINDOW_CHUNKS = 4
#: Time without a new chunk after which missing chunks are requested again.
CHUNK_TIMEOUT = datetime.timedelta(seconds=1)


class CopyTransfer:
    """Transfer of a full copy from one source.

    :param source: node that sends the copy.
    :param now: monotonic time.
    """

    def __init__(self, source, now):
        self.source = source
        self.progress_at = now
        self.revision = 0
        self._chunks = {}
        self._chunk_count = 1

    def request_missing(self):
        """Return requests for the next missing chunks."""
        missing = (
            i for i in range(self._chunk_count) if i not in self._chunks
        )
        indexes = itertools.islice(missing, WINDOW_CHUNKS)
        return [self._request(index) for index in indexes]

    def _request(self, index):
        request = messages.ConfigurationChunkRequest(self.revision, index)
        return _commands.Send(self.source, request)

    def add_chunk(self, chunk, now):
        """Store a chunk.

        :param chunk: a ``ConfigurationChunk`` from the source.
        :param now: monotonic time.
        :returns: commands that request more chunks.
        """
        if chunk.revision < self.revision:
            return []
        if chunk.revision > self.revision:
            self._start(chunk)
        # Another request for a duplicate would make all later chunks arrive
        # twice.
        if chunk.index in self._chunks:
            return []
        self._chunks[chunk.index] = chunk.data
        self.progress_at = now
        if self.is_complete():
            return []
        return self._request_ahead(chunk.index)

    def _start(self, chunk):
        self.revision = chunk.revision
        self._chunk_count = chunk.chunks
        self._chunks = {}

    def _request_ahead(self, index):
        if len(self._chunks) == 1:
            return self.request_missing()
        next_index = index + WINDOW_CHUNKS
        if next_index < self._chunk_count and next_index not in self._chunks:
            return [self._request(next_index)]
        return []

    def is_overdue(self, now):
        """Return whether missing chunks must be requested again.

        :param now: monotonic time.
        """
        return now - self.progress_at >= CHUNK_TIMEOUT

    def retry(self, now):
        """Request the missing chunks again.

        :param now: monotonic time.
        """
        self.progress_at = now
        return self.request_missing()

    def is_complete(self):
        """Return whether all chunks have arrived."""
        return self.revision > 0 and len(self._chunks) == self._chunk_count

    def join_chunks(self):
        """Return the encoded copy; the transfer must be complete."""
        return b"".join(self._chunks[i] for i in range(self._chunk_count))
