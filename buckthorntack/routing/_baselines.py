"""Baseline routing policies with the interface of the router."""

import datetime
import random

import expression

from buckthorntack.routing import _errors
from buckthorntack.routing import _types

#: Reasons of every decision of a baseline, which computes no score.
NO_REASONS = _types.Reasons(0.0, 0.0, 0.0, 0.0, 0, 1.0, None)

#: Load per slot of a server whose slots are all occupied.
FULL_LOAD = 1.0


class BaselinePolicy:
    """Base class of the baselines; holds server records and summaries.

    It applies the same mandatory filters as the router, such as residency,
    and forwards only requests that no server of this region can run.

    :param region: region of this entry VM.
    :param failure_domain: failure domain of this entry VM.
    :param rng: source of randomness.
    """

    def __init__(self, region: str, failure_domain: str, rng: random.Random):
        self.region = region
        self.failure_domain = failure_domain
        self.rng = rng
        self._servers = {}
        self._lease_ends = {}
        self._summaries = {}

    def update_server(self, record, now: datetime.timedelta):
        """Apply a backend server's record.

        :param record: ``ServerRecord``.
        :param now: current monotonic time.
        """
        known = self._servers.get(record.server_id)
        if record.region != self.region:
            return
        if known is not None and record[1:3] < known[1:3]:
            return
        self._servers[record.server_id] = record
        lease = datetime.timedelta(milliseconds=record.lease_ms)
        self._lease_ends[record.server_id] = now + lease

    def remove_server(self, server_id, now):
        """Remove a backend server.

        :param server_id: its id.
        :param now: current monotonic time.
        """
        self._servers.pop(server_id, None)

    def update_summary(self, summary, now: datetime.timedelta):
        """Apply the summary of another failure domain.

        :param summary: ``DomainSummary``.
        :param now: current monotonic time.
        """
        key = (summary.region, summary.failure_domain)
        lease = datetime.timedelta(milliseconds=summary.lease_ms)
        if key != (self.region, self.failure_domain):
            self._summaries[key] = (summary, now + lease)

    def set_region_link(self, region, round_trip, bits_per_second):
        """Do nothing; no baseline uses this."""

    def set_terms(self, service, terms):
        """Do nothing; no baseline uses this."""

    def set_pool_cost(self, pool, cost_per_hour):
        """Do nothing; no baseline uses this."""

    def on_cache_events(self, server_id, events, now):
        """Do nothing; no baseline uses this."""

    def on_attempt_started(
        self,
        server_id,
        attempt_id,
        prompt_tokens,
        now,
        cached_share=0.0,
        isolated=False,
    ):
        """Do nothing; a policy that counts attempts overrides this."""

    def on_attempt_first_byte(self, server_id, attempt_id, now):
        """Do nothing; no baseline uses this."""

    def on_attempt_finished(self, server_id, attempt_id, outcome, now):
        """Return False, as a baseline never ejects a server."""
        return False

    def reserve_server(self, server_id, duration, now):
        """Do nothing; no baseline uses this."""

    def on_forward_started(self, decision, attempt_id, request, now):
        """Do nothing; no baseline uses this."""

    def on_forward_first_byte(self, decision, attempt_id, request, now):
        """Do nothing; no baseline uses this."""

    def on_forward_finished(self, decision, attempt_id, request, outcome, now):
        """Do nothing; no baseline uses this."""

    def choose(self, request: _types.RouteRequest, now: datetime.timedelta):
        """Choose where a request runs.

        :param request: the request.
        :param now: current monotonic time.
        :returns: ``Result`` of the decision.
        """
        servers = self._list_eligible_servers(request, now)
        if servers:
            record = self.pick_server(servers)
            return expression.Ok(
                _types.RouteLocal(record.server_id, record.url, NO_REASONS)
            )
        return self._forward(request, now)

    def pick_server(self, servers):
        """Choose one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        raise NotImplementedError

    def _list_eligible_servers(self, request, now):
        if self.region not in request.allowed_regions:
            return []
        return [
            record
            for record in self._servers.values()
            if record.service == request.service
            and request.model_version in (record.model_versions or [""])
            and record.state == "ready"
            and now < self._lease_ends[record.server_id]
            and record.server_id not in request.excluded_servers
        ]

    def _forward(self, request, now):
        targets = self._list_target_domains(request, now)
        if not targets:
            detail = f"no live backend server offers {request.service}"
            return expression.Error(_errors.NoServerError(detail, 2000))
        return self._route_to_domain(self.rng.choice(targets))

    def _list_target_domains(self, request, now):
        """List summaries of failure domains that can run a request."""
        if request.origin_region is not None:
            return []
        return [
            summary
            for summary, lease_until in self._summaries.values()
            if now < lease_until
            and summary.region in request.allowed_regions
            and summary.failure_domain not in request.excluded_servers
            and _find_offer(summary, request) is not None
        ]

    def _route_to_domain(self, summary):
        entries = [e.node_id for e in summary.entries if e.state == "ready"]
        self.rng.shuffle(entries)
        return expression.Ok(
            _types.RouteForward(
                summary.region,
                summary.failure_domain,
                tuple(entries),
                NO_REASONS,
            )
        )


class RandomPolicy(BaselinePolicy):
    """Uniformly random choice among the servers."""

    def pick_server(self, servers):
        """Choose one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        return self.rng.choice(servers)


