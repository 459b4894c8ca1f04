"""The choice of a server by the time that each is expected to take."""

from buckthorntack.dispatch import _decisions
from buckthorntack.dispatch import _estimates
from buckthorntack.dispatch import _fleet
from buckthorntack.dispatch import _warmup

#: Places whose expected times differ by less are equal.
NEAR_MS = 1.0
#: Retry-After where no server is known that may take the request: a part of
#: the time between two announcements.
NO_PLACE_RETRY_MS = 400.0
#: By how much a Retry-After is shortened or lengthened.
RETRY_SPREAD = (0.75, 1.25)


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
        self.estimator = _estimates.Estimator(region, fleet, settings)
        #: Entry VMs of this region, this one included.
        self.members = []
        self.evacuated = frozenset()
        self._presumed_cold = {}

    def choose(self, wanted, servers, now):
        """Decide on a request.

        :param wanted: what it asks for.
        :param servers: ``ServerView`` of all servers of its service.
        :param now: monotonic time.
        :returns: ``Serve``, ``Forward`` or ``Refuse``.
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
        holders = self.estimator.holders(wanted, servers)
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
        return _decisions.Refuse(
            reason, self._retry_after_ms(NO_PLACE_RETRY_MS)
        )

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
                place = self.estimator.local_place(wanted, view, holders)
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

    def _best_remote(self, wanted, views, here, holders, now, now_s):
        """A place elsewhere that is worth the way, or None.

        Others are looked at if the region is busy, and for prompts with a
        large part: to read it again would take an engine's time from all its
        streams.
        """
        settings = self.settings
        gain_ms = settings.region_gain_ms
        if here is not None:
            is_large = self.estimator.has_large_part(wanted)
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
        if here is None or not self.estimator.has_large_part(wanted):
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
        place = self.estimator.remote_place(wanted, chosen, (), now_s)
        most_ms = here.cost_ms + self.settings.gather_ms
        if place is None or place.cost_ms > most_ms:
            return None
        return place

    def _is_open(self, view, now):
        """Whether a server is heard of and bears any number of requests."""
        return not view.record.silent and not self.is_cold(view, now)

    def _remote_places(self, wanted, views, holders, now, now_s):
        """Places elsewhere whose load is known."""
        places = [
            self.estimator.remote_place(wanted, view, holders, now_s)
            for view in views
            if self._is_open(view, now)
        ]
        return [place for place in places if place is not None]

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
            return _decisions.Refuse(
                "expected too late", self._retry_after_ms(over_ms)
            )
        if place.region != self.region:
            return _decisions.Forward(
                place.region,
                place.expected_ms,
                place.server_id,
                place.unread_tokens,
            )
        return _decisions.Serve(
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
        held = _estimates.held_tokens(wanted.prompt)
        return _fleet.Flight(
            serve.server_id,
            serve.unread_tokens,
            held,
            serve.expected_ms,
            now.total_seconds(),
        )


def _cost(place):
    return place.cost_ms
