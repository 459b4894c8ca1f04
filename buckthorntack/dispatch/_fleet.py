"""Load of backend servers, as known to an entry VM."""

import collections
from typing import NamedTuple

from buckthorntack import routing
from buckthorntack.dispatch import _exchange
from buckthorntack.dispatch import _outcomes
from buckthorntack.dispatch import _prompts
from buckthorntack.dispatch import _restarts
from buckthorntack.dispatch import _server_limits
from buckthorntack.dispatch import _server_speeds
from buckthorntack.schema import messages

#: Smallest shared prefix that is announced individually to other entry VMs:
#: an engine prefills a shorter one faster than it is copied or forwarded.
MIN_ANNOUNCED_TOKENS = 500
#: Time after which a prefix that is still in use is announced again, so that
#: other entry VMs keep it among the recently used ones.
REANNOUNCE_PERIOD_S = 3.0
#: Time until the report of a region counts a request forwarded to it: the
#: latency to the region, the report period and the latency back.
FORWARD_REPORT_DELAY_S = 0.45
#: Age after which the report of another entry VM expires.
MAX_REPORT_AGE_S = 1.5
#: Time without an outcome after which the failure share of a server decays, so
#: that one which is avoided for its failures is tried again.
MAX_OUTCOME_AGE_S = 1.0
#: Half-life of a failure share that decays.
FAILURE_HALF_LIFE_S = 3.0
#: Longest pause that a server may ask for; bounds the harm of a faulty value.
MAX_PAUSE_S = 600.0


#: Outcomes that say nothing of the server: its client left, or the link to it
#: failed, which ``Reachability`` records.
_SAYING_NOTHING = (
    _outcomes.Outcome.ABANDONED,
    _outcomes.Outcome.UNREACHABLE,
)


class Usage(NamedTuple):
    """Requests at a server, of one entry VM or of several together."""

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other, factor=1):
        """Add another usage, multiplied by a factor.

        :param other: another ``Usage``, or a ``ServerUse``.
        :param factor: multiple of the other usage; -1 subtracts it.
        """
        return Usage(
            self.running + factor * other.running,
            self.waiting + factor * other.waiting,
            self.waiting_tokens + factor * other.waiting_tokens,
            self.held_tokens + factor * other.held_tokens,
        )


class InFlightRequest:
    """A request at a server, from sending to its end.

    :param server_id: the server.
    :param unread_tokens: prompt tokens that the server has to prefill.
    :param held_tokens: tokens that the request holds in engine memory.
    :param expected_ms: expected time to the first byte of the answer.
    :param started_s: monotonic time at which the request was sent.
    :param speed_work: the ``SpeedWork``; None if its answer says nothing of
        the server's speed.
    """

    __slots__ = (
        "has_first_byte",
        "expected_ms",
        "held_tokens",
        "server_id",
        "speed_work",
        "start",
        "started_s",
        "state",
        "unread_tokens",
    )

    def __init__(
        self,
        server_id,
        unread_tokens,
        held_tokens,
        expected_ms,
        started_s,
        speed_work=None,
    ):
        self.server_id = server_id
        self.unread_tokens = unread_tokens
        self.held_tokens = held_tokens
        self.expected_ms = expected_ms
        self.started_s = started_s
        self.speed_work = speed_work
        self.has_first_byte = False
        #: ``ServerState`` that counts it, and its ``start`` at sending.
        self.state = None
        self.start = 0


