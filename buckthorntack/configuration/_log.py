"""Published set of objects with its most recent deltas."""

import collections

from buckthorntack import objects
from buckthorntack import schema
from buckthorntack.configuration import _content
from buckthorntack.schema import messages

#: Maximum number of recent deltas kept for nodes that are behind.
MAX_DELTAS = 1024
#: Maximum size of all recent deltas together, in bytes.
MAX_DELTA_BYTES = 1 << 20


def encode_copy(published, digest):
    """Return a full copy of a set as bytes.

    :param published: the published set.
    :param digest: digest of the history up to its revision.
    :returns: an encoded ``ConfigurationCopy``.
    """
    return schema.pack(
        messages.ConfigurationCopy(
            revision=published.revision,
            digest=digest,
            objects=list(_content.encode_parts(published.named_objects())),
        )
    )


class PublishedLog:
    """Published set, digest of its history and recent deltas.

    Each control VM and each entry VM holds one.  Two logs with equal digests
    have the same history.
    """

    def __init__(self):
        self.published = objects.PublishedSet(0)
        self.digest = b""
        self._deltas = collections.deque()
        self._digests = collections.deque()
        self._delta_bytes = 0

    @property
    def revision(self):
        """Revision of the set."""
        return self.published.revision

    def append(self, encoded):
        """Apply the delta that leads to the next revision.

        :param encoded: an encoded ``ConfigurationDelta`` that leads to the
            revision after the current one.
        """
        delta = schema.unpack(encoded)
        if delta.revision != self.revision + 1:
            raise ValueError(
                f"delta {delta.revision} does not follow {self.revision}"
            )
        self.published = self.published.with_changes(
            delta.revision,
            _content.decode_objects(delta.put),
            _content.decode_names(delta.remove),
        )
        self.digest = _content.digest(self.digest, encoded)
        self._retain_delta(encoded, self.digest)

    def _retain_delta(self, encoded, digest):
        self._deltas.append(encoded)
        self._digests.append(digest)
        self._delta_bytes += len(encoded)
        while (
            len(self._deltas) > MAX_DELTAS
            or self._delta_bytes > MAX_DELTA_BYTES
        ):
            self._delta_bytes -= len(self._deltas.popleft())
            self._digests.popleft()

    def deltas(self):
        """Return the recent encoded deltas, the newest last."""
        return list(self._deltas)

    def steps(self):
        """Return pairs of a recent delta and the digest after it."""
        return list(zip(self._deltas, self._digests, strict=True))

    def deltas_after(self, revision):
        """Return the deltas that lead from a revision to the current one.

        :param revision: a revision up to the current one.
        :returns: list of encoded deltas, or ``None`` if some were
            dropped.
        """
        missing = self.revision - revision
        if missing < 0 or missing > len(self._deltas):
            return None
        return self.deltas()[len(self._deltas) - missing :]

    def digest_at(self, revision):
        """Return the digest of the history up to a revision.

        :param revision: the revision.
        :returns: the digest, or ``None`` if it was dropped.
        """
        if revision == self.revision:
            return self.digest
        index = len(self._digests) - 1 - (self.revision - revision)
        if 0 <= index < len(self._digests):
            return self._digests[index]
        return b"" if revision == 0 else None

    def encode_copy(self):
        """Return a full copy of the current set as bytes.

        :returns: an encoded ``ConfigurationCopy``.
        """
        return encode_copy(self.published, self.digest)

    def load(self, encoded, steps=()):
        """Replace the set and the recent deltas.

        :param encoded: a copy made by :meth:`encode_copy`.
        :param steps: pairs returned by :meth:`steps`.
        """
        copy = schema.unpack(encoded)
        published = objects.PublishedSet(copy.revision)
        for part in copy.objects:
            put = _content.decode_objects(part)
            published = published.with_changes(copy.revision, put, [])
        self.published = published
        self.digest = copy.digest
        self._deltas.clear()
        self._digests.clear()
        self._delta_bytes = 0
        for delta, digest in steps:
            self._retain_delta(delta, digest)
