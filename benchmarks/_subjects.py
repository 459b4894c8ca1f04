"""What is measured for the capacity page, by subject."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile
import time

from benchmarks import _fits
from benchmarks import _processes
from benchmarks import configuration
from benchmarks import consensus
from benchmarks import ledger
from benchmarks import limits
from benchmarks import links
from benchmarks import membership
from benchmarks import objects
from benchmarks import placement
from benchmarks import polls
from benchmarks import routing

ORGANISATIONS = (3_000, 9_000, 18_000)
ORGANISATIONS_A_CHANGE = 500
CHANGES = 30
IDLE_SECONDS = 10
#: Until a change is followed and snapshots are written.
SETTLE_SECONDS = 10
STEADY_VIRTUAL_SECONDS = 60
IMPORTS = {
    "the interpreter": "pass",
    "msgspec": "import msgspec",
    "pyzmq": "import zmq.asyncio",
    "litestar and uvicorn": "import litestar, uvicorn",
    "httpx": "import httpx",
    "prometheus_client": "import prometheus_client",
    "control role": "from buckthorntack import control",
    "entry role": "from buckthorntack import entry",
    "whole node": "from buckthorntack import node",
}


def measure_processes():
    """Memory and idle processor time of processes of each role."""
    roles = {"entry": ["entry"], "control": ["control"]}
    series, idle = _measure_roles(roles)
    more, both_idle = _measure_roles({"both": ["entry", "control"]})
    figures = {
        f"idle CPU, {name}, {count} organisations, ms/s": value
        for name, found in {**idle, **both_idle}.items()
        for count, value in found.items()
    }
    return series + more, figures


def _measure_roles(roles):
    memory = {name: [] for name in roles}
    idle = {name: {} for name in roles}
    counts = (0, *ORGANISATIONS)
    with (
        tempfile.TemporaryDirectory() as folder,
        _processes.Processes(folder, roles) as running,
    ):
        running.publish(0, configuration.base_objects())
        number = 1
        for last, count in zip((0, *counts), counts, strict=False):
            number = _publish(running, number, last, count)
            if not running.wait_in_force():
                print(f"{count} organisations: not in force", file=sys.stderr)
            time.sleep(SETTLE_SECONDS)
            for name, value in running.resident_mb().items():
                memory[name].append(value)
            if count in (counts[0], counts[-1]):
                found = running.cpu_ms_per_s(IDLE_SECONDS)
                for name, value in found.items():
                    idle[name][count] = value
    series = [
        _fits.Series(f"process, {n}", "organisations", "MiB", counts, values)
        for n, values in memory.items()
    ]
    return series, idle


def _publish(running, number, first, end):
    for start in range(first, end, ORGANISATIONS_A_CHANGE):
        put = []
        for place in range(start, min(end, start + ORGANISATIONS_A_CHANGE)):
            put.append(configuration.organisation(place))
            put.append(configuration.credential(place))
        running.publish(number, put)
        number += 1
    return number


def measure_imports():
    """Memory of a process that has only imported something."""
    return [], {
        f"{name}, MiB": _import_mb(code) for name, code in IMPORTS.items()
    }


def _import_mb(code):
    text = "from benchmarks import _resident; print(_resident.now_mb())"
    done = subprocess.run(
        [sys.executable, "-c", f"{code}\n{text}"],
        capture_output=True,
        check=True,
        text=True,
    )
    return float(done.stdout)


def measure_links():
    """Idle links, all to all, by number of peers."""
    nodes = (2, 4, 8, 16)
    found = [asyncio.run(links.measure_mesh(n, 3)) for n in nodes]
    peers = [n - 1 for n in nodes]
    series = [
        _fits.Series("links", "peers", "KiB", peers, [f[0] for f in found]),
        _fits.Series(
            "links", "peers", "us CPU/s", peers, [f[1] for f in found]
        ),
    ]
    figures = {
        "bytes/s of one opened pair of lanes, both directions": asyncio.run(
            links.measure_bytes(IDLE_SECONDS)
        ),
        "peers to which links can be opened, of 530": links.most_peers(530),
    }
    return series, figures


def measure_membership():
    """Membership by nodes, failure domains and regions."""
    series = []
    for name, shapes in membership.SWEEPS.items():
        found = [membership.measure(shape, 5) for shape in shapes]
        nodes = [shape.nodes for shape in shapes]
        for field in ("wire_bytes", "cpu_us"):
            values = [getattr(sample, field) for sample in found]
            series.append(
                _fits.Series(name, "nodes", f"{field}/s", nodes, values)
            )
    shapes = [membership.Shape(1, 1, count, 5) for count in (4, 8, 16, 32)]
    values = [membership.measure_memory(shape) / 1024 for shape in shapes]
    sizes = [shape.nodes for shape in shapes]
    series.append(
        _fits.Series("membership view", "nodes", "KiB", sizes, values)
    )
    return series, {}


def measure_configuration():
    """A change of an organisation, and a full copy, by organisations."""
    change_ms = []
    copy_kb = []
    for count in ORGANISATIONS:
        machine = configuration.Machine()
        machine.change(configuration.base_objects())
        for first in range(0, count, ORGANISATIONS_A_CHANGE):
            _put_organisations(machine, first)
        spent = [
            machine.change([configuration.organisation(place, "quota-7")])
            for place in range(CHANGES)
        ]
        change_ms.append(1000 * sum(spent) / CHANGES)
        copy_kb.append(len(machine.machine.log.encode_copy()) / 1024)
    delta = len(machine.machine.log.deltas()[-1])
    series = [
        _fits.Series(
            "change of an organisation",
            "organisations",
            "ms CPU",
            ORGANISATIONS,
            change_ms,
        ),
        _fits.Series(
            "full copy", "organisations", "KiB", ORGANISATIONS, copy_kb
        ),
    ]
    return series, {"delta of a change, bytes": delta}


def _put_organisations(machine, first):
    put = []
    for place in range(first, first + ORGANISATIONS_A_CHANGE):
        put.append(configuration.organisation(place))
        put.append(configuration.credential(place))
    machine.change(put)


def measure_polls():
    """A control VM by the entry VMs that follow it."""
    counts = (10, 38, 100, 530)
    found = [polls.measure(count) for count in counts]
    series = [
        _fits.Series(
            "control VM", "entry VMs", f"{field}/s", counts, list(values)
        )
        for field, values in zip(
            polls.Cost._fields, zip(*found, strict=True), strict=True
        )
    ]
    return series, {}


def measure_consensus():
    """An idle group by its replicas, in virtual time."""
    replicas = (3, 5, 9, 14)
    rates = []
    for count in replicas:
        group = consensus.VirtualGroup(count, 1)
        group.run(20 * consensus.SECOND)
        group.sent_bytes = 0
        begun = time.process_time()
        group.run(STEADY_VIRTUAL_SECONDS * consensus.SECOND)
        spent_s = time.process_time() - begun
        rates.append(
            (
                group.sent_bytes / STEADY_VIRTUAL_SECONDS,
                spent_s / STEADY_VIRTUAL_SECONDS / count * 1e6,
            )
        )
    series = [
        _fits.Series("idle group", "replicas", label, replicas, list(values))
        for label, values in zip(
            ("bytes/s of the group", "us CPU/s of a replica"),
            zip(*rates, strict=True),
            strict=True,
        )
    ]
    return series, {}


def measure_ledger():
    """Records of a ledger home, and claims of three replicas."""
    counts = (5_000, 20_000, 50_000)
    found = [ledger.fill(count) for count in counts]
    series = [
        _fits.Series(
            "ledger records",
            "records",
            "KiB",
            counts,
            [f.resident_bytes / 1024 for f in found],
        ),
        _fits.Series(
            "claim and outcome",
            "records",
            "s CPU",
            counts,
            [f.cpu_seconds for f in found],
        ),
    ]
    with tempfile.TemporaryDirectory() as folder:
        claims, syncs, middle, slow = asyncio.run(
            ledger.measure_claims(pathlib.Path(folder), 3, 64, 4)
        )
    figures = {
        "claims/s, 3 replicas in one process, 64 callers": claims,
        "syncs/s of the leader": syncs,
        "claim latency, median, ms": 1000 * middle,
        "claim latency, 99 in 100, ms": 1000 * slow,
    }
    return series, figures


def measure_placement():
    """A plan by engines, and a lease command."""
    engines = (10, 30, 90, 300, 1000)
    values = [placement.measure_plan(count) for count in engines]
    series = [_fits.Series("plan", "engines", "us CPU", engines, values)]
    return series, {"lease command, us": placement.measure_lease()}


def measure_routing():
    """A routing decision by backend servers known."""
    offered = routing.requests()
    sizes = (10, 100, 300, 1000)
    values = [
        routing.measure(routing.routing.Router, size, offered)[1]
        for size in sizes
    ]
    name = "routing decision with bookkeeping"
    series = [_fits.Series(name, "servers", "us CPU", sizes, values)]
    return series, {
        "hashing a prompt of 100,000 bytes, us": routing.measure_hashes(
            100_000
        )
    }


def measure_objects():
    """The published set by organisations."""
    values = []
    for count in ORGANISATIONS:
        named_objects = objects.make_set(count)
        values.append(
            objects.median_ms(lambda n=named_objects: objects.objects.check(n))
        )
    name = "check of the whole set"
    return [
        _fits.Series(name, "organisations", "ms", ORGANISATIONS, values)
    ], {}


def measure_limits():
    """Admission by organisations active, and what it reports."""
    counts = (1_000, 6_000, 18_000)
    found = [limits.measure_admission(count) for count in counts]
    totals = [
        count * f[1] / 1024 for count, f in zip(counts, found, strict=True)
    ]
    named = (1, 100, 250)
    reports = [limits.measure_report(count)[0] for count in named]
    series = [
        _fits.Series("admission", "organisations", "KiB", counts, totals),
        _fits.Series(
            "admission of a request",
            "organisations",
            "us",
            counts,
            [f[0] for f in found],
        ),
        _fits.Series("usage report", "organisations", "bytes", named, reports),
    ]
    return series, {
        "prefix index, bytes a block": limits.measure_prefixes(30_000)
    }


SUBJECTS = {
    "imports": measure_imports,
    "processes": measure_processes,
    "links": measure_links,
    "membership": measure_membership,
    "configuration": measure_configuration,
    "polls": measure_polls,
    "consensus": measure_consensus,
    "ledger": measure_ledger,
    "placement": measure_placement,
    "routing": measure_routing,
    "objects": measure_objects,
    "limits": measure_limits,
}
