"""What an entry VM knows of the load of backend servers."""

import collections
from typing import NamedTuple

from buckthorntack import routing
from buckthorntack.dispatch import _exchange
from buckthorntack.dispatch import _outcomes
from buckthorntack.dispatch import _prompts
from buckthorntack.schema import messages

#: Smallest shared parts, in tokens, that other entry VMs are told of one by
#: one: engines read fewer in less time than a copy or another way takes.
MIN_ANNOUNCED_TOKENS = 500
#: Time after which a part that is still used is told again, so that others
#: keep it among those used last.
REANNOUNCE_PERIOD_S = 3.0
#: Time until a region's report counts a request that was handed to it: the
#: way there, the pause between two reports and the way back.
FORWARD_REPORT_DELAY_S = 0.45
#: Age after which the report of another entry VM counts no more.
MAX_REPORT_AGE_S = 1.5


class Usage(NamedTuple):
    """Requests at a server, of one sender or of all together."""

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other, factor=1):
        """The sum of both.

        :param other: another ``Usage``, or a ``ServerUse``.
        :param times: how often the other one counts; -1 takes it away.
        """
        return Usage(
            self.running + factor * other.running,
            self.waiting + factor * other.waiting,
            self.waiting_tokens + factor * other.waiting_tokens,
            self.held_tokens + factor * other.held_tokens,
        )


class Flight:
    """One request at a server, from its sending to its end.

    :param server_id: the server.
    :param unread_tokens: prompt tokens that the server has to read.
    :param held_tokens: tokens that it holds in memory.
    :param expected_ms: time expected to the first part of the answer.
    :param started_s: monotonic time at which it was sent.
    """

    __slots__ = (
        "answers",
        "expected_ms",
        "held_tokens",
        "server_id",
        "started_s",
        "unread_tokens",
    )

    def __init__(
        self, server_id, unread_tokens, held_tokens, expected_ms, started_s
    ):
        self.server_id = server_id
        self.unread_tokens = unread_tokens
        self.held_tokens = held_tokens
        self.expected_ms = expected_ms
        self.started_s = started_s
        self.answers = False


class ServerState:
    """Own requests at a server, and what they taught about it.

    :param settings: the ``DispatchSettings``.
    :param memory_tokens: size of the engine's memory.
    """

    def __init__(self, settings, memory_tokens):
        self.settings = settings
        self.usage = Usage()
        self.cache = _prompts.PromptMemory(memory_tokens)
        self.ejection = routing.Ejection(settings)
        #: Learnt ratio of observed to expected time; None until it is known.
        self.slowdown = None
        self.failure_share = 0.0
        self.duration_ms = None

    def is_ejected(self, now_s):
        """Whether it is left out for its failures.

        :param now_s: monotonic time.
        """
        until_s = self.ejection.until_s
        return until_s is not None and now_s < until_s

    def learn_first_byte(self, flight, typical, now_s):
        """Learn from the time to the first part of an answer.

        :param flight: the ``Flight``.
        :param typical: slowness of servers of which nothing is known.
        :param now_s: monotonic time.
        :returns: the slowness that this answer shows.
        """
        settings = self.settings
        known = typical if self.slowdown is None else self.slowdown
        observed_ms = (now_s - flight.started_s) * 1e3
        ratio = observed_ms * known / max(1.0, flight.expected_ms)
        shown = min(max(ratio, settings.min_slowdown), settings.max_slowdown)
        self.slowdown = known + (shown - known) * settings.sample_weight
        return shown

    def learn_outcome(self, flight, outcome, now_s):
        """Learn from the end of a request.

        :param flight: the ``Flight``.
        :param outcome: the ``Outcome``.
        :param now_s: monotonic time.
        """
        weight = self.settings.sample_weight
        failed = outcome in (_outcomes.Outcome.ERROR, _outcomes.Outcome.LOST)
        if outcome is not _outcomes.Outcome.ABANDONED:
            self.failure_share += (failed - self.failure_share) * weight
        if outcome is _outcomes.Outcome.LOST:
            self.ejection.failed(now_s)
        elif outcome is _outcomes.Outcome.OK:
            self.ejection.succeeded()
            observed_ms = (now_s - flight.started_s) * 1e3
            known_ms = self.duration_ms or observed_ms
            self.duration_ms = known_ms + (observed_ms - known_ms) * weight


class _PeerReport(NamedTuple):
    received_s: float
    uses: dict[str, messages.ServerUse]


