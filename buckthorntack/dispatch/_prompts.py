"""Estimate of the prompt parts in the prefix cache of a server."""

import collections
from typing import NamedTuple


class Part(NamedTuple):
    """A part of a prompt that other prompts may share."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Parts of a prompt, with the size of the prompt and of the output."""

    parts: tuple[Part, ...]
    tokens: int
    #: Largest number of generated tokens.
    output_tokens: int

    @property
    def shared_tokens(self):
        """Number of tokens of all parts except the last one."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_key(self):
        """Affinity key of the prompt: ids of all parts except the last one.

        The last part belongs to a single request or session.
        """
        return "/".join(part.part_id for part in self.parts[:-1])


class PrefixCache:
    """LRU model of the prefix cache of one engine.

    A cached part is useful only if all parts before it are cached too, so the
    key of a part is the chain of ids up to it.

    :param capacity_tokens: size of the cache.

    >>> memory = PrefixCache(1000)
    >>> pack, own = Part("pack", 600), Part("own", 100)
    >>> memory.add_prompt((pack, own))
    >>> memory.cached_tokens((pack, Part("other", 50)))
    600
    """

    def __init__(self, capacity_tokens):
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self.shared_tokens = 0
        self._parts = collections.OrderedDict()
        self._shared = set()
        self._unknown_count = 0

    def cached_tokens(self, parts):
        """Number of tokens in the longest cached prefix of a prompt.

        :param parts: the prompt's parts, in order.
        """
        chain = ""
        cached = 0
        for part in parts:
            chain = f"{chain}/{part.part_id}"
            if chain not in self._parts:
                break
            cached += part.tokens
        return cached

    def add_prompt(self, parts):
        """Add the parts of a prompt that an engine prefills.

        :param parts: the prompt's parts, in order.
        """
        chain = ""
        for number, part in enumerate(parts, 1):
            chain = f"{chain}/{part.part_id}"
            known = self._parts.pop(chain, None)
            if known is None:
                self.used_tokens += part.tokens
            self._parts[chain] = part.tokens
            if number < len(parts) and chain not in self._shared:
                self._shared.add(chain)
                self.shared_tokens += part.tokens
        self._evict()

    def add_unknown_parts(self, tokens):
        """Add parts of which only the total size is known.

        :param tokens: total size of the parts.
        """
        self._unknown_count += 1
        self._parts[f"#{self._unknown_count}"] = tokens
        self.used_tokens += tokens
        self._evict()

    def _evict(self):
        while self.used_tokens > self.capacity_tokens and self._parts:
            oldest, tokens = self._parts.popitem(last=False)
            self.used_tokens -= tokens
            if oldest in self._shared:
                self._shared.discard(oldest)
                self.shared_tokens -= tokens

    def shared_fraction(self):
        """Fraction of the cache in use by shared parts.

        The last part of a prompt is not shared.
        """
        return self.shared_tokens / max(1, self.capacity_tokens)

    def clear(self):
        """Remove all parts, as after a restart of the engine."""
        self._parts.clear()
        self._shared.clear()
        self.used_tokens = 0
        self.shared_tokens = 0
