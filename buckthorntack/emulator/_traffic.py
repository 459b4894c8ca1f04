"""Requests of several kinds, drawn at random."""

import math
from typing import NamedTuple

from buckthorntack import directives
from buckthorntack import dispatch


class Kind(NamedTuple):
    """A kind of request.

    :param route: ``directives.Route``.
    :param per_s: requests a second in each region, by region.
    :param parts: mean tokens and number of different ones, for each shared
        part of a prompt.
    :param own_tokens: mean tokens of the last part of a prompt.
    :param own_spread: standard deviation of the logarithm of those.
    :param output_tokens: mean tokens of an answer.
    :param output_spread: standard deviation of the logarithm of those.
    """

    route: directives.Route
    per_s: dict[str, float]
    parts: tuple[tuple[float, int], ...]
    own_tokens: float
    own_spread: float
    output_tokens: float
    output_spread: float
    #: ``directives.Organisation`` of its callers; None for none.
    organisation: directives.Organisation | None = None


class Traffic:
    """Draws requests.

    :param kinds: list of :class:`Kind`.
    :param rng: source of randomness.
    """

    def __init__(self, kinds, rng):
        self.kinds = kinds
        self.rng = rng
        self._sizes = {}
        self._count = 0

    def arrivals(self, until_ms):
        """All requests up to a time, in order.

        :param until_ms: virtual time.
        :returns: list of time, region, kind, prompt and output tokens.
        """
        drawn = []
        for kind in self.kinds:
            for region, per_s in kind.per_s.items():
                now_ms = 0.0
                while per_s > 0:
                    now_ms += self.rng.expovariate(per_s) * 1e3
                    if now_ms > until_ms:
                        break
                    drawn.append((now_ms, region, kind, *self._size(kind)))
        drawn.sort(key=lambda item: item[0])
        return drawn

    def _size(self, kind):
        parts = []
        for number, (mean, count) in enumerate(kind.parts):
            name = f"{kind.route.name}-{number}-{self.rng.randrange(count)}"
            if name not in self._sizes:
                self._sizes[name] = self._drawn(mean, 0.6)
            parts.append(dispatch.Part(name, self._sizes[name]))
        self._count += 1
        own = self._drawn(kind.own_tokens, kind.own_spread)
        parts.append(dispatch.Part(f"own-{self._count}", own))
        output = self._drawn(kind.output_tokens, kind.output_spread)
        tokens = sum(part.tokens for part in parts)
        return dispatch.Prompt(tuple(parts), tokens, output), output

    def _drawn(self, mean, spread):
        """A whole number, log-normal with this mean."""
        middle = math.log(mean) - spread * spread / 2.0
        return max(1, round(self.rng.lognormvariate(middle, spread)))
