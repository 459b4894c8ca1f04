"""Simulation of entry VMs with quarantines and of crashing servers."""

import collections
import datetime
import heapq
import itertools
import random

from buckthorntack import retries

#: Delay until an entry VM notices a crash.
DETECTION_S = 0.005
#: Delay until a crashed server is up again.
RESTART_S = 5.0


def at(seconds):
    return datetime.timedelta(seconds=seconds)


def _pairs(first, second):
    return itertools.product(range(first), range(second))


class Request:
    """Request of a caller to one entry VM."""

    def __init__(self, fingerprint, entry, duration_s, is_poison=False):
        self.fingerprint = fingerprint
        self.entry = entry
        self.duration_s = duration_s
        self.is_poison = is_poison
        self.server = None
        self.outcome = None


class Server:
    """Backend server that a poison request crashes."""

    def __init__(self, name, region):
        self.name = name
        self.region = region
        self.incarnation = 1
        self.is_up = True
        self.running = {}


class Fleet:
    """Simulated regions in virtual time; gossip items arrive after delays."""

    def __init__(self, seed, regions=3, entries=2, servers=3):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.max_propagation_s = 1.0
        self.partition_of = {}
        self.poison_crashes = collections.Counter()
        self.quarantines = {}
        self.servers = []
        self._events = []
        self._order = itertools.count()
        settings = retries.QuarantineSettings()
        for region, number in _pairs(regions, entries):
            name = f"entry-{region}-{number}"
            self.quarantines[name] = retries.Quarantine(name, settings)
        for region, number in itertools.product(
            range(regions), range(servers)
        ):
            self.servers.append(Server(f"s-{region}-{number}", str(region)))

    def schedule(self, delay_s, action, *arguments):
        entry = (self.now_s + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, until_s):
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
            self._gossip()
        self.now_s = until_s

    def send(self, request):
        quarantine = self.quarantines[request.entry]
        verdict = quarantine.verdict(request.fingerprint, at(self.now_s))
        if isinstance(verdict, retries.Convicted):
            request.outcome = "refused"
        elif isinstance(verdict, retries.Suspect):
            self._claim(request, quarantine)
        else:
            self._place(request, verdict.running_on)

    def crash(self, server):
        if not server.is_up:
            return
        lost, server.running = server.running, {}
        server.is_up = False
        self.schedule(RESTART_S, self._restart, server)
        self.schedule(DETECTION_S, self._detect, server, list(lost.values()))

    def _claim(self, request, quarantine):
        up = self._list_up_servers(request)
        if not up:
            self.schedule(1.0, self.send, request)
            return
        if request.server not in up:
            request.server = self.rng.choice(up)
        answer = quarantine.claim(
            request.fingerprint, request.server.name, at(self.now_s)
        )
        if isinstance(answer, retries.RunAlone):
            self._run(request, request.server)
            return
        wait_s = answer.duration.total_seconds()
        self.schedule(wait_s, self.send, request)

    def _place(self, request, running_on):
        up = self._list_up_servers(request)
        if not up:
            self.schedule(1.0, self.send, request)
            return
        preferred = [s for s in up if s.name == running_on]
        self._run(request, (preferred or [self.rng.choice(up)])[0])

    def _list_up_servers(self, request):
        region = request.entry.split("-")[1]
        return [s for s in self.servers if s.is_up and s.region == region]

    def _run(self, request, server):
        server.running[id(request)] = request
        quarantine = self.quarantines[request.entry]
        quarantine.on_attempt_started(request.fingerprint, server.name)
        incarnation = server.incarnation
        self.schedule(
            request.duration_s, self._end, request, server, incarnation
        )

    def _end(self, request, server, incarnation):
        if not server.is_up or server.incarnation != incarnation:
            return
        if id(request) not in server.running:
            return
        if request.is_poison:
            self.poison_crashes[request.fingerprint] += 1
            self.crash(server)
            return
        del server.running[id(request)]
        request.outcome = "done"
        self.quarantines[request.entry].on_attempt_completed(
            request.fingerprint, server.name, at(self.now_s)
        )

    def _detect(self, server, lost):
        by_entry = collections.defaultdict(list)
        for request in lost:
            by_entry[request.entry].append(request)
        for entry, requests in by_entry.items():
            quarantine = self.quarantines[entry]
            now = at(self.now_s)
            running = frozenset(r.fingerprint for r in requests)
            for request in requests:
                quarantine.on_attempt_failed(request.fingerprint, server.name)
            quarantine.on_server_crashed(
                server.name, server.incarnation, running, now
            )
            for request in requests:
                self.schedule(self.rng.uniform(0, 0.05), self.send, request)

    def _restart(self, server):
        server.incarnation += 1
        server.is_up = True

    def _gossip(self):
        for name, quarantine in self.quarantines.items():
            for item in quarantine.take_items():
                for other in self.quarantines:
                    self._deliver(name, other, item)

    def _deliver(self, sender, receiver, item):
        if sender == receiver:
            return
        if self.partition_of.get(sender) != self.partition_of.get(receiver):
            return
        delay_s = self.rng.uniform(0.01, self.max_propagation_s)
        self.schedule(delay_s, self._merge, receiver, item)

    def _merge(self, receiver, item):
        self.quarantines[receiver].merge(item, at(self.now_s))
