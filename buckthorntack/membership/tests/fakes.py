"""Fake network that connects membership views in virtual time."""

import datetime
import heapq
import itertools
import random

from buckthorntack import membership
from buckthorntack import schema
from buckthorntack.schema import messages

TICK_MS = 50


def milliseconds(number):
    return datetime.timedelta(milliseconds=number)


def entry(node_id, domain="fukuoka-a", incarnation=1):
    return messages.EntryRecord(
        node_id=node_id,
        incarnation=incarnation,
        sequence=1,
        state="ready",
        region=domain.rsplit("-", 1)[0],
        failure_domain=domain,
        caller_url=f"http://{node_id}",
        link_address="127.0.0.1:1",
        revision=0,
        lease_ms=0,
        in_flight=0,
    )


def announcement(server_id="s1", incarnation=1, sequence=1, **fields):
    document = {
        "server_id": server_id,
        "incarnation": incarnation,
        "sequence": sequence,
        "state": "ready",
        "pool": "pool",
        "failure_domain": "fukuoka-a",
        "url": f"http://{server_id}",
        "slots": 4,
        "model_versions": ["pitch-1"],
    }
    return document | fields


def seed_of(record):
    return {
        "node_id": record.node_id,
        "link_address": record.link_address,
        "region": record.region,
        "failure_domain": record.failure_domain,
        "roles": ["entry"],
    }


class Network:
    """Membership views, the messages between them, and network faults."""

    def __init__(self, seed=0, timing=None):
        self.rng = random.Random(seed)
        self.timing = timing or membership.MembershipTiming()
        self.now_ms = 0
        self.views = {}
        self.offsets_ms = {}
        self.observed_commands = {}
        self.cut = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_ms = (1, 3)
        self.sent_bytes = 0
        self._queue = []
        self._numbers = itertools.count()
        self._ticks_ms = {}

    def add(self, record, seeds):
        node_id = record.node_id
        rng = random.Random(f"{node_id} {record.incarnation}")
        view = membership.MembershipView(record, seeds, self.timing, rng)
        self.views[node_id] = view
        self.offsets_ms.setdefault(node_id, self.rng.randrange(10**9))
        self._ticks_ms[node_id] = self.now_ms
        self.observed_commands[node_id] = []
        return view

    def crash(self, node_id):
        del self.views[node_id]

    def local(self, node_id):
        return milliseconds(self.now_ms + self.offsets_ms[node_id])

    def isolate(self, *node_ids):
        others = set(self.views) - set(node_ids)
        self.cut |= {(a, b) for a in node_ids for b in others}
        self.cut |= {(b, a) for a in node_ids for b in others}

    def heal(self):
        self.cut.clear()

    def announce(self, node_id, document, service="pitchwriter"):
        view = self.views[node_id]
        result, commands = view.announce(
            document, service, self.local(node_id)
        )
        self.execute(node_id, commands)
        return result

    def execute(self, node_id, commands):
        for command in commands:
            if isinstance(command, membership.SendMessage):
                self.send(node_id, command.to, command.message)
            else:
                self.observed_commands[node_id].append(command)

    def send(self, source, target, message):
        frames = schema.encode(message)
        self.sent_bytes += sum(map(len, frames))
        if (source, target) in self.cut or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            at_ms = self.now_ms + self.rng.randint(*self.delay_ms)
            entry = (at_ms, next(self._numbers), source, target, frames)
            heapq.heappush(self._queue, entry)

    def run(self, duration_ms, on_tick=None):
        """Advance the virtual time.

        :param duration_ms: time to pass.
        :param on_tick: called at each multiple of ``TICK_MS``.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self._next_ms())
            self._deliver()
            self._tick()
            if on_tick is not None and self.now_ms % TICK_MS == 0:
                on_tick()

    def _next_ms(self):
        due = [self._ticks_ms[node_id] for node_id in self.views]
        due += [event[0] for event in self._queue[:1]]
        due.append(self.now_ms - self.now_ms % TICK_MS + TICK_MS)
        return max(self.now_ms + 1, min(due))

    def _deliver(self):
        while self._queue and self._queue[0][0] <= self.now_ms:
            _, _, source, target, frames = heapq.heappop(self._queue)
            view = self.views.get(target)
            if view is None or (source, target) in self.cut:
                continue
            message = schema.decode(*frames)
            commands = view.receive(source, message, self.local(target))
            self.execute(target, commands)

    def _tick(self):
        for node_id, view in list(self.views.items()):
            if self._ticks_ms[node_id] > self.now_ms:
                continue
            self._ticks_ms[node_id] = self.now_ms + self.timing.gossip_ms
            self.execute(node_id, view.tick(self.local(node_id)))

    def states(self, server_id="s1"):
        """State of a server in each view where its lease runs, by node id."""
        return {
            node_id: record.state
            for node_id, view in self.views.items()
            for record in view.servers(self.local(node_id))
            if record.server_id == server_id
        }


def domain(size, seed=0, **fields):
    """Build one failure domain whose nodes know one seed; run it for 3 s."""
    network = Network(seed, **fields)
    records = [entry(f"e{number}") for number in range(size)]
    for record in records:
        network.add(record, [seed_of(records[0])])
    network.run(3000)
    return network


class Server:
    """A backend server that announces itself to one entry VM."""

    def __init__(self, network, server_id="s1", home="e0", incarnation=1):
        self.network = network
        self.server_id = server_id
        self.home = home
        self.incarnation = incarnation
        self.sequence = 0
        self.state = "ready"
        self.due_ms = 0
        self.domain = "fukuoka-a"

    def announce(self, **fields):
        self.sequence += 1
        document = announcement(
            self.server_id,
            self.incarnation,
            self.sequence,
            state=self.state,
            failure_domain=self.domain,
            **fields,
        )
        return self.network.announce(self.home, document)

    def step(self):
        if self.network.now_ms < self.due_ms:
            return
        self.due_ms = self.network.now_ms + 650
        if self.home in self.network.views:
            self.announce()