class RoundRobinPolicy(BaselinePolicy):
    """Round-robin choice among the servers."""

    _choice_count = 0

    def pick_server(self, servers):
        """Choose one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        self._choice_count += 1
        return servers[self._choice_count % len(servers)]


class LeastLoadedPolicy(BaselinePolicy):
    """Choice of the server of this region with the lowest load per slot.

    The load is the greater of the last report and the local attempts in
    flight.  If all servers are full, the request is forwarded to the failure
    domain with the lowest load per slot, unless that is full, too.
    """

    def __init__(self, region, failure_domain, rng):
        super().__init__(region, failure_domain, rng)
        self._local_attempts = {}

    def on_attempt_started(
        self,
        server_id,
        attempt_id,
        prompt_tokens,
        now,
        cached_share=0.0,
        isolated=False,
    ):
        """Count an attempt that was sent to a server.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param prompt_tokens: ignored.
        :param now: ignored.
        :param cached_share: ignored.
        :param isolated: ignored.
        """
        self._local_attempts[server_id] = (
            self._local_attempts.get(server_id, 0) + 1
        )

    def on_attempt_finished(self, server_id, attempt_id, outcome, now):
        """Count the end of an attempt.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param outcome: ignored.
        :param now: ignored.
        :returns: False, as a baseline never ejects a server.
        """
        self._local_attempts[server_id] = (
            self._local_attempts.get(server_id, 1) - 1
        )
        return False

    def choose(self, request, now):
        """Choose where a request runs.

        :param request: the request.
        :param now: current monotonic time.
        :returns: ``Result`` of the decision.
        """
        servers = self._list_eligible_servers(request, now)
        if servers and min(map(self._compute_load, servers)) >= FULL_LOAD:
            offers = [
                (
                    _compute_load_share(_find_offer(summary, request)),
                    number,
                    summary,
                )
                for number, summary in enumerate(
                    self._list_target_domains(request, now)
                )
            ]
            if offers and min(offers)[0] < FULL_LOAD:
                return self._route_to_domain(min(offers)[2])
        return super().choose(request, now)

    def pick_server(self, servers):
        """Choose one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        return min(servers, key=self._compute_load)

    def _compute_load(self, record):
        reported = record.load.running + record.load.waiting
        local_attempts = self._local_attempts.get(record.server_id, 0)
        return max(reported, local_attempts) / record.slots


def _find_offer(summary, request):
    """Find the part of a summary that serves a request, or None."""
    for offer in summary.services:
        if (
            offer.service == request.service
            and offer.model_version == request.model_version
            and offer.servers > 0
        ):
            return offer
    return None


def _compute_load_share(offer):
    return (offer.running + offer.waiting) / max(1, offer.slots)
