"""Servers that may have started again since they announced themselves.

The record of a server describes the start that announced it.  A connection
that breaks or is refused says that a newer start may be there or come, which
is cold for some time and may announce itself late.  From then on the server
counts as cold, until it has told how long it is, or a start that came while it
was away must have warmed up.

Entry VMs tell each other both, as those that had no connection to a server do
not notice that it was away.
"""

import math
from typing import NamedTuple

from buckthorntack.schema import messages

#: Time between two checks of a server by one entry VM; as for probes of
#: unreachable servers.  It doubles with each answer that says nothing, as
#: checks use the rate of requests.
CHECK_PERIOD_S = 0.5
#: Time for which requests leave a slot to a check that waits for one.
CHECK_PRIORITY_S = 1.5
#: Time after which an entry VM connects to a server that others should check.
PATIENCE_S = 1.0
#: Time in which a server is asked after a connection has broken and another
#: has opened.
INQUIRY_S = 1.0
#: Failures of connections that come sooner after another are of the same end.
SAME_END_S = 0.1
#: Time that an entry VM which has just started leaves to others to tell what
#: they know before it asks servers itself, and time from its first record
#: after which it takes records for news.
START_GRACE_S = 0.2
START_PERIOD_S = 4.0
#: Time from its first record for which requests wait until a server is known.
UNKNOWN_S = 1.0
#: Longest time for which a report of another entry VM is on its way.  What
#: one with a clock ahead tells sooner after a loss may be from before it.
REPORT_DELAY_S = 0.25
#: Lead of a clock up to which what its entry VM tells may be taken as newer.
MAX_CLOCK_LEAD_MS = 50
#: Longest time by which an entry VM learns later than another one that an
#: evacuation has ended.
EVACUATION_LAG_S = 2.0
#: Time for which other entry VMs are told what a server told, and for which
#: its version is kept; the clocks that versions start from differ by less.
KEPT_S = 30.0
TOLD_S = 5.0
#: Ends of idle connections whose idle times differ by at most this much, or
#: by this share, have the same reason, as an idle timeout of the server.
SAME_IDLE_S = 0.01
SAME_IDLE_SHARE = 0.25


class RestartCheck(NamedTuple):
    """A check of a server that is suspected to have started again."""

    server_id: str
    #: Version of the suspicion that it may end.
    version: int
    #: Monotonic time at which it began.
    asked_s: float
    #: Whether to ask the server; else only to connect to it.
    asks: bool


class _UsualClose(NamedTuple):
    """End of an idle connection that its server outlived."""

    #: Time for which the connection was idle.
    idle_s: float
    noted_s: float

    def has_same_reason(self, idle_s):
        """Whether another connection ended for the same reason.

        :param idle_s: time for which that one was idle.
        """
        tolerance_s = max(SAME_IDLE_S, SAME_IDLE_SHARE * self.idle_s)
        return abs(idle_s - self.idle_s) <= tolerance_s


