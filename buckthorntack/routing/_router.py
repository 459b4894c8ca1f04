"""Choice of the backend server or failure domain that runs a request."""

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

#: Shortest prompt whose prefix is looked up and indexed.
MIN_PREFIX_TOKENS = 64
#: Longest reservation of a server for a suspected request.
MAX_RESERVATION_S = 60.0


class Router:
    """Routing by score to a backend server or to another failure domain.

    The owner passes records, summaries and the progress of attempts to it.

    :param region: region of this entry VM.
    :param failure_domain: failure domain of this entry VM.
    :param settings: ``RouterSettings``.
    :param rng: source of randomness.
    :param limiter: keeps the limits that servers name over all entry VMs;
        None to keep none.
    """

    def __init__(
        self,
        region: str,
        failure_domain: str,
        settings: _types.RouterSettings,
        rng: random.Random,
        limiter=None,
    ):
        self.region = region
        self.failure_domain = failure_domain
        self.settings = settings
        self.rng = rng
        self.limiter = limiter
        #: Servers that name a limit, or are brittle.
        self._limited = set()
        self._servers = _servers.ServerTable(settings)
        self._sampler = _sampling.Sampler(self._servers, settings, rng)
        self._domains = _regions.DomainTable(settings, rng)
        self._prefixes = _prefix.PrefixIndex(settings.max_prefix_blocks)
        self._scorer = _scoring.Scorer(settings)
        self._forwarding_services = set()

    def update_server(self, record, now: datetime.timedelta) -> None:
        """Apply a server's record; ignore servers of other regions.

        :param record: ``ServerRecord``.
        :param now: current monotonic time.
        """
        if record.region != self.region:
            return
        if self._servers.update(record, now.total_seconds()):
            self._prefixes.remove_target(record.server_id)
        server = self._servers.get(record.server_id)
        if server is not None and (
            server.record.limit_per_s >= 0
            or server.record.rejections_per_s >= 0
        ):
            self._limited.add(record.server_id)
        else:
            self._limited.discard(record.server_id)

    def remove_server(self, server_id, now: datetime.timedelta) -> None:
        """Remove a backend server.

        :param server_id: its id.
        :param now: current monotonic time.
        """
        self._servers.remove(server_id)
        self._prefixes.remove_target(server_id)
        self._limited.discard(server_id)
        if self.limiter is not None:
            self.limiter.remove_server(server_id)

    def update_summary(self, summary, now: datetime.timedelta) -> None:
        """Apply the summary of another failure domain.

        :param summary: ``DomainSummary``.
        :param now: current monotonic time.
        """
        own = (self.region, self.failure_domain)
        if (summary.region, summary.failure_domain) != own:
            self._domains.update(summary, now.total_seconds())

    def set_region_link(
        self,
        region: str,
        round_trip: datetime.timedelta,
        bits_per_second: float,
    ) -> None:
        """Set the measured figures of the link to a region.

        :param region: name of the region.
        :param round_trip: round-trip time.
        :param bits_per_second: bandwidth available to this entry VM.
        """
        self._domains.set_link(region, round_trip, bits_per_second)

    def set_terms(self, service: str, terms) -> None:
        """Set the weights of a service.

        :param service: name of the service.
        :param terms: ``DeploymentTerms`` document.
        """
        self._scorer.set_terms(service, terms)

    def set_pool_cost(self, pool: str, cost_per_hour: float) -> None:
        """Set the cost of the backend servers of a pool.

        :param pool: name of the pool.
        :param cost_per_hour: cost of one backend server.
        """
        self._scorer.set_pool_cost(pool, cost_per_hour)

    def on_cache_events(self, server_id, events, now) -> None:
        """Apply cache events of a backend server.

        :param server_id: its id.
        :param events: ``CacheEvent`` documents, oldest first.
        :param now: current monotonic time.
        """
        if self._servers.get(server_id) is not None:
            self._prefixes.apply_events(server_id, events)

    def on_attempt_started(
        self,
        server_id: str,
        attempt_id: str,
        prompt_tokens: int,
        now: datetime.timedelta,
        cached_share: float = 0.0,
        isolated: bool = False,
    ) -> None:
        """Record that an attempt was sent to a backend server.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param prompt_tokens: length of its prompt in tokens.
        :param now: current monotonic time.
        :param cached_share: cached share of the prompt, from the reasons of
            the decision.
        :param isolated: whether to reserve the server for the attempt.
        """
        server = self._servers.get(server_id)
        if server is None:
            return
        now_s = now.total_seconds()
        if self.limiter is not None and server_id in self._limited:
            self.limiter.on_request_sent(server, now_s)
        tokens = prompt_tokens * (1.0 - cached_share)
        load = server.load.estimate_requests(now_s)
        slots = server.record.slots
        work_s = server.load.estimate_work_s(slots, tokens, load)
        wait_s = server.load.estimate_wait_s(slots, load, now_s)
        prefill_s = server.load.estimate_prefill_s(tokens)
        attempt = _load.Attempt(now_s, prefill_s, work_s, wait_s, isolated)
        server.load.add_attempt(attempt_id, attempt)
        if isolated:
            self._servers.reserve(server, now_s + MAX_RESERVATION_S, now_s)
        else:
            self._servers.regroup_server(server, now_s)

    def on_attempt_first_byte(
        self, server_id: str, attempt_id: str, now: datetime.timedelta
    ) -> None:
        """Record the first byte of an attempt's answer.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param now: current monotonic time.
        """
        server = self._servers.get(server_id)
        if server is not None:
            server.load.record_first_byte(attempt_id, now.total_seconds())

    def on_attempt_finished(
        self,
        server_id: str,
        attempt_id: str,
        outcome: _types.AttemptOutcome,
        now: datetime.timedelta,
    ) -> bool:
        """Record the end of an attempt.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param outcome: how it ended.
        :param now: current monotonic time.
        :returns: whether the server was ejected because of it.
        """
        server = self._servers.get(server_id)
        if server is None:
            return False
        now_s = now.total_seconds()
        completed = outcome == _types.AttemptOutcome.OK
        attempt = server.load.remove_attempt(attempt_id, now_s, completed)
        if attempt is not None and attempt.isolated:
            server.reserved_until_s = None
        self._servers.regroup_server(server, now_s)
        if completed:
            server.ejection.record_success()
        is_rejection = outcome == _types.AttemptOutcome.BUSY
        if is_rejection and self.limiter is not None:
            self.limiter.on_rejection(server_id, now_s)
        if outcome != _types.AttemptOutcome.FAILED:
            return False
        failed = server.ejection.record_failure(now_s)
        return failed and self._servers.eject(server, now_s)

    def reserve_server(
        self,
        server_id: str,
        duration: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Reserve a server for a suspect forwarded by another entry VM.

        :param server_id: the server.
        :param duration: duration of the reservation.
        :param now: current monotonic time.
        """
        server = self._servers.get(server_id)
        if server is not None:
            until_s = (now + duration).total_seconds()
            self._servers.reserve(server, until_s, now.total_seconds())

    def on_forward_started(
        self,
        decision: _types.RouteForward,
        attempt_id: str,
        request: _types.RouteRequest,
        now: datetime.timedelta,
    ) -> None:
        """Record that a request was forwarded to another failure domain.

        :param decision: the decision of :meth:`choose`.
        :param attempt_id: id of the forwarded attempt.
        :param request: the request.
        :param now: current monotonic time.
        """
        now_s = now.total_seconds()
        self._domains.get_link(decision.region).record_sent_bytes(
            request.body_bytes, now_s
        )
        capacity = self._find_capacity(decision, request)
        if capacity is None:
            return
        tokens = request.prompt_tokens * (1.0 - decision.reasons.cached_share)
        load = capacity.load.estimate_requests(now_s)
        work_s = capacity.load.estimate_work_s(capacity.slots, tokens, load)
        expected_s = decision.reasons.expected_ttft_ms / 1e3
        wait_s = max(0.0, expected_s - work_s * capacity.load.slowdown)
        prefill_s = capacity.load.estimate_prefill_s(tokens)
        attempt = _load.Attempt(now_s, prefill_s, work_s, wait_s, False)
        capacity.load.add_attempt(attempt_id, attempt)

    def on_forward_first_byte(
        self,
        decision: _types.RouteForward,
        attempt_id: str,
        request: _types.RouteRequest,
        now: datetime.timedelta,
    ) -> None:
        """Record the first byte of a forwarded request's answer.

        :param decision: the decision of :meth:`choose`.
        :param attempt_id: id of the forwarded attempt.
        :param request: the request.
        :param now: current monotonic time.
        """
        capacity = self._find_capacity(decision, request)
        if capacity is not None:
            capacity.load.record_first_byte(attempt_id, now.total_seconds())

    def on_forward_finished(
        self,
        decision: _types.RouteForward,
        attempt_id: str,
        request: _types.RouteRequest,
        outcome: _types.AttemptOutcome,
        now: datetime.timedelta,
    ) -> None:
        """Record the end of a forwarded request.

        :param decision: the decision of :meth:`choose`.
        :param attempt_id: id of the forwarded attempt.
        :param request: the request.
        :param outcome: how it ended.
        :param now: current monotonic time.
        """
        capacity = self._find_capacity(decision, request)
        if capacity is None:
            return
        completed = outcome == _types.AttemptOutcome.OK
        capacity.load.remove_attempt(
            attempt_id, now.total_seconds(), completed
        )

    def choose(
        self, request: _types.RouteRequest, now: datetime.timedelta
    ) -> expression.Result[_types.RouteDecision, errors.GatewayError]:
        """Choose where a request runs.

        :param request: the request.
        :param now: current monotonic time.
        :returns: the decision, or the error if no target can run it.
        """
        now_s = now.total_seconds()
        self._servers.apply_expired_timers(now_s)
        request = self._exclude_used_up_servers(request, now_s)
        group = _servers.GroupKey(request.service, request.model_version)
        matches = self._find_matches(request)
        local = self._score_local(request, group, matches, now_s)
        best = self._find_best_local_score(
            local, request, group, matches, now_s
        )
        remote = self._score_remote(request, group, matches, best, now_s)
        if self._should_forward(request.service, best, remote):
            return expression.Ok(self._forward(remote, best, request))
        if not local:
            return expression.Error(self._make_refusal(request, group))
        return expression.Ok(self._route_locally(local, best, request))

    def _exclude_used_up_servers(self, request, now_s):
        """Exclude servers that take no more requests at present."""
        if self.limiter is None or not self._limited:
            return request
        used_up = set()
        for server_id in self._limited:
            server = self._servers.get(server_id)
            if server is not None and not self.limiter.may_send(server, now_s):
                used_up.add(server_id)
        excluded = frozenset({*request.excluded_servers, *used_up})
        return request._replace(excluded_servers=excluded)

    def _find_best_local_score(self, local, request, group, matches, now_s):
        """Find the best score in this region.

        If it is so high that forwarding may pay, the least loaded server is
        scored as well, in case the sample missed it.
        """
        if not local:
            return None
        best = min(candidate.warm_score for candidate in local)
        if best > self._forward_margin_s(request.service, 0.0):
            for server_id in self._sampler.find_least_loaded(request, group):
                least = self._score_server(server_id, request, matches, now_s)
                local.append(least)
                best = min(best, least.warm_score)
        return best

    def _find_matches(self, request):
        if request.prompt_tokens < MIN_PREFIX_TOKENS:
            return {}
        return self._prefixes.find_matches(request.prefix_hashes)

    def _score_local(self, request, group, matches, now_s):
        if self.region not in request.allowed_regions:
            return []
        server_ids = self._sampler.sample_servers(request, group, matches)
        return [
            self._score_server(server_id, request, matches, now_s)
            for server_id in server_ids
        ]

    def _score_server(self, server_id, request, matches, now_s):
        server = self._servers.get(server_id)
        return self._scorer.score_server(
            server, request, matches.get(server_id, 0), now_s
        )

    def _score_remote(self, request, group, matches, best, now_s):
        """Score other failure domains unless a local server is good enough."""
        if request.origin_region is not None:
            return []
        if request.isolate and best is not None:
            # The claim to run a suspect alone is for a server of this region.
            return []
        if best is not None and best <= self._forward_margin_s(
            request.service, 0.0
        ):
            return []
        return [
            self._score_domain(key, request, group, matches, now_s)
            for key in self._domains.sample_domains(group, now_s)
            if key.region in request.allowed_regions
            and key.failure_domain not in request.excluded_servers
            and key.failure_domain not in request.excluded_servers
            and self._domains.get(key).list_ready_entries()
        ]

    def _score_domain(self, key, request, group, matches, now_s):
        domain = self._domains.get(key)
        is_remote = key.region != self.region
        link = self._domains.get_link(key.region) if is_remote else None
        return self._scorer.score_domain(
            key,
            domain,
            domain.capacities[group],
            request,
            matches.get(key, 0),
            link,
            now_s,
        )

    def _should_forward(self, service, best, remote):
        if best is None:
            return bool(remote)
        if not remote:
            self._forwarding_services.discard(service)
            return False
        target = min(remote).score
        if best > target + self._forward_margin_s(service, target):
            self._forwarding_services.add(service)
            return True
        self._forwarding_services.discard(service)
        return False

    def _forward_margin_s(self, service, target):
        settings = self.settings
        share = target * settings.forward_margin_share
        if service in self._forwarding_services:
            return settings.forward_stop_margin_ms / 1e3
        return settings.forward_start_margin_ms / 1e3 + share

    def _forward(self, remote, best, request):
        chosen = self._sampler.choose_near_best(remote, request)
        domain = self._domains.get(chosen.target)
        entries = domain.list_ready_entries()
        self.rng.shuffle(entries)
        self._prefixes.record_placement(chosen.target, request.prefix_hashes)
        reasons = _make_reasons(chosen, remote, best)
        region, failure_domain = chosen.target
        return _types.RouteForward(
            region, failure_domain, tuple(entries), reasons
        )

    def _route_locally(self, local, best, request):
        chosen = self._sampler.choose_near_best(local, request)
        server = self._servers.get(chosen.target)
        if request.prompt_tokens >= MIN_PREFIX_TOKENS:
            self._prefixes.record_placement(
                chosen.target, request.prefix_hashes
            )
        reasons = _make_reasons(chosen, local, best)
        return _types.RouteLocal(chosen.target, server.record.url, reasons)

    def _find_capacity(self, decision, request):
        key = _regions.DomainKey(decision.region, decision.failure_domain)
        domain = self._domains.get(key)
        if domain is None:
            return None
        group = _servers.GroupKey(request.service, request.model_version)
        return domain.capacities.get(group)

    def _make_refusal(self, request, group):
        retry_after_ms = self.settings.retry_after_ms
        what = f"{request.service} {request.model_version}".strip()
        if self.region not in request.allowed_regions:
            where = ", ".join(sorted(request.allowed_regions))
            return _errors.ResidencyError(
                f"{what} cannot be reached in an allowed region ({where})",
                retry_after_ms,
            )
        if self._servers.servers_by_load(
            group
        ) or self._servers.fallback_servers(group):
            names = ", ".join(sorted(request.excluded_servers))
            return _errors.ExcludedError(
                f"every backend server of {what} is excluded: {names}",
                retry_after_ms,
            )
        return _errors.NoServerError(
            f"no live backend server offers {what}", retry_after_ms
        )


def _make_reasons(chosen, candidates, local_score):
    return _types.Reasons(
        chosen.ttft_s * 1e3,
        chosen.score,
        chosen.load,
        chosen.cached_share,
        len(candidates),
        chosen.ramp_share,
        local_score,
    )
