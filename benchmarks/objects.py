"""Measure the check and the read view of operators' objects.

Run ``python -m benchmarks.objects``; ``--organisations`` sets the size.
"""

import argparse
import gc
import hashlib
import json
import statistics
import time
import timeit
import tracemalloc

from buckthorntack import objects
from buckthorntack import schema

ROUNDS = 5
LOOKUPS = 10_000
REGIONS = 9
FAILURE_DOMAINS = 30
MODELS = 8
QUOTAS = 20
PRIORITIES = 5
#: Share of organisations bound to one region.
BOUND_PERCENT = 28


def _entry(object_kind, **fields):
    return {"kind": object_kind, "object": fields}


def _topology():
    names = [f"region-{number}" for number in range(REGIONS)]
    for name in names:
        yield _entry("Region", name=name)
        yield _entry("ResidencyRule", name=f"{name}-only", regions=[name])
    yield _entry("ResidencyRule", name="all", regions=names)
    for number in range(FAILURE_DOMAINS):
        region = names[number % REGIONS]
        yield _entry("FailureDomain", name=f"domain-{number}", region=region)


def _terms():
    weights = ("tail_latency_weight", "cost_weight", "share_away_weight")
    yield _entry("DeploymentTerms", name="terms", **dict.fromkeys(weights, 1))
    for number in range(PRIORITIES):
        name = f"priority-{number}"
        yield _entry("Priority", name=name, rank=number, weight=1.0)
    for number in range(QUOTAS):
        yield _entry(
            "Quota",
            name=f"quota-{number}",
            requests_per_second=10 + number,
            burst_requests=100,
            tokens_per_minute=100_000,
        )


def _services():
    domains = [f"domain-{number}" for number in range(FAILURE_DOMAINS)]
    for number in range(MODELS):
        version = f"model-{number}-v1"
        yield _entry(
            "ModelVersion",
            name=version,
            model=f"model-{number}",
            version="v1",
            weights_bytes=10**10,
        )
        yield _entry(
            "Service",
            name=f"service-{number}",
            kind="model",
            terms="terms",
            model_versions=[version],
        )
        yield _entry(
            "BackendServerPool",
            name=f"pool-{number}",
            service=f"service-{number}",
            failure_domains=domains,
            model_versions=[version],
            cost_per_hour=2.0,
            checks_fencing=True,
        )


def _organisations(count):
    services = [f"service-{number}" for number in range(MODELS)]
    for number in range(count):
        bound = number % 100 < BOUND_PERCENT
        rule = f"region-{number % REGIONS}-only" if bound else "all"
        token = hashlib.sha256(str(number).encode())
        yield _entry(
            "Organisation",
            name=f"organisation-{number}",
            residency_rule=rule,
            priority=f"priority-{number % PRIORITIES}",
            quota=f"quota-{number % QUOTAS}",
            services=services,
        )
        yield _entry(
            "CallerCredential",
            name=f"credential-{number}",
            organisation=f"organisation-{number}",
            token_sha256=token.hexdigest(),
        )


def make_set(organisations):
    """A sound set, parsed from JSON as a real one would be.

    :param organisations: how many it holds.
    """
    parts = (_topology(), _terms(), _services(), _organisations(organisations))
    named_objects = [entry for part in parts for entry in part]
    return json.loads(json.dumps(named_objects))


def median_ms(call):
    """Median time of a call.

    :param call: function without arguments.
    :returns: milliseconds.
    """
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        call()
        times.append(time.perf_counter() - started)
    return statistics.median(times) * 1000


def _changes(named_objects):
    """A change of one object of each kind, to itself."""
    for kind in objects.KINDS:
        entry = next(e for e in named_objects if e["kind"] == kind)
        yield kind, [entry]


def _bytes_per_organisation(named_objects, organisations):
    text = json.dumps(named_objects)
    gc.collect()
    tracemalloc.start()
    published = objects.PublishedSet(1, json.loads(text))
    published.credential("00" * 32)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / organisations


def _shape_us(document):
    """Time to check the shape of one organisation."""
    total = timeit.timeit(
        lambda: schema.validate_document("objects", "Organisation", document),
        number=LOOKUPS // 10,
    )
    return total / (LOOKUPS // 10) * 1e6


def _lookups(published):
    """Calls that a request makes."""
    digest = hashlib.sha256(b"7").digest()
    name = "organisation-7"
    return {
        "credential": lambda: published.credential(digest),
        "allowed_regions": lambda: published.allowed_regions(name),
        "may_use": lambda: published.may_use(name, "service-1"),
        "resolve_model": lambda: published.resolve_model("model-1"),
        "quota": lambda: published.quota(name),
        "priority": lambda: published.priority(name),
    }


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--organisations", type=int, default=18_000)
    organisations = parser.parse_args().organisations
    named_objects = make_set(organisations)
    assert objects.check(named_objects) == []
    document = named_objects[-2]["object"]
    sound = _shape_us(document)
    faulty = _shape_us({**document, "quota": "NO NAME"})
    whole = median_ms(lambda: objects.check(named_objects))
    print(f"{organisations} organisations, {len(named_objects)} objects")
    print(
        f"shape of one organisation: sound {sound:.1f} us, "
        f"faulty {faulty:.1f} us"
    )
    print(f"check of the whole set: {whole:.0f} ms")
    published = objects.PublishedSet(1, named_objects)
    for kind, put in _changes(named_objects):
        checked = median_ms(
            lambda put=put: objects.check_change(published, put, ())
        )
        made = median_ms(lambda put=put: published.with_changes(2, put, ()))
        line = f"check {checked:.1f} ms, new set {made:.1f} ms"
        print(f"change of one {kind}: {line}")
    for lookup, call in _lookups(published).items():
        total = timeit.timeit(call, number=LOOKUPS)
        print(f"lookup {lookup}: {total / LOOKUPS * 1e6:.2f} us")
    held = _bytes_per_organisation(named_objects, organisations)
    print(f"bytes an organisation with one credential: {held:.0f}")


if __name__ == "__main__":
    main()
