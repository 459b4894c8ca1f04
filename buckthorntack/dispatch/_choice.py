"""The choice of a server by the time that each is expected to take."""

from typing import NamedTuple

from buckthorntack.dispatch import _fleet
from buckthorntack.dispatch import _warmup

#: Claims to a prompt's shared parts, as time: enough to gather equal prompts
#: while servers are about equally busy.
CLAIM_MS = 8.0
#: The same for a large part that no server is known to hold: entry VMs that
#: have not heard of each other's requests yet choose the same server.
FIRST_CLAIM_MS = 40.0
#: Added for such a part at a server whose memory is full of shared parts.
FULL_MS = 60.0

#: Places whose expected times differ by less are equal.
NEAR_MS = 1.0
#: Waits, in times of a stream, for each memory that requests lack.
EXCESS_WEIGHT = 4.0
#: Retry-After where no server is known that may take the request: a part of
#: the time between two announcements.
NO_PLACE_RETRY_MS = 400.0
#: By how much a Retry-After is shortened or lengthened.
RETRY_SPREAD = (0.75, 1.25)


class Serve(NamedTuple):
    """Send the request to a server of this region."""

    server_id: str
    expected_ms: float
    unread_tokens: int
    #: Address of a server that holds more of the prompt; empty for none.
    fetch_from: str


class Forward(NamedTuple):
    """Send the request to an entry VM of another region."""

    region: str
    expected_ms: float
    #: The server there that seems best now; that region decides anew.
    server_id: str
    unread_tokens: int


class Refuse(NamedTuple):
    """Refuse the request; it is sent nowhere."""

    reason: str
    retry_after_ms: float


class Wanted(NamedTuple):
    """What a request asks for."""

    route: object
    service: object
    prompt: object
    #: Servers that it was sent to already.
    tried: frozenset[str]
    left_ms: float
    #: Whether another region may be asked.
    may_leave: bool


class _Place(NamedTuple):
    server_id: str
    region: str
    expected_ms: float
    #: What places are compared by: the expected time, and what the request
    #: costs others.
    cost_ms: float
    unread_tokens: int
    fetch_from: str


class _Holder(NamedTuple):
    """A server that has the start of a prompt in its memory."""

    server_id: str
    address: str
    failure_domain: str
    cached_tokens: int


