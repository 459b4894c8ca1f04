"""Which parts of prompts a server probably has in its memory."""

import collections
from typing import NamedTuple


class Part(NamedTuple):
    """A part of a prompt that others may share."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Size of a generation, and the parts that its prompt is made of."""

    parts: tuple[Part, ...]
    tokens: int
    #: Most tokens that it generates.
    output_tokens: int

    @property
    def shared_tokens(self):
        """Tokens of all parts but the last one."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_key(self):
        """What equal prompts are gathered by: all parts but the last one.

        The last part belongs to one request or session.
        """
        return "/".join(part.part_id for part in self.parts[:-1])


class PromptMemory:
    """Parts of prompts in one engine's memory, least recently used first.

    A part is of use only if all parts before it are cached too, so parts are
    kept under the chain of ids up to them.

    :param capacity_tokens: size of the memory.

    >>> memory = PromptMemory(1000)
    >>> pack, own = Part("pack", 600), Part("own", 100)
    >>> memory.note((pack, own))
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
        """Tokens at the start of a prompt that need not be read.

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

    def note(self, parts):
        """Note that a prompt is read.

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

    def record_unknown_parts(self, tokens):
        """Note that parts were read of which only the size is known.

        :param tokens: their size.
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
        """Share of the memory that parts of several requests take.

        The last part of a prompt belongs to one request or session.
        """
        return self.shared_tokens / max(1, self.capacity_tokens)

    def clear(self):
        """The memory is empty, as after a start."""
        self._parts.clear()
        self._shared.clear()
        self.used_tokens = 0
        self.shared_tokens = 0
