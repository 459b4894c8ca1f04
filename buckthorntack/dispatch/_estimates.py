"""How long a request would take at a server, and what it costs others."""

from typing import NamedTuple

from buckthorntack.dispatch import _decisions
from buckthorntack.dispatch import _warmup

#: Claims to a prompt's shared parts, as time: enough to gather equal prompts
#: while servers are about equally busy.
CLAIM_MS = 8.0
#: The same for a large part that no server is known to hold: entry VMs that
#: have not heard of each other's requests yet choose the same server.
FIRST_CLAIM_MS = 40.0
#: Added for such a part at a server whose memory is full of shared parts.
FULL_MS = 60.0
#: Waits, in times of a stream, for each memory that requests lack.
EXCESS_WEIGHT = 4.0


class _Holder(NamedTuple):
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

    def holders(self, wanted, servers):
        """Servers with parts of a prompt in memory, the best ones first.

        :param wanted: the ``Wanted``.
        :param servers: ``ServerView`` of all servers of its service.
        :returns: list of holders.
        """
        prompt = wanted.prompt
        least_tokens = self.settings.fetch_least_tokens
        if prompt is None or prompt.shared_tokens < least_tokens:
            return []
        holders = []
        for view in servers:
            record = view.record
            if record.state == "gone" or record.silent:
                continue
            state = self.fleet.state(record.server_id)
            cached = state.memory.cached_tokens(prompt.parts)
            if cached >= least_tokens:
                holders.append(
                    _Holder(
                        record.server_id,
                        record.address,
                        record.failure_domain,
                        cached,
                    )
                )
        holders.sort(key=lambda holder: -holder.cached_tokens)
        return holders

    def local_place(self, wanted, view, holders):
        """What to expect of a server of this region.

        :param wanted: the ``Wanted``.
        :param view: the server's ``ServerView``.
        :param holders: as of :meth:`holders`.
        :returns: ``Place``.
        """
        server_id = view.record.server_id
        engine = wanted.service.engine
        memory_tokens = engine.memory_tokens if engine else 0
        state = self.fleet.state(server_id, memory_tokens)
        usage = self.fleet.usage(server_id)
        unread = 0
        fetch_from = ""
        fetch_ms = 0.0
        if wanted.prompt is not None:
            cached = state.memory.cached_tokens(wanted.prompt.parts)
            fetch = self._fetch(engine, view, cached, holders)
            if fetch is not None:
                fetch_from, fetch_ms, cached = fetch
            unread = max(0, wanted.prompt.tokens - cached)
        expected_ms = self._expected_ms(wanted, view, usage, unread, state)
        expected_ms += fetch_ms
        cost_ms = expected_ms + self._cost_ms(
            wanted, view, usage, unread, state, holders
        )
        return _decisions.Place(
            server_id, self.region, expected_ms, cost_ms, unread, fetch_from
        )

    def remote_place(self, wanted, view, holders, now_s):
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
        if wanted.prompt is not None:
            cached = state.memory.cached_tokens(wanted.prompt.parts)
            unread = max(0, wanted.prompt.tokens - cached)
        expected_ms = self._expected_ms(wanted, view, usage, unread, None)
        expected_ms += self.settings.region_round_trip_ms
        cost_ms = expected_ms + self._cost_ms(
            wanted, view, usage, unread, state, holders
        )
        return _decisions.Place(
            record.server_id, record.region, expected_ms, cost_ms, unread, ""
        )

    def has_large_part(self, wanted):
        """Whether a prompt has shared parts that are long to read.

        :param wanted: the ``Wanted``.
        """
        prompt = wanted.prompt
        return (
            prompt is not None
            and prompt.shared_tokens >= self.settings.follow_tokens
        )

    def _cost_ms(self, wanted, view, usage, unread, state, holders):
        """What a request costs others at a server, with its claim to it."""
        most_ms = CLAIM_MS
        cost_ms = 0.0
        unheld = self._unheld_tokens(wanted, unread)
        if not holders and unheld >= self.settings.follow_tokens:
            most_ms = FIRST_CLAIM_MS
            cost_ms += FULL_MS * state.memory.shared_share()
        cost_ms += self._claim_ms(wanted, view, most_ms)
        if wanted.service.engine is not None:
            cost_ms += self._stall_ms(usage, unread)
        return cost_ms

    def _fetch(self, engine, view, cached, holders):
        """Copy of the prompt's start that is quicker than reading it.

        :returns: address, time and tokens cached afterwards; or None.
        """
        settings = self.settings
        if engine is None or engine.transfer_mbps <= 0:
            return None
        best = None
        for holder in holders:
            tokens = holder.cached_tokens - cached
            if tokens < settings.fetch_least_tokens:
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

    def _unheld_tokens(self, wanted, unread):
        """Shared tokens among those that a server would have to read."""
        if wanted.prompt is None or not wanted.prompt.parts:
            return 0
        return unread - wanted.prompt.parts[-1].tokens

    def _claim_ms(self, wanted, view, most_ms):
        """Small preference for the server that a prompt is gathered at."""
        if wanted.prompt is None or not wanted.prompt.parts:
            return 0.0
        key = wanted.prompt.shared_key
        claim = _warmup.rendezvous_value(key, view.record.server_id)
        return most_ms * (1.0 - claim)

    def _expected_ms(self, wanted, view, usage, unread, state):
        settings = self.settings
        present = usage.running + usage.waiting
        slots = max(1, view.record.slots)
        over = max(0, present + 1 - slots)
        if wanted.service.engine is None:
            work_ms = (state and state.duration_ms) or settings.work_ms
            expected_ms = work_ms * (1.0 + over / slots)
        else:
            stream_ms = (state and state.duration_ms) or settings.stream_ms
            tokens = usage.waiting_tokens + unread
            expected_ms = (
                settings.first_event_ms
                + tokens / settings.prefill_tokens_per_ms
                + usage.running * settings.batch_ms
                + stream_ms * over / slots
                + stream_ms * self._memory_excess(wanted, usage)
            )
            expected_ms *= self.fleet.slowness(state)
        if state is not None:
            expected_ms += state.failure_share * settings.failure_ms
        return expected_ms

    def _stall_ms(self, usage, unread):
        """What streams at an engine lose while it reads prompts."""
        settings = self.settings
        tokens = usage.waiting_tokens + unread
        over = max(0, tokens - settings.smooth_tokens)
        stall_ms = over / 1000.0 * settings.stall_ms
        stall_ms += unread / 1000.0 * settings.delay_ms
        return usage.running * stall_ms

    def _memory_excess(self, wanted, usage):
        """How far requests go beyond an engine's memory, in memories."""
        room = wanted.service.engine.memory_tokens * self.settings.memory_share
        held = usage.held_tokens + held_tokens(wanted.prompt)
        return max(0.0, held - room) / max(1.0, room) * EXCESS_WEIGHT


def held_tokens(prompt):
    """Tokens that a request keeps in an engine's memory at most.

    :param prompt: its ``Prompt``, or None.
    """
    if prompt is None:
        return 0
    return prompt.tokens + prompt.output_tokens
