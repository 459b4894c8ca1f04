"""Sampling of candidates, and a choice among those with the best scores.

Random sampling keeps entry VMs from sending all requests to one server
(herding).
"""

import random

import xxhash


class Sampler:
    """Sampling of a bounded number of candidates, whatever the group size.

    :param servers: ``ServerTable``.
    :param settings: ``RouterSettings``.
    :param rng: source of randomness.
    """

    def __init__(self, servers, settings, rng: random.Random):
        self.servers = servers
        self.settings = settings
        self.rng = rng

    def sample_servers(self, request, group, matches):
        """Sample the servers to score.

        :param request: ``RouteRequest``.
        :param group: ``GroupKey``.
        :param matches: number of matching blocks by target, highest first.
        :returns: server ids; empty only if no server can run the request.
        """
        excluded = request.excluded_servers
        preferred = request.preferred_server
        if preferred not in excluded and self._is_available(preferred, group):
            return [preferred]
        if request.isolate:
            return self.find_least_loaded(request, group)
        server_ids = [
            server_id
            for server_id in matches
            if self._is_available(server_id, group)
        ]
        server_ids = server_ids[: self.settings.max_cached_servers]
        server_ids += self._sample_by_load(group, bool(server_ids))
        server_ids = [
            server_id
            for server_id in dict.fromkeys(server_ids)
            if server_id not in excluded
        ]
        return server_ids or self.find_least_loaded(request, group)

    def find_least_loaded(self, request, group):
        """Find the least loaded server that is not excluded.

        An ejected or reserved server is taken only if there is no other.

        :param request: ``RouteRequest``.
        :param group: ``GroupKey``.
        :returns: a list of one server id, or an empty list.
        """
        excluded = request.excluded_servers
        for _, server_id in self.servers.servers_by_load(group):
            if server_id not in excluded:
                return [server_id]
        fallback = self.servers.fallback_servers(group)
        return sorted(
            server_id for server_id in fallback if server_id not in excluded
        )[:1]

    def choose_near_best(self, candidates, request):
        """Choose one of the candidates whose score is near the best.

        A request with a fingerprint is assigned by rendezvous hashing, so
        that all entry VMs send equal requests to the same server.  The choice
        for other requests is random.

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
        near_best_candidates = [c for c in candidates if c.score <= limit]
        if len(near_best_candidates) == 1 or not request.fingerprint:
            return near_best_candidates[
                int(self.rng.random() * len(near_best_candidates))
            ]
        return max(
            near_best_candidates,
            key=lambda c: _rendezvous_score(request.fingerprint, c.target),
        )

    def _sample_by_load(self, group, has_cached):
        settings = self.settings
        by_load = self.servers.servers_by_load(group)
        size = len(by_load)
        count = settings.sampled_servers
        if has_cached:
            count = settings.sampled_servers_with_cached
        if size <= count:
            return [pair[1] for pair in by_load]
        random_unit = self.rng.random
        # The square favours low loads, without always taking the lowest.
        return [
            by_load[int(random_unit() ** 2 * size)][1] for _ in range(count)
        ]

    def _is_available(self, server_id, group):
        server = self.servers.get(server_id)
        return (
            server is not None
            and server.sort_key is not None
            and group in server.groups
        )


def _rendezvous_score(fingerprint, target):
    return xxhash.xxh3_64_intdigest(f"{fingerprint}/{target}".encode())