class ServerState:
    """Local requests at a server and the statistics learnt from them.

    :param settings: the ``DispatchSettings``.
    :param memory_tokens: size of the engine's memory, in tokens.
    """

    def __init__(self, settings, memory_tokens):
        self.settings = settings
        self.usage = Usage()
        self.cache = _prompts.PrefixCache(memory_tokens)
        self.ejection = routing.Ejection(settings)
        self.failure_share = 0.0
        #: Time up to which the failure share stands for recent requests.
        self.failure_share_s = 0.0
        self.duration_ms = None
        self.paused_until_s = 0.0
        #: Number of restarts that this entry VM was told of.
        self.start = 0

    def on_restarted(self):
        """Clear what was learnt of the former start.

        Its usage is kept: requests may have reached the new start before it
        was known here, and those of the former one end soon.
        """
        self.start += 1
        self.cache.clear()
        self.ejection = routing.Ejection(self.settings)
        self.failure_share = 0.0
        self.duration_ms = None
        self.paused_until_s = 0.0

    def pause(self, now_s, pause_s):
        """Send nothing to the server for a time, as it asked for.

        :param now_s: monotonic time.
        :param pause_s: length of the pause in seconds.
        """
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        self.paused_until_s = max(self.paused_until_s, until_s)

    def is_paused(self, now_s):
        """Whether the server has asked for no requests at present.

        :param now_s: monotonic time.
        """
        return now_s < self.paused_until_s

    def is_ejected(self, now_s):
        """Whether the server is ejected because of failures.

        :param now_s: monotonic time.
        """
        until_s = self.ejection.until_s
        return until_s is not None and now_s < until_s

    def learn_outcome(self, flight, outcome, now_s):
        """Update failure share, ejection and duration at the end of a request.

        One that was sent to a former start says nothing of this one.

        :param flight: the ``InFlightRequest``.
        :param outcome: the ``Outcome``.
        :param now_s: monotonic time.
        """
        if flight.start != self.start:
            return
        weight = self.settings.sample_weight
        failed = outcome in (_outcomes.Outcome.ERROR, _outcomes.Outcome.LOST)
        if outcome not in _SAYING_NOTHING:
            self.failure_share += (failed - self.failure_share) * weight
            self.failure_share_s = now_s
        if outcome is _outcomes.Outcome.LOST:
            self.ejection.record_failure(now_s)
        elif outcome is _outcomes.Outcome.OK:
            self.ejection.record_success()
            observed_ms = (now_s - flight.started_s) * 1e3
            known_ms = self.duration_ms or observed_ms
            self.duration_ms = known_ms + (observed_ms - known_ms) * weight

    def decay_failure_share(self, now_s):
        """Reduce the failure share by the time without an outcome.

        :param now_s: monotonic time.
        """
        idle_s = now_s - self.failure_share_s - MAX_OUTCOME_AGE_S
        if idle_s > 0:
            self.failure_share *= 0.5 ** (idle_s / FAILURE_HALF_LIFE_S)
            self.failure_share_s += idle_s


class _PeerReport(NamedTuple):
    received_s: float
    uses: dict[str, messages.ServerUse]


