"""Limits of the requests of organisations while room is short."""

from typing import NamedTuple

from buckthorntack.dispatch import _organisation_shares
from buckthorntack.dispatch import _ranks
from buckthorntack.dispatch import _returns
from buckthorntack.dispatch import _scarcity

#: Reasons of refusals while room is short.
RANK_REASON = "room is left to more urgent requests"
SHARE_REASON = "its organisation has its share of the room"
DEADLINE_REASON = "no room before its deadline"
#: Part of the longest wait by which callers without a promise are spread.
SPREAD_SHARE = 0.25


class Limit(NamedTuple):
    """Largest expected time of a request, and what it follows from."""

    limit_ms: float
    #: The limit if room were not short.
    unranked_ms: float
    position: float | None = None
    scarcity: float = 0.0
    is_return: bool = False
    #: Whether its organisation asks for more than its share.
    is_beyond_share: bool = False


class RankedLimits:
    """Order of requests while room is short, at one entry VM.

    :param region: region of this entry VM.
    :param fleet: the ``Fleet``.
    :param rates: the ``ServerRates``.
    :param settings: the ``DispatchSettings``.
    :param rng: source of randomness.
    """

    def __init__(self, region, fleet, rates, settings, rng):
        self.region = region
        self.fleet = fleet
        self.rates = rates
        self.settings = settings
        self.rng = rng
        self.shares = _organisation_shares.OrganisationShares()
        self.returns = _returns.Returns()
        self._ranks = _ranks.RankTable(None, settings)

    def set_configuration(self, configuration):
        """Set the configuration by which requests are ranked.

        :param configuration: ``directives.Configuration``.
        """
        self._ranks = _ranks.RankTable(configuration, self.settings)
        self.shares.set_organisations(configuration.organisations)
        self.returns.set_routes(route.name for route in configuration.routes)

    def on_request(self, request, now_s):
        """Count a request that a caller sent to this entry VM.

        :param request: the ``RoutingRequest``.
        :param now_s: monotonic time in seconds.
        """
        organisation = request.organisation
        is_first = request.can_forward and not request.tried_server_ids
        if organisation is None or organisation.quota is None or not is_first:
            return
        amount = 1.0
        if organisation.quota.unit == "tokens":
            amount = organisation.quota.default_tokens
            if request.prompt is not None:
                amount = request.prompt.tokens + request.prompt.output_tokens
        self.shares.record(organisation.name, amount, now_s)

    def idle_engine_ms(self, candidate):
        """Expected time of a request at an idle engine.

        :param candidate: the ``Candidate``.
        """
        settings = self.settings
        speeds = self.fleet.speeds
        read_ms = candidate.unread_tokens / settings.prefill_tokens_per_ms
        idle_ms = settings.first_event_ms * speeds.typical_slowdown
        return idle_ms + read_ms * speeds.typical_read_slowdown

    def apply(self, request, candidate, limit_ms, servers, now_s):
        """Lower the limit of a request by its rank if room is short.

        A prompt is judged for the queue before it, not for its own size.

        :param request: the ``RoutingRequest``.
        :param candidate: the ``Candidate``.
        :param limit_ms: its limit while there is room.
        :param servers: ``ServerView`` of all servers of the service.
        :param now_s: monotonic time in seconds.
        :returns: :class:`Limit`.
        """
        unranked = Limit(limit_ms, limit_ms)
        organisation = request.organisation
        service = request.service
        if organisation is None or service.engine is None:
            return unranked
        is_return = self.returns.is_return(
            request.route.name, request.remaining_ms
        )
        urgent_wait_ms = self._ranks.urgent_wait_ms(service.name)
        if urgent_wait_ms is None:
            return unranked
        scarcity = self._scarcity_of(request, servers, urgent_wait_ms, now_s)
        if scarcity <= 0:
            return unranked
        place = self._ranks.position(organisation, request.route, service.name)
        fair_share = self.shares.fair_share(organisation.name, now_s)
        is_beyond = fair_share < 1 and self.rng.random() >= fair_share
        judged = place
        if is_beyond:
            judged = 1.0
        elif place and self.rng.random() < _scarcity.LEAST_SHARE:
            judged = 0.0
        limit = Limit(
            limit_ms, limit_ms, place, scarcity, is_return, is_beyond
        )
        if judged is None:
            return limit
        idle_ms = self.idle_engine_ms(candidate)
        idle_ms += (
            candidate.cost_ms - candidate.expected_ms
        ) * self.settings.refuse_interference_share
        wait_ms = _scarcity.compute_wait_limit_ms(
            max(0.0, limit_ms - idle_ms), urgent_wait_ms, judged, scarcity
        )
        return limit._replace(limit_ms=min(limit_ms, idle_ms + wait_ms))

    def admits_return(self, request, candidate, limit, cost_ms):
        """Whether a return is admitted beyond its limit; uses up credit.

        :param request: the ``RoutingRequest``.
        :param candidate: the ``Candidate``.
        :param limit: its :class:`Limit`.
        :param cost_ms: its expected time.
        """
        if not limit.is_return or limit.is_beyond_share:
            return False
        if cost_ms > limit.limit_ms * _returns.RETURN_WAIT_FACTOR:
            return False
        return self.returns.take_credit(
            request.route.name, self._work_ms(request, candidate)
        )

    def on_served(self, request, candidate, limit):
        """Count a request that is served.

        :param request: the ``RoutingRequest``.
        :param candidate: the ``Candidate``.
        :param limit: its :class:`Limit`.
        """
        if limit.scarcity > 0 and not limit.is_return:
            self.returns.on_served(
                request.route.name, self._work_ms(request, candidate)
            )

    def promise(self, request, candidate, limit, refusal, servers, now_s):
        """Tell a refused caller when there is room for it.

        :param request: the ``RoutingRequest``.
        :param candidate: the ``Candidate``.
        :param limit: its :class:`Limit`.
        :param refusal: the ``Refuse`` as while there is room.
        :param servers: ``ServerView`` of all servers of the service.
        :param now_s: monotonic time in seconds.
        :returns: ``Refuse``.
        """
        if limit.scarcity <= 0:
            return refusal
        refusal = refusal._replace(
            rank_position=limit.position, scarcity=limit.scarcity
        )
        if limit.is_beyond_share:
            refusal = refusal._replace(reason=SHARE_REASON)
        elif limit.limit_ms < limit.unranked_ms:
            refusal = refusal._replace(reason=RANK_REASON)
        longest_ms = min(
            request.remaining_ms * _returns.LONGEST_WAIT_SHARE,
            self.settings.max_retry_after_ms,
        )
        wait_ms = self.returns.promise_ms(
            max(
                refusal.retry_after_ms,
                request.remaining_ms * (1 - _returns.RETURN_LEFT_SHARE),
            ),
            self._interval_ms(request, candidate, servers),
            longest_ms,
            now_s,
        )
        if wait_ms is None:
            spread = 1.0 - SPREAD_SHARE * self.rng.random()
            return refusal._replace(
                reason=DEADLINE_REASON, retry_after_ms=longest_ms * spread
            )
        return refusal._replace(retry_after_ms=wait_ms)

    def _interval_ms(self, request, candidate, servers):
        """Time in which this VM's part of the room takes one return."""
        work_ms = self._work_ms(request, candidate)
        engines = sum(
            view.record.state == "ready"
            and view.record.region == candidate.region
            for view in servers
        )
        members = max(1, len(self.rates.members))
        return work_ms * members / max(1, engines) / _returns.RETURN_SHARE

    def _work_ms(self, request, candidate):
        """Part of an engine's time that a request takes."""
        settings = self.settings
        work_ms = settings.stream_duration_ms / request.service.engine.slots
        return work_ms + (
            candidate.unread_tokens / settings.prefill_tokens_per_ms
        )

    def _scarcity_of(self, request, servers, urgent_wait_ms, now_s):
        """Scarcity of the allowed region that has most room."""
        allowed = request.route.allowed_regions
        usages = {}
        for view in servers:
            record = view.record
            region = record.region
            if record.state != "ready" or (allowed and region not in allowed):
                continue
            if region == self.region:
                usage = self.fleet.usage(record.server_id)
            elif request.can_forward:
                usage = self.fleet.remote_usage(
                    region, record.server_id, now_s
                )
            else:
                continue
            if usage is not None:
                usages.setdefault(region, []).append((record.slots, usage))
        scarcities = [
            _scarcity.compute_scarcity(
                region_usages,
                request.service,
                urgent_wait_ms,
                self.settings,
                self.fleet.speeds.typical_slowdown,
            )
            for region_usages in usages.values()
        ]
        return min(scarcities, default=0.0)
