"""In-memory store of the records of a home, with expiry."""

import heapq
import struct

import msgspec

from buckthorntack.ledger import _tombstones
from buckthorntack.schema import messages

#: Memory that each record takes in addition to its encoded bytes.
RECORD_OVERHEAD_BYTES = 220
#: Length of the time buckets by which records expire together.
BUCKET_MS = 60_000
#: Length of the digest of a key.
DIGEST_BYTES = 16

_LENGTH = struct.Struct(">I")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.LedgerRecord)


class LedgerRecords:
    """Encoded records, stored by digest of organisation and key."""

    def __init__(self):
        self.tombstones = _tombstones.Tombstones()
        self.size_bytes = 0
        #: Latest window of which a record has expired; -1 if there is none.
        #: New keys of this window and earlier ones are refused.
        self.closed_window = -1
        self._records = {}
        self._buckets = {}
        self._bucket_heap = []

    def __len__(self):
        return len(self._records)

    def get(self, digest):
        """Return the record of a key.

        :param digest: digest of the key.
        :returns: a ``LedgerRecord``, or ``None``.
        """
        encoded = self._records.get(digest)
        return None if encoded is None else _DECODER.decode(encoded)

    def put(self, digest, record):
        """Store a record, replacing an earlier one of the key.

        :param digest: digest of the key.
        :param record: the ``LedgerRecord``.
        """
        self._put_encoded(digest, _ENCODER.encode(record), record)

    def _put_encoded(self, digest, encoded, record):
        previous = self._records.get(digest)
        if previous is None:
            self.size_bytes += RECORD_OVERHEAD_BYTES
            self._add_to_bucket(digest, record.expires_at_ms)
        else:
            self.size_bytes -= len(previous)
        self.size_bytes += len(encoded)
        self._records[digest] = encoded

    def _add_to_bucket(self, digest, expires_at_ms):
        bucket = expires_at_ms // BUCKET_MS + 1
        if bucket not in self._buckets:
            self._buckets[bucket] = []
            heapq.heappush(self._bucket_heap, bucket)
        self._buckets[bucket].append(digest)

    def expire(self, now_ms):
        """Delete records past their retention.

        :param now_ms: time of the log in milliseconds since the epoch.
        """
        while self._bucket_heap:
            if self._bucket_heap[0] * BUCKET_MS > now_ms:
                return
            bucket = heapq.heappop(self._bucket_heap)
            for digest in self._buckets.pop(bucket):
                self._expire_record(digest)

    def _expire_record(self, digest):
        encoded = self._records.pop(digest)
        self.size_bytes -= len(encoded) + RECORD_OVERHEAD_BYTES
        window = _DECODER.decode(encoded).window
        if window < 0:
            self.tombstones.add(digest)
        self.closed_window = max(self.closed_window, window)

    def next_expiry_ms(self):
        """Return when the next records expire, or 0 without records.

        :returns: time in milliseconds since the epoch.
        """
        return self._bucket_heap[0] * BUCKET_MS if self._bucket_heap else 0

    def dump(self):
        """Return all records as bytes for a snapshot."""
        return b"".join(
            piece
            for digest, encoded in self._records.items()
            for piece in (digest, _LENGTH.pack(len(encoded)), encoded)
        )

    def load(self, stored, tombstones, closed_window):
        """Replace all records.

        :param stored: bytes returned by :meth:`dump`.
        :param tombstones: bytes returned by :meth:`Tombstones.dump`.
        :param closed_window: the stored :attr:`closed_window`.
        """
        self.__init__()
        self.tombstones.load(tombstones)
        self.closed_window = closed_window
        for digest, encoded in _split(stored):
            self._put_encoded(digest, encoded, _DECODER.decode(encoded))


def _split(stored):
    offset = 0
    while offset < len(stored):
        start = offset + DIGEST_BYTES + _LENGTH.size
        (length,) = _LENGTH.unpack_from(stored, offset + DIGEST_BYTES)
        yield (
            stored[offset : offset + DIGEST_BYTES],
            stored[start : start + length],
        )
        offset = start + length
