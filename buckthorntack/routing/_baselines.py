"""Simple policies with the router's interface, to compare it with."""

import datetime
import random

import expression

from buckthorntack.routing import _errors
from buckthorntack.routing import _types

#: Reasons of a decision that weighs nothing.
NO_REASONS = _types.Reasons(0.0, 0.0, 0.0, 0.0, 0, 1.0, None)

#: Load of a server whose slots are all taken.
FULL_LOAD = 1.0


class Policy:
    """Base of the simple policies: knows servers and summaries.

    It keeps the filters that must always hold, and forwards only what no
    local server can run.

    :param region: region of this entry VM.
    :param failure_domain: failure domain of this entry VM.
    :param rng: source of randomness.
    """

    def __init__(self, region: str, failure_domain: str, rng: random.Random):
        self.region = region
        self.failure_domain = failure_domain
        self.rng = rng
        self._servers = {}
        self._leases_until = {}
        self._summaries = {}

    def update_server(self, record, now: datetime.timedelta):
        """Take a backend server's record.

        :param record: ``ServerRecord``.
        :param now: the time.
        """
        known = self._servers.get(record.server_id)
        if record.region != self.region:
            return
        if known is not None and record[1:3] < known[1:3]:
            return
        self._servers[record.server_id] = record
        lease = datetime.timedelta(milliseconds=record.lease_ms)
        self._leases_until[record.server_id] = now + lease

    def remove_server(self, server_id, now):
        """Forget a backend server.

        :param server_id: its id.
        :param now: the time.
        """
        self._servers.pop(server_id, None)

    def update_summary(self, summary, now: datetime.timedelta):
        """Take the summary of another failure domain.

        :param summary: ``DomainSummary``.
        :param now: the time.
        """
        key = (summary.region, summary.failure_domain)
        lease = datetime.timedelta(milliseconds=summary.lease_ms)
        if key != (self.region, self.failure_domain):
            self._summaries[key] = (summary, now + lease)

    def region_link(self, region, round_trip, bits_per_second):
        """Ignored."""

    def set_terms(self, service, terms):
        """Ignored."""

    def set_pool_cost(self, pool, cost_per_hour):
        """Ignored."""

    def cache_events(self, server_id, events, now):
        """Ignored."""

    def attempt_started(
        self,
        server_id,
        attempt_id,
        prompt_tokens,
        now,
        cached_share=0.0,
        isolated=False,
    ):
        """Ignored."""

    def attempt_first_byte(self, server_id, attempt_id, now):
        """Ignored."""

    def attempt_finished(self, server_id, attempt_id, outcome, now):
        """Ignored; no server is ever ejected."""
        return False

    def reserve_server(self, server_id, duration, now):
        """Ignored."""

    def forward_started(self, decision, attempt_id, request, now):
        """Ignored."""

    def forward_first_byte(self, decision, attempt_id, request, now):
        """Ignored."""

    def forward_finished(self, decision, attempt_id, request, outcome, now):
        """Ignored."""

    def choose(self, request: _types.RouteRequest, now: datetime.timedelta):
        """Decide where a request runs.

        :param request: the request.
        :param now: the time.
        :returns: ``Result`` of the decision.
        """
        servers = self._eligible(request, now)
        if servers:
            record = self.pick(servers)
            return expression.Ok(
                _types.RouteLocal(record.server_id, record.url, NO_REASONS)
            )
        return self._forward(request, now)

    def pick(self, servers):
        """Pick one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        raise NotImplementedError

    def _eligible(self, request, now):
        if self.region not in request.allowed_regions:
            return []
        return [
            record
            for record in self._servers.values()
            if record.service == request.service
            and request.model_version in (record.model_versions or [""])
            and record.state == "ready"
            and now < self._leases_until[record.server_id]
            and record.server_id not in request.excluded_servers
        ]

    def _forward(self, request, now):
        targets = self._targets(request, now)
        if not targets:
            detail = f"no live backend server offers {request.service}"
            return expression.Error(_errors.NoServerError(detail, 2000))
        return self._hand_over(self.rng.choice(targets))

    def _targets(self, request, now):
        """Summaries of other failure domains that can run a request."""
        if request.origin_region is not None:
            return []
        return [
            summary
            for summary, lease_until in self._summaries.values()
            if now < lease_until
            and summary.region in request.allowed_regions
            and summary.failure_domain not in request.excluded_servers
            and _offer(summary, request) is not None
        ]

    def _hand_over(self, summary):
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


class RandomPolicy(Policy):
    """Any server that can run the request."""

    def pick(self, servers):
        """Pick one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        return self.rng.choice(servers)


class RoundRobinPolicy(Policy):
    """Each server in turn."""

    _turn = 0

    def pick(self, servers):
        """Pick one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        self._turn += 1
        return servers[self._turn % len(servers)]


class LeastLoadedPolicy(Policy):
    """The server of this region with the least load, as last reported.

    Own requests in flight count as well.  If all are full, the failure
    domain with the least load takes the request, unless it is full too.
    """

    def __init__(self, region, failure_domain, rng):
        super().__init__(region, failure_domain, rng)
        self._own = {}

    def attempt_started(
        self,
        server_id,
        attempt_id,
        prompt_tokens,
        now,
        cached_share=0.0,
        isolated=False,
    ):
        """Count an attempt.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param prompt_tokens: ignored.
        :param now: ignored.
        :param cached_share: ignored.
        :param isolated: ignored.
        """
        self._own[server_id] = self._own.get(server_id, 0) + 1

    def attempt_finished(self, server_id, attempt_id, outcome, now):
        """Count an attempt's end.

        :param server_id: the server.
        :param attempt_id: id of the attempt.
        :param outcome: ignored.
        :param now: ignored.
        :returns: False, as no server is ever ejected.
        """
        self._own[server_id] = self._own.get(server_id, 1) - 1
        return False

    def choose(self, request, now):
        """Decide where a request runs.

        :param request: the request.
        :param now: the time.
        :returns: ``Result`` of the decision.
        """
        servers = self._eligible(request, now)
        if servers and min(map(self._load, servers)) >= FULL_LOAD:
            offers = [
                (_load_share(_offer(summary, request)), number, summary)
                for number, summary in enumerate(self._targets(request, now))
            ]
            if offers and min(offers)[0] < FULL_LOAD:
                return self._hand_over(min(offers)[2])
        return super().choose(request, now)

    def pick(self, servers):
        """Pick one of the servers that can run a request.

        :param servers: a list of ``ServerRecord``.
        :returns: one of them.
        """
        return min(servers, key=self._load)

    def _load(self, record):
        reported = record.load.running + record.load.waiting
        own = self._own.get(record.server_id, 0)
        return max(reported, own) / record.slots


def _offer(summary, request):
    """What a failure domain offers for a request, or None."""
    for offer in summary.services:
        if (
            offer.service == request.service
            and offer.model_version == request.model_version
            and offer.servers > 0
        ):
            return offer
    return None


def _load_share(offer):
    return (offer.running + offer.waiting) / max(1, offer.slots)