class Fleet:
    """Load of all servers that this entry VM knows of.

    :param settings: the ``DispatchSettings``.
    """

    def __init__(self, settings):
        self.settings = settings
        #: Slowness of servers of which nothing is known yet.
        self.typical_slowdown = 1.0
        self._states = {}
        self._peers = {}
        #: Sum of what other entry VMs of the region have, by server.
        self._peer_usage = {}
        self._regions = {}
        self._announcements = []
        self._reads = {}
        #: When shared parts were last told of, by server and last part.
        self._announced_s = {}
        self._shared = []
        self._forwarded = collections.deque()

    def state(self, server_id, memory_tokens=0):
        """What is known of a server.

        :param server_id: the server.
        :param memory_tokens: size of its memory, if it is an engine.
        :returns: :class:`ServerState`.
        """
        state = self._states.get(server_id)
        if state is None:
            state = ServerState(self.settings, memory_tokens or 1 << 40)
            self._states[server_id] = state
        if memory_tokens:
            state.cache.capacity_tokens = memory_tokens
        return state

    def forget(self, server_id):
        """Forget a server that has gone.

        :param server_id: the server.
        """
        self._states.pop(server_id, None)
        if not any(self._peer_usage.get(server_id, ())):
            self._peer_usage.pop(server_id, None)

    def restarted(self, server_id):
        """A server began anew under its id, with an empty memory.

        :param server_id: the server.
        """
        state = self._states.get(server_id)
        if state is not None:
            state.cache.clear()
            state.ejection.succeeded()
            state.ejection.until_s = None

    def begin(self, flight, prompt):
        """Note that a request is sent.

        :param flight: its ``Flight``.
        :param prompt: its ``Prompt``, or None.
        """
        state = self.state(flight.server_id)
        usage = state.usage
        state.usage = usage._replace(
            waiting=usage.waiting + 1,
            waiting_tokens=usage.waiting_tokens + flight.unread_tokens,
            held_tokens=usage.held_tokens + flight.held_tokens,
        )
        if prompt is not None and prompt.parts:
            self._record_read(flight, prompt.parts)
            state.cache.note(prompt.parts)

    def _record_read(self, flight, parts):
        """Note what others need to know of a prompt.

        Large shared parts are told one by one; of all else only the size, as
        it takes the place of other parts in the server's memory.
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
        """What servers have read for this entry VM since the last call.

        :returns: ``News``.
        """
        updates = _exchange.CacheUpdates(self._announcements, self._reads)
        self._announcements, self._reads = [], {}
        return updates

    def _queue_shared_parts(self, sent):
        """Let other regions know of shared parts that are new at a server."""
        cache = self.state(sent.server_id).cache
        known = cache.cached_tokens(_parts_of(sent))
        if sum(sent.tokens) - known >= MIN_ANNOUNCED_TOKENS:
            self._shared.append(sent)

    def shared(self):
        """Shared parts read by servers of the region since the last call.

        :returns: list of ``PromptSent``.
        """
        shared, self._shared = self._shared, []
        return shared

    def forwarded(self, forward, prompt, now_s):
        """Count a request at a server elsewhere until its region reports it.

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

    def drop_forwarded(self, now_s):
        """Count requests no more that their region has reported by now.

        :param now_s: monotonic time.
        """
        while self._forwarded and self._forwarded[0][0] <= now_s:
            _, state, usage = self._forwarded.popleft()
            state.usage = state.usage.plus(usage, -1)

    def answers(self, flight, now_s):
        """Note that the first part of an answer came.

        :param flight: its ``Flight``.
        :param now_s: monotonic time.
        """
        if flight.answers:
            return
        flight.answers = True
        state = self.state(flight.server_id)
        usage = state.usage
        state.usage = usage._replace(
            running=usage.running + 1,
            waiting=usage.waiting - 1,
            waiting_tokens=usage.waiting_tokens - flight.unread_tokens,
        )
        shown = state.learn_first_byte(flight, self.typical_slowdown, now_s)
        weight = self.settings.sample_weight
        self.typical_slowdown += (shown - self.typical_slowdown) * weight

    def slowdown(self, state):
        """Ratio of observed to expected time of a server.

        :param state: its :class:`ServerState`; None for the typical one.
        """
        if state is None or state.slowdown is None:
            return self.typical_slowdown
        return state.slowdown

    def end(self, flight, outcome, now_s):
        """Note the end of a request.

        :param flight: its ``Flight``.
        :param outcome: the ``Outcome``.
        :param now_s: monotonic time.
        """
        state = self.state(flight.server_id)
        usage = state.usage
        if flight.answers:
            usage = usage._replace(running=usage.running - 1)
        else:
            usage = usage._replace(
                waiting=usage.waiting - 1,
                waiting_tokens=usage.waiting_tokens - flight.unread_tokens,
            )
        held = usage.held_tokens - flight.held_tokens
        state.usage = usage._replace(held_tokens=held)
        state.learn_outcome(flight, outcome, now_s)

    def list_own_uses(self):
        """What this entry VM has at servers.

        :returns: list of ``ServerUse``.
        """
        return [
            messages.ServerUse(server_id, *state.usage)
            for server_id, state in self._states.items()
            if any(state.usage)
        ]

    def total_usage(self):
        """What all have at servers whose reports are known.

        :returns: ``Usage`` by server.
        """
        total = dict(self._peer_usage)
        for server_id, state in self._states.items():
            if any(state.usage):
                others = total.get(server_id)
                usage = state.usage
                total[server_id] = usage.plus(others) if others else usage
        return total

    def uses_excluding(self, total, senders):
        """What all have at servers, but for some.

        :param total: as of :meth:`total_usage`.
        :param senders: names under which reports were taken in.
        :returns: list of ``ServerUse``.
        """
        left = dict(total)
        for sender in senders:
            report = self._peers.get(sender)
            for server_id, use in (report.uses if report else {}).items():
                known = left.get(server_id, Usage())
                left[server_id] = known.plus(use, -1)
        return [
            messages.ServerUse(server_id, *usage)
            for server_id, usage in left.items()
            if any(usage)
        ]

    def on_peer_report(self, sender, report, now_s):
        """Take in what others of the region have at servers.

        It takes the place of the former report under that name, or of the
        figures in it that have changed.

        :param sender: name of the one or of those whose requests it counts.
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
            self.state(read.server_id).cache.record_unknown_parts(read.tokens)

    def remove_peer_report(self, sender):
        """Count the report under a name no more.

        :param sender: the name.
        """
        former = self._peers.pop(sender, None)
        if former is not None:
            gone = dict.fromkeys(former.uses, Usage())
            self._apply_changes(former.uses, gone)

    def _apply_changes(self, known, uses):
        """Count new figures of a report in place of its former ones."""
        total = self._peer_usage
        for server_id, use in uses.items():
            former = known.get(server_id)
            if use == former:
                continue
            usage = total.get(server_id, Usage()).plus(use)
            total[server_id] = usage.plus(former, -1) if former else usage

    def drop_old_reports(self, now_s):
        """Count reports no more whose senders have fallen silent.

        :param now_s: monotonic time.
        """
        for sender, report in list(self._peers.items()):
            if now_s - report.received_s > MAX_REPORT_AGE_S:
                self.remove_peer_report(sender)
        for key, announced_s in list(self._announced_s.items()):
            if now_s - announced_s > REANNOUNCE_PERIOD_S:
                del self._announced_s[key]

    def _record_announced(self, sent):
        self.state(sent.server_id).cache.note(_parts_of(sent))

    def region_reported(self, load, now_s):
        """Take in the load of another region's servers.

        :param load: ``RegionLoad``.
        :param now_s: monotonic time.
        """
        uses = {use.server_id: use for use in load.servers}
        self._regions[load.region] = _PeerReport(now_s, uses)
        for sent in load.prompts:
            self._record_announced(sent)

    def usage(self, server_id):
        """Requests of all entry VMs of the region at a server.

        :param server_id: the server.
        """
        state = self._states.get(server_id)
        usage = state.usage if state is not None else Usage()
        others = self._peer_usage.get(server_id)
        return usage if others is None else usage.plus(others)

    def remote_usage(self, region, server_id, now_s):
        """Requests at a server of another region.

        :param region: the region.
        :param server_id: the server.
        :param now_s: monotonic time.
        :returns: ``Usage``, or None if nothing is known.
        """
        report = self._regions.get(region)
        if report is None or now_s - report.received_s > 2 * MAX_REPORT_AGE_S:
            return None
        use = report.uses.get(server_id)
        usage = self.usage(server_id)
        return usage if use is None else usage.plus(use)


def _parts_of(sent):
    pairs = zip(sent.parts, sent.tokens, strict=True)
    return tuple(_prompts.Part(name, tokens) for name, tokens in pairs)


def _prompt_sent(server_id, parts):
    return messages.PromptSent(
        server_id,
        [part.part_id for part in parts],
        [part.tokens for part in parts],
    )
