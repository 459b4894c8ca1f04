"""Scores of the targets that can run a request; lower is better.

A target is a backend server or another failure domain.  A score is in
seconds: the weighted sum of the expected time to first token, the cost of the
work, and a penalty for another region.  The weights come from the terms of
the deployment.
"""

from typing import NamedTuple

from buckthorntack.routing import _prefix
from buckthorntack.routing import _terms


class Candidate(NamedTuple):
    """A scored target."""

    score: float
    #: Id of a server, or key of a failure domain.
    target: object
    #: Score without the slow start.
    warm_score: float
    ttft_s: float
    load: float
    cached_share: float
    ramp_share: float


class Scorer:
    """Scoring of servers and failure domains.

    :param settings: ``RouterSettings``.
    """

    def __init__(self, settings):
        self.settings = settings
        self._weights = {}
        self._pool_costs = {}
        self._mean_cost = 1.0

    def set_terms(self, service, terms):
        """Set the weights of a service.

        :param service: name of the service.
        :param terms: ``DeploymentTerms`` document.
        """
        self._weights[service] = _terms.compute_weights(terms)

    def set_pool_cost(self, pool, cost_per_hour):
        """Set the cost of the backend servers of a pool.

        :param pool: name of the pool.
        :param cost_per_hour: cost of one backend server.
        """
        self._pool_costs[pool] = cost_per_hour
        costs = self._pool_costs.values()
        self._mean_cost = sum(costs) / len(costs) or 1.0

    def score_server(self, server, request, depth, now_s):
        """Score a backend server.

        :param server: ``Server``.
        :param request: ``RouteRequest``.
        :param depth: number of blocks of the prompt in its cache.
        :param now_s: current monotonic time, seconds.
        :returns: :class:`Candidate`.
        """
        record = server.record
        estimate = server.load
        tokens = request.prompt_tokens
        cached = 0.0
        if depth:
            cached = _prefix.matched_share(request.prefix_hashes, depth)
            tokens *= 1.0 - cached
        load = estimate.estimate_requests(now_s)
        ttft_s = estimate.estimate_ttft_s(record.slots, tokens, load, now_s)
        weights = self._weights.get(request.service, _terms.DEFAULT_WEIGHTS)
        cost_s = tokens * self._token_cost_s(record.pool)
        warm_score = weights.latency * ttft_s + weights.cost * cost_s
        score = warm_score
        ramp = server.ramp_share(now_s, self.settings)
        if ramp < 1.0:
            slots = record.slots * ramp
            ramped_ttft_s = estimate.estimate_ttft_s(
                slots, tokens, load, now_s
            )
            score += weights.latency * (ramped_ttft_s - ttft_s)
        return Candidate(
            score, record.server_id, warm_score, ttft_s, load, cached, ramp
        )

    def _token_cost_s(self, pool):
        cost = self._pool_costs.get(pool, self._mean_cost)
        rate = self.settings.prefill_tokens_per_second
        return cost / self._mean_cost / rate

    def score_domain(self, key, domain, capacity, request, depth, link, now_s):
        """Score another failure domain.

        :param key: ``DomainKey``.
        :param domain: ``Domain``.
        :param capacity: its ``Capacity`` for the request.
        :param request: ``RouteRequest``.
        :param depth: number of blocks of the prompt in its caches.
        :param link: ``Link`` to its region; None for this region.
        :param now_s: current monotonic time, seconds.
        :returns: :class:`Candidate`.
        """
        settings = self.settings
        weights = self._weights.get(request.service, _terms.DEFAULT_WEIGHTS)
        cached = _prefix.matched_share(request.prefix_hashes, depth)
        tokens = request.prompt_tokens * (1.0 - cached)
        ramp = domain.ramp_share(now_s, settings)
        slots = max(capacity.slots * ramp, 1.0)
        load = capacity.load.estimate_requests(now_s)
        ttft_s = capacity.load.estimate_ttft_s(slots, tokens, load, now_s)
        remote_penalty_s = 0.0
        if link is not None:
            ttft_s += link.estimate_transfer_s(request.body_bytes, now_s)
            remote_penalty_s = (
                weights.remote * settings.remote_region_penalty_ms / 1e3
            )
        work_s = tokens / settings.prefill_tokens_per_second
        score = (
            weights.latency * ttft_s + weights.cost * work_s + remote_penalty_s
        )
        return Candidate(score, key, score, ttft_s, load, cached, ramp)
