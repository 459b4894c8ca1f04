"""Scores of places that can run a request; lower is better.

A score is a time in seconds: the expected time to the first token, what the
work costs, and what serving in another region costs, each weighted by the
deployment's terms.
"""

from typing import NamedTuple

from buckthorntack.routing import _prefix
from buckthorntack.routing import _terms


class Candidate(NamedTuple):
    """A scored place."""

    score: float
    #: Server id, or key of a failure domain.
    place: object
    #: Score if the place were warm.
    warm_score: float
    ttft_s: float
    load: float
    cached_share: float
    ramp_share: float


class Scorer:
    """Scores servers and failure domains.

    :param settings: ``RouterSettings``.
    """

    def __init__(self, settings):
        self.settings = settings
        self._weights = {}
        self._pool_costs = {}
        self._mean_cost = 1.0

    def set_terms(self, service, terms):
        """Set what a service's deployment weighs.

        :param service: its name.
        :param terms: ``DeploymentTerms`` document.
        """
        self._weights[service] = _terms.weights(terms)

    def set_pool_cost(self, pool, cost_per_hour):
        """Set what a backend server of a pool costs.

        :param pool: its name.
        :param cost_per_hour: cost of one backend server.
        """
        self._pool_costs[pool] = cost_per_hour
        costs = self._pool_costs.values()
        self._mean_cost = sum(costs) / len(costs) or 1.0

    def server(self, server, request, depth, now_s):
        """Score a backend server.

        :param server: ``Server``.
        :param request: ``RouteRequest``.
        :param depth: blocks of the prompt that it has cached.
        :param now_s: the time.
        :returns: :class:`Candidate`.
        """
        record = server.record
        estimate = server.load
        tokens = request.prompt_tokens
        cached = 0.0
        if depth:
            cached = _prefix.matched_share(request.prefix_hashes, depth)
            tokens *= 1.0 - cached
        load = estimate.requests(now_s)
        ttft_s = estimate.first_token_s(record.slots, tokens, load, now_s)
        weights = self._weights.get(request.service, _terms.DEFAULT_WEIGHTS)
        cost_s = tokens * self._token_cost_s(record.pool)
        warm_score = weights.latency * ttft_s + weights.cost * cost_s
        score = warm_score
        ramp = server.ramp_share(now_s, self.settings)
        if ramp < 1.0:
            slots = record.slots * ramp
            ramped_s = estimate.first_token_s(slots, tokens, load, now_s)
            score += weights.latency * (ramped_s - ttft_s)
        return Candidate(
            score, record.server_id, warm_score, ttft_s, load, cached, ramp
        )

    def _token_cost_s(self, pool):
        cost = self._pool_costs.get(pool, self._mean_cost)
        rate = self.settings.prefill_tokens_per_second
        return cost / self._mean_cost / rate

    def domain(self, key, domain, capacity, request, depth, link, now_s):
        """Score another failure domain.

        :param key: ``DomainKey``.
        :param domain: ``Domain``.
        :param capacity: its ``Capacity`` for the request.
        :param request: ``RouteRequest``.
        :param depth: blocks of the prompt that were placed there.
        :param link: ``Link`` to its region; None if it is in this region.
        :param now_s: the time.
        :returns: :class:`Candidate`.
        """
        settings = self.settings
        weights = self._weights.get(request.service, _terms.DEFAULT_WEIGHTS)
        cached = _prefix.matched_share(request.prefix_hashes, depth)
        tokens = request.prompt_tokens * (1.0 - cached)
        ramp = domain.ramp_share(now_s, settings)
        slots = max(capacity.slots * ramp, 1.0)
        load = capacity.load.requests(now_s)
        ttft_s = capacity.load.first_token_s(slots, tokens, load, now_s)
        away_s = 0.0
        if link is not None:
            ttft_s += link.transfer_s(request.body_bytes, now_s)
            away_s = weights.away * settings.away_ms / 1e3
        work_s = tokens / settings.prefill_tokens_per_second
        score = weights.latency * ttft_s + weights.cost * work_s + away_s
        return Candidate(score, key, score, ttft_s, load, cached, ramp)
