"""Entries of the log that a replica holds in memory."""


class EntryLog:
    """Entries after a base, which is covered by a snapshot.

    :param base_index: index of the last entry that is not held.
    :param base_term: term of that entry.
    :param entries: entries after it.
    """

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self):
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index):
        """Term of an entry.

        :param index: index of the entry.
        :returns: its term, or None if it is not held.
        """
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def between(self, first, last):
        """Entries by index.

        :param first: index of the first one.
        :param last: index of the last one.
        """
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def read(self, first, limit_bytes):
        """At least one entry, and more while they fit.

        :param first: index of the first one.
        :param limit_bytes: bound on the bytes of their data.
        """
        start = first - self.base_index - 1
        size_bytes = 0
        end = start
        while end < len(self._entries):
            size_bytes += len(self._entries[end].data)
            if size_bytes > limit_bytes and end > start:
                break
            end += 1
        return self._entries[start:end]

    def append(self, entry):
        """Add an entry.

        :param entry: entry with the next index.
        """
        self._entries.append(entry)

    def truncate(self, index):
        """Drop entries from an index on.

        :param index: first index to drop.
        """
        del self._entries[index - self.base_index - 1 :]

    def compact(self, index):
        """Drop entries up to an index.

        :param index: last index to drop.
        """
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def restore(self, index, term):
        """Drop everything in favour of a snapshot.

        :param index: index of the last entry in the snapshot.
        :param term: its term.
        """
        self._entries.clear()
        self.base_index = index
        self.base_term = term
