"""Estimates of the latency of a request and of its cost to others."""

from typing import NamedTuple

from buckthorntack.dispatch import _decisions
from buckthorntack.dispatch import _server_speeds
from buckthorntack.dispatch import _shared_rate

#: Largest affinity penalty: enough to send equal prompts to the same server
#: while the servers are about equally busy.
AFFINITY_MS = 8.0
#: Largest affinity penalty for a large prefix that no known server caches:
#: entry VMs that have no reports of each other yet choose the same server.
NEW_PREFIX_AFFINITY_MS = 40.0
#: Penalty for an uncached large prefix at a server whose prefix cache is full
#: of shared parts.
CACHE_PRESSURE_MS = 60.0
#: Expected wait, in stream durations, per missing engine memory.
MEMORY_EXCESS_WEIGHT = 4.0


class _CacheHolder(NamedTuple):
    """A server that has a prefix of the prompt in its cache."""

    server_id: str
    address: str
    failure_domain: str
    software_version: str
    cached_tokens: int


class Estimator:
    """Estimator of latency and cost by server.

    :param region: region of this entry VM.
    :param fleet: the ``Fleet``.
    :param settings: the ``DispatchSettings``.
    """

    def __init__(self, region, fleet, settings):
        self.region = region
        self.fleet = fleet
        self.settings = settings

    def find_holders(self, request, servers):
        """Find servers that cache a prefix of the prompt, longest first.

        A server that may not serve the route is none of them, as a copy from
        it would tell it the prompt.

        :param request: the ``RoutingRequest``.
        :param servers: ``ServerView`` of all servers of the service.
        :returns: list of ``_CacheHolder``.
        """
        prompt = request.prompt
        min_tokens = self.settings.min_fetch_tokens
        if prompt is None or prompt.shared_tokens < min_tokens:
            return []
        allowed = request.route.allowed_regions
        holders = []
        for view in servers:
            record = view.record
            if record.state == "gone" or record.silent:
                continue
            if allowed and record.region not in allowed:
                continue
            state = self.fleet.state(record.server_id)
            cached = state.cache.cached_tokens(prompt.parts)
            if cached >= min_tokens:
                holders.append(
                    _CacheHolder(
                        record.server_id,
                        record.address,
                        record.failure_domain,
                        record.software_version,
                        cached,
                    )
                )
        holders.sort(key=lambda holder: -holder.cached_tokens)
        return holders

    def estimate_local(self, request, view, holders):
        """Estimate latency and cost at a server of the local region.

        :param request: the ``RoutingRequest``.
        :param view: ``ServerView`` of the server.
        :param holders: result of :meth:`find_holders`.
        :returns: ``Candidate``.
        """
        server_id = view.record.server_id
        engine = request.service.engine
        memory_tokens = engine.memory_tokens if engine else 0
        state = self.fleet.state(server_id, memory_tokens)
        usage = self.fleet.usage(server_id)
        unread = 0
        fetch_from = ""
        fetch_ms = 0.0
        if request.prompt is not None:
            cached = state.cache.cached_tokens(request.prompt.parts)
            fetch = self._find_fetch(engine, view, cached, holders)
            if fetch is not None:
                fetch_from, fetch_ms, cached = fetch
            unread = max(0, request.prompt.tokens - cached)
        expected_ms = self._expected_ms(request, view, usage, unread, state)
        expected_ms += fetch_ms
        cost_ms = expected_ms + self._cost_ms(
            request, view, usage, unread, state, holders
        )
        return _decisions.Candidate(
            server_id, self.region, expected_ms, cost_ms, unread, fetch_from
        )

    def estimate_for_neighbour(self, request, view, holders):
        """Estimate a local server for another entry VM of the region.

        The failures that were seen here are those of the link.

        :param request: the ``RoutingRequest``.
        :param view: ``ServerView`` of the server.
        :param holders: result of :meth:`find_holders`.
        :returns: ``Candidate``.
        """
        candidate = self.estimate_local(request, view, holders)
        state = self.fleet.state(view.record.server_id)
        failure_ms = state.failure_share * self.settings.failure_ms
        return candidate._replace(
            expected_ms=candidate.expected_ms - failure_ms,
            cost_ms=candidate.cost_ms - failure_ms,
        )

    def estimate_remote(self, request, view, holders, now_s):
        """Estimate latency and cost at a server of another region.

        :param request: the ``RoutingRequest``.
        :param view: ``ServerView`` of the server.
        :param holders: result of :meth:`find_holders`.
        :param now_s: monotonic time.
        :returns: ``Candidate``, or None if the load of the server is unknown.
        """
        record = view.record
        usage = self.fleet.remote_usage(record.region, record.server_id, now_s)
        if usage is None:
            return None
        unread = 0
        state = self.fleet.state(record.server_id)
        if request.prompt is not None:
            cached = state.cache.cached_tokens(request.prompt.parts)
            unread = max(0, request.prompt.tokens - cached)
        expected_ms = self._expected_ms(request, view, usage, unread, None)
        expected_ms += self.settings.region_round_trip_ms
        cost_ms = expected_ms + self._cost_ms(
            request, view, usage, unread, state, holders
        )
        return _decisions.Candidate(
            record.server_id, record.region, expected_ms, cost_ms, unread, ""
        )

    def has_large_prefix(self, request):
        """Whether a prompt has a large shared prefix.

        :param request: the ``RoutingRequest``.
        """
        prompt = request.prompt
        return (
            prompt is not None
            and prompt.shared_tokens >= self.settings.large_prefix_tokens
        )

    def _cost_ms(self, request, view, usage, unread, state, holders):
        """Estimate the delay to other requests, plus the affinity penalty."""
        max_affinity_ms = AFFINITY_MS
        cost_ms = 0.0
        uncached_shared = self._uncached_shared_tokens(request, unread)
        if (
            not holders
            and uncached_shared >= self.settings.large_prefix_tokens
        ):
            max_affinity_ms = NEW_PREFIX_AFFINITY_MS
            cost_ms += CACHE_PRESSURE_MS * state.cache.shared_fraction()
        cost_ms += self._affinity_ms(request, view, max_affinity_ms)
        if request.service.engine is not None:
            cost_ms += self._stall_ms(usage, unread)
        return cost_ms

    def _find_fetch(self, engine, view, cached, holders):
        """Find the fastest copy of a cached prefix that is worth making.

        :returns: address, milliseconds and tokens cached afterwards; or None.
        """
        settings = self.settings
        if engine is None or engine.transfer_mbps <= 0:
            return None
        best = None
        for holder in holders:
            tokens = holder.cached_tokens - cached
            if tokens < settings.min_fetch_tokens:
                break
            if holder.server_id == view.record.server_id:
                continue
            if holder.software_version != view.record.software_version:
                continue
            bits = tokens * engine.token_bytes * 8.0
            fetch_ms = bits / (engine.transfer_mbps * 1e3)
            if holder.failure_domain != view.record.failure_domain:
                fetch_ms *= settings.fetch_domain_factor
            fetch_ms += settings.fetch_setup_ms
            prefill_ms = tokens / settings.prefill_tokens_per_ms
            if fetch_ms > prefill_ms * settings.fetch_prefill_share:
                continue
            if best is None or fetch_ms < best[1]:
                best = (holder.address, fetch_ms, holder.cached_tokens)
        return best

    def _uncached_shared_tokens(self, request, unread):
        """Return how many shared tokens a server would have to prefill."""
        if request.prompt is None or not request.prompt.parts:
            return 0
        return unread - request.prompt.parts[-1].tokens

    def _affinity_ms(self, request, view, max_affinity_ms):
        """Compute the affinity penalty of a server for the shared prefix.

        The server with the highest rendezvous score has the lowest penalty.
        """
        if request.prompt is None or not request.prompt.parts:
            return 0.0
        key = request.prompt.shared_key
        score = _shared_rate.rendezvous_score(key, view.record.server_id)
        return max_affinity_ms * (1.0 - score)

    def _expected_ms(self, request, view, usage, unread, state):
        settings = self.settings
        present = usage.running + usage.waiting
        slots = max(1, view.record.slots)
        excess = max(0, present + 1 - slots)
        if request.service.engine is None:
            service_time_ms = (
                state and state.duration_ms
            ) or settings.service_time_ms
            expected_ms = service_time_ms * (1.0 + excess / slots)
        else:
            stream_duration_ms = (
                state and state.duration_ms
            ) or settings.stream_duration_ms
            tokens = usage.waiting_tokens + unread
            expected_ms = (
                self._base_ms(usage)
                + stream_duration_ms * excess / slots
                + stream_duration_ms * self._memory_excess(request, usage)
            )
            speeds = self.fleet.speeds
            server_id = view.record.server_id
            expected_ms *= speeds.slowdown(server_id)
            read_ms = tokens / settings.prefill_tokens_per_ms
            expected_ms += read_ms * speeds.read_slowdown(server_id)
        if state is not None:
            expected_ms += state.failure_share * settings.failure_ms
        return expected_ms

    def _base_ms(self, usage):
        """Time to the first event of a cached prompt at nominal speed."""
        settings = self.settings
        return settings.first_event_ms + usage.running * settings.batch_ms

    def speed_work(self, request, serve, born_ms):
        """Tell what the answer of a request will say of its engine's speed.

        :param request: the ``RoutingRequest``.
        :param serve: the decision, a ``Serve``; not yet counted.
        :param born_ms: incarnation of the server.
        :returns: ``SpeedWork``, or None if it will say nothing.
        """
        engine = request.service.engine
        if engine is None or serve.fetch_from:
            return None
        usage = self.fleet.usage(serve.server_id)
        is_full = usage.running + usage.waiting >= max(1, engine.slots)
        if is_full or self.lacks_memory(request, usage):
            return None
        settings = self.settings
        tokens = usage.waiting_tokens + serve.unread_tokens
        return _server_speeds.SpeedWork(
            born_ms,
            self._base_ms(usage),
            tokens / settings.prefill_tokens_per_ms,
            serve.unread_tokens / settings.prefill_tokens_per_ms,
        )

    def _stall_ms(self, usage, unread):
        """Estimate the stall of running streams while an engine prefills."""
        settings = self.settings
        tokens = usage.waiting_tokens + unread
        excess = max(0, tokens - settings.stall_free_tokens)
        stall_ms = excess / 1000.0 * settings.stall_ms
        stall_ms += unread / 1000.0 * settings.delay_ms
        return usage.running * stall_ms

    def lacks_memory(self, request, usage):
        """Whether a request does not fit into an engine's memory now.

        :param request: the ``RoutingRequest``.
        :param usage: ``Usage`` of the engine.
        """
        if request.service.engine is None:
            return False
        return self._memory_excess(request, usage) > 0

    def _memory_excess(self, request, usage):
        """Estimate the weighted memory shortage, in units of engine memory."""
        room = (
            request.service.engine.memory_tokens * self.settings.memory_share
        )
        held = usage.held_tokens + held_tokens(request.prompt)
        return max(0.0, held - room) / max(1.0, room) * MEMORY_EXCESS_WEIGHT


def held_tokens(prompt):
    """Return the most tokens that a request holds in an engine's memory.

    :param prompt: ``Prompt`` of the request, or None.
    """
    if prompt is None:
        return 0
    return prompt.tokens + prompt.output_tokens
