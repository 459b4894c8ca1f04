"""Bytes and processor time of membership per node and second.

Runs views of many nodes in one process and in virtual time, with every
message encoded and decoded.  Usage::

    python -m benchmarks.membership [--seconds 20] [--full]
"""

import argparse
import datetime
import gc
import heapq
import itertools
import json
import random
import time
import tracemalloc
from typing import NamedTuple

import numpy

from buckthorntack import membership
from buckthorntack import schema
from buckthorntack.schema import messages

#: Frames, TCP and IP headers that a message costs on the wire.
OVERHEAD_BYTES = 66
RENEW_MS = 650
WARMUP_MS = 15_000
MODEL_VERSIONS = 8


class Shape(NamedTuple):
    """Size of a deployment."""

    regions: int
    domains_per_region: int
    nodes_per_domain: int
    servers_per_node: int

    @property
    def domains(self):
        """Failure domains."""
        return self.regions * self.domains_per_region

    @property
    def nodes(self):
        """Entry VMs."""
        return self.domains * self.nodes_per_domain

    @property
    def servers(self):
        """Backend servers."""
        return self.nodes * self.servers_per_node


class Sample(NamedTuple):
    """What one size costs, per node and second."""

    shape: Shape
    messages: float
    payload_bytes: float
    wire_bytes: float
    most_wire_bytes: float
    cpu_us: float
    servers_known: float
    domains_known: float


class Fleet:
    """Views of all nodes and the messages between them.

    :param shape: how many nodes and servers there are.
    """

    def __init__(self, shape):
        self.shape = shape
        self.timing = membership.MembershipTiming()
        self.rng = random.Random(1)
        self.views = {}
        self.domains = {}
        self.now_ms = 0
        self.cpu_ns = 0
        self.sent = {}
        self.payload = {}
        self._numbers = itertools.count()
        self._queue = []
        self._build()

    def _build(self):
        seeds = [_seed(f"r{r}-d0-n0") for r in range(self.shape.regions)]
        for domain in self._domain_names():
            node_ids = [
                f"{domain}-n{n}" for n in range(self.shape.nodes_per_domain)
            ]
            self.domains[domain] = node_ids
            for node_id in node_ids:
                self._add_node(node_id, [*seeds, _seed(node_ids[0])])
            for node_id in node_ids:
                self._add_servers(node_id)

    def _domain_names(self):
        for region in range(self.shape.regions):
            for domain in range(self.shape.domains_per_region):
                yield f"r{region}-d{domain}"

    def _add_node(self, node_id, seeds):
        rng = random.Random(node_id)
        view = membership.MembershipView(
            _entry(node_id), seeds, self.timing, rng
        )
        self.views[node_id] = view
        self.sent[node_id] = self.payload[node_id] = 0
        self._at(self.rng.randrange(300), self._tick, node_id)

    def _add_servers(self, node_id):
        for number in range(self.shape.servers_per_node):
            server_id = f"{node_id}-engine-{number:03}"
            at_ms = self.rng.randrange(RENEW_MS)
            self._at(at_ms, self._announce, node_id, server_id, 1)

    def _at(self, at_ms, function, *arguments):
        event = (at_ms, next(self._numbers), function, arguments)
        heapq.heappush(self._queue, event)

    def _tick(self, node_id):
        now = datetime.timedelta(milliseconds=self.now_ms)
        self._perform(node_id, lambda: self.views[node_id].tick(now))
        self._at(self.now_ms + self.timing.gossip_ms, self._tick, node_id)

    def _announce(self, node_id, server_id, sequence):
        now = datetime.timedelta(milliseconds=self.now_ms)
        document = self._document(server_id, sequence)
        view = self.views[node_id]
        self._perform(node_id, lambda: view.announce(document, "s", now)[1])
        self._at(
            self.now_ms + RENEW_MS,
            self._announce,
            node_id,
            server_id,
            sequence + 1,
        )

    def _document(self, server_id, sequence):
        number = int(server_id[-3:])
        return {
            "server_id": server_id,
            "incarnation": 1_790_000_000_000,
            "sequence": sequence,
            "state": "ready",
            "pool": "pool",
            "failure_domain": server_id.rsplit("-n", 1)[0],
            "url": "http://10.20.30.40:8000",
            "slots": 16,
            "model_versions": [f"model-{number % MODEL_VERSIONS}-v1"],
            "role": "both",
            "load": {
                "running": self.rng.randrange(17),
                "waiting": self.rng.randrange(200),
                "cache_used_fraction": self.rng.random(),
                "lag_ms": self.rng.randrange(500),
            },
        }

    def _receive(self, source, target, frames):
        now = datetime.timedelta(milliseconds=self.now_ms)
        view = self.views[target]
        self._perform(
            target,
            lambda: view.receive(source, schema.decode(*frames), now),
        )

    def _perform(self, node_id, function):
        start_ns = time.thread_time_ns()
        commands = function()
        posts = [
            (command.to, schema.encode(command.message))
            for command in commands
            if isinstance(command, membership.SendMessage)
        ]
        self.cpu_ns += time.thread_time_ns() - start_ns
        self.sent[node_id] += len(posts)
        for target, frames in posts:
            self.payload[node_id] += sum(map(len, frames))
            delay_ms = self._delay_ms(node_id, target)
            self._at(
                self.now_ms + delay_ms, self._receive, node_id, target, frames
            )

    @staticmethod
    def _delay_ms(source, target):
        return 2 if source[:2] == target[:2] else 55

    def drop_queue(self):
        """Forget all that is still to happen."""
        self._queue.clear()

    def run(self, duration_ms):
        """Let virtual time pass.

        :param duration_ms: how long.
        """
        end_ms = self.now_ms + duration_ms
        while self._queue[0][0] <= end_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now_ms = end_ms


