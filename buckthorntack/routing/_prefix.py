"""Chained block hashes of prompts, and an index of cached prefixes."""

import bisect
import collections
import itertools

import xxhash

#: Length of each of the first blocks.
BLOCK_BYTES = 1024
#: Number of blocks of that length; the end of each later block lies 1/16
#: further from the start of the prompt than the end before it.
FIXED_SIZE_BLOCKS = 16
#: Bytes of a prompt that are hashed at most.
MAX_HASHED_BYTES = 16 << 20
#: Targets indexed for one block.
MAX_TARGETS_PER_BLOCK = 4
#: Lowest confidence in the indexed state of a target's cache.
MIN_CONFIDENCE = 0.25
#: Part of the missing confidence that an event without a gap restores.
CONFIDENCE_RECOVERY = 0.1
#: One in this many placements of an indexed prefix marks its blocks as
#: recently used.
REFRESH_PERIOD_PLACEMENTS = 8


def _compute_block_ends():
    ends = [BLOCK_BYTES * (i + 1) for i in range(FIXED_SIZE_BLOCKS)]
    while ends[-1] < MAX_HASHED_BYTES:
        ends.append(ends[-1] + ends[-1] // FIXED_SIZE_BLOCKS)
    return tuple(ends)


#: End of each block, in bytes from the start of the prompt.
BLOCK_ENDS_BYTES = _compute_block_ends()


def prefix_hashes(prompt):
    """Hash each block of a prompt, chained to the hashes before it.

    Equal hashes mean equal prompts up to the end of the block.  Block
    lengths grow, so that long prompts have few blocks.

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


def format_prefix_hash(prefix_hash):
    """Format a prefix hash as cache events have it.

    :param prefix_hash: one of :func:`prefix_hashes`.
    :returns: 16 hexadecimal digits.

    >>> format_prefix_hash(255)
    '00000000000000ff'
    """
    return f"{prefix_hash:016x}"


class _TargetCache:
    """Indexed state of one target's prefix cache."""

    __slots__ = ("confidence", "generation", "sequence")

    def __init__(self, generation):
        #: Unique number of the cache contents; a cleared cache gets a new one.
        self.generation = generation
        self.sequence = None
        self.confidence = 1.0


class PrefixIndex:
    """Index of the targets that probably have a prefix cached.

    A target is a backend server or a failure domain.

    :param max_blocks: blocks indexed at most; the least recently used are
        evicted.
    """

    def __init__(self, max_blocks=30_000):
        self.max_blocks = max_blocks
        self._blocks = collections.OrderedDict()
        self._caches = {}
        self._target_by_generation = {}
        self._generations = itertools.count()
        self._placements = 0

    def __len__(self):
        return len(self._blocks)

    def record_placement(self, target_id, hashes):
        """Record that a request was routed to a target.

        :param target_id: id of the server, or key of the failure domain.
        :param hashes: the request's prefix hashes.
        """
        if not hashes:
            return
        generation = self._get_or_add_cache(target_id).generation
        self._placements += 1
        is_known = generation in self._blocks.get(hashes[-1], ())
        if is_known and self._placements % REFRESH_PERIOD_PLACEMENTS:
            return
        for prefix_hash in hashes:
            self._add_block(prefix_hash, generation)

    def apply_events(self, target_id, events):
        """Apply cache events of a server; ignore duplicates.

        :param target_id: id of the server.
        :param events: ``CacheEvent`` documents, oldest first.
        """
        for event in events:
            cache = self._get_or_add_cache(target_id)
            if self._accept_sequence(cache, event["sequence"]):
                self._apply_event(target_id, cache, event)

    def find_matches(self, hashes):
        """Find targets that have a prefix of a request cached.

        The index is read at the longest known prefix and at successive halves
        of its length, so the number for a shorter match may be too low.

        :param hashes: the request's prefix hashes.
        :returns: number of matching blocks by target, multiplied by the
            confidence in the state of its cache.
        """
        found = {}
        longest_depth = self._find_depth(hashes)
        depth = longest_depth
        while depth > 0:
            self._add_matches(found, hashes[depth - 1], depth)
            depth //= 2
        if longest_depth > 1:
            self._add_matches(found, hashes[0], 1)
        return found

    def remove_target(self, target_id):
        """Remove a target and the state of its cache.

        :param target_id: id of the server, or key of the failure domain.
        """
        cache = self._caches.pop(target_id, None)
        if cache is not None:
            del self._target_by_generation[cache.generation]

    def _get_or_add_cache(self, target_id):
        cache = self._caches.get(target_id)
        if cache is None:
            cache = self._caches[target_id] = _TargetCache(
                next(self._generations)
            )
            self._target_by_generation[cache.generation] = target_id
        return cache

    def _accept_sequence(self, cache, sequence):
        expected = sequence if cache.sequence is None else cache.sequence + 1
        if sequence < expected:
            return False
        if sequence > expected:
            cache.confidence = max(MIN_CONFIDENCE, cache.confidence / 2)
        else:
            cache.confidence += (1.0 - cache.confidence) * CONFIDENCE_RECOVERY
        cache.sequence = sequence
        return True

    def _apply_event(self, target_id, cache, event):
        if event["kind"] == "cleared":
            del self._target_by_generation[cache.generation]
            cache.generation = next(self._generations)
            cache.confidence = 1.0
            self._target_by_generation[cache.generation] = target_id
            return
        for text in event.get("prefix_hashes", ()):
            if event["kind"] == "stored":
                self._add_block(int(text, 16), cache.generation)
            else:
                self._remove_block(int(text, 16), cache.generation)

    def _add_block(self, prefix_hash, generation):
        blocks = self._blocks
        generations = blocks.get(prefix_hash)
        if generations is None:
            blocks[prefix_hash] = (generation,)
            if len(blocks) > self.max_blocks:
                blocks.popitem(last=False)
            return
        blocks.move_to_end(prefix_hash)
        if generation not in generations:
            kept = [
                known
                for known in generations
                if known in self._target_by_generation
            ]
            blocks[prefix_hash] = (
                *kept[1 - MAX_TARGETS_PER_BLOCK :],
                generation,
            )

    def _remove_block(self, prefix_hash, generation):
        generations = self._blocks.get(prefix_hash, ())
        kept = tuple(known for known in generations if known != generation)
        if kept:
            self._blocks[prefix_hash] = kept
        elif generations:
            del self._blocks[prefix_hash]

    def _find_depth(self, hashes):
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high + 1) // 2
            if hashes[middle - 1] in self._blocks:
                low = middle
            else:
                high = middle - 1
        return low

    def _add_matches(self, found, prefix_hash, depth):
        for generation in self._blocks.get(prefix_hash, ()):
            target_id = self._target_by_generation.get(generation)
            if target_id is not None and target_id not in found:
                found[target_id] = depth * self._caches[target_id].confidence


def matched_share(hashes, depth):
    """Share of a prompt's hashed bytes that its first blocks cover.

    :param hashes: the prompt's prefix hashes.
    :param depth: number of matching blocks; may be fractional.
    :returns: between 0 and 1.

    >>> matched_share((1, 2, 3, 4), 2)
    0.5
    """
    full_blocks = int(depth)
    if not hashes or full_blocks <= 0:
        return 0.0
    total = BLOCK_ENDS_BYTES[len(hashes) - 1]
    return BLOCK_ENDS_BYTES[min(full_blocks, len(hashes)) - 1] / total
