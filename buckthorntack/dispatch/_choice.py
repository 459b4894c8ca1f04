"""Choice of a backend server by expected latency."""

from buckthorntack.dispatch import _decisions
from buckthorntack.dispatch import _estimates
from buckthorntack.dispatch import _fleet
from buckthorntack.dispatch import _ranked_limits
from buckthorntack.dispatch import _ranks
from buckthorntack.dispatch import _reachability
from buckthorntack.dispatch import _server_rates
from buckthorntack.dispatch import _shared_rate
from buckthorntack.dispatch import _shared_room

#: Candidates whose costs differ by at most this are tied.
TIE_MS = 1.0
#: Retry-After if no known server may take the request: a fraction of the time
#: between two announcements.
NO_SERVER_RETRY_MS = 400.0
#: Lowest rate of limited servers by which the return of callers is spread.
MIN_SPREAD_PER_S = 0.5
#: Bounds of the random factor applied to Retry-After.
RETRY_JITTER_RANGE = (0.75, 1.25)


class Dispatcher:
    """Load balancer that chooses a server for each request.

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
        self.estimator = _estimates.Estimator(region, fleet, settings)
        self.reachability = _reachability.Reachability()
        self.ranked_limits = _ranked_limits.RankedLimits(
            region, fleet, rates, settings, rng
        )
        self.evacuated = frozenset()
        self._cold_until = {}

    def choose(self, request, servers, now):
        """Choose where a request goes.

        :param request: the ``RoutingRequest``.
        :param servers: ``ServerView`` of all servers of the service.
        :param now: monotonic time.
        :returns: ``Serve``, ``Forward`` or ``Refuse``.
        """
        now_s = now.total_seconds()
        self.ranked_limits.on_request(request, now_s)
        allowed = request.route.allowed_regions
        servers = _select_version(servers, request.software_version)
        local, remote, pause_ends_s = [], [], []
        for view in servers:
            record = view.record
            if record.state != "ready" or self._is_excluded(record, request):
                continue
            if allowed and record.region not in allowed:
                continue
            if record.region == self.region:
                state = self.fleet.state(record.server_id)
                if state.is_paused(now_s):
                    pause_ends_s.append(state.paused_until_s)
                else:
                    local.append(view)
            elif request.can_forward:
                remote.append(view)
        holders = self.estimator.find_holders(request, servers)
        reachable = [
            view
            for view in local
            if not self.reachability.is_unreachable(view.record.server_id)
        ]
        is_cut_off = bool(local) and not reachable
        if not is_cut_off:
            local_best = self._best_local(
                request, reachable, holders, now, now_s
            )
        elif request.can_hop:
            local_best = self._best_of_neighbours(request, local, holders)
        else:
            local, local_best = [], None
        remote_best = None
        if not holders:
            views = [*local, *remote]
            remote_best = self._designated_reader(
                request, views, local_best, now, now_s
            )
        if remote_best is None:
            available = [
                view for view in remote if self._is_available(view, now)
            ]
            if not available and not local:
                # Limited servers of other regions are all that there is.
                available = [
                    view for view in remote if self._is_warm(view, now)
                ]
            remote_best = self._best_remote(
                request, available, local_best, holders, now_s
            )
        best = remote_best or local_best
        if best is not None:
            return self._decide(request, best, is_cut_off, servers, now_s)
        decision = self._refuse_without_candidate(
            request, [*local, *remote], pause_ends_s, now_s
        )
        if is_cut_off and not remote:
            return decision._replace(reason="no server is reachable")
        return decision

    def choose_replacement(self, request, servers, now):
        """Choose where a request goes that may stay where it is.

        Unless it is sent, it counts for nothing; in particular no time is
        promised to its caller, who is not told to return.

        :param request: the ``RoutingRequest``.
        :param servers: ``ServerView`` of all servers of the service.
        :param now: monotonic time.
        :returns: ``Serve``, ``Forward`` or ``Refuse``.
        """
        returns = self.ranked_limits.returns
        self.ranked_limits.returns = returns.copy()
        decision = self.choose(request, servers, now)
        if isinstance(decision, _decisions.Refuse):
            self.ranked_limits.returns = returns
        return decision

    def _refuse_without_candidate(self, request, views, pause_ends_s, now_s):
        wait_ms = NO_SERVER_RETRY_MS
        has_servers = bool(views)
        reason = "none takes more" if has_servers else "no server"
        limits = [self._named_per_s(view) for view in views]
        if has_servers and None not in limits:
            reason = "all servers limited"
            # Callers that return together would find one slot between them.
            interval_ms = 1e3 / max(sum(limits), MIN_SPREAD_PER_S)
            wait_ms += interval_ms * self.rng.random()
        if pause_ends_s and not has_servers:
            reason = "all servers paused"
            wait_ms = (min(pause_ends_s) - now_s) * 1e3
            # The jitter must not end the wait before the pause.
            wait_ms /= RETRY_JITTER_RANGE[0]
        may_wait = bool(views or pause_ends_s)
        if request.software_version is not None and not may_wait:
            reason = "no server of its software version"
        return _decisions.Refuse(
            reason, self._retry_after_ms(wait_ms), may_wait
        )

    def set_evacuated(self, evacuated, now):
        """Set the failure domains that get no requests.

        Servers of a domain that is no longer evacuated may be cold without
        having announced it, so they count as cold for ``presumed_cold``.

        :param evacuated: names of the failure domains.
        :param now: monotonic time.
        """
        until = now + self.settings.presumed_cold
        for domain in self.evacuated - evacuated:
            self._cold_until[domain] = until
        self.evacuated = frozenset(evacuated)

    def set_configuration(self, configuration):
        """Set the configuration by which requests are ranked.

        :param configuration: ``directives.Configuration``.
        """
        self.ranked_limits.set_configuration(configuration)

    def is_cold(self, view, now):
        """Whether a server is cold and its request rate is limited.

        :param view: ``ServerView`` of the server.
        :param now: monotonic time.
        """
        until = self._cold_until.get(view.record.failure_domain)
        return (
            view.is_cold(now)
            or (until is not None and now < until)
            or self.fleet.restarts.is_cold(
                view.record.server_id, now.total_seconds()
            )
        )

    def _is_excluded(self, record, request):
        return (
            record.failure_domain in self.evacuated
            or record.server_id in request.tried_server_ids
        )

    def _best_local(self, request, views, holders, now, now_s):
        healthy = [
            view for view in views if not self._is_unhealthy(view, now_s)
        ]
        candidates = []
        for view in healthy or views:
            if self._can_send(request, view, now, now_s):
                candidate = self.estimator.estimate_local(
                    request, view, holders
                )
                candidates.append(candidate)
        if not candidates:
            return None
        best = min(candidate.cost_ms for candidate in candidates)
        tied = [
            candidate
            for candidate in candidates
            if candidate.cost_ms <= best + TIE_MS
        ]
        return tied[0] if len(tied) == 1 else self.rng.choice(tied)

    def _best_of_neighbours(self, request, views, holders):
        """Return the best candidate for another entry VM of this region.

        That one checks whether it may send to the server.
        """
        candidates = [
            self.estimator.estimate_for_neighbour(request, view, holders)
            for view in views
        ]
        return min(candidates, key=_cost_of)

    def _is_unhealthy(self, view, now_s):
        if view.record.silent:
            return True
        return self.fleet.state(view.record.server_id).is_ejected(now_s)

    def _can_send(self, request, view, now, now_s):
        restarts = self.fleet.restarts
        if request.service.warmup_per_s > 0 and restarts.is_check_due(
            view.record.server_id, now_s
        ):
            # Its answer may end the limit, so it gets the next slot.
            return False
        return self.rates.may_send(
            view.record.server_id,
            self._limits_of(request, view, now),
            request.route.priority,
            now_s,
        )

    def _limits_of(self, request, view, now):
        return _server_rates.RateLimits(
            self._cold_per_s(request, view, now),
            self._named_per_s(view),
            self._room_of(request, view, now.total_seconds()),
        )

    def _cold_per_s(self, request, view, now):
        """Rate that a server takes as it is cold; None for no such limit."""
        if self.is_cold(view, now) and request.service.warmup_per_s > 0:
            return request.service.warmup_per_s
        return None

    def _room_of(self, request, view, now_s):
        """Room at a brittle server; None for any other."""
        server_id = view.record.server_id
        limits = self.fleet.limits
        if not limits.is_brittle(server_id):
            return None
        usage = self.fleet.usage(server_id)
        own = self.fleet.state(server_id).usage
        is_held = limits.is_held(server_id, now_s)
        if self.estimator.lacks_memory(request, usage):
            is_held = True
        return _shared_room.Room(
            view.record.slots,
            usage.running + usage.waiting,
            own.running + own.waiting,
            is_held,
        )

    def _named_per_s(self, view):
        record = view.record
        return self.fleet.limits.per_s(record.server_id, record.born_ms)

    def on_request_sent(self, request, view, now):
        """Count a request against the rates that its server takes.

        :param request: the ``RoutingRequest``.
        :param view: ``ServerView`` of the server.
        :param now: monotonic time.
        """
        self.rates.on_request_sent(
            view.record.server_id,
            self._limits_of(request, view, now),
            now.total_seconds(),
        )

    def may_still_send(self, request, view, was_cold, now):
        """Whether a server that was chosen may get the request now.

        One that counts as cold only since it was chosen gets the request if
        its rate allows one more, which is counted.

        :param request: the ``RoutingRequest``.
        :param view: ``ServerView`` of the server.
        :param was_cold: whether it counted as cold when it was chosen.
        :param now: monotonic time.
        """
        cold_per_s = self._cold_per_s(request, view, now)
        if was_cold or cold_per_s is None:
            return True
        limits = _server_rates.RateLimits(cold_per_s=cold_per_s)
        server_id, now_s = view.record.server_id, now.total_seconds()
        priority = request.route.priority
        if not self.rates.may_send(server_id, limits, priority, now_s):
            return False
        self.rates.on_request_sent(server_id, limits, now_s)
        return True

    def on_server_asked(self, record, service, now_s):
        """Count a health check against the rate of a server that may be cold.

        :param record: its ``AnnouncedServer``.
        :param service: its ``directives.Service``.
        :param now_s: monotonic time.
        """
        if service.warmup_per_s > 0:
            limits = _server_rates.RateLimits(cold_per_s=service.warmup_per_s)
            self.rates.on_request_sent(record.server_id, limits, now_s)

    def _best_remote(self, request, views, local_best, holders, now_s):
        """Return a candidate in another region that is worth the round trip.

        Other regions are considered if the local region is busy or the
        prompt has a large shared prefix: prefilling it again would delay all
        streams of an engine.

        :returns: ``Candidate``, or None.
        """
        settings = self.settings
        gain_ms = settings.min_region_gain_ms
        if local_best is not None:
            is_large = self.estimator.has_large_prefix(request)
            objective_ms = request.route.objective.total_seconds() * 1e3
            max_local_ms = objective_ms * settings.local_objective_share
            if local_best.expected_ms <= max_local_ms and not is_large:
                return None
            if local_best.fetch_from:
                # A fetched copy also serves later requests of the region.
                gain_ms = settings.affinity_gain_ms
            elif is_large:
                gain_ms = 0.0
        candidates = self._remote_candidates(request, views, holders, now_s)
        if not candidates:
            return None
        best = min(candidates, key=_cost_of)
        if local_best is None or best.cost_ms + gain_ms < local_best.cost_ms:
            return best
        return None

    def _designated_reader(self, request, views, local_best, now, now_s):
        """Return the remote candidate to prefill an uncached large prefix.

        All entry VMs choose the same server by rendezvous hashing, so the
        prefix is prefilled once.

        :returns: ``Candidate``, or None to stay in the local region.
        """
        if local_best is None or not self.estimator.has_large_prefix(request):
            return None
        healthy = [view for view in views if self._is_available(view, now)]
        if not healthy:
            return None
        key = request.prompt.shared_key
        chosen = max(
            healthy,
            key=lambda view: _shared_rate.rendezvous_score(
                key, view.record.server_id
            ),
        )
        if chosen.record.region == self.region:
            return None
        candidate = self.estimator.estimate_remote(request, chosen, (), now_s)
        limit_ms = local_best.cost_ms + self.settings.affinity_gain_ms
        if candidate is None or candidate.cost_ms > limit_ms:
            return None
        return candidate

    def _is_available(self, view, now):
        """Whether a server takes requests at any rate."""
        is_limited = self._named_per_s(
            view
        ) is not None or self.fleet.limits.is_brittle(view.record.server_id)
        return self._is_warm(view, now) and not is_limited

    def _is_warm(self, view, now):
        """Whether a server is neither silent nor cold."""
        return not view.record.silent and not self.is_cold(view, now)

    def _remote_candidates(self, request, views, holders, now_s):
        """Return the candidates in other regions whose load is known."""
        candidates = [
            self.estimator.estimate_remote(request, view, holders, now_s)
            for view in views
        ]
        return [candidate for candidate in candidates if candidate is not None]

    def _decide(self, request, candidate, is_cut_off, servers, now_s):
        settings = self.settings
        objective_ms = request.route.objective.total_seconds() * 1e3
        deadline_ms = request.remaining_ms * settings.deadline_share
        if request.service.engine is None:
            # A late answer of a plain service uses no more resources than a
            # timely one, and the queue of such a service is short.
            limit_ms = deadline_ms
        else:
            limit_ms = self._max_wait_ms(request, candidate, objective_ms)
            limit_ms = min(limit_ms, deadline_ms)
        interference_ms = candidate.cost_ms - candidate.expected_ms
        weighted_cost_ms = (
            candidate.expected_ms
            + interference_ms * settings.refuse_interference_share
        )
        limit = self.ranked_limits.apply(
            request, candidate, limit_ms, servers, now_s
        )
        limit_ms = min(limit.limit_ms, deadline_ms)
        if weighted_cost_ms > limit_ms and not (
            weighted_cost_ms <= deadline_ms
            and self.ranked_limits.admits_return(
                request, candidate, limit, weighted_cost_ms
            )
        ):
            excess_ms = (
                weighted_cost_ms
                - objective_ms * settings.retry_objective_share
            )
            refusal = _decisions.Refuse(
                "expected too late", self._retry_after_ms(excess_ms), True
            )
            return self.ranked_limits.promise(
                request, candidate, limit, refusal, servers, now_s
            )
        self.ranked_limits.on_served(request, candidate, limit)
        if is_cut_off or candidate.region != self.region:
            return _decisions.Forward(
                candidate.region,
                candidate.expected_ms,
                candidate.server_id,
                candidate.unread_tokens,
            )
        return _decisions.Serve(
            candidate.server_id,
            candidate.expected_ms,
            candidate.unread_tokens,
            candidate.fetch_from,
        )

    def _max_wait_ms(self, request, candidate, objective_ms):
        """Largest expected time at which a request is still sent to an engine.

        A long prompt misses its objective even on an idle engine, so it is
        refused for the queue before it and not for its own size.
        """
        settings = self.settings
        idle_engine_ms = self.ranked_limits.idle_engine_ms(candidate)
        queue_ms = objective_ms * settings.queue_share
        return max(
            _ranks.accepted_wait_ms(request.route, settings),
            idle_engine_ms + queue_ms,
        )

    def _retry_after_ms(self, wait_ms):
        """Compute Retry-After with jitter, to avoid synchronized retries."""
        settings = self.settings
        jitter = self.rng.uniform(*RETRY_JITTER_RANGE)
        return min(
            max(wait_ms * jitter, settings.min_retry_after_ms),
            settings.max_retry_after_ms,
        )

    def create_in_flight_request(self, request, serve, now, born_ms=0):
        """Create the in-flight record of a request about to be sent.

        :param request: the ``RoutingRequest``.
        :param serve: the decision, a ``Serve``.
        :param now: monotonic time.
        :param born_ms: incarnation of the server.
        """
        held = _estimates.held_tokens(request.prompt)
        return _fleet.InFlightRequest(
            serve.server_id,
            serve.unread_tokens,
            held,
            serve.expected_ms,
            now.total_seconds(),
            self.estimator.speed_work(request, serve, born_ms),
        )


def _select_version(servers, software_version):
    """Return the servers of a software version, or all for None."""
    if software_version is None:
        return servers
    return [
        view
        for view in servers
        if view.record.software_version == software_version
    ]


def _cost_of(candidate):
    return candidate.cost_ms
