"""Drawing candidates, and one of the best among them, without herding."""

import random

import xxhash


class Sampler:
    """Draws a constant number of candidates, whatever a group's size.

    :param servers: ``ServerTable``.
    :param settings: ``RouterSettings``.
    :param rng: source of randomness.
    """

    def __init__(self, servers, settings, rng: random.Random):
        self.servers = servers
        self.settings = settings
        self.rng = rng

    def draw(self, request, group, matches):
        """Draw servers to score.

        :param request: ``RouteRequest``.
        :param group: ``GroupKey``.
        :param matches: blocks that match, by server, the deepest first.
        :returns: server ids; empty only if no server may run it.
        """
        excluded = request.excluded_servers
        preferred = request.preferred_server
        if preferred not in excluded and self._takes_work(preferred, group):
            return [preferred]
        if request.isolate:
            return self.least_loaded(request, group)
        names = [name for name in matches if self._takes_work(name, group)]
        names = names[: self.settings.cached_servers]
        names += self._by_load(group, bool(names))
        names = [name for name in dict.fromkeys(names) if name not in excluded]
        return names or self.least_loaded(request, group)

    def least_loaded(self, request, group):
        """Find the least loaded server that may run a request.

        Servers that are left out count if there is no other.

        :param request: ``RouteRequest``.
        :param group: ``GroupKey``.
        :returns: a list of one server id, or none.
        """
        excluded = request.excluded_servers
        for _, name in self.servers.ordered(group):
            if name not in excluded:
                return [name]
        left_out = self.servers.left_out(group)
        return sorted(name for name in left_out if name not in excluded)[:1]

    def near_best(self, candidates, request):
        """One of the candidates that are about as good as the best.

        It is drawn by the request's fingerprint, so that equal requests
        meet, or else at random.

        :param candidates: a list of ``Candidate``.
        :param request: ``RouteRequest``.
        :returns: one of them.
        """
        settings = self.settings
        best = min(candidates).score
        tolerance = max(
            best * settings.tolerance_share, settings.tolerance_ms / 1e3
        )
        limit = best + tolerance
        near = [c for c in candidates if c.score <= limit]
        if len(near) == 1 or not request.fingerprint:
            return near[int(self.rng.random() * len(near))]
        return max(near, key=lambda c: _affinity(request.fingerprint, c.place))

    def _by_load(self, group, beside_cached):
        settings = self.settings
        ordered = self.servers.ordered(group)
        size = len(ordered)
        wanted = settings.sampled_servers
        if beside_cached:
            wanted = settings.sampled_beside_cached
        if size <= wanted:
            return [pair[1] for pair in ordered]
        draw = self.rng.random
        # Squaring prefers low loads without always taking the least.
        return [ordered[int(draw() ** 2 * size)][1] for _ in range(wanted)]

    def _takes_work(self, name, group):
        server = self.servers.get(name)
        return (
            server is not None
            and server.position is not None
            and group in server.groups
        )


def _affinity(fingerprint, place):
    return xxhash.xxh3_64_intdigest(f"{fingerprint}/{place}".encode())
