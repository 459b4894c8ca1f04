"""Chained hashes of a prompt, and which servers have which prefix cached."""

import bisect
import collections
import itertools

import xxhash

#: Length of the first blocks.
BLOCK_BYTES = 1024
#: Blocks of this length; each later block ends 1/16 further.
EVEN_BLOCKS = 16
#: Longest prompt that is hashed.
HASHED_BYTES = 16 << 20
#: Servers remembered for one block.
HOLDERS_PER_BLOCK = 4
#: Lowest trust in what is known of a server's cache.
LEAST_TRUST = 0.25
#: Part of the missing trust that a gapless event gives back.
TRUST_GAIN = 0.1
#: Placements of known prefixes, one of which marks its blocks as used.
REFRESH_PERIOD = 8


def _block_ends():
    ends = [BLOCK_BYTES * (i + 1) for i in range(EVEN_BLOCKS)]
    while ends[-1] < HASHED_BYTES:
        ends.append(ends[-1] + ends[-1] // EVEN_BLOCKS)
    return tuple(ends)


#: End of each block, in bytes from the start of the prompt.
BLOCK_ENDS_BYTES = _block_ends()


def prefix_hashes(prompt):
    """Hash a prompt in blocks, each hash covering all bytes before it.

    Blocks grow with their depth, so that long prompts have few of them.

    :param prompt: the prompt's bytes.
    :returns: one 64-bit hash for each whole block.

    >>> first = prefix_hashes(b"a" * 2048)
    >>> second = prefix_hashes(b"a" * 2048 + b"b" * 1024)
    >>> len(second), second[:2] == first
    (3, True)
    """
    count = bisect.bisect_right(BLOCK_ENDS_BYTES, len(prompt))
    view = memoryview(prompt)
    digest = xxhash.xxh3_64_intdigest
    hashes = []
    chained = start = 0
    for end in BLOCK_ENDS_BYTES[:count]:
        chained = digest(view[start:end], seed=chained)
        hashes.append(chained)
        start = end
    return tuple(hashes)


def hash_text(prefix_hash):
    """Write a hash as in cache events.

    :param prefix_hash: one of :func:`prefix_hashes`.
    :returns: 16 hexadecimal digits.

    >>> hash_text(255)
    '00000000000000ff'
    """
    return f"{prefix_hash:016x}"


class _Holder:
    """What is known of one server's cache as a whole."""

    __slots__ = ("sequence", "token", "trust")

    def __init__(self, token):
        #: Stands for the server's cache until it is cleared.
        self.token = token
        self.sequence = None
        self.trust = 1.0


class PrefixIndex:
    """Which servers probably have which prefixes, in bounded memory.

    :param max_blocks: blocks remembered; the least recently used go first.
    """

    def __init__(self, max_blocks=30_000):
        self.max_blocks = max_blocks
        self._blocks = collections.OrderedDict()
        self._holders = {}
        self._ids = {}
        self._tokens = itertools.count()
        self._placements = 0

    def __len__(self):
        return len(self._blocks)

    def placed(self, holder_id, hashes):
        """Note that a request with these hashes was placed on a server.

        :param holder_id: the server, or another place with caches.
        :param hashes: the request's prefix hashes.
        """
        if not hashes:
            return
        token = self._holder(holder_id).token
        self._placements += 1
        is_known = token in self._blocks.get(hashes[-1], ())
        if is_known and self._placements % REFRESH_PERIOD:
            return
        for prefix_hash in hashes:
            self._add(prefix_hash, token)

    def events(self, holder_id, events):
        """Apply cache events of a server; duplicates are ignored.

        :param holder_id: the server.
        :param events: ``CacheEvent`` documents, oldest first.
        """
        for event in events:
            holder = self._holder(holder_id)
            if self._follow(holder, event["sequence"]):
                self._apply(holder_id, holder, event)

    def matches(self, hashes):
        """Find servers that have a prefix cached.

        :param hashes: the request's prefix hashes.
        :returns: blocks that match, by server, weighted by the trust in
            what is known of its cache.
        """
        found = {}
        deepest = self._deepest(hashes)
        depth = deepest
        while depth > 0:
            self._collect(found, hashes[depth - 1], depth)
            depth //= 2
        if deepest > 1:
            self._collect(found, hashes[0], 1)
        return found

    def forget(self, holder_id):
        """Forget a server and its cache.

        :param holder_id: the server.
        """
        holder = self._holders.pop(holder_id, None)
        if holder is not None:
            del self._ids[holder.token]

    def _holder(self, holder_id):
        holder = self._holders.get(holder_id)
        if holder is None:
            holder = self._holders[holder_id] = _Holder(next(self._tokens))
            self._ids[holder.token] = holder_id
        return holder

    def _follow(self, holder, sequence):
        expected = sequence if holder.sequence is None else holder.sequence + 1
        if sequence < expected:
            return False
        if sequence > expected:
            holder.trust = max(LEAST_TRUST, holder.trust / 2)
        else:
            holder.trust += (1.0 - holder.trust) * TRUST_GAIN
        holder.sequence = sequence
        return True

    def _apply(self, holder_id, holder, event):
        if event["kind"] == "cleared":
            del self._ids[holder.token]
            holder.token = next(self._tokens)
            holder.trust = 1.0
            self._ids[holder.token] = holder_id
            return
        for text in event.get("prefix_hashes", ()):
            if event["kind"] == "stored":
                self._add(int(text, 16), holder.token)
            else:
                self._remove(int(text, 16), holder.token)

    def _add(self, prefix_hash, token):
        blocks = self._blocks
        tokens = blocks.get(prefix_hash)
        if tokens is None:
            blocks[prefix_hash] = (token,)
            if len(blocks) > self.max_blocks:
                blocks.popitem(last=False)
            return
        blocks.move_to_end(prefix_hash)
        if token not in tokens:
            kept = [known for known in tokens if known in self._ids]
            blocks[prefix_hash] = (*kept[1 - HOLDERS_PER_BLOCK :], token)

    def _remove(self, prefix_hash, token):
        tokens = self._blocks.get(prefix_hash, ())
        kept = tuple(known for known in tokens if known != token)
        if kept:
            self._blocks[prefix_hash] = kept
        elif tokens:
            del self._blocks[prefix_hash]

    def _deepest(self, hashes):
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high + 1) // 2
            if hashes[middle - 1] in self._blocks:
                low = middle
            else:
                high = middle - 1
        return low

    def _collect(self, found, prefix_hash, depth):
        for token in self._blocks.get(prefix_hash, ()):
            holder_id = self._ids.get(token)
            if holder_id is not None and holder_id not in found:
                found[holder_id] = depth * self._holders[holder_id].trust


def matched_share(hashes, depth):
    """Share of a prompt that lies within its first blocks.

    :param hashes: the prompt's prefix hashes.
    :param depth: blocks that match; may be fractional.
    :returns: between 0 and 1.

    >>> matched_share((1, 2, 3, 4), 2)
    0.5
    """
    whole = int(depth)
    if not hashes or whole <= 0:
        return 0.0
    total = BLOCK_ENDS_BYTES[len(hashes) - 1]
    return BLOCK_ENDS_BYTES[min(whole, len(hashes)) - 1] / total
