"""How long a request would take at a server, and what it costs others."""

from typing import NamedTuple

from buckthorntack.dispatch import _decisions
from buckthorntack.dispatch import _warmup

#: Claims to a prompt's shared parts, as time: enough to gather equal prompts
#: while servers are about equally busy.
AFFINITY_MS = 8.0
#: The same for a large part that no server is known to hold: entry VMs that
#: have not heard of each other's requests yet choose the same server.
NEW_PREFIX_AFFINITY_MS = 40.0
#: Added for such a part at a server whose memory is full of shared parts.
CACHE_PRESSURE_MS = 60.0
#: Waits, in times of a stream, for each memory that requests lack.
MEMORY_EXCESS_WEIGHT = 4.0


class _CacheHolder(NamedTuple):
    """A server that has the start of a prompt in its memory."""

    server_id: str
    address: str
    failure_domain: str
    cached_tokens: int


class Estimator:
    """Works out what to expect of servers.

    :param region: region of this entry VM.
    :param fleet: the ``Fleet``.
    :param settings: the ``DispatchSettings``.
    """

    def __init__(self, region, fleet, settings):
        self.region = region
        self.fleet = fleet
        self.settings = settings

    def find_holders(self, request, servers):
        """Servers with parts of a prompt in memory, the best ones first.

        :param wanted: the ``Wanted``.
        :param servers: ``ServerView`` of all servers of its service.
        :returns: list of holders.
        """
        prompt = request.prompt
        least_tokens = self.settings.min_fetch_tokens
        if prompt is None or prompt.shared_tokens < least_tokens:
            return []
        holders = []
        for view in servers:
            record = view.record
            if record.state == "gone" or record.silent:
                continue
            state = self.fleet.state(record.server_id)
            cached = state.cache.cached_tokens(prompt.parts)
            if cached >= least_tokens:
                holders.append(
                    _CacheHolder(
                        record.server_id,
                        record.address,
                        record.failure_domain,
                        cached,
                    )
                )
        holders.sort(key=lambda holder: -holder.cached_tokens)
        return holders

    def estimate_local(self, request, view, holders):
        """What to expect of a server of this region.

        :param wanted: the ``Wanted``.
        :param view: the server's ``ServerView``.
        :param holders: as of :meth:`holders`.
        :returns: ``Place``.
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

    def estimate_remote(self, request, view, holders, now_s):
        """What to expect of a server of another region.

        :param wanted: the ``Wanted``.
        :param view: the server's ``ServerView``.
        :param holders: as of :meth:`holders`.
        :param now_s: monotonic time.
        :returns: ``Place``, or None if its load is not known.
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
        """Whether a prompt has shared parts that are long to read.

        :param wanted: the ``Wanted``.
        """
        prompt = request.prompt
        return (
            prompt is not None
            and prompt.shared_tokens >= self.settings.large_prefix_tokens
        )

    def _cost_ms(self, request, view, usage, unread, state, holders):
        """What a request costs others at a server, with its claim to it."""
        limit_ms = AFFINITY_MS
        cost_ms = 0.0
        uncached_shared = self._uncached_shared_tokens(request, unread)
        if (
            not holders
            and uncached_shared >= self.settings.large_prefix_tokens
        ):
            limit_ms = NEW_PREFIX_AFFINITY_MS
            cost_ms += CACHE_PRESSURE_MS * state.cache.shared_fraction()
        cost_ms += self._affinity_ms(request, view, limit_ms)
        if request.service.engine is not None:
            cost_ms += self._stall_ms(usage, unread)
        return cost_ms

    def _find_fetch(self, engine, view, cached, holders):
        """Copy of the prompt's start that is quicker than reading it.

        :returns: address, time and tokens cached afterwards; or None.
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
            bits = tokens * engine.token_bytes * 8.0
            fetch_ms = bits / (engine.transfer_mbps * 1e3)
            if holder.failure_domain != view.record.failure_domain:
                fetch_ms *= settings.fetch_domain_factor
            fetch_ms += settings.fetch_setup_ms
            read_ms = tokens / settings.prefill_tokens_per_ms
            if fetch_ms > read_ms * settings.fetch_read_share:
                continue
            if best is None or fetch_ms < best[1]:
                best = (holder.address, fetch_ms, holder.cached_tokens)
        return best

    def _uncached_shared_tokens(self, request, unread):
        """Shared tokens among those that a server would have to read."""
        if request.prompt is None or not request.prompt.parts:
            return 0
        return unread - request.prompt.parts[-1].tokens

    def _affinity_ms(self, request, view, limit_ms):
        """Small preference for the server that a prompt is gathered at."""
        if request.prompt is None or not request.prompt.parts:
            return 0.0
        key = request.prompt.shared_key
        claim = _warmup.rendezvous_score(key, view.record.server_id)
        return limit_ms * (1.0 - claim)

    def _expected_ms(self, request, view, usage, unread, state):
        settings = self.settings
        present = usage.running + usage.waiting
        slots = max(1, view.record.slots)
        over = max(0, present + 1 - slots)
        if request.service.engine is None:
            service_time_ms = (
                state and state.duration_ms
            ) or settings.service_time_ms
            expected_ms = service_time_ms * (1.0 + over / slots)
        else:
            stream_duration_ms = (
                state and state.duration_ms
            ) or settings.stream_duration_ms
            tokens = usage.waiting_tokens + unread
            expected_ms = (
                settings.first_event_ms
                + tokens / settings.prefill_tokens_per_ms
                + usage.running * settings.batch_ms
                + stream_duration_ms * over / slots
                + stream_duration_ms * self._memory_excess(request, usage)
            )
            expected_ms *= self.fleet.slowdown(state)
        if state is not None:
            expected_ms += state.failure_share * settings.failure_ms
        return expected_ms

    def _stall_ms(self, usage, unread):
        """What streams at an engine lose while it reads prompts."""
        settings = self.settings
        tokens = usage.waiting_tokens + unread
        over = max(0, tokens - settings.stall_free_tokens)
        stall_ms = over / 1000.0 * settings.stall_ms
        stall_ms += unread / 1000.0 * settings.delay_ms
        return usage.running * stall_ms

    def _memory_excess(self, request, usage):
        """How far requests go beyond an engine's memory, in memories."""
        room = (
            request.service.engine.memory_tokens * self.settings.memory_share
        )
        held = usage.held_tokens + held_tokens(request.prompt)
        return max(0.0, held - room) / max(1.0, room) * MEMORY_EXCESS_WEIGHT


def held_tokens(prompt):
    """Tokens that a request keeps in an engine's memory at most.

    :param prompt: its ``Prompt``, or None.
    """
    if prompt is None:
        return 0
    return prompt.tokens + prompt.output_tokens
