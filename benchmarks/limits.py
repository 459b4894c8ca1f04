"""Cost of admission and quarantine: time, memory and bytes on the wire.

Run ``python -m benchmarks.limits`` at the root of the sources.
"""

import datetime
import random
import time
import tracemalloc

from buckthorntack import admission
from buckthorntack import retries
from buckthorntack import routing
from buckthorntack import schema

LIMITS = admission.QuotaLimits(100.0, 200, 10_000_000)
ORGANISATIONS = (10, 1000, 18_000)
ROUNDS = 3


def now_of(number):
    """Virtual time of the n-th request.

    :param number: the request.
    :returns: monotonic time.
    """
    return datetime.timedelta(milliseconds=number)


def make_controller():
    """Make a controller with ample capacity.

    :returns: ``AdmissionController``.
    """
    settings = admission.AdmissionSettings()
    controller = admission.AdmissionController(
        "entry-1", 1, settings, random.Random(1)
    )
    controller.set_entry_count(530)
    controller.set_capacity("pitchwriter", 64, now_of(0))
    return controller


def offer(controller, number, organisations):
    """Offer, tick and finish one request.

    :param controller: ``AdmissionController``.
    :param number: its number, which is the time in milliseconds.
    :param organisations: organisations that take turns.
    """
    name = f"r{number}"
    request = admission.AdmissionRequest(
        name,
        f"organisation-{number % organisations}",
        "pitchwriter",
        1,
        1.0,
        LIMITS,
        100,
        1000,
    )
    controller.offer(request, now_of(number))
    controller.tick(now_of(number))
    controller.on_request_finished(name, 50, now_of(number))


def measure_admission(organisations):
    """Measure requests of many organisations.

    :param organisations: how many take turns.
    :returns: microseconds a request, bytes an organisation.
    """
    requests = max(20_000, organisations)
    controller = make_controller()
    start_s = time.perf_counter()
    for number in range(requests):
        offer(controller, number, organisations)
    spent_s = time.perf_counter() - start_s
    tracemalloc.start()
    controller = make_controller()
    for number in range(organisations):
        offer(controller, number, organisations)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    active = controller.active_organisations()
    return spent_s / requests * 1e6, used_bytes / active


def measure_report(organisations):
    """Measure a usage report.

    :param organisations: organisations that lack quota.
    :returns: bytes of the encoded report, microseconds to make it.
    """
    controller = make_controller()
    for number in range(organisations * 20):
        offer(controller, number, organisations)
    start_s = time.perf_counter()
    report = controller.build_usage_report(now_of(organisations * 20))
    spent_s = time.perf_counter() - start_s
    _, payload = schema.encode(report)
    return len(payload), spent_s * 1e6


def measure_quarantine(fingerprints):
    """Measure the evidence of crashes.

    :param fingerprints: requests that were running.
    :returns: bytes a fingerprint, microseconds a fingerprint.
    """
    now = now_of(0)
    names = frozenset(
        retries.fingerprint("shops", "pitchwriter", b"%d" % number)
        for number in range(fingerprints)
    )
    tracemalloc.start()
    quarantine = retries.Quarantine("entry-1", retries.QuarantineSettings())
    start_s = time.perf_counter()
    quarantine.on_server_crashed("server-1", 1, names, now)
    spent_s = time.perf_counter() - start_s
    quarantine.take_items()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / fingerprints, spent_s / fingerprints * 1e6


def measure_prefixes(blocks):
    """Measure the index of cached prefixes.

    :param blocks: blocks remembered.
    :returns: bytes a block.
    """
    rng = random.Random(1)
    tracemalloc.start()
    index = routing.PrefixIndex(blocks)
    for number in range(blocks // 50):
        hashes = tuple(rng.getrandbits(64) for _ in range(50))
        index.record_placement(f"server-{number % 90}", hashes)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / len(index)


def main():
    """Print all figures."""
    for count in ORGANISATIONS:
        spent_us, used_bytes = measure_admission(count)
        print(
            f"{count} organisations: {spent_us:.1f} us a request, "
            f"{used_bytes:.0f} bytes an organisation"
        )
    for count in (1, 100, 250):
        size_bytes, spent_us = measure_report(count)
        print(
            f"usage report naming {count}: {size_bytes} bytes, "
            f"{spent_us:.0f} us"
        )
    used_bytes, spent_us = measure_quarantine(1000)
    print(
        f"evidence: {used_bytes:.0f} bytes and {spent_us:.1f} us a "
        "fingerprint (with memory tracing)"
    )
    print(f"prefix index: {measure_prefixes(30_000):.0f} bytes a block")


if __name__ == "__main__":
    main()
