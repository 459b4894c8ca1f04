"""What an entry VM knows of the load of backend servers."""

from typing import NamedTuple

from buckthorntack import routing
from buckthorntack.dispatch import _outcomes
from buckthorntack.dispatch import _prompts
from buckthorntack.schema import messages

#: Smallest shared parts that other regions are told of, in tokens: copying
#: fewer saves less than telling costs.
TOLD_TOKENS = 32
#: Age after which the report of another entry VM counts no more.
REPORT_AGE_S = 1.5


class Usage(NamedTuple):
    """Requests at a server, of one sender or of all together."""

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other, times=1):
        """The sum of both.

        :param other: another ``Usage``, or a ``ServerUse``.
        :param times: how often the other one counts; -1 takes it away.
        """
        return Usage(
            self.running + times * other.running,
            self.waiting + times * other.waiting,
            self.waiting_tokens + times * other.waiting_tokens,
            self.held_tokens + times * other.held_tokens,
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
        self.memory = _prompts.PromptMemory(memory_tokens)
        self.ejection = routing.Ejection(settings)
        #: Learnt ratio of observed to expected time; None until it is known.
        self.slowness = None
        self.failure_share = 0.0
        self.duration_ms = None

    def is_ejected(self, now_s):
        """Whether it is left out for its failures.

        :param now_s: monotonic time.
        """
        until_s = self.ejection.until_s
        return until_s is not None and now_s < until_s

    def learn_first(self, flight, typical, now_s):
        """Learn from the time to the first part of an answer.

        :param flight: the ``Flight``.
        :param typical: slowness of servers of which nothing is known.
        :param now_s: monotonic time.
        :returns: the slowness that this answer shows.
        """
        settings = self.settings
        known = typical if self.slowness is None else self.slowness
        observed_ms = (now_s - flight.started_s) * 1e3
        ratio = observed_ms * known / max(1.0, flight.expected_ms)
        shown = min(
            max(ratio, settings.least_slowness), settings.most_slowness
        )
        self.slowness = known + (shown - known) * settings.sample_weight
        return shown

    def learn_end(self, flight, outcome, now_s):
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
        self.typical_slowness = 1.0
        self._states = {}
        self._peers = {}
        #: Sum of what other entry VMs of the region have, by server.
        self._peer_usage = {}
        self._regions = {}
        self._sent = []
        self._shared = []

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
            state.memory.capacity_tokens = memory_tokens
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
            state.memory.clear()
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
            sent = _prompt_sent(flight.server_id, prompt.parts)
            self._share(sent)
            self._sent.append(sent)
            state.memory.note(prompt.parts)

    def _share(self, sent):
        """Let other regions know of shared parts that are new at a server.

        The last part belongs to one request or session.
        """
        shared = sent._replace(parts=sent.parts[:-1], tokens=sent.tokens[:-1])
        memory = self.state(sent.server_id).memory
        known = memory.cached_tokens(_parts_of(shared))
        if sum(shared.tokens) - known >= TOLD_TOKENS:
            self._shared.append(shared)

    def shared(self):
        """Shared parts read by servers of the region since the last call.

        :returns: list of ``PromptSent``.
        """
        shared, self._shared = self._shared, []
        return shared

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
        shown = state.learn_first(flight, self.typical_slowness, now_s)
        weight = self.settings.sample_weight
        self.typical_slowness += (shown - self.typical_slowness) * weight

    def slowness(self, state):
        """Ratio of observed to expected time of a server.

        :param state: its :class:`ServerState`; None for the typical one.
        """
        if state is None or state.slowness is None:
            return self.typical_slowness
        return state.slowness

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
        state.learn_end(flight, outcome, now_s)

    def report(self, sequence):
        """What other entry VMs of the region need to know.

        :param sequence: number of the report.
        :returns: ``UseReport``.
        """
        uses = [
            messages.ServerUse(server_id, *state.usage)
            for server_id, state in self._states.items()
            if any(state.usage)
        ]
        sent, self._sent = self._sent, []
        return messages.UseReport(sequence, uses, sent, [])

    def peer_reported(self, node_id, report, now_s):
        """Take in what another entry VM of the region has at servers.

        :param node_id: the entry VM.
        :param report: its ``UseReport``.
        :param now_s: monotonic time.
        """
        uses = {use.server_id: use for use in report.uses}
        self._replace_report(node_id, _PeerReport(now_s, uses))
        for sent in report.prompts:
            self._share(sent)
            self._note_sent(sent)

    def _replace_report(self, node_id, report):
        """Count a report in place of the former one of its sender."""
        usage = self._peer_usage
        former = self._peers.get(node_id)
        for uses, times in ((former, -1), (report, 1)):
            for server_id, use in (uses.uses if uses else {}).items():
                known = usage.get(server_id, Usage())
                usage[server_id] = known.plus(use, times)
        self._peers[node_id] = report

    def drop_old_reports(self, now_s):
        """Count reports no more whose senders have fallen silent.

        :param now_s: monotonic time.
        """
        for node_id, report in list(self._peers.items()):
            if report.uses and now_s - report.received_s > REPORT_AGE_S:
                silent = _PeerReport(report.received_s, {})
                self._replace_report(node_id, silent)

    def _note_sent(self, sent):
        self.state(sent.server_id).memory.note(_parts_of(sent))

    def peer_heard_s(self, node_id):
        """When another entry VM last reported; None if it never did.

        :param node_id: the entry VM.
        """
        report = self._peers.get(node_id)
        return None if report is None else report.received_s

    def region_reported(self, load, now_s):
        """Take in the load of another region's servers.

        :param load: ``RegionLoad``.
        :param now_s: monotonic time.
        """
        uses = {use.server_id: use for use in load.servers}
        self._regions[load.region] = _PeerReport(now_s, uses)
        for sent in load.prompts:
            self._note_sent(sent)

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
        if report is None or now_s - report.received_s > 2 * REPORT_AGE_S:
            return None
        use = report.uses.get(server_id)
        own = self._states.get(server_id)
        usage = own.usage if own is not None else Usage()
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
