"""Cost of a change of the configuration at the size to design for.

Run: python -m benchmarks.configuration --save FILE, then, for the memory of
an entry VM, python -m benchmarks.configuration --load FILE
"""

import argparse
import ctypes
import functools
import gc
import pathlib
import resource
import time

from buckthorntack import configuration
from buckthorntack import objects
from buckthorntack import schema

ORGANISATIONS = 18_000
CHANGES_PER_DAY = 3_000
CHANGES = 200
REGIONS = [f"region-{place}" for place in range(9)]
RULES = 40
MEBIBYTE = 1 << 20


def resident_bytes():
    """Memory of this process now."""
    gc.collect()
    ctypes.CDLL(None).malloc_trim(0)
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def organisation(place, quota="quota-0"):
    """An organisation as a named object.

    :param place: its number.
    :param quota: name of its quota.
    """
    return {
        "kind": "Organisation",
        "object": {
            "name": f"organisation-{place}",
            "residency_rule": f"rule-{place % RULES}",
            "priority": "normal",
            "quota": quota,
            "services": ["model", "desk"],
        },
    }


def credential(place, version=0):
    """A credential of an organisation.

    :param place: number of the organisation.
    :param version: number of its token.
    """
    return {
        "kind": "CallerCredential",
        "object": {
            "name": f"credential-{place}",
            "organisation": f"organisation-{place}",
            "token_sha256": f"{place:060x}{version:04x}",
        },
    }


def rule(place, regions):
    """A residency rule.

    :param place: its number.
    :param regions: names of regions.
    """
    return {
        "kind": "ResidencyRule",
        "object": {"name": f"rule-{place}", "regions": regions},
    }


def rule_regions(place):
    """Regions of a rule.

    :param place: its number.
    """
    return REGIONS if place % 4 else REGIONS[: 2 + place % 5]


def base_objects():
    """All objects but organisations and their credentials."""
    found = []
    for region in REGIONS:
        found.append({"kind": "Region", "object": {"name": region}})
        domain = {"name": f"{region}-a", "region": region}
        found.append({"kind": "FailureDomain", "object": domain})
    found += [rule(place, rule_regions(place)) for place in range(RULES)]
    found += _services()
    for place in range(20):
        quota = {
            "name": f"quota-{place}",
            "requests_per_second": 5,
            "burst_requests": 10,
            "tokens_per_minute": 1000,
        }
        found.append({"kind": "Quota", "object": quota})
    return found


def whole_set():
    """All objects at the size to design for."""
    found = base_objects()
    for place in range(ORGANISATIONS):
        found.append(organisation(place))
        found.append(credential(place))
    return found


def _services():
    terms = {
        "name": "terms",
        "tail_latency_weight": 1,
        "cost_weight": 1,
        "share_away_weight": 1,
    }
    version = {
        "name": "m-1",
        "model": "m",
        "version": "1",
        "weights_bytes": 1,
    }
    model = {
        "name": "model",
        "kind": "model",
        "terms": "terms",
        "model_versions": ["m-1"],
    }
    call = {"method": "POST", "path": "/bookings", "idempotent": False}
    desk = {
        "name": "desk",
        "kind": "plain",
        "terms": "terms",
        "calls": [call],
    }
    pool = {
        "name": "pool-model",
        "service": "model",
        "failure_domains": [f"{region}-a" for region in REGIONS],
        "model_versions": ["m-1"],
        "cost_per_hour": 1,
        "checks_fencing": True,
    }
    others = {**pool, "name": "pool-desk", "service": "desk"}
    del others["model_versions"]
    pairs = [
        ("Priority", {"name": "normal", "rank": 1, "weight": 1}),
        ("DeploymentTerms", terms),
        ("ModelVersion", version),
        ("Service", model),
        ("Service", desk),
        ("BackendServerPool", pool),
        ("BackendServerPool", others),
    ]
    return [{"kind": kind, "object": one} for kind, one in pairs]


