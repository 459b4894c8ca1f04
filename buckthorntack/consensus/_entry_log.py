"""In-memory part of a replica's log."""


class EntryLog:
    """Log entries after a base index.

    A snapshot covers the entries up to the base index.

    :param base_index: index of the last entry that is not in memory.
    :param base_term: term of the entry at ``base_index``.
    :param entries: entries after ``base_index``.
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
        """Term of the entry at an index.

        :param index: index of the entry.
        :returns: its term, or None if it is not in memory.
        """
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def between(self, first, last):
        """Entries of an inclusive range.

        :param first: index of the first entry.
        :param last: index of the last entry.
        """
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def read(self, first, limit_bytes):
        """Read consecutive entries up to a size.

        The first entry is returned even if it is larger than the limit.

        :param first: index of the first entry.
        :param limit_bytes: upper bound on the total size of their data.
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

    def size_bytes(self, first, last):
        """Total size of the data of an inclusive range.

        :param first: index of the first entry.
        :param last: index of the last entry.
        """
        return sum(len(entry.data) for entry in self.between(first, last))

    def append(self, entry):
        """Append an entry.

        :param entry: entry with the next index.
        """
        self._entries.append(entry)

    def truncate(self, index):
        """Remove the entries from an index on.

        :param index: first index to remove.
        """
        del self._entries[index - self.base_index - 1 :]

    def compact(self, index):
        """Remove the entries up to an index.

        :param index: last index to remove.
        """
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def compact_to(self, index, limit_entries, limit_bytes):
        """Remove entries up to an index, except the newest ones.

        :param index: last index to remove.
        :param limit_entries: most entries to keep before the index.
        :param limit_bytes: most bytes of their data.
        """
        base_index = index
        kept_bytes = 0
        lowest = max(self.base_index, index - limit_entries)
        while base_index > lowest:
            kept_bytes += self.size_bytes(base_index, base_index)
            if kept_bytes > limit_bytes:
                break
            base_index -= 1
        self.compact(base_index)

    def restore(self, index, term):
        """Replace all entries by a snapshot.

        :param index: index of the last entry that the snapshot covers.
        :param term: term of that entry.
        """
        self._entries.clear()
        self.base_index = index
        self.base_term = term