class Dispatcher:
    """Chooses servers for requests.

    :param region: region of this entry VM.
    :param fleet: the ``Fleet``.
    :param gate: the ``WarmupGate``.
    :param settings: the ``DispatchSettings``.
    :param rng: source of randomness.
    """

    def __init__(self, region, fleet, gate, settings, rng):
        self.region = region
        self.fleet = fleet
        self.gate = gate
        self.settings = settings
        self.rng = rng
        #: Entry VMs of this region, this one included.
        self.members = []
        self.evacuated = frozenset()
        self._presumed_cold = {}

    def choose(self, wanted, servers, now):
        """Decide on a request.

        :param wanted: what it asks for.
        :param servers: ``ServerView`` of all servers of its service.
        :param now: monotonic time.
        :returns: :class:`Serve`, :class:`Forward` or :class:`Refuse`.
        """
        now_s = now.total_seconds()
        allowed = wanted.route.allowed_regions
        local, remote = [], []
        for view in servers:
            record = view.record
            if record.state != "ready" or self._is_barred(record, wanted):
                continue
            if allowed and record.region not in allowed:
                continue
            if record.region == self.region:
                local.append(view)
            elif wanted.may_leave:
                remote.append(view)
        holders = self._holders(wanted, servers)
        here = self._best_local(wanted, local, holders, now, now_s)
        there = None
        if not holders:
            views = [*local, *remote]
            there = self._first_reader(wanted, views, here, now, now_s)
        if there is None:
            there = self._best_remote(
                wanted, remote, here, holders, now, now_s
            )
        best = there or here
        if best is not None:
            return self._judged(wanted, best)
        reason = "no server" if not (local or remote) else "none takes more"
        return Refuse(reason, self._retry_after_ms(NO_PLACE_RETRY_MS))

    def set_evacuated(self, evacuated, now):
        """Take in which failure domains get no work.

        Servers of a domain that is taken back may be cold and not have told
        it yet, so they count as cold until they must have.

        :param evacuated: the failure domains.
        :param now: monotonic time.
        """
        until = now + self.settings.presumed_cold
        for domain in self.evacuated - evacuated:
            self._presumed_cold[domain] = until
        self.evacuated = frozenset(evacuated)

    def is_cold(self, view, now):
        """Whether a server bears few requests only.

        :param view: its ``ServerView``.
        :param now: monotonic time.
        """
        until = self._presumed_cold.get(view.record.failure_domain)
        return view.is_cold(now) or (until is not None and now < until)

    def _is_barred(self, record, wanted):
        return (
            record.failure_domain in self.evacuated
            or record.server_id in wanted.tried
        )

    def _best_local(self, wanted, views, holders, now, now_s):
        sound = [view for view in views if not self._is_doubtful(view, now_s)]
        places = []
        for view in sound or views:
            if self._may_warm(wanted, view, now, now_s):
                place = self._local_place(wanted, view, holders, now_s)
                places.append(place)
        if not places:
            return None
        best = min(place.cost_ms for place in places)
        near = [place for place in places if place.cost_ms <= best + NEAR_MS]
        return near[0] if len(near) == 1 else self.rng.choice(near)

    def _is_doubtful(self, view, now_s):
        if view.record.silent:
            return True
        return self.fleet.state(view.record.server_id).is_ejected(now_s)

    def _may_warm(self, wanted, view, now, now_s):
        if not self.is_cold(view, now):
            return True
        per_s = wanted.service.warmup_per_s
        server_id = view.record.server_id
        return self.gate.may_send(server_id, per_s, self.members, now_s)

    def _holders(self, wanted, servers):
        """Servers with parts of the prompt in memory, the best ones first."""
        if wanted.prompt is None or not wanted.prompt.parts:
            return []
        holders = []
        for view in servers:
            record = view.record
            if record.state == "gone" or record.silent:
                continue
            state = self.fleet.state(record.server_id)
            cached = state.memory.cached_tokens(wanted.prompt.parts)
            if cached >= self.settings.fetch_least_tokens:
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

    def _local_place(self, wanted, view, holders, now_s):
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
        return _Place(
            server_id, self.region, expected_ms, cost_ms, unread, fetch_from
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
        held = usage.held_tokens + _held_tokens(wanted.prompt)
        return max(0.0, held - room) / max(1.0, room) * EXCESS_WEIGHT

    def _best_remote(self, wanted, views, here, holders, now, now_s):
        """A place elsewhere that is worth the way, or None.

        Others are looked at if the region is busy, and for prompts with a
        large part: to read it again would take an engine's time from all its
        streams.
        """
        settings = self.settings
        gain_ms = settings.region_gain_ms
        if here is not None:
            is_large = self._has_large_part(wanted)
            objective_ms = wanted.route.objective.total_seconds() * 1e3
            stay_ms = objective_ms * settings.stay_share
            if here.expected_ms <= stay_ms and not is_large:
                return None
            if here.fetch_from:
                # The copy serves later requests of the region too.
                gain_ms = settings.gather_ms
            elif is_large:
                gain_ms = 0.0
        places = self._remote_places(wanted, views, holders, now, now_s)
        if not places:
            return None
        best = min(places, key=_cost)
        if here is None or best.cost_ms + gain_ms < here.cost_ms:
            return best
        return None

    def _first_reader(self, wanted, views, here, now, now_s):
        """The place elsewhere that is to read a large part that none has.

        All entry VMs choose the same one, so that it is read once.
        """
        if here is None or not self._has_large_part(wanted):
            return None
        sound = [view for view in views if self._is_open(view, now)]
        if not sound:
            return None
        key = wanted.prompt.shared_key
        chosen = max(
            sound,
            key=lambda view: _warmup.rendezvous_value(
                key, view.record.server_id
            ),
        )
        if chosen.record.region == self.region:
            return None
        place = self._remote_place(wanted, chosen, (), now_s)
        most_ms = here.cost_ms + self.settings.gather_ms
        if place is None or place.cost_ms > most_ms:
            return None
        return place

    def _has_large_part(self, wanted):
        """Whether a prompt has shared parts that are long to read."""
        prompt = wanted.prompt
        if prompt is None or not prompt.parts:
            return False
        shared = prompt.tokens - prompt.parts[-1].tokens
        return shared >= self.settings.follow_tokens

    def _is_open(self, view, now):
        """Whether a server is heard of and bears any number of requests."""
        return not view.record.silent and not self.is_cold(view, now)

    def _remote_places(self, wanted, views, holders, now, now_s):
        """Places elsewhere whose load is known."""
        places = [
            self._remote_place(wanted, view, holders, now_s)
            for view in views
            if self._is_open(view, now)
        ]
        return [place for place in places if place is not None]

    def _remote_place(self, wanted, view, holders, now_s):
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
        return _Place(
            record.server_id, record.region, expected_ms, cost_ms, unread, ""
        )

    def _judged(self, wanted, place):
        settings = self.settings
        objective_ms = wanted.route.objective.total_seconds() * 1e3
        deadline_ms = wanted.left_ms * settings.deadline_share
        if wanted.service.engine is None:
            # A late answer of a plain service costs it nothing more than one
            # in time, and its queue is short.
            most_ms = deadline_ms
        else:
            most_ms = self._longest_wait_ms(wanted, place, objective_ms)
            most_ms = min(most_ms, deadline_ms)
        harm_ms = place.cost_ms - place.expected_ms
        judged_ms = place.expected_ms + harm_ms * settings.refuse_harm_share
        if judged_ms > most_ms:
            over_ms = judged_ms - objective_ms * settings.in_time_share
            return Refuse("expected too late", self._retry_after_ms(over_ms))
        if place.region != self.region:
            return Forward(
                place.region,
                place.expected_ms,
                place.server_id,
                place.unread_tokens,
            )
        return Serve(
            place.server_id,
            place.expected_ms,
            place.unread_tokens,
            place.fetch_from,
        )

    def _longest_wait_ms(self, wanted, place, objective_ms):
        """Expected time up to which an engine is asked.

        A prompt that takes an idle engine long is late anywhere: it is not
        refused for its size, only for the queue before it.
        """
        settings = self.settings
        objectives = settings.refuse_at_objectives
        objectives -= settings.refuse_step * min(wanted.route.priority, 3)
        alone_ms = settings.first_event_ms
        alone_ms += place.unread_tokens / settings.prefill_tokens_per_ms
        alone_ms *= self.fleet.typical_slowness
        queue_ms = objective_ms * settings.queue_share
        return max(objective_ms * objectives, alone_ms + queue_ms)

    def _retry_after_ms(self, wait_ms):
        """A time to come back at, spread so that not all come together."""
        settings = self.settings
        spread = self.rng.uniform(*RETRY_SPREAD)
        return min(
            max(wait_ms * spread, settings.least_retry_after_ms),
            settings.most_retry_after_ms,
        )

    def flight(self, wanted, serve, now):
        """The flight of a request that is about to be sent.

        :param wanted: what it asks for.
        :param serve: the decision.
        :param now: monotonic time.
        """
        held = _held_tokens(wanted.prompt)
        return _fleet.Flight(
            serve.server_id,
            serve.unread_tokens,
            held,
            serve.expected_ms,
            now.total_seconds(),
        )


def _cost(place):
    return place.cost_ms


def _held_tokens(prompt):
    if prompt is None:
        return 0
    return prompt.tokens + prompt.output_tokens
