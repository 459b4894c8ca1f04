"""A deployment in virtual time: entry VMs that decide, engines that work."""

import datetime
import heapq
import itertools
import random
from typing import NamedTuple

from buckthorntack import directives
from buckthorntack import discovery
from buckthorntack import dispatch
from buckthorntack.emulator import _engine
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Ways of one message.
DOMAIN_MS = 0.3
REGION_MS = 55.0
SECOND_MS = 1000.0
#: Time limit of a connect.
CONNECT_TIMEOUT_MS = 600.0
#: Period at which an entry VM looks for due probes.
PROBE_PERIOD_MS = 100.0
#: Time until the presence of an entry VM has reached all others.
PRESENCE_MS = 600.0
#: Retry-After if no entry VM of the chosen region can be reached.
NO_TARGET_RETRY_MS = 500.0
#: Time after which a brittle engine that fell over is back.
RESTART_MS = 3000.0
#: Entry VMs tell engines no rank of requests.
EQUAL_RANK = 5
#: Share of the time left that a caller waits before it comes back.
LONGEST_RETURN_SHARE = 1 / 3


class Region(NamedTuple):
    """A region of a deployment."""

    name: str
    engines: int
    entries: int
    #: Failure domains that engines and entry VMs are spread over.
    failure_domains: int = 2


class Result(NamedTuple):
    """What became of one request."""

    kind: str
    region: str
    arrived_ms: float
    #: ``answered``, ``refused``, ``late`` (its caller has left) or ``lost``
    #: (its engine fell over).
    outcome: str
    first_ms: float
    longest_pause_ms: float
    prompt_tokens: int
    unread_tokens: int
    #: Refusals before the last try.
    tries: int = 0
    #: Entry VM of its first try.
    entry: str = ""
    #: Name of the organisation of its caller; empty for none.
    organisation: str = ""

    def is_on_time(self, route):
        """Whether it was answered within the objectives of its route.

        :param route: the ``directives.Route``.
        """
        return (
            self.outcome == "answered"
            and self.first_ms <= route.objective / _MS
            and self.longest_pause_ms <= route.pause_objective / _MS
        )


class _Entry:
    """One entry VM: its own belief of the load, and its decisions."""

    def __init__(self, name, region, failure_domain, settings, rng):
        #: What the others were told last: that it reaches no engine.
        self.told_cut_off = False
        #: Time of the last round of reports, and of an urgent one to come.
        self.told_use_ms = -SECOND_MS
        self.urgent_due_ms = None
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.fleet = dispatch.Fleet(settings)
        self.rates = dispatch.ServerRates(name, settings)
        self.dispatcher = dispatch.Dispatcher(
            region, self.fleet, self.rates, settings, rng
        )
        self.exchange = dispatch.UsageExchange(
            self.fleet, name, failure_domain
        )
        self.exchange.organisations.add_listener(
            self.dispatcher.ranked_limits.shares
        )


class _Request:
    """One request of a caller, over all its attempts."""

    def __init__(self, number, arrived_ms, region, kind, prompt, output):
        self.number = number
        self.arrived_ms = arrived_ms
        self.region = region
        self.kind = kind
        self.prompt = prompt
        self.output = output
        self.tries = 0
        #: Entry VM of its first try.
        self.entry = ""
        self.way_ms = 0.0
        self.unread_tokens = 0

    def until_ms(self):
        """When its caller leaves."""
        return self.arrived_ms + self.kind.route.timeout / _MS


