"""The router: chooses where a request runs."""

import datetime
import random

import expression

from buckthorntack import errors
from buckthorntack.routing import _errors
from buckthorntack.routing import _load
from buckthorntack.routing import _prefix
from buckthorntack.routing import _regions
from buckthorntack.routing import _sampling
from buckthorntack.routing import _scoring
from buckthorntack.routing import _servers
from buckthorntack.routing import _types

#: Tokens of a prompt that is certainly worth its prefix look-up.
LEAST_PREFIX_TOKENS = 64
#: Longest time that a server is kept for a suspect.
RESERVED_S = 60.0


class Router:
    """Chooses a backend server, or a failure domain to forward to.

    It keeps its own index of servers and summaries, which its owner
    updates.

    :param region: region of this entry VM.
    :param failure_domain: failure domain of this entry VM.
    :param settings: ``RouterSettings``.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        region: str,
        failure_domain: str,
        settings: _types.RouterSettings,
        rng: random.Random,
    ):
        self.region = region
        self.failure_domain = failure_domain
        self.settings = settings
        self.rng = rng
        self._servers = _servers.ServerTable(settings)
        self._sampler = _sampling.Sampler(self._servers, settings, rng)
        self._domains = _regions.DomainTable(settings, rng)
        self._prefixes = _prefix.PrefixIndex(settings.prefix_blocks)
        self._scorer = _scoring.Scorer(settings)
        self._forwarding = set()

    def update_server(self, record, now: datetime.timedelta) -> None:
        """Take a backend server's record; only this region's are used.

        :param record: ``ServerRecord``.
        :param now: the time.
        """
        if record.region != self.region:
            return
        if self._servers.update(record, now.total_seconds()):
            self._prefixes.forget(record.server_id)

    def remove_server(self, server_id, now: datetime.timedelta) -> None:
        """Forget a backend server.

        :param server_id: its id.
        :param now: the time.
        """
        self._servers.remove(server_id)
        self._prefixes.forget(server_id)

    def update_summary(self, summary, now: datetime.timedelta) -> None:
        """Take the summary of another failure domain.

        :param summary: ``DomainSummary``.
        :param now: the time.
        """
        own = (self.region, self.failure_domain)
        if (summary.region, summary.failure_domain) != own:
            self._domains.update(summary, now.total_seconds())

    def region_link(
        self,
        region: str,
        round_trip: datetime.timedelta,
        bits_per_second: float,
    ) -> None:
        """Take a measurement of the link to a region.

        :param region: its name.
        :param round_trip: time there and back.
        :param bits_per_second: bandwidth left for this entry VM.
        """
        self._domains.set_link(region, round_trip, bits_per_second)

    def set_terms(self, service: str, terms) -> None:
        """Set what a service's deployment weighs.

        :param service: its name.
        :param terms: ``DeploymentTerms`` document.
        """
        self._scorer.set_terms(service, terms)

    def set_pool_cost(self, pool: str, cost_per_hour: float) -> None:
        """Set what a backend server of a pool costs.

        :param pool: its name.
        :param cost_per_hour: cost of one backend server.
        """
        self._scorer.set_pool_cost(pool, cost_per_hour)

    def cache_events(self, server_id, events, now) -> None:
        """Take cache events of a backend server.

        :param server_id: its id.
        :param events: ``CacheEvent`` documents, oldest first.
        :param now: the time.
        """
        if self._servers.get(server_id) is not None:
            self._prefixes.events(server_id, events)

    def attempt_started(
        self,
        server_id: str,
        attempt_id: str,
        prompt_tokens: int,
        now: datetime.timedelta,
        cached_share: float = 0.0,
        isolated: bool = False,
    ) -> None:
        """Note that an attempt was sent to a backend server.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param prompt_tokens: length of its prompt.
        :param now: the time.
        :param cached_share: what the decision's reasons expected.
        :param isolated: give the server no other work meanwhile.
        """
        server = self._servers.get(server_id)
        if server is None:
            return
        now_s = now.total_seconds()
        tokens = prompt_tokens * (1.0 - cached_share)
        load = server.load.requests(now_s)
        slots = server.record.slots
        work_s = server.load.work_s(slots, tokens, load)
        wait_s = server.load.wait_s(slots, load, now_s)
        prefill_s = server.load.prefill_s(tokens)
        attempt = _load.Attempt(now_s, prefill_s, work_s, wait_s, isolated)
        server.load.started(attempt_id, attempt)
        if isolated:
            self._servers.reserve(server, now_s + RESERVED_S, now_s)
        else:
            self._servers.refresh(server, now_s)

    def attempt_first_byte(
        self, server_id: str, attempt_id: str, now: datetime.timedelta
    ) -> None:
        """Note the first byte of an attempt's answer.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param now: the time.
        """
        server = self._servers.get(server_id)
        if server is not None:
            server.load.first_byte(attempt_id, now.total_seconds())

    def attempt_finished(
        self,
        server_id: str,
        attempt_id: str,
        outcome: _types.AttemptOutcome,
        now: datetime.timedelta,
    ) -> bool:
        """Note the end of an attempt.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param outcome: how it ended.
        :param now: the time.
        :returns: whether the server was ejected for it.
        """
        server = self._servers.get(server_id)
        if server is None:
            return False
        now_s = now.total_seconds()
        whole = outcome == _types.AttemptOutcome.OK
        attempt = server.load.finished(attempt_id, now_s, whole)
        if attempt is not None and attempt.isolated:
            server.reserved_until_s = None
        self._servers.refresh(server, now_s)
        if whole:
            server.ejection.succeeded()
        if outcome != _types.AttemptOutcome.FAILED:
            return False
        failed = server.ejection.failed(now_s)
        return failed and self._servers.eject(server, now_s)

    def reserve_server(
        self,
        server_id: str,
        duration: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Keep a server for a suspect that another entry VM runs.

        :param server_id: the server.
        :param duration: for how long.
        :param now: the time.
        """
        server = self._servers.get(server_id)
        if server is not None:
            until_s = (now + duration).total_seconds()
            self._servers.reserve(server, until_s, now.total_seconds())

    def forward_started(
        self,
        decision: _types.RouteForward,
        attempt_id: str,
        request: _types.RouteRequest,
        now: datetime.timedelta,
    ) -> None:
        """Note that a request was handed to another failure domain.

        :param decision: what :meth:`choose` decided.
        :param attempt_id: id of the hand-over.
        :param request: the request.
        :param now: the time.
        """
        now_s = now.total_seconds()
        self._domains.link(decision.region).send(request.body_bytes, now_s)
        capacity = self._capacity(decision, request)
        if capacity is None:
            return
        tokens = request.prompt_tokens * (1.0 - decision.reasons.cached_share)
        load = capacity.load.requests(now_s)
        work_s = capacity.load.work_s(capacity.slots, tokens, load)
        expected_s = decision.reasons.expected_ttft_ms / 1e3
        wait_s = max(0.0, expected_s - work_s * capacity.load.slowness)
        prefill_s = capacity.load.prefill_s(tokens)
        attempt = _load.Attempt(now_s, prefill_s, work_s, wait_s, False)
        capacity.load.started(attempt_id, attempt)

    def forward_first_byte(
        self,
        decision: _types.RouteForward,
        attempt_id: str,
        request: _types.RouteRequest,
        now: datetime.timedelta,
    ) -> None:
        """Note the first byte of a forwarded request's answer.

        :param decision: what :meth:`choose` decided.
        :param attempt_id: id of the hand-over.
        :param request: the request.
        :param now: the time.
        """
        capacity = self._capacity(decision, request)
        if capacity is not None:
            capacity.load.first_byte(attempt_id, now.total_seconds())

    def forward_finished(
        self,
        decision: _types.RouteForward,
        attempt_id: str,
        request: _types.RouteRequest,
        outcome: _types.AttemptOutcome,
        now: datetime.timedelta,
    ) -> None:
        """Note the end of a forwarded request.

        :param decision: what :meth:`choose` decided.
        :param attempt_id: id of the hand-over.
        :param request: the request.
        :param outcome: how it ended.
        :param now: the time.
        """
        capacity = self._capacity(decision, request)
        if capacity is None:
            return
        whole = outcome == _types.AttemptOutcome.OK
        capacity.load.finished(attempt_id, now.total_seconds(), whole)

    def choose(
        self, request: _types.RouteRequest, now: datetime.timedelta
    ) -> expression.Result[_types.RouteDecision, errors.GatewayError]:
        """Decide where a request runs.

        :param request: the request.
        :param now: the time.
        :returns: the decision, or why it was refused; it was not run.
        """
        now_s = now.total_seconds()
        self._servers.expire(now_s)
        group = _servers.GroupKey(request.service, request.model_version)
        matches = self._matches(request)
        local = self._local(request, group, matches, now_s)
        best = self._best_local(local, request, group, matches, now_s)
        remote = self._remote(request, group, matches, best, now_s)
        if self._shall_forward(request.service, best, remote):
            return expression.Ok(self._forward(remote, best, request))
        if not local:
            return expression.Error(self._refusal(request, group))
        return expression.Ok(self._run_here(local, best, request))

    def _best_local(self, local, request, group, matches, now_s):
        """Best score here; the least loaded counts if the drawn ones wait."""
        if not local:
            return None
        best = min(candidate.warm_score for candidate in local)
        if best > self._margin_s(request.service, 0.0):
            for name in self._sampler.least_loaded(request, group):
                least = self._score_server(name, request, matches, now_s)
                local.append(least)
                best = min(best, least.warm_score)
        return best

    def _matches(self, request):
        if request.prompt_tokens < LEAST_PREFIX_TOKENS:
            return {}
        return self._prefixes.matches(request.prefix_hashes)

    def _local(self, request, group, matches, now_s):
        if self.region not in request.allowed_regions:
            return []
        names = self._sampler.draw(request, group, matches)
        return [
            self._score_server(name, request, matches, now_s) for name in names
        ]

    def _score_server(self, name, request, matches, now_s):
        server = self._servers.get(name)
        return self._scorer.server(
            server, request, matches.get(name, 0), now_s
        )

    def _remote(self, request, group, matches, best, now_s):
        """Score what other failure domains offer, if that can matter."""
        if request.origin_region is not None:
            return []
        if request.isolate and best is not None:
            # A suspect's server is claimed where it runs: it stays.
            return []
        if best is not None and best <= self._margin_s(request.service, 0.0):
            return []
        return [
            self._score_domain(key, request, group, matches, now_s)
            for key in self._domains.offers(group, now_s)
            if key.region in request.allowed_regions
            and key.failure_domain not in request.excluded_servers
            and key.failure_domain not in request.excluded_servers
            and self._domains.get(key).ready_entries()
        ]

    def _score_domain(self, key, request, group, matches, now_s):
        domain = self._domains.get(key)
        is_away = key.region != self.region
        link = self._domains.link(key.region) if is_away else None
        return self._scorer.domain(
            key,
            domain,
            domain.capacities[group],
            request,
            matches.get(key, 0),
            link,
            now_s,
        )

    def _shall_forward(self, service, best, remote):
        if best is None:
            return bool(remote)
        if not remote:
            self._forwarding.discard(service)
            return False
        target = min(remote).score
        if best > target + self._margin_s(service, target):
            self._forwarding.add(service)
            return True
        self._forwarding.discard(service)
        return False

    def _margin_s(self, service, target):
        settings = self.settings
        share = target * settings.forward_share
        if service in self._forwarding:
            return settings.forward_leave_ms / 1e3
        return settings.forward_enter_ms / 1e3 + share

    def _forward(self, remote, best, request):
        chosen = self._sampler.near_best(remote, request)
        domain = self._domains.get(chosen.place)
        entries = domain.ready_entries()
        self.rng.shuffle(entries)
        self._prefixes.placed(chosen.place, request.prefix_hashes)
        reasons = _reasons(chosen, remote, best)
        region, failure_domain = chosen.place
        return _types.RouteForward(
            region, failure_domain, tuple(entries), reasons
        )

    def _run_here(self, local, best, request):
        chosen = self._sampler.near_best(local, request)
        server = self._servers.get(chosen.place)
        if request.prompt_tokens >= LEAST_PREFIX_TOKENS:
            self._prefixes.placed(chosen.place, request.prefix_hashes)
        reasons = _reasons(chosen, local, best)
        return _types.RouteLocal(chosen.place, server.record.url, reasons)

    def _capacity(self, decision, request):
        key = _regions.DomainKey(decision.region, decision.failure_domain)
        domain = self._domains.get(key)
        if domain is None:
            return None
        group = _servers.GroupKey(request.service, request.model_version)
        return domain.capacities.get(group)

    def _refusal(self, request, group):
        retry_after_ms = self.settings.retry_after_ms
        what = f"{request.service} {request.model_version}".strip()
        if self.region not in request.allowed_regions:
            where = ", ".join(sorted(request.allowed_regions))
            return _errors.ResidencyError(
                f"{what} cannot be reached in an allowed region ({where})",
                retry_after_ms,
            )
        if self._servers.ordered(group) or self._servers.left_out(group):
            names = ", ".join(sorted(request.excluded_servers))
            return _errors.ExcludedError(
                f"every backend server of {what} is excluded: {names}",
                retry_after_ms,
            )
        return _errors.NoServerError(
            f"no live backend server offers {what}", retry_after_ms
        )


def _reasons(chosen, candidates, local_score):
    return _types.Reasons(
        chosen.ttft_s * 1e3,
        chosen.score,
        chosen.load,
        chosen.cached_share,
        len(candidates),
        chosen.ramp_share,
        local_score,
    )
