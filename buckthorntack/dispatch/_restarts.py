"""Servers that may have started again since they announced themselves.

The record of a server describes the start that announced it.  A connection
that breaks or is refused says that a newer start may be there or come, which
is cold for some time and may announce itself late.  From then on the server
counts as cold, until it has told how long it is, or a start that came while it
was away must have warmed up.

Entry VMs tell each other both, as those that had no connection to a server do
not notice that it was away.
"""

from typing import NamedTuple

from buckthorntack.schema import messages

#: Time between two checks of a server by one entry VM; as for probes of
#: unreachable servers.
CHECK_PERIOD_S = 0.5
#: Time after which an entry VM checks a server that others should check.
PATIENCE_S = 1.0
#: Shortest time between two inquiries at one server after it has closed idle
#: connections, and range of the delay of entry VMs that leave it to others.
INQUIRY_PERIOD_S = 1.0
INQUIRY_DELAY_RANGE_S = (0.1, 0.3)
#: Longest time for which a report of another entry VM is on its way.  What
#: one with a clock ahead tells sooner after a loss may be from before it.
REPORT_DELAY_S = 0.25
#: Lead of a clock up to which what its entry VM tells may be taken as newer.
MAX_CLOCK_LEAD_MS = 50
#: Time for which other entry VMs are told what a server told, and for which
#: its version is kept; the clocks that versions start from differ by less.
KEPT_S = 30.0
TOLD_S = 5.0


class RestartCheck(NamedTuple):
    """A check of a server that is suspected to have started again."""

    server_id: str
    #: Version of the suspicion that it may end.
    version: int
    #: Monotonic time at which it began.
    asked_s: float


class _State:
    """What is known of a server since a connection to it failed."""

    __slots__ = (
        "check_at_s",
        "cold_until_s",
        "is_suspected",
        "is_told",
        "since_s",
        "unix_ms",
        "version",
    )

    def __init__(self, version, is_suspected, since_s):
        self.version = version
        self.is_suspected = is_suspected
        #: Monotonic time of the failure, or at which another entry VM told.
        self.since_s = since_s
        #: Monotonic time; None until it was reached.
        self.cold_until_s = None
        #: Time of day of a failure seen here; None for no such failure.
        self.unix_ms = None
        #: Whether other entry VMs are told.
        self.is_told = False
        self.check_at_s = since_s

    @property
    def order(self):
        """Sort key of what is known of one server; the highest holds."""
        return (self.version, self.is_suspected)

    def is_cold(self, now_s):
        return self.cold_until_s is None or now_s < self.cold_until_s


