"""Records of a home by key, with their expiry."""

import heapq
import struct

import msgspec

from buckthorntack.ledger import _tombstones
from buckthorntack.schema import messages

#: Memory of a record besides its encoded bytes.
RECORD_OVERHEAD_BYTES = 220
#: Records that expire within the same time are looked at together.
BUCKET_MS = 60_000
#: Length of the digest of a key.
DIGEST_BYTES = 16

_LENGTH = struct.Struct(">I")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.LedgerRecord)


class LedgerRecords:
    """Encoded records by digest of organisation and key."""

    def __init__(self):
        self.tombstones = _tombstones.Tombstones()
        self.size_bytes = 0
        #: Last window of which a record expired; its keys stay refused.
        self.closed_window = -1
        self._records = {}
        self._buckets = {}
        self._bucket_heap = []

    def __len__(self):
        return len(self._records)

    def get(self, digest):
        """Record of a key.

        :param digest: its digest.
        :returns: a ``LedgerRecord``, or ``None``.
        """
        encoded = self._records.get(digest)
        return None if encoded is None else _DECODER.decode(encoded)

    def put(self, digest, record):
        """Keep a record.

        :param digest: digest of its key.
        :param record: the ``LedgerRecord``.
        """
        self._put_encoded(digest, _ENCODER.encode(record), record)

    def _put_encoded(self, digest, encoded, record):
        known = self._records.get(digest)
        if known is None:
            self.size_bytes += RECORD_OVERHEAD_BYTES
            self._add_to_bucket(digest, record.expires_at_ms)
        else:
            self.size_bytes -= len(known)
        self.size_bytes += len(encoded)
        self._records[digest] = encoded

    def _add_to_bucket(self, digest, expires_at_ms):
        bucket = expires_at_ms // BUCKET_MS + 1
        if bucket not in self._buckets:
            self._buckets[bucket] = []
            heapq.heappush(self._bucket_heap, bucket)
        self._buckets[bucket].append(digest)

    def expire(self, now_ms):
        """Drop records past their retention.

        :param now_ms: time that the log has reached.
        """
        while self._bucket_heap:
            if self._bucket_heap[0] * BUCKET_MS > now_ms:
                return
            bucket = heapq.heappop(self._bucket_heap)
            for digest in self._buckets.pop(bucket):
                self._drop(digest)

    def _drop(self, digest):
        encoded = self._records.pop(digest)
        self.size_bytes -= len(encoded) + RECORD_OVERHEAD_BYTES
        window = _DECODER.decode(encoded).window
        if window < 0:
            self.tombstones.add(digest)
        self.closed_window = max(self.closed_window, window)

    def next_expiry_ms(self):
        """When the next records expire, or 0 without records."""
        return self._bucket_heap[0] * BUCKET_MS if self._bucket_heap else 0

    def dump(self):
        """All records for a snapshot."""
        return b"".join(
            piece
            for digest, encoded in self._records.items()
            for piece in (digest, _LENGTH.pack(len(encoded)), encoded)
        )

    def load(self, stored, tombstones, closed_window):
        """Replace all records.

        :param stored: what :meth:`dump` gave.
        :param tombstones: what :meth:`Tombstones.dump` gave.
        :param closed_window: value of :attr:`closed_window`.
        """
        self.__init__()
        self.tombstones.load(tombstones)
        self.closed_window = closed_window
        for digest, encoded in _split(stored):
            self._put_encoded(digest, encoded, _DECODER.decode(encoded))


def _split(stored):
    place = 0
    while place < len(stored):
        start = place + DIGEST_BYTES + _LENGTH.size
        (length,) = _LENGTH.unpack_from(stored, place + DIGEST_BYTES)
        yield (
            stored[place : place + DIGEST_BYTES],
            stored[start : start + length],
        )
        place = start + length