class Deployment:
    """Plays requests on model engines, with the decisions of a node.

    :param regions: list of :class:`Region`.
    :param figures: ``EngineFigures`` of all engines.
    :param settings: ``dispatch.DispatchSettings``.
    :param use_period_ms: pause between two reports of an entry VM to the
        others of its region.
    :param region_period_ms: pause between two reports of a region to others.
    :param seed: of everything random.
    :param limits: function that returns the requests per second that an
        engine names in an answer, or None, from its id and the time in ms.
    :param cut_off: function that returns whether an entry VM reaches none,
        from its name and the time in ms.
    :param brittle: function that returns how many rejections in a second an
        engine bears, or None if it bears any number, from its id and the time
        in ms.
    :param speeds: function that returns the multiple of the nominal speed at
        which an engine works, from its id and the time in ms.
    """

    def __init__(
        self,
        regions,
        figures=None,
        settings=None,
        use_period_ms=75.0,
        region_period_ms=300.0,
        seed=1,
        limits=None,
        brittle=None,
        cut_off=None,
        speeds=None,
    ):
        self.figures = figures or _engine.EngineFigures()
        self.settings = settings or dispatch.DispatchSettings()
        self.use_period_ms = use_period_ms
        self.region_period_ms = region_period_ms
        self.rng = random.Random(seed)
        self.limits = limits or (lambda server_id, now_ms: None)
        self.brittle = brittle or (lambda server_id, now_ms: None)
        self.cut_off = cut_off or (lambda name, now_ms: False)
        self.speeds = speeds or (lambda server_id, now_ms: 1.0)
        #: Times in ms at which brittle engines fell over, by engine.
        self.falls = {}
        self._rejected_ms = {}
        self._down_until_ms = {}
        #: Times in ms at which requests reach each engine.
        self.arrivals = {}
        self.service = directives.Service(
            name="text",
            health_path="/healthz",
            max_connections=1000,
            warmup_per_s=0.0,
            engine=directives.EngineProfile(
                self.figures.slots, self.figures.memory_tokens
            ),
        )
        self.registry = discovery.Registry(
            1, discovery.Timing(), datetime.timedelta()
        )
        self.engines = {}
        self.entries = {}
        self._by_name = {}
        self.results = []
        self._regions = {}
        self._events = []
        self._numbers = itertools.count()
        self._busy = set()
        self._flights = {}
        for region in regions:
            self._add(region)

    def _add(self, region):
        for number in range(region.engines):
            server_id = f"{region.name}-engine-{number}"
            domain = f"{region.name}-{number % region.failure_domains}"
            self.engines[server_id] = _engine.Engine(self.figures)
            self._regions[server_id] = region.name
            self.registry.merge_server(
                messages.AnnouncedServer(
                    server_id=server_id,
                    service=self.service.name,
                    address=server_id,
                    failure_domain=domain,
                    region=region.name,
                    slots=self.figures.slots,
                    state="ready",
                    cold_left_ms=0,
                    reclaim_left_ms=-1,
                    born_ms=1,
                    sequence=1,
                    silent=False,
                    software_version="v1",
                ),
                datetime.timedelta(),
            )
        self.entries[region.name] = [
            _Entry(
                f"{region.name}-entry-{number}",
                region.name,
                f"{region.name}-{number % region.failure_domains}",
                self.settings,
                random.Random(self.rng.random()),
            )
            for number in range(region.entries)
        ]
        members = {
            entry.name: entry.failure_domain
            for entry in self.entries[region.name]
        }
        for number, entry in enumerate(self.entries[region.name]):
            entry.exchange.set_members(members)
            entry.rates.members = sorted(members)
            self._by_name[entry.name] = entry
            share = number / region.entries
            self._at(share * self.use_period_ms, self._tell_use, entry)
            self._at(PROBE_PERIOD_MS, self._probe, entry)
        self._at(self.region_period_ms, self._tell_region, region.name)

    def _at(self, time_ms, action, *arguments):
        item = (time_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._events, item)

    def play(self, arrivals, until_ms, configuration=None):
        """Play requests.

        :param arrivals: as of ``Traffic.arrivals``.
        :param until_ms: virtual time at which to stop.
        :param configuration: ``directives.Configuration`` that ranks the
            requests; None for none.
        :returns: list of :class:`Result`.
        """
        if configuration is not None:
            for entry in self._by_name.values():
                entry.dispatcher.set_configuration(configuration)
        for number, arrival in enumerate(arrivals):
            request = _Request(number, *arrival)
            self._at(request.arrived_ms, self._arrive, request)
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, action, arguments = heapq.heappop(self._events)
            action(time_ms, *arguments)
        return self.results

    def tokens_read(self):
        """Prompt tokens that all engines have read."""
        return sum(engine.tokens_read for engine in self.engines.values())

    def _probe(self, now_ms, entry):
        """Let an entry VM connect to engines that it takes for lost."""
        reachability = entry.dispatcher.reachability
        for server_id in reachability.take_due_probes(now_ms / 1e3):
            self._at(
                now_ms + self._connect_ms(entry, now_ms),
                self._connected,
                entry,
                server_id,
            )
        servers = [
            name
            for name, region in self._regions.items()
            if region == entry.region
        ]
        is_lost = all(map(reachability.is_unreachable, servers))
        if is_lost is not entry.told_cut_off:
            self._at(now_ms + PRESENCE_MS, self._tell_cut_off, entry, is_lost)
        self._at(now_ms + PROBE_PERIOD_MS, self._probe, entry)

    def _tell_cut_off(self, now_ms, entry, is_lost):
        entry.told_cut_off = is_lost

    def _connect_ms(self, entry, now_ms):
        """Time until a connect succeeds or fails."""
        if self.cut_off(entry.name, now_ms):
            return CONNECT_TIMEOUT_MS
        return DOMAIN_MS

    def _connected(self, now_ms, entry, server_id):
        """Tell an entry VM how a connect ended; return whether it did well."""
        reachability = entry.dispatcher.reachability
        if self.cut_off(entry.name, now_ms):
            reachability.on_connect_failed(server_id, now_ms / 1e3)
            return False
        reachability.on_connected(server_id)
        return True

    def _arrive(self, now_ms, request):
        entry = self.rng.choice(self.entries[request.region])
        request.entry = request.entry or entry.name
        self._decide(now_ms, request, entry, frozenset())

    def _decide(self, now_ms, request, entry, tried, sender=None):
        """Choose a place for a request.

        :param sender: entry VM of another region that handed it over.
        """
        wanted = dispatch.RoutingRequest(
            request.kind.route,
            self.service,
            request.prompt,
            tried,
            request.until_ms() - now_ms,
            sender is None,
            sender is None and bool(self._list_targets(entry, entry.region)),
            organisation=request.kind.organisation,
        )
        if sender is None and not tried:
            self._report_organisation(entry, request)
        views = list(self.registry.servers.values())
        now = now_ms * _MS
        entry.fleet.expire_forwarded(now_ms / 1e3)
        decision = entry.dispatcher.choose(wanted, views, now)
        if isinstance(decision, dispatch.Refuse):
            if sender is None:
                self._refused(now_ms, request, decision.retry_after_ms)
                return
            tried |= {
                name
                for name, region in self._regions.items()
                if region == entry.region
            }
            self._at(now_ms + REGION_MS, self._decide, request, sender, tried)
        elif isinstance(decision, dispatch.Forward):
            targets = self._list_targets(entry, decision.region)
            if not targets:
                self._refused(now_ms, request, NO_TARGET_RETRY_MS)
                return
            other = self.rng.choice(targets)
            is_hop = decision.region == entry.region
            way_ms = DOMAIN_MS if is_hop else REGION_MS
            request.way_ms = way_ms
            entry.fleet.on_request_forwarded(
                decision, request.prompt, now_ms / 1e3
            )
            self._at(
                now_ms + way_ms, self._decide, request, other, tried, entry
            )
        else:
            view = self.registry.servers[decision.server_id]
            entry.dispatcher.on_request_sent(wanted, view, now)
            flight = entry.dispatcher.create_in_flight_request(
                wanted, decision, now, view.record.born_ms
            )
            entry.fleet.on_request_sent(flight, request.prompt)
            entry.exchange.on_request_sent(flight)
            self._tell_if_urgent(now_ms, entry)
            self._at(
                now_ms + self._connect_ms(entry, now_ms),
                self._reach,
                request,
                entry,
                flight,
                tried,
                sender,
            )

    def _report_organisation(self, entry, request):
        """Let an entry VM tell the others what an organisation asks for."""
        organisation = request.kind.organisation
        if organisation is None:
            return
        tokens = float(request.prompt.tokens + request.output)
        entry.exchange.organisations.add(
            messages.OrganisationUse(organisation.name, tokens, tokens)
        )

    def _list_targets(self, entry, region):
        """List the entry VMs of a region that can be forwarded to."""
        return [
            other
            for other in self.entries[region]
            if other is not entry and not other.told_cut_off
        ]

    def _refused(self, now_ms, request, retry_after_ms):
        request.tries += 1
        left_ms = request.until_ms() - now_ms
        if request.tries > 1 or left_ms <= 0:
            self._end(request, "refused", 0.0, 0.0)
            return
        wait_ms = min(retry_after_ms, left_ms * LONGEST_RETURN_SHARE)
        self._at(now_ms + wait_ms, self._arrive, request)

    def _reach(self, now_ms, request, entry, flight, tried, sender):
        if not self._connected(now_ms, entry, flight.server_id):
            entry.fleet.on_request_ended(
                flight, dispatch.Outcome.UNREACHABLE, now_ms / 1e3
            )
            tried |= {flight.server_id}
            self._decide(now_ms, request, entry, tried, sender)
            return
        if now_ms < self._down_until_ms.get(flight.server_id, 0.0):
            entry.fleet.on_request_ended(
                flight, dispatch.Outcome.UNREACHABLE, now_ms / 1e3
            )
            tried |= {flight.server_id}
            self._decide(now_ms, request, entry, tried, sender)
            return
        engine = self.engines[flight.server_id]
        self.arrivals.setdefault(flight.server_id, []).append(now_ms)
        run = _engine.Run(
            request.number,
            request.prompt,
            request.output,
            EQUAL_RANK,
        )
        request.unread_tokens = flight.unread_tokens
        engine.speed = self.speeds(flight.server_id, now_ms)
        if not engine.submit(run, now_ms):
            entry.fleet.on_request_ended(
                flight, dispatch.Outcome.FULL, now_ms / 1e3
            )
            tried |= {flight.server_id}
            self._reject(now_ms, flight.server_id)
            self._tell_rejection(now_ms, entry, flight)
            self._decide(now_ms, request, entry, tried, sender)
            return
        self._flights[run] = (request, entry, flight)
        self._at(request.until_ms(), self._leave, run, engine)
        if flight.server_id not in self._busy:
            self._wake(now_ms, flight.server_id)

    def _reject(self, now_ms, server_id):
        """Count a rejection; a brittle engine may fall over."""
        most = self.brittle(server_id, now_ms)
        recent = self._rejected_ms.setdefault(server_id, [])
        recent[:] = [time for time in recent if now_ms - time < SECOND_MS]
        recent.append(now_ms)
        if most is not None and len(recent) > most:
            self._fall(now_ms, server_id)

    def _fall(self, now_ms, server_id):
        """Lose all requests of an engine, which starts again later."""
        self.falls.setdefault(server_id, []).append(now_ms)
        self._rejected_ms[server_id].clear()
        self._down_until_ms[server_id] = now_ms + RESTART_MS
        engine = self.engines[server_id]
        for run in [*engine.running, *engine.waiting]:
            engine.cancel(run)
            request, entry, flight = self._flights.pop(run)
            entry.fleet.on_request_ended(
                flight, dispatch.Outcome.LOST, now_ms / 1e3
            )
            self._end(request, "lost", 0.0, 0.0)
        record = self.registry.servers[server_id].record
        self.registry.merge_server(
            record._replace(born_ms=record.born_ms + 1), now_ms * _MS
        )
        for entries in self.entries.values():
            for entry in entries:
                entry.fleet.on_server_restarted(server_id)

    def _wake(self, now_ms, server_id):
        next_ms = self.engines[server_id].next_ms(now_ms)
        if next_ms is None:
            self._busy.discard(server_id)
            return
        self._busy.add(server_id)
        self._at(next_ms, self._step, server_id)

    def _step(self, now_ms, server_id):
        engine = self.engines[server_id]
        engine.speed = self.speeds(server_id, now_ms)
        end_ms, told, ended = engine.step(now_ms)
        for run in told:
            request, entry, flight = self._flights[run]
            entry.fleet.on_first_byte(flight, end_ms / 1e3)
            self._tell_limit(end_ms, server_id, entry, flight)
        for run in ended:
            request, entry, flight = self._flights.pop(run)
            entry.fleet.on_request_ended(
                flight, dispatch.Outcome.OK, end_ms / 1e3
            )
            times = run.event_times_ms
            pauses = [
                late - early for early, late in itertools.pairwise(times)
            ]
            first_ms = times[0] + request.way_ms - request.arrived_ms
            self._end(request, "answered", first_ms, max(pauses, default=0.0))
        if end_ms == now_ms:
            return
        self._at(end_ms, self._wake, server_id)

    def _tell_rejection(self, now_ms, entry, flight):
        """Tell an entry VM that an engine rejected a request."""
        self._tell_limit(now_ms, flight.server_id, entry, flight)
        if entry.fleet.limits.on_rejection(flight.server_id, now_ms / 1e3):
            entry.exchange.on_limit_changed()
            self._tell_if_urgent(now_ms, entry)

    def _tell_limit(self, now_ms, server_id, entry, flight):
        """Tell an entry VM what the engine's answer says of its limit."""
        is_changed = entry.fleet.limits.on_answer(
            server_id,
            self.registry.servers[server_id].record.born_ms,
            self.limits(server_id, now_ms),
            flight.started_s,
            now_ms / 1e3,
            self.brittle(server_id, now_ms),
        )
        if is_changed:
            entry.exchange.on_limit_changed()
            self._tell_if_urgent(now_ms, entry)

    def _leave(self, now_ms, run, engine):
        if run not in self._flights:
            return
        request, entry, flight = self._flights.pop(run)
        engine.cancel(run)
        entry.fleet.on_request_ended(
            flight, dispatch.Outcome.ABANDONED, now_ms / 1e3
        )
        self._end(request, "late", 0.0, 0.0)

    def _end(self, request, outcome, first_ms, longest_pause_ms):
        self.results.append(
            Result(
                request.kind.route.name,
                request.region,
                request.arrived_ms,
                outcome,
                first_ms,
                longest_pause_ms,
                request.prompt.tokens,
                request.unread_tokens,
                request.tries,
                request.entry,
                getattr(request.kind.organisation, "name", ""),
            )
        )

    def _tell_use(self, now_ms, entry):
        self._send_due(now_ms, entry)
        entry.fleet.expire_reports(now_ms / 1e3)
        period_ms = max(self.use_period_ms, entry.exchange.period_s * 1e3)
        self._at(now_ms + period_ms, self._tell_use, entry)

    def _tell_if_urgent(self, now_ms, entry):
        if not entry.exchange.is_urgent:
            return
        due_ms = entry.told_use_ms + entry.exchange.min_interval_s * 1e3
        if now_ms >= due_ms:
            self._send_due(now_ms, entry)
        elif entry.urgent_due_ms != due_ms:
            entry.urgent_due_ms = due_ms
            self._at(due_ms, self._tell_if_urgent, entry)

    def _send_due(self, now_ms, entry):
        entry.told_use_ms = now_ms
        for name, report in entry.exchange.take_due_reports(now_ms / 1e3):
            other = self._by_name[name]
            self._at(
                now_ms + DOMAIN_MS, self._take_use, other, entry.name, report
            )

    def _take_use(self, now_ms, entry, sender, report):
        entry.exchange.on_report(sender, report, now_ms / 1e3)
        self._tell_if_urgent(now_ms, entry)

    def _tell_region(self, now_ms, region):
        speaker = self.entries[region][0]
        for entry in self.entries[region][1:]:
            entry.fleet.take_shared_parts()
            entry.exchange.take_region_updates()
        uses = [
            messages.ServerUse(server_id, *speaker.fleet.usage(server_id))
            for server_id, name in self._regions.items()
            if name == region
        ]
        load = messages.RegionLoad(
            region,
            uses,
            speaker.fleet.take_shared_parts(),
            speaker.fleet.limits.list_statements(),
            *speaker.exchange.take_region_updates(),
        )
        for name, entries in self.entries.items():
            for entry in entries if name != region else ():
                self._at(now_ms + REGION_MS, self._take_region, entry, load)
        self._at(now_ms + self.region_period_ms, self._tell_region, region)

    def _take_region(self, now_ms, entry, load):
        entry.fleet.on_region_load(load, now_ms / 1e3)
        entry.exchange.on_region_load(load, now_ms / 1e3)