def _entry(node_id):
    domain = node_id.rsplit("-n", 1)[0]
    return messages.EntryRecord(
        node_id,
        1_790_000_000_000,
        1,
        "ready",
        domain.split("-")[0],
        domain,
        "https://10.20.30.40:8443",
        "10.20.30.40:7400",
        3000,
        0,
        100,
    )


def _seed(node_id):
    domain = node_id.rsplit("-n", 1)[0]
    return {
        "node_id": node_id,
        "link_address": "10.20.30.40:7400",
        "region": domain.split("-")[0],
        "failure_domain": domain,
        "roles": ["entry"],
    }


def measure(shape, seconds, warmup_ms=WARMUP_MS):
    """Cost of one size after a warm-up.

    :param shape: the size.
    :param seconds: virtual seconds measured.
    :param warmup_ms: virtual time before.
    """
    fleet = Fleet(shape)
    fleet.run(warmup_ms)
    fleet.cpu_ns = 0
    fleet.sent = dict.fromkeys(fleet.sent, 0)
    fleet.payload = dict.fromkeys(fleet.payload, 0)
    fleet.run(seconds * 1000)
    wire = [
        fleet.payload[n] + OVERHEAD_BYTES * fleet.sent[n] for n in fleet.views
    ]
    now = datetime.timedelta(milliseconds=fleet.now_ms)
    views = fleet.views.values()
    per_node = 1 / seconds / shape.nodes
    return Sample(
        shape,
        sum(fleet.sent.values()) * per_node,
        sum(fleet.payload.values()) * per_node,
        sum(wire) * per_node,
        max(wire) / seconds,
        fleet.cpu_ns / 1000 * per_node,
        sum(len(view.servers(now)) for view in views) / shape.nodes,
        sum(len(view.summaries(now)) for view in views) / shape.nodes,
    )


SWEEPS = {
    "nodes of one failure domain, 5 backend servers each": [
        Shape(1, 1, nodes, 5) for nodes in (2, 4, 8, 16, 32, 64)
    ],
    "failure domains of one region, 6 nodes each": [
        Shape(1, domains, 6, 5) for domains in (1, 2, 4, 8, 16)
    ],
    "regions with 2 failure domains of 4 nodes": [
        Shape(regions, 2, 4, 5) for regions in (1, 2, 4, 8, 15)
    ],
}
#: 9 regions, 30 failure domains and 530 nodes, as nearly as equal parts go.
FULL = Shape(9, 3, 20, 5)


def fit(samples, field):
    """Linear fit of a field by the number of nodes.

    :param samples: the samples.
    :param field: name of the field.
    :returns: slope, intercept, largest residual.
    """
    nodes = [sample.shape.nodes for sample in samples]
    values = [getattr(sample, field) for sample in samples]
    slope, intercept = numpy.polyfit(nodes, values, 1)
    residuals = numpy.array(values) - (slope * numpy.array(nodes) + intercept)
    return slope, intercept, max(abs(residuals))


def report(name, samples):
    """Print a table and its fits.

    :param name: what was varied.
    :param samples: the samples.
    """
    print(f"\n{name}\n")
    print("| regions | domains | nodes | servers | messages/s | payload B/s")
    print("| wire B/s | most wire B/s | CPU us/s | servers known |")
    for s in samples:
        print(
            f"| {s.shape.regions} | {s.shape.domains} | {s.shape.nodes} "
            f"| {s.shape.servers} | {s.messages:.1f} | {s.payload_bytes:.0f} "
            f"| {s.wire_bytes:.0f} | {s.most_wire_bytes:.0f} "
            f"| {s.cpu_us:.0f} | {s.servers_known:.1f} "
            f"| {s.domains_known:.1f} |"
        )
    if len(samples) < 3:
        return
    for field in ("payload_bytes", "wire_bytes", "cpu_us"):
        slope, intercept, residual = fit(samples, field)
        print(
            f"{field} = {slope:.1f} x nodes + {intercept:.0f}, "
            f"largest residual {residual:.0f}"
        )


def measure_memory(shape):
    """Bytes that one view keeps, with its share of nothing else.

    :param shape: the size.
    """
    tracemalloc.start()
    fleet = Fleet(shape)
    fleet.run(WARMUP_MS)
    fleet.drop_queue()
    gc.collect()
    before, _ = tracemalloc.get_traced_memory()
    count = len(fleet.views)
    fleet.views.clear()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (before - after) / count


def report_memory():
    """Print the memory of a view at several sizes."""
    shapes = [Shape(1, 1, nodes, 5) for nodes in (4, 8, 16, 32)]
    print("\nmemory of one view: nodes, backend servers, bytes\n")
    for shape in shapes:
        size = measure_memory(shape)
        print(f"| {shape.nodes} | {shape.servers} | {size:.0f} |")


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--json", help="file for the samples")
    arguments = parser.parse_args()
    results = {}
    for name, shapes in SWEEPS.items():
        results[name] = [measure(s, arguments.seconds) for s in shapes]
        report(name, results[name])
    if arguments.full:
        sample = measure(FULL, arguments.seconds, 2 * WARMUP_MS)
        results["full"] = [sample]
        report("full size", results["full"])
    report_memory()
    if arguments.json:
        with open(arguments.json, "w") as target:
            json.dump(results, target)


if __name__ == "__main__":
    main()