class Machine:
    """A machine that takes changes in turn."""

    def __init__(self):
        self.machine = configuration.ConfigurationMachine()
        self.index = 0
        self.proposal_bytes = 0

    def change(self, put, replace_all=False):
        """Apply a change; gives the CPU time in seconds.

        :param put: named objects.
        :param replace_all: whether the others are removed.
        """
        self.index += 1
        change = {
            "change_id": f"change-{self.index}",
            "base_revision": self.machine.revision,
            "put": put,
            "replace_all": replace_all,
        }
        proposal = configuration.make_proposal(change, "ops", self.index)
        command = schema.pack(proposal)
        self.proposal_bytes += len(command)
        start = time.process_time()
        result = self.machine.apply(self.index, command).ok
        seconds = time.process_time() - start
        if not result["accepted"]:
            raise RuntimeError(result)
        return seconds


def measure(machine, name, make):
    """Apply many changes of a kind and print what one costs.

    :param machine: the :class:`Machine`.
    :param name: what to call the kind.
    :param make: gives the objects of a change by its number.
    """
    before = machine.proposal_bytes
    seconds = [machine.change(make(place)) for place in range(CHANGES)]
    mean_ms = 1000 * sum(seconds) / CHANGES
    size = (machine.proposal_bytes - before) / CHANGES
    delta = len(machine.machine.log.deltas()[-1])
    share = mean_ms / 1000 * CHANGES_PER_DAY / 86_400
    print(
        f"{name}: {mean_ms:.2f} ms CPU, log {size:.0f} bytes, "
        f"delta {delta} bytes, {share:.3%} of a core at "
        f"{CHANGES_PER_DAY} a day"
    )


def timed(name, function):
    """Print the CPU time of a call.

    :param name: what to call it.
    :param function: what to call.
    """
    start = time.process_time()
    result = function()
    print(f"{name}: {1000 * (time.process_time() - start):.0f} ms CPU")
    return result


def measure_load(path):
    """Print memory of a set that is loaded from a copy.

    :param path: file with the copy.
    """
    copy = path.read_bytes()
    log = configuration.PublishedLog()
    start = resident_bytes()
    timed("loading a full copy", lambda: log.load(copy))
    used = (resident_bytes() - start) / MEBIBYTE
    print(f"{len(log.published)} objects: +{used:.1f} MiB resident")


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--save", type=pathlib.Path, help="write the copy")
    parser.add_argument("--load", type=pathlib.Path, help="only load a copy")
    arguments = parser.parse_args()
    objects.check([])
    if arguments.load:
        measure_load(arguments.load)
        return
    copy = measure_changes()
    if arguments.save:
        arguments.save.write_bytes(copy)


def measure_changes():
    """Print what changes cost; gives the copy at the end."""
    start = resident_bytes()
    put = whole_set()
    print(f"{len(put)} objects, {ORGANISATIONS} organisations")
    machine = Machine()
    seconds = machine.change(put)
    del put
    used = (resident_bytes() - start) / MEBIBYTE
    print(f"first change: {seconds:.2f} s CPU, +{used:.1f} MiB resident")
    start_bytes = resident_bytes()
    measure(
        machine,
        "organisation",
        lambda place: [organisation(place, f"quota-{1 + place % 19}")],
    )
    measure(machine, "credential", lambda place: [credential(place, 1)])
    measure(
        machine,
        "quota",
        lambda place: [
            {
                "kind": "Quota",
                "object": {
                    "name": "quota-0",
                    "requests_per_second": 5,
                    "burst_requests": 11 + place,
                    "tokens_per_minute": 1000,
                },
            }
        ],
    )
    measure(
        machine,
        "residency rule",
        lambda place: [rule(4, REGIONS[: 2 + place % 7])],
    )
    used = (resident_bytes() - start_bytes) / MEBIBYTE
    print(f"after {machine.index} changes: +{used:.1f} MiB resident")
    named = list(machine.machine.published.named_objects())
    timed("check of the whole set", functools.partial(objects.check, named))
    named.clear()
    copy = timed("encoding a full copy", machine.machine.log.encode_copy)
    print(f"full copy: {len(copy) / MEBIBYTE:.2f} MiB")
    snapshot = timed("snapshot", machine.machine.snapshot)
    print(f"snapshot: {len(snapshot) / MEBIBYTE:.2f} MiB")
    restored = configuration.ConfigurationMachine()
    timed("restore", lambda: restored.restore(snapshot))
    return copy


if __name__ == "__main__":
    main()