class RestartWatch:
    """Suspected restarts of servers.

    Versions are hybrid logical clocks: they grow with each failure and each
    answer, and start from the time of day, so that they need not be kept for
    as long as a server lives.

    :param is_known: function that returns whether a server id belongs to a
        server that has not gone; None for all.
    """

    def __init__(self, is_known=None):
        self._is_known = is_known or (lambda server_id: True)
        self._states = {}
        #: Time of the last inquiry at a server.
        self._inquired_s = {}

    def is_cold(self, server_id, now_s):
        """Whether a server may be a start that is cold.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        state = self._states.get(server_id)
        return state is not None and state.is_cold(now_s)

    def is_suspected(self, server_id, now_s):
        """Whether a server may have started again and has not told since.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        state = self._states.get(server_id)
        return (
            state is not None and state.is_suspected and state.is_cold(now_s)
        )

    def has_suspects(self, now_s):
        """Whether any server is suspected.

        :param now_s: monotonic time.
        """
        return any(
            state.is_suspected and state.is_cold(now_s)
            for state in self._states.values()
        )

    def on_failure(self, server_id, opened_s, now_s, unix_ms):
        """Record that a connection to a server broke, or failed to open.

        :param server_id: the server.
        :param opened_s: monotonic time at which it was begun to open.
        :param now_s: monotonic time.
        :param unix_ms: time of day in milliseconds.
        :returns: whether a start is suspected that was not before.
        """
        known = self._states.get(server_id)
        if self.is_suspected(server_id, now_s) and (
            known.cold_until_s is None or opened_s < known.since_s
        ):
            # It is away, or this is of the same end.
            return False
        state = _State(_next_version(known, unix_ms), True, now_s)
        state.unix_ms = unix_ms
        self._states[server_id] = state
        return True

    def on_connected(self, server_id, started_s, warmup_s, now_s):
        """Record a new connection to a server.

        Whatever start it has now is warm once this one would be.

        :param server_id: the server.
        :param started_s: monotonic time at which it was begun to open.
        :param warmup_s: time for which a start is cold.
        :param now_s: monotonic time.
        """
        state = self._states.get(server_id)
        if (
            state is not None
            and state.cold_until_s is None
            and started_s >= state.since_s
        ):
            state.cold_until_s = now_s + warmup_s

    def on_answer(self, check, cold_left_s, now_s, unix_ms):
        """Record how long a server says that it is cold.

        :param check: the :class:`RestartCheck`.
        :param cold_left_s: the time; 0 if it is warm.
        :param now_s: monotonic time.
        :param unix_ms: time of day in milliseconds.
        :returns: whether the suspicion has ended; not if there was a newer
            failure meanwhile.
        """
        known = self._states.get(check.server_id)
        if known is None or not known.is_suspected:
            return False
        if known.version != check.version or check.asked_s < known.since_s:
            return False
        state = _State(_next_version(known, unix_ms), False, now_s)
        state.cold_until_s = now_s + cold_left_s
        state.is_told = True
        self._states[check.server_id] = state
        return True

    def may_inquire(self, server_id, now_s):
        """Whether a server that closed idle connections shall be asked.

        It may have started again at once, so that nobody was refused.  Sound
        servers close idle connections too, so it does not count as cold
        meanwhile.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        inquired_s = self._inquired_s.get(server_id, -INQUIRY_PERIOD_S)
        if now_s - inquired_s < INQUIRY_PERIOD_S:
            return False
        if self.is_cold(server_id, now_s):
            return False
        self._inquired_s[server_id] = now_s
        return True

    def on_inquiry_answer(self, server_id, cold_left_s, now_s, unix_ms):
        """Record how long a server says that it is cold, unless it is warm.

        :param server_id: the server.
        :param cold_left_s: the time; 0 if it is warm.
        :param now_s: monotonic time.
        :param unix_ms: time of day in milliseconds.
        :returns: whether other entry VMs must know.
        """
        if cold_left_s <= 0 or self.is_cold(server_id, now_s):
            return False
        known = self._states.get(server_id)
        state = _State(_next_version(known, unix_ms), False, now_s)
        state.cold_until_s = now_s + cold_left_s
        state.is_told = True
        self._states[server_id] = state
        return True

    def tell(self, server_id):
        """Let other entry VMs know of a suspicion.

        :param server_id: the server.
        :returns: whether they have not been told.
        """
        state = self._states.get(server_id)
        if state is None or state.is_told:
            return False
        state.is_told = True
        return True

    def merge(self, statements, now_s):
        """Merge what other entry VMs tell.

        :param statements: list of ``ServerRestart``.
        :param now_s: monotonic time.
        :returns: ids of the servers of which something is new.
        """
        changed = []
        for message in statements:
            server_id = message.server_id
            known = self._states.get(server_id)
            if not self._is_known(server_id):
                continue
            state = _State(message.version, message.is_suspected, now_s)
            if known is not None and state.order <= known.order:
                continue
            state.is_told = True
            if message.is_suspected:
                state.check_at_s = now_s
            elif _may_be_older(message, known, now_s):
                known.version = message.version + 1
                known.is_told = True
                changed.append(server_id)
                continue
            else:
                state.cold_until_s = now_s + message.cold_left_ms / 1e3
            self._states[server_id] = state
            changed.append(server_id)
        return changed

    def list_statements(self, now_s):
        """List what other entry VMs shall know.

        :param now_s: monotonic time.
        :returns: list of ``ServerRestart``.
        """
        statements = []
        for server_id, state in self._states.items():
            is_recent = now_s - state.since_s < TOLD_S
            if not state.is_told or not (is_recent or state.is_cold(now_s)):
                continue
            left_s = 0.0
            if not state.is_suspected:
                left_s = max(0.0, state.cold_until_s - now_s)
            statements.append(
                messages.ServerRestart(
                    server_id,
                    state.version,
                    state.is_suspected,
                    int(left_s * 1e3),
                )
            )
        return statements

    def take_due_checks(self, may_check, now_s):
        """Return the servers to check now, and plan their next checks.

        :param may_check: function that returns whether this entry VM may send
            requests to a server while it is cold; others check it later.
        :param now_s: monotonic time.
        :returns: list of :class:`RestartCheck`.
        """
        due = []
        for server_id, state in self._states.items():
            if not state.is_suspected or not state.is_cold(now_s):
                continue
            patience_s = PATIENCE_S
            if may_check(server_id) or not state.is_told:
                patience_s = 0.0
            if now_s < state.check_at_s or now_s < state.since_s + patience_s:
                continue
            state.check_at_s = now_s + CHECK_PERIOD_S
            due.append(RestartCheck(server_id, state.version, now_s))
        return due

    def expire(self, now_s):
        """Delete what is over.

        :param now_s: monotonic time.
        """
        for server_id, state in list(self._states.items()):
            if now_s - state.since_s > KEPT_S and not state.is_cold(now_s):
                del self._states[server_id]
        for server_id, inquired_s in list(self._inquired_s.items()):
            if now_s - inquired_s > INQUIRY_PERIOD_S:
                del self._inquired_s[server_id]

    def remove_server(self, server_id):
        """Delete the state of a server that has gone.

        :param server_id: the server.
        """
        self._states.pop(server_id, None)
        self._inquired_s.pop(server_id, None)


def _next_version(known, unix_ms):
    return unix_ms if known is None else max(known.version + 1, unix_ms)


def _may_be_older(message, known, now_s):
    """Whether an answer told by others may be from before a loss seen here."""
    if known is None or not known.is_suspected or known.unix_ms is None:
        return False
    age_s = now_s - known.since_s
    latest_ms = known.unix_ms + age_s * 1e3 + MAX_CLOCK_LEAD_MS
    return age_s < REPORT_DELAY_S and message.version > latest_ms
