"""Records of the software versions that began streams."""

import datetime
from typing import NamedTuple

import xxhash

from buckthorntack.schema import messages

#: Bytes of a key; a collision among 10^6 streams has a chance of 3 in 10^8.
KEY_BYTES = 8
#: Shortest time for which a record is kept; it exceeds the time that clients
#: wait for a stream over all their tries.
RETENTION = datetime.timedelta(seconds=30)
#: Records of one generation; two of them take about 30 MB.
MAX_RECORDS = 100_000


class StreamOrigin(NamedTuple):
    """Which servers can continue a stream."""

    service: str
    #: Version of the software that wrote the first event.
    software_version: str


class Beginning(NamedTuple):
    """Where a stream began, as an entry VM knows it."""

    origin: StreamOrigin
    #: Server that sent the first event, and its incarnation; None if an
    #: entry VM of an earlier build began the stream.
    server_id: str | None = None
    born_ms: int = 0


class OriginStore:
    """Origins of the streams that began lately, in bounded memory.

    Records are dropped a generation at a time, after one to two times
    ``RETENTION``.

    :param now: monotonic time.
    :param max_records: largest number of records of a generation.
    """

    def __init__(self, now, max_records=MAX_RECORDS):
        self.max_records = max_records
        self._began_at = now
        self._young = {}
        self._old = {}
        #: Generations that were dropped early since the last question.
        self._cuts = 0

    def __len__(self):
        return len(self._young) + len(self._old)

    def record(self, key, origin, now):
        """Record where a stream began.

        :param key: key of the stream.
        :param origin: its :class:`StreamOrigin`.
        :param now: monotonic time.
        """
        self.expire(now)
        if len(self._young) >= self.max_records:
            self._cuts += 1
            self._rotate(now)
        self._young[key] = origin

    def find(self, key):
        """Return the origin of a stream; None if it is not known.

        :param key: key of the stream.
        """
        return self._young.get(key) or self._old.get(key)

    def expire(self, now):
        """Drop old records.

        :param now: monotonic time.
        """
        if now - self._began_at >= 2 * RETENTION:
            self._young = {}
        if now - self._began_at >= RETENTION:
            self._rotate(now)

    def take_cuts(self):
        """Return and clear the number of generations dropped early."""
        cuts, self._cuts = self._cuts, 0
        return cuts

    def _rotate(self, now):
        self._old, self._young = self._young, {}
        self._began_at = now


def derive_key(request_id):
    """Return the key of the stream that a client attempt began.

    :param request_id: id of the attempt, in bytes.
    """
    return xxhash.xxh3_64_digest(request_id)


def split_keys(keys):
    """Split joined keys.

    :param keys: bytes.

    >>> split_keys(b"12345678abcdefgh")
    [b'12345678', b'abcdefgh']
    """
    return [
        keys[start : start + KEY_BYTES]
        for start in range(0, len(keys), KEY_BYTES)
    ]


def group_origins(pairs):
    """Encode origins.

    :param pairs: pairs of key and :class:`StreamOrigin`.
    :returns: list of ``OriginGroup``.
    """
    return group_beginnings((key, Beginning(origin)) for key, origin in pairs)


def group_beginnings(pairs):
    """Encode where streams began.

    :param pairs: pairs of key and :class:`Beginning`.
    :returns: list of ``OriginGroup``.
    """
    keys = {}
    for key, beginning in pairs:
        keys.setdefault(beginning, []).append(key)
    return [
        messages.OriginGroup(
            *beginning.origin,
            b"".join(begun),
            beginning.server_id,
            beginning.born_ms,
        )
        for beginning, begun in keys.items()
    ]


def is_credible(group, born_ms):
    """Whether the version that an entry VM tells is that of the server.

    An entry VM that was not told of a new start tells the version before.

    :param group: ``OriginGroup``.
    :param born_ms: newest incarnation of its server that is known here; None
        for none.
    """
    if group.server_id is None:
        return True
    return born_ms is not None and born_ms <= group.born_ms


def ungroup_origins(groups):
    """Decode origins.

    :param groups: list of ``OriginGroup``.
    :returns: list of pairs of key and :class:`StreamOrigin`.
    """
    return [
        (key, StreamOrigin(group.service, group.software_version))
        for group in groups
        for key in split_keys(group.keys)
    ]
