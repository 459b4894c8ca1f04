"""Simulation of entry VMs and backend servers in virtual time."""

import heapq
import itertools
import random

from buckthorntack.quarantine.tests import _decision

#: Time after an event until rules count on its being known everywhere.
CONTACT_S = 5.0
#: Time from the start of an attempt to the first data of its answer.
PREFILL_S = 0.1
#: Time from the first data of an answer to the crash that it causes.
CRASH_S = 0.1
#: Time for which a crashed server is away.
RESTART_S = 4.0
#: Time after the first data at which an entry VM sees that data still comes.
CONTINUED_S = 0.5
RETRY_S = 0.005
TICK_S = 0.05
LOCAL_LATENCY_S = 0.002
REMOTE_LATENCY_S = 0.04
#: Longest delay of a message that comes late.
LATE_S = 1.5
MAX_ATTEMPTS = 3
FIRST_PART = "first"


class Request:
    """A request and what became of it.

    :param request_id: its id, also its fingerprint.
    :param parts: ids of the parts of its prompt that others may share.
    :param duration_s: duration of its answer.
    """

    def __init__(self, request_id, parts, duration_s):
        self.request_id = request_id
        self.parts = parts
        self.duration_s = duration_s
        self.sent_s = 0.0
        self.attempts = 0
        #: When the last attempt was sent.
        self.attempted_s = 0.0
        self.entry = None
        self.tried = set()
        self.has_begun_first = False
        self.was_lost = False
        self.outcome = ""

    def has_any(self, parts):
        """Whether it has one of these parts."""
        return not parts.isdisjoint(self.parts)


class Server:
    """A backend server; each start has an id of its own."""

    def __init__(self, name):
        self.name = name
        self.starts = 0
        self.is_up = True
        self.running = {}

    @property
    def server_id(self):
        """Id of the present start."""
        return f"{self.name}-{self.starts}"


class Entry:
    """An entry VM."""

    def __init__(self, node_id, region, rng):
        self.node_id = node_id
        self.region = region
        self.rng = rng
        self.restart(0.0)

    def restart(self, now_s):
        """Lose all state."""
        self.decision = _decision.Decision(self.node_id, self.region, self.rng)
        self.in_touch_from_s = now_s
        self.is_up = True
        self.is_cut_off = False