class Fleet:
    """Load of all known servers.

    :param settings: the ``DispatchSettings``.
    :param is_known_server: as ``is_known`` of ``ServerLimits``.
    """

    def __init__(self, settings, is_known_server=None):
        self.settings = settings
        self.speeds = _server_speeds.ServerSpeeds(settings)
        self.limits = _server_limits.ServerLimits(is_known_server)
        self.restarts = _restarts.RestartWatch(is_known_server)
        self._states = {}
        self._peers = {}
        #: Sum of the usage of other entry VMs of the region, by server.
        self._peer_usage = {}
        self._regions = {}
        self._announcements = []
        self._reads = {}
        #: Time of the last announcement, by server and last shared part.
        self._announced_s = {}
        self._shared = []
        self._forwarded = collections.deque()

    def state(self, server_id, memory_tokens=0):
        """Return the state of a server, created if needed.

        :param server_id: the server.
        :param memory_tokens: size of its memory in tokens, if an engine.
        :returns: :class:`ServerState`.
        """
        state = self._states.get(server_id)
        if state is None:
            state = ServerState(self.settings, memory_tokens or 1 << 40)
            self._states[server_id] = state
        if memory_tokens:
            state.cache.capacity_tokens = memory_tokens
        return state

    def remove_server(self, server_id):
        """Delete the state of a server that has gone.

        :param server_id: the server.
        """
        self._states.pop(server_id, None)
        self.speeds.remove_server(server_id)
        self.limits.remove_server(server_id)
        self.restarts.remove_server(server_id)
        if not any(self._peer_usage.get(server_id, ())):
            self._peer_usage.pop(server_id, None)

    def on_server_restarted(self, server_id):
        """Clear what was learnt of a server before it restarted.

        :param server_id: the server.
        """
        self.speeds.on_server_restarted(server_id)
        state = self._states.get(server_id)
        if state is not None:
            state.on_restarted()

    def on_request_sent(self, flight, prompt):
        """Count a request that is sent to a server.

        :param flight: the ``InFlightRequest``.
        :param prompt: ``Prompt`` of the request, or None.
        """
        state = self.state(flight.server_id)
        flight.state, flight.start = state, state.start
        usage = state.usage
        state.usage = usage._replace(
            waiting=usage.waiting + 1,
            waiting_tokens=usage.waiting_tokens + flight.unread_tokens,
            held_tokens=usage.held_tokens + flight.held_tokens,
        )
        if prompt is not None and prompt.parts:
            self._record_read(flight, prompt.parts)
            state.cache.add_prompt(prompt.parts)

    def _record_read(self, flight, parts):
        """Collect the cache updates of a prompt for other entry VMs.

        Large shared prefixes are announced individually.  For all other
        parts only the size is announced, because they evict other parts from
        the cache of the server.
        """
        server_id = flight.server_id
        shared = _prompt_sent(server_id, parts[:-1])
        tokens = flight.unread_tokens
        if sum(shared.tokens) >= MIN_ANNOUNCED_TOKENS:
            self._queue_shared_parts(shared)
            known = self.state(server_id).cache.cached_tokens(parts)
            tokens = parts[-1].tokens
            key = (server_id, shared.parts[-1])
            announced_s = self._announced_s.get(key)
            is_old = (
                announced_s is None
                or flight.started_s - announced_s > REANNOUNCE_PERIOD_S
            )
            if is_old or sum(shared.tokens) - known >= MIN_ANNOUNCED_TOKENS:
                self._announced_s[key] = flight.started_s
                self._announcements.append(shared)
        self._reads[server_id] = self._reads.get(server_id, 0) + tokens

    def take_cache_updates(self):
        """Return and clear the cache updates since the last call.

        :returns: ``CacheUpdates``.
        """
        updates = _exchange.CacheUpdates(self._announcements, self._reads)
        self._announcements, self._reads = [], {}
        return updates

    def _queue_shared_parts(self, sent):
        """Queue shared parts that are new at a server for other regions."""
        cache = self.state(sent.server_id).cache
        known = cache.cached_tokens(_parts_of(sent))
        if sum(sent.tokens) - known >= MIN_ANNOUNCED_TOKENS:
            self._shared.append(sent)

    def take_shared_parts(self):
        """Return and clear the shared parts read in the region.

        :returns: list of ``PromptSent``.
        """
        shared, self._shared = self._shared, []
        return shared

    def on_request_forwarded(self, forward, prompt, now_s):
        """Count a forwarded request until its region reports it.

        :param forward: the ``Forward``.
        :param prompt: the ``Prompt``, or None.
        :param now_s: monotonic time.
        """
        held = prompt.tokens + prompt.output_tokens if prompt else 0
        usage = Usage(0, 1, forward.unread_tokens, held)
        state = self.state(forward.server_id)
        state.usage = state.usage.plus(usage)
        until_s = now_s + FORWARD_REPORT_DELAY_S
        self._forwarded.append((until_s, state, usage))

    def expire_forwarded(self, now_s):
        """Stop counting forwarded requests that their region has reported.

        :param now_s: monotonic time.
        """
        while self._forwarded and self._forwarded[0][0] <= now_s:
            _, state, usage = self._forwarded.popleft()
            state.usage = state.usage.plus(usage, -1)

    def on_first_byte(self, flight, now_s, is_answered=True):
        """Count a request as running after the first byte of its answer.

        :param flight: the ``InFlightRequest``.
        :param now_s: monotonic time.
        :param is_answered: whether the server did its work; an error says
            nothing of its speed.
        """
        if flight.has_first_byte:
            return
        flight.has_first_byte = True
        # That of a server that has gone is no longer in the fleet.
        state = flight.state
        usage = state.usage
        state.usage = usage._replace(
            running=usage.running + 1,
            waiting=usage.waiting - 1,
            waiting_tokens=usage.waiting_tokens - flight.unread_tokens,
        )
        if is_answered and flight.speed_work is not None:
            self.speeds.on_first_byte(
                flight.server_id,
                flight.speed_work,
                (now_s - flight.started_s) * 1e3,
                now_s,
            )

    def on_answer_overtaken(self, flight, now_s):
        """Learn from a request that is given up for the answer of another.

        :param flight: the ``InFlightRequest``.
        :param now_s: monotonic time.
        """
        waited_ms = (now_s - flight.started_s) * 1e3
        is_late = waited_ms > flight.expected_ms
        if flight.has_first_byte or not is_late or flight.speed_work is None:
            return
        self.speeds.on_first_byte(
            flight.server_id, flight.speed_work, waited_ms, now_s
        )

    def on_request_ended(self, flight, outcome, now_s):
        """Stop counting a request that has ended and learn from its outcome.

        :param flight: the ``InFlightRequest``.
        :param outcome: the ``Outcome``.
        :param now_s: monotonic time.
        """
        state = flight.state
        usage = state.usage
        if flight.has_first_byte:
            usage = usage._replace(running=usage.running - 1)
        else:
            usage = usage._replace(
                waiting=usage.waiting - 1,
                waiting_tokens=usage.waiting_tokens - flight.unread_tokens,
            )
        held = usage.held_tokens - flight.held_tokens
        state.usage = usage._replace(held_tokens=held)
        state.learn_outcome(flight, outcome, now_s)

    def list_local_uses(self):
        """List the usage of servers by this entry VM.

        :returns: list of ``ServerUse``.
        """
        return [
            messages.ServerUse(server_id, *state.usage)
            for server_id, state in self._states.items()
            if any(state.usage)
        ]

    def list_total_uses(self):
        """Sum of the local usage and all reported usage.

        :returns: ``ServerUse`` by server, of servers in use.
        """
        total = dict(self._peer_usage)
        for server_id, state in self._states.items():
            if any(state.usage):
                others = total.get(server_id)
                usage = state.usage
                total[server_id] = usage.plus(others) if others else usage
        return {
            server_id: messages.ServerUse(server_id, *usage)
            for server_id, usage in total.items()
            if any(usage)
        }

    def uses_excluding(self, total, senders):
        """Return the total usage without that of some senders.

        :param total: result of :meth:`list_total_uses`.
        :param senders: names of the senders to subtract.
        :returns: ``ServerUse`` by server, of servers in use.
        """
        left = dict(total)
        for sender in senders:
            report = self._peers.get(sender)
            for server_id, use in (report.uses if report else {}).items():
                known = left.get(server_id, Usage())
                usage = _usage_of(known).plus(use, -1)
                if any(usage):
                    left[server_id] = messages.ServerUse(server_id, *usage)
                else:
                    left.pop(server_id, None)
        return left

    def on_peer_report(self, sender, report, now_s):
        """Process the usage reported by other entry VMs of the region.

        A full report replaces the former one of the same sender; another
        report replaces the entries that it contains.

        :param sender: name of the entry VM or group that the report covers.
        :param report: ``UseReport``.
        :param now_s: monotonic time.
        """
        uses = {use.server_id: use for use in report.uses}
        former = self._peers.get(sender)
        known = former.uses if former is not None else {}
        if report.is_whole:
            for server_id in known.keys() - uses.keys():
                uses[server_id] = Usage()
        self._apply_changes(known, uses)
        self._peers[sender] = _PeerReport(now_s, {**known, **uses})
        for sent in report.prompts:
            self._queue_shared_parts(sent)
            self._record_announced(sent)
        for read in report.reads:
            self.state(read.server_id).cache.add_unknown_parts(read.tokens)

    def remove_peer_report(self, sender):
        """Remove the report of a sender from the sums.

        :param sender: name of the sender.
        """
        former = self._peers.pop(sender, None)
        if former is not None:
            gone = dict.fromkeys(former.uses, Usage())
            self._apply_changes(former.uses, gone)

    def _apply_changes(self, known, uses):
        """Replace former usage of a sender in the sums by new usage."""
        total = self._peer_usage
        for server_id, use in uses.items():
            former = known.get(server_id)
            if use == former:
                continue
            usage = total.get(server_id, Usage()).plus(use)
            total[server_id] = usage.plus(former, -1) if former else usage

    def expire_reports(self, now_s):
        """Let old reports and failures count no longer.

        :param now_s: monotonic time.
        """
        for sender, report in list(self._peers.items()):
            if now_s - report.received_s > MAX_REPORT_AGE_S:
                self.remove_peer_report(sender)
        self.speeds.expire(now_s)
        self.restarts.expire(now_s)
        for state in self._states.values():
            state.decay_failure_share(now_s)
        for key, announced_s in list(self._announced_s.items()):
            if now_s - announced_s > REANNOUNCE_PERIOD_S:
                del self._announced_s[key]

    def _record_announced(self, sent):
        self.state(sent.server_id).cache.add_prompt(_parts_of(sent))

    def on_region_load(self, load, now_s):
        """Process the load report of another region.

        :param load: ``RegionLoad``.
        :param now_s: monotonic time.
        """
        uses = {use.server_id: use for use in load.servers}
        self._regions[load.region] = _PeerReport(now_s, uses)
        self.limits.merge(load.limits, now_s)
        for sent in load.prompts:
            self._record_announced(sent)

    def usage(self, server_id):
        """Usage of a server by all entry VMs of the region.

        :param server_id: the server.
        """
        state = self._states.get(server_id)
        usage = state.usage if state is not None else Usage()
        others = self._peer_usage.get(server_id)
        return usage if others is None else usage.plus(others)

    def remote_usage(self, region, server_id, now_s):
        """Usage of a server of another region.

        :param region: the region.
        :param server_id: the server.
        :param now_s: monotonic time.
        :returns: ``Usage``, or None without a recent report of the region.
        """
        report = self._regions.get(region)
        if report is None or now_s - report.received_s > 2 * MAX_REPORT_AGE_S:
            return None
        use = report.uses.get(server_id)
        usage = self.usage(server_id)
        return usage if use is None else usage.plus(use)


def _usage_of(use):
    """Return a ``Usage`` or ``ServerUse`` as ``Usage``."""
    return Usage(use.running, use.waiting, use.waiting_tokens, use.held_tokens)


def _parts_of(sent):
    pairs = zip(sent.parts, sent.tokens, strict=True)
    return tuple(_prompts.Part(name, tokens) for name, tokens in pairs)


def _prompt_sent(server_id, parts):
    return messages.PromptSent(
        server_id,
        [part.part_id for part in parts],
        [part.tokens for part in parts],
    )
