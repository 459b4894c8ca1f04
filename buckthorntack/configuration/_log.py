"""A published set with the recent deltas that led to it."""

import collections

from buckthorntack import objects
from buckthorntack import schema
from buckthorntack.configuration import _content
from buckthorntack.schema import messages

#: Most deltas kept for those that are behind.
MAX_DELTAS = 1024
#: Most bytes of deltas kept for those that are behind.
MAX_DELTA_BYTES = 1 << 20


def encode_copy(published, digest):
    """Encode a whole set.

    :param published: the set.
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

    Control VMs and entry VMs hold one each; the digest tells whether two of
    them have the same history.
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
        """Take the next step.

        :param encoded: an encoded ``ConfigurationDelta`` that leads to the
            revision after the present one.
        """
        delta = schema.unpack(encoded)
        if delta.revision != self.revision + 1:
            raise ValueError(f"{delta.revision} is not after {self.revision}")
        self.published = self.published.with_changes(
            delta.revision,
            _content.decode_objects(delta.put),
            _content.decode_names(delta.remove),
        )
        self.digest = _content.digest(self.digest, encoded)
        self._keep(encoded, self.digest)

    def _keep(self, encoded, digest):
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
        """Recent deltas, the last one leads to the present revision."""
        return list(self._deltas)

    def steps(self):
        """Recent deltas, each with the digest of the history up to it."""
        return list(zip(self._deltas, self._digests, strict=True))

    def deltas_after(self, revision):
        """Deltas that lead from a revision to the present one.

        :param revision: a revision not above the present one.
        :returns: list of encoded deltas, or ``None`` if some are gone.
        """
        missing = self.revision - revision
        if missing < 0 or missing > len(self._deltas):
            return None
        return self.deltas()[len(self._deltas) - missing :]

    def digest_at(self, revision):
        """Digest of the history up to a revision.

        :param revision: the revision.
        :returns: the digest, or ``None`` if it is no longer known.
        """
        if revision == self.revision:
            return self.digest
        place = len(self._digests) - 1 - (self.revision - revision)
        if 0 <= place < len(self._digests):
            return self._digests[place]
        return b"" if revision == 0 else None

    def copy(self):
        """Encode the whole set.

        :returns: an encoded ``ConfigurationCopy``.
        """
        return encode_copy(self.published, self.digest)

    def load(self, encoded, steps=()):
        """Replace the set.

        :param encoded: what :meth:`copy` gave.
        :param steps: what :meth:`steps` gave.
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
            self._keep(delta, digest)