class Simulation:
    """Entry VMs of two regions and servers of one service.

    :param seed: seed of all random draws.
    :param entries: number of entry VMs.
    :param servers: number of servers.
    :param loss: share of messages that are lost.
    :param doubling: share of messages that arrive twice.
    :param lateness: share of messages that arrive late.
    :param is_unframed: whether answers end with their connection, so that a
        crash looks like their end.
    """

    def __init__(
        self,
        seed,
        entries=6,
        servers=6,
        loss=0.0,
        doubling=0.0,
        lateness=0.0,
        is_unframed=False,
    ):
        self.rng = random.Random(seed)
        self.loss = loss
        self.doubling = doubling
        self.lateness = lateness
        self.is_unframed = is_unframed
        self.entries = {
            f"e{n}": Entry(f"e{n}", "ns"[n % 2], self.rng)
            for n in range(entries)
        }
        self.servers = [Server(f"s{n}") for n in range(servers)]
        self.now_s = 0.0
        #: Parts that crash a server now.
        self.crashing = set()
        #: Parts that crashed a server at any time.
        self.culprits = set()
        #: Times of crashes, by the part that caused them.
        self.crashes = {}
        #: Time, request and whether its entry VM was in touch, for each
        #: attempt that reached a server.
        self.arrivals = []
        self.requests = []
        self._queue = []
        self._order = itertools.count()
        self._ids = itertools.count()
        for entry in self.entries.values():
            self.at(self.rng.uniform(0, TICK_S), self._tick, entry)

    def at(self, time_s, function, *arguments):
        """Call a function at a time."""
        item = (time_s, next(self._order), function, arguments)
        heapq.heappush(self._queue, item)

    def run(self, until_s):
        """Run up to a time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now_s = until_s

    def start_crashing(self, part):
        """Let a part crash the servers that begin an answer on it."""
        self.crashing.add(part)
        self.culprits.add(part)

    def add_traffic(self, rate, start_s, end_s, draw_parts, entries=None):
        """Add requests at random times and entry VMs.

        :param rate: requests per second.
        :param draw_parts: function of a random source that returns the ids of
            the shared parts of a request.
        :param entries: ids of the entry VMs; None for all.
        """
        names = entries or sorted(self.entries)
        time_s = start_s + self.rng.expovariate(rate)
        while time_s < end_s:
            request = Request(
                f"q{next(self._ids)}",
                draw_parts(self.rng),
                self.rng.uniform(0.1, 1.2),
            )
            entry = self.entries[self.rng.choice(names)]
            self.at(time_s, self.send, request, entry)
            time_s += self.rng.expovariate(rate)

    def send(self, request, entry):
        """Send a request to an entry VM."""
        if not entry.is_up:
            return
        request.sent_s = self.now_s
        request.entry = entry
        self.requests.append(request)
        self._attempt(request)

    def _attempt(self, request):
        entry = request.entry
        if not entry.is_up:
            request.outcome = "cut"
            return
        verdict = entry.decision.check(request, self.now_s)
        if verdict == "refuse":
            request.outcome = "refused"
            return
        servers = [
            server
            for server in self.servers
            if server.is_up and server.server_id not in request.tried
        ]
        if not servers or request.attempts >= MAX_ATTEMPTS:
            request.outcome = "failed"
            return
        server = self.rng.choice(servers)
        request.tried.add(server.server_id)
        request.attempts += 1
        request.attempted_s = self.now_s
        in_touch = (
            not entry.is_cut_off
            and self.now_s - entry.in_touch_from_s >= CONTACT_S
        )
        self.arrivals.append((self.now_s, request, in_touch))
        start = server.server_id
        server.running[request] = None
        self.at(self.now_s + PREFILL_S, self._begin, request, server, start)

    def _is_running(self, request, server, start):
        return server.server_id == start and request in server.running

    def _begin(self, request, server, start):
        if not self._is_running(request, server, start):
            return
        server.running[request] = self.now_s
        if request.attempts == 1:
            request.has_begun_first = True
        culprits = self.crashing.intersection(request.parts)
        if culprits:
            self.at(
                self.now_s + CRASH_S,
                self._crash_by,
                server,
                start,
                min(culprits),
            )
            return
        if request.duration_s > CONTINUED_S:
            self.at(
                self.now_s + CONTINUED_S,
                self._continue,
                request,
                server,
                start,
            )
        self.at(
            self.now_s + request.duration_s,
            self._complete,
            request,
            server,
            start,
        )

    def _continue(self, request, server, start):
        if self._is_running(request, server, start):
            request.entry.decision.on_answer_continued(request, self.now_s)

    def _complete(self, request, server, start):
        if self._is_running(request, server, start):
            del server.running[request]
            request.outcome = "answered"
            if self.is_unframed:
                self._end_unframed(request, server)
            else:
                request.entry.decision.on_completed(request, self.now_s)

    def _end_unframed(self, request, server):
        request.outcome = "answered"
        if request.entry.is_up:
            request.entry.decision.on_unframed_answer_ended(
                request, server, self.now_s
            )

    def _crash_by(self, server, start, part):
        if server.server_id == start and server.is_up:
            self.crashes.setdefault(part, []).append(self.now_s)
            self.crash(server)

    def crash(self, server):
        """End a server; it starts again later."""
        if not server.is_up:
            return
        server.is_up = False
        for request, began_s in server.running.items():
            request.was_lost = True
            if self.is_unframed and began_s is not None:
                self._end_unframed(request, server)
                continue
            answer_s = None if began_s is None else self.now_s - began_s
            if request.entry.is_up:
                request.entry.decision.on_lost(
                    request, server, answer_s, self.now_s
                )
            self.at(self.now_s + RETRY_S, self._attempt, request)
        server.running = {}
        self.at(self.now_s + RESTART_S, self._restart_server, server)

    def _restart_server(self, server):
        server.starts += 1
        server.is_up = True

    def reset(self, server):
        """Reset the connections of a server, which goes on."""
        for request, began_s in server.running.items():
            answer_s = None if began_s is None else self.now_s - began_s
            request.entry.decision.on_lost(
                request, server, answer_s, self.now_s
            )
            self.at(self.now_s + RETRY_S, self._attempt, request)
        server.running = {}

    def stop_entry(self, entry, away_s):
        """End an entry VM and start it again after some time."""
        entry.is_up = False
        for server in self.servers:
            for request in list(server.running):
                if request.entry is entry:
                    del server.running[request]
        self.at(
            self.now_s + away_s,
            lambda: entry.restart(self.now_s),
        )

    def cut_off(self, entry, for_s):
        """Cut an entry VM off from all others for some time."""
        entry.is_cut_off = True

        def join():
            entry.is_cut_off = False
            entry.in_touch_from_s = self.now_s

        self.at(self.now_s + for_s, join)

    def _tick(self, entry):
        self.at(self.now_s + TICK_S, self._tick, entry)
        if not entry.is_up:
            return
        peers = {
            name: other.region
            for name, other in sorted(self.entries.items())
            if other is not entry
        }
        for peer, message in entry.decision.take_messages(peers, self.now_s):
            if not entry.is_cut_off:
                self._deliver(entry, self.entries[peer], message)

    def _deliver(self, sender, receiver, message):
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.doubling else 1
        for _ in range(copies):
            is_near = sender.region == receiver.region
            delay_s = LOCAL_LATENCY_S if is_near else REMOTE_LATENCY_S
            if self.rng.random() < self.lateness:
                delay_s += self.rng.uniform(0, LATE_S)
            self.at(
                self.now_s + delay_s,
                self._receive,
                sender.node_id,
                receiver,
                message,
            )

    def _receive(self, sender_id, receiver, message):
        if receiver.is_up and not receiver.is_cut_off:
            receiver.decision.on_message(sender_id, message, self.now_s)

    def count_late_arrivals(self, part, until_s):
        """Attempts with a part that machines in touch sent too late.

        :param part: id of the part.
        :param until_s: time up to which attempts count.
        :returns: those later than the contact time after the fifth crash.
        """
        crashes = self.crashes.get(part, [])
        if len(crashes) < 5:
            return 0
        late_s = crashes[4] + CONTACT_S
        return sum(
            late_s < time_s < until_s and in_touch and part in request.parts
            for time_s, request, in_touch in self.arrivals
        )

    def begun_share(self, start_s, end_s, entries=None):
        """Share of sound requests that begin at the first attempt.

        :param entries: ids of the entry VMs that count; None for all.
        """
        counted = [
            request
            for request in self.requests
            if start_s <= request.sent_s < end_s
            and not request.has_any(self.culprits)
            and (entries is None or request.entry.node_id in entries)
        ]
        assert len(counted) >= 20
        return sum(r.has_begun_first for r in counted) / len(counted)

    def count_lost_answers(self):
        """Sound requests of which a crash ended an attempt."""
        return sum(
            request.was_lost and not request.has_any(self.culprits)
            for request in self.requests
        )