class _State:
    """What is known of a server since a connection to it failed."""

    __slots__ = (
        "answer_version",
        "check_at_s",
        "cold_until_s",
        "connected_s",
        "first_since_s",
        "idle_s",
        "is_initial",
        "is_local",
        "is_mild",
        "is_suspected",
        "is_told",
        "seen",
        "since_s",
        "told_cold_until_s",
        "unanswered",
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
        #: Time for which the connection was idle whose end was the failure;
        #: None for another failure.
        self.idle_s = None
        #: Versions of the suspicions that are known here.
        self.seen = frozenset()
        #: Whether other entry VMs are told.
        self.is_told = False
        #: Whether nothing failed, but other entry VMs may know more or learn
        #: the same by themselves, so that they are not told.
        self.is_local = False
        #: Whether that is so since this entry VM started.
        self.is_initial = False
        #: Lowest version of an answer that ends the suspicion.
        self.answer_version = 0
        #: Whether a connection broke, but none was refused.
        self.is_mild = False
        #: The same of the first failure of which it is not known whether the
        #: server has started again.
        self.first_since_s = since_s
        #: Until when the start before that said that it is cold.
        self.told_cold_until_s = 0.0
        self.check_at_s = since_s
        #: When a connection was begun to open last to find whether it is back.
        self.connected_s = since_s
        #: Checks that told nothing.
        self.unanswered = 0

    @property
    def order(self):
        """Sort key of what is known of one server; the highest holds."""
        return (self.version, self.is_suspected)

    def is_cold(self, now_s):
        return self.cold_until_s is None or now_s < self.cold_until_s

    def is_in_question(self, now_s):
        is_asked = self.is_mild and now_s < self.since_s + INQUIRY_S
        return self.is_suspected and (is_asked or self.is_cold(now_s))


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
        self._usual_closes = {}
        #: Until when what others know may be missing here.
        self._starts_until_s = None
        #: Until when servers may be told of before their records come.
        self._takes_unknown_until_s = 0.0

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
        """Whether any server is to be checked.

        :param now_s: monotonic time.
        """
        return any(
            state.is_in_question(now_s) for state in self._states.values()
        )

    def is_in_question(self, server_id, now_s):
        """Whether a server is to be checked.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        state = self._states.get(server_id)
        return state is not None and state.is_in_question(now_s)

    def on_failure(
        self, server_id, now_s, unix_ms, idle_s=None, is_mild=False
    ):
        """Record that a connection to a server broke, or failed to open.

        A failure renews a suspicion, as it may be of a later end.  A server
        that ends refuses connections for a while, and servers break single
        connections: if another opens at once, it is only asked.

        :param server_id: the server.
        :param now_s: monotonic time.
        :param unix_ms: time of day in milliseconds.
        :param idle_s: time for which the connection was idle; None if it
            carried a request or did not open.
        :param is_mild: whether a sound server may cause the failure, as one
            of a connection that carried a request.
        :returns: whether a start is suspected that was not before.
        """
        known = self._states.get(server_id)
        is_known = self.is_suspected(server_id, now_s) and not known.is_local
        if is_known and known.is_mild and not is_mild:
            is_known = False
        if is_known and now_s - known.since_s < SAME_END_S:
            return False
        state = _State(_next_version(known, unix_ms), True, now_s)
        state.unix_ms = unix_ms
        state.idle_s = idle_s
        if is_mild and _may_be_mild(known, now_s):
            state.is_mild = True
        if is_known:
            _renew(state, known)
        self._store(server_id, state)
        return not is_known

    def on_connected(self, server_id, started_s, warmup_s, now_s):
        """Record a new connection to a server.

        Whatever start it has now is warm once this one would be.

        :param server_id: the server.
        :param started_s: monotonic time at which it was begun to open.
        :param warmup_s: time for which a start is cold.
        :param now_s: monotonic time.
        :returns: whether it is the first since the server is suspected.
        """
        state = self._states.get(server_id)
        if (
            state is None
            or state.cold_until_s is not None
            or started_s < state.since_s
        ):
            return False
        if state.is_mild:
            state.cold_until_s = max(now_s, state.told_cold_until_s)
            return False
        state.cold_until_s = now_s + warmup_s
        return True

    def on_request_answered(
        self, server_id, opened_s, sent_s, cold_left_s, now_s
    ):
        """Record an answer that only a start from before a failure can give.

        :param server_id: the server.
        :param opened_s: monotonic time at which the connection was begun to
            open.
        :param sent_s: monotonic time at which the request was sent.
        :param cold_left_s: time for which that start is cold.
        :param now_s: monotonic time.
        :returns: whether a suspicion has ended.
        """
        known = self._states.get(server_id)
        if known is None or not known.is_suspected or known.is_local:
            return False
        if opened_s >= known.first_since_s or sent_s < known.since_s:
            return False
        cold_left_s = max(cold_left_s, known.told_cold_until_s - now_s)
        self._store_answer(server_id, known, cold_left_s, now_s)
        return True

    def _store(self, server_id, state):
        known = self._states.get(server_id)
        if known is not None:
            state.seen = known.seen
        if known is not None and state.is_suspected:
            state.told_cold_until_s = _told_cold_until(known)
            if known.is_suspected and (
                known.is_mild or known.is_cold(state.since_s)
            ):
                state.first_since_s = known.first_since_s
        if state.is_suspected:
            state.seen |= {state.version}
        self._states[server_id] = state

    def _store_answer(self, server_id, known, cold_left_s, now_s):
        version = max(known.version + 1, known.answer_version)
        state = _State(version, False, now_s)
        state.cold_until_s = now_s + cold_left_s
        state.is_told = True
        self._store(server_id, state)
        self._note_answer(server_id, known, cold_left_s, now_s)

    def on_answer(self, check, cold_left_s, now_s):
        """Record how long a server says that it is cold.

        :param check: the :class:`RestartCheck`.
        :param cold_left_s: the time, 0 if it is warm; None if it did not say.
        :param now_s: monotonic time.
        :returns: whether the suspicion has ended; not if there was a newer
            failure meanwhile.
        """
        known = self._states.get(check.server_id)
        if known is None or not known.is_suspected:
            return False
        if cold_left_s is None:
            known.unanswered += 1
            period_s = CHECK_PERIOD_S * 2**known.unanswered
            known.check_at_s = now_s + period_s
            return False
        if known.version != check.version or check.asked_s < known.since_s:
            known.check_at_s = now_s
            return False
        self._store_answer(check.server_id, known, cold_left_s, now_s)
        return True

    @property
    def is_informed(self):
        """Whether records tell of the present starts of servers."""
        return self._starts_until_s is None

    def knows_all(self, now_s):
        """Whether what other entry VMs know of servers is known here.

        :param now_s: monotonic time.
        """
        return self.is_informed and not any(
            state.is_local and state.is_cold(now_s)
            for state in self._states.values()
        )

    def on_start(self):
        """Record that this entry VM has started, and knows of no failure."""
        self._starts_until_s = math.inf
        self._takes_unknown_until_s = math.inf

    def on_first_record(self, server_id, now_s):
        """Suspect a server whose record may be of a former start.

        Control VMs that have just started pass on what they are told, so a
        record may be of a start that has ended at any time until others have
        told what they know.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        if self.is_informed:
            return
        if self._starts_until_s == math.inf:
            self._starts_until_s = now_s + START_PERIOD_S
            self._takes_unknown_until_s = self._starts_until_s
        if server_id in self._states:
            return
        state = _State(0, True, now_s)
        state.is_local = True
        state.is_initial = True
        state.check_at_s = now_s + START_GRACE_S
        self._store(server_id, state)

    def on_evacuation_ended(self, server_id, now_s, unix_ms, asks):
        """Suspect a server that may have become cold during an evacuation.

        All entry VMs learn of the end by themselves, each at another time.
        What was known of the server before does not tell how cold it is, but
        an answer that another entry VM gets after the end does.  One that
        asks nobody itself may have been told that answer already.

        :param server_id: the server.
        :param now_s: monotonic time.
        :param unix_ms: time of day in milliseconds.
        :param asks: whether this entry VM may ask the server.
        :returns: whether it is suspected now.
        """
        known = self._states.get(server_id)
        if self.is_suspected(server_id, now_s):
            return False
        if not asks and _is_answered_since(known, now_s - EVACUATION_LAG_S):
            return False
        state = _State(0 if known is None else known.version, True, now_s)
        state.is_local = True
        state.answer_version = unix_ms
        self._store(server_id, state)
        return True

    def on_informed(self):
        """Record that another entry VM has told all that it knows."""
        self._starts_until_s = None
        for server_id, state in list(self._states.items()):
            if state.is_initial:
                del self._states[server_id]

    def is_unknown(self, server_id, now_s):
        """Whether a server will soon be known since this entry VM started.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        state = self._states.get(server_id)
        return (
            state is not None
            and state.is_initial
            and state.is_cold(now_s)
            and now_s - state.since_s < UNKNOWN_S
        )

    def is_unusual_close(self, server_id, idle_s):
        """Whether the end of an idle connection may be that of its server.

        Sound servers close idle connections too, at the same age: what has
        once told nothing tells nothing for some time.  The end of a server
        closes connections of any age.

        :param server_id: the server.
        :param idle_s: time for which the connection was idle.
        """
        return not any(
            usual.has_same_reason(idle_s)
            for usual in self._usual_closes.get(server_id, ())
        )

    def has_outlived_close(self, server_id):
        """Whether a server has lately closed an idle connection and gone on.

        :param server_id: the server.
        """
        return server_id in self._usual_closes

    def _note_answer(self, server_id, known, cold_left_s, now_s):
        """Note whether an idle connection has ended for another reason."""
        if known is None or known.idle_s is None or cold_left_s > 0:
            return
        others = [
            usual
            for usual in self._usual_closes.get(server_id, ())
            if not usual.has_same_reason(known.idle_s)
        ]
        usual = _UsualClose(known.idle_s, now_s)
        self._usual_closes[server_id] = [*others, usual]

    def tell(self, server_id):
        """Let other entry VMs know of a suspicion.

        :param server_id: the server.
        :returns: whether they have not been told.
        """
        state = self._states.get(server_id)
        if state is None or state.is_told or state.is_local:
            return False
        state.is_told = True
        return True

    def merge(self, statements, now_s):
        """Merge what other entry VMs tell.

        :param statements: list of ``ServerRestart``.
        :param now_s: monotonic time.
        :returns: ids of the servers of which something is new.
        """
        return [
            message.server_id
            for message in statements
            if self._merge_statement(message, now_s)
        ]

    def _merge_statement(self, message, now_s):
        """Merge a statement; return whether it is news."""
        server_id = message.server_id
        if now_s >= self._takes_unknown_until_s and not self._is_known(
            server_id
        ):
            return False
        known = self._states.get(server_id)
        state = _State(message.version, message.is_suspected, now_s)
        state.is_told = True
        is_unseen = known is None or message.version not in known.seen
        if message.is_mild:
            if not is_unseen or not _may_be_mild(known, now_s):
                return False
            state.is_mild = True
            state.cold_until_s = max(now_s, _told_cold_until(known))
            if known is not None:
                state.version = max(known.version, state.version)
        elif _is_mild(known) and message.is_suspected and is_unseen:
            state.version = max(known.version, state.version)
        elif known is not None and state.order <= known.order:
            if _is_untold(known) and message.is_suspected:
                # Others see it as well.
                known.is_told = True
                return True
            if known.is_suspected or not (message.is_suspected and is_unseen):
                return False
            # Told by a clock that is behind.
            known.seen |= {message.version}
            state.version = known.version + 1
        elif message.is_suspected:
            is_known = self.is_suspected(server_id, now_s)
            if is_known:
                _renew(state, known)
            self._store(server_id, state)
            return not is_known
        elif _may_be_older(message, known, now_s):
            known.version = message.version + 1
            known.is_told = True
            return True
        else:
            cold_left_s = message.cold_left_ms / 1e3
            state.cold_until_s = now_s + cold_left_s
            self._note_answer(server_id, known, cold_left_s, now_s)
        self._store(server_id, state)
        return True

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
                    state.is_mild,
                )
            )
        return statements

    def is_check_due(self, server_id, now_s):
        """Whether a server that counts as cold is to be asked first.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        state = self._states.get(server_id)
        return (
            state is not None
            and state.is_suspected
            and state.is_cold(now_s)
            and 0 <= now_s - state.check_at_s < CHECK_PRIORITY_S
        )

    def take_due_checks(self, may_send, now_s):
        """Return the servers to check now, and plan their next checks.

        :param may_send: function that returns whether a server may get a
            request of this entry VM at the rate of a cold one; None if it
            has no part of that rate.
        :param now_s: monotonic time.
        :returns: list of :class:`RestartCheck`.
        """
        due = []
        for server_id, state in self._states.items():
            if not state.is_in_question(now_s):
                continue
            may_ask = may_send(server_id)
            asks = bool(may_ask) and now_s >= state.check_at_s
            if not asks and not _is_connect_due(state, may_ask, now_s):
                continue
            state.connected_s = now_s
            if asks:
                state.check_at_s = now_s + CHECK_PERIOD_S
            due.append(RestartCheck(server_id, state.version, now_s, asks))
        return due

    def expire(self, now_s):
        """Delete what is over.

        :param now_s: monotonic time.
        """
        for server_id, state in list(self._states.items()):
            is_over = not (state.is_cold(now_s) and self._is_known(server_id))
            if now_s - state.since_s > KEPT_S and is_over:
                del self._states[server_id]
        if not self.is_informed and now_s >= self._starts_until_s:
            # Servers that nobody has told of are still to be asked.
            self._starts_until_s = None
        if self.is_informed and self._takes_unknown_until_s == math.inf:
            self._takes_unknown_until_s = now_s + START_PERIOD_S
        for server_id, closes in list(self._usual_closes.items()):
            recent = [
                usual for usual in closes if now_s - usual.noted_s <= KEPT_S
            ]
            if recent:
                self._usual_closes[server_id] = recent
            else:
                del self._usual_closes[server_id]

    def remove_server(self, server_id):
        """Delete the state of a server that has gone.

        :param server_id: the server.
        """
        self._states.pop(server_id, None)
        self._usual_closes.pop(server_id, None)


def _renew(state, known):
    """Keep what the plan of checks needs of a suspicion that is renewed."""
    state.is_told = state.is_told or known.is_told
    state.check_at_s = known.check_at_s
    state.connected_s = known.connected_s
    state.unanswered = known.unanswered


def _is_connect_due(state, may_ask, now_s):
    """Whether to connect to a server that nobody here has reached since."""
    if state.cold_until_s is not None:
        return False
    patience_s = PATIENCE_S if may_ask is None else CHECK_PERIOD_S
    return now_s >= max(
        state.since_s + patience_s, state.connected_s + CHECK_PERIOD_S
    )


def _may_be_mild(known, now_s):
    """Whether a connection that broke need not make a server count as cold."""
    if known is None or known.is_mild or not known.is_suspected:
        return True
    return not known.is_cold(now_s)


def _told_cold_until(known):
    if known is None:
        return 0.0
    if known.is_suspected:
        return known.told_cold_until_s
    return known.cold_until_s


def _is_answered_since(state, since_s):
    return (
        state is not None
        and not state.is_suspected
        and state.since_s >= since_s
    )


def _is_mild(state):
    return state is not None and state.is_suspected and state.is_mild


def _is_untold(state):
    return state.is_suspected and not (
        state.is_told or state.is_local or state.is_mild
    )


def _next_version(known, unix_ms):
    return unix_ms if known is None else max(known.version + 1, unix_ms)


def _may_be_older(message, known, now_s):
    """Whether an answer told by others may be from before a loss seen here."""
    if known is None or not known.is_suspected or known.unix_ms is None:
        return False
    age_s = now_s - known.since_s
    latest_ms = known.unix_ms + age_s * 1e3 + MAX_CLOCK_LEAD_MS
    return age_s < REPORT_DELAY_S and message.version > latest_ms
