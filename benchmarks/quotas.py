"""Cost of shared quotas: time, memory and bytes on the wire of an entry VM.

Run ``python -m benchmarks.quotas`` at the root of the sources.
"""

import random
import time
import tracemalloc

from buckthorntack import admission
from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack import schema
from buckthorntack.schema import messages

REGIONS = ("north", "centre", "south")
ENTRY_VMS = (75, 194, 530)
ORGANISATIONS = 18_000
#: Requests that an entry VM gets a second, as on the large deployments.
REQUESTS_PER_S = 3.0
#: Times between two reports.
LOCAL_PERIOD_S = 0.075
REGION_PERIOD_S = 0.3
QUOTA = directives.Quota(directives.QuotaUnit.TOKENS, 1_000.0, 2_000.0, 400.0)


def make_quotas():
    """Make the quotas of one entry VM."""
    return admission.OrganisationQuotas(
        "north",
        REGIONS,
        admission.QuotaTolerance(8.0, 0.1, 190_000.0),
        lambda name: QUOTA,
        random.Random(1),
        0.0,
    )


def measure_charges(organisations):
    """Measure requests of organisations that take turns.

    :param organisations: number of them.
    :returns: microseconds a request, bytes an organisation.
    """
    count = max(20_000, organisations)
    quotas = make_quotas()
    start_s = time.perf_counter()
    for number in range(count):
        quotas.charge(
            f"organisation-{number % organisations}",
            QUOTA,
            400.0,
            number / 1e3,
        )
    spent_s = time.perf_counter() - start_s
    tracemalloc.start()
    quotas = make_quotas()
    for number in range(organisations):
        quotas.charge(f"organisation-{number}", QUOTA, 400.0, number / 1e6)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return spent_s / count * 1e6, used_bytes / len(quotas)


def _sample(rng, requests):
    """Return the updates that a number of requests make."""
    sums = dispatch.UsageExchange(
        dispatch.Fleet(dispatch.DispatchSettings()), "vm", "a"
    ).organisations
    for _ in range(requests):
        name = f"organisation-{rng.randrange(ORGANISATIONS)}"
        sums.add(messages.OrganisationUse(name, 400.0, 400.0))
    return sums.take_own_updates()


def _count_bytes(updates):
    """Size that updates add to a report."""
    reports = [
        messages.RegionLoad("north", [], [], [], part)
        for part in (updates, [])
    ]
    full, empty = (len(schema.encode(report)[1]) for report in reports)
    return full - empty


def measure_reports(entry_vms, seconds=20):
    """Measure the reports that one entry VM gets.

    :param entry_vms: number of them, in all regions.
    :param seconds: virtual time.
    :returns: share of a core, bytes a second.
    """
    rng = random.Random(1)
    quotas = make_quotas()
    region_per_s = entry_vms / len(REGIONS) * REQUESTS_PER_S
    spent_s, size_bytes = 0.0, 0
    rounds = round(seconds / LOCAL_PERIOD_S)
    for number in range(rounds):
        now_s = number * LOCAL_PERIOD_S
        reports = [("", _sample(rng, round(region_per_s * LOCAL_PERIOD_S)))]
        if number % 4 == 0:
            reports += [
                (region, _sample(rng, round(region_per_s * REGION_PERIOD_S)))
                for region in REGIONS[1:]
            ]
        for region, updates in reports:
            size_bytes += _count_bytes(updates)
            start_s = time.perf_counter()
            if region:
                quotas.on_region_updates(region, updates, now_s)
            else:
                quotas.on_local_updates(updates, now_s)
            spent_s += time.perf_counter() - start_s
    return spent_s / seconds, size_bytes / seconds, len(quotas)


def main():
    """Print all figures."""
    for count in (16, 1_000, ORGANISATIONS):
        spent_us, used_bytes = measure_charges(count)
        print(
            f"{count} organisations: {spent_us:.1f} us a request, "
            f"{used_bytes:.0f} bytes an organisation"
        )
    for count in ENTRY_VMS:
        share, rate, active = measure_reports(count)
        print(
            f"{count} entry VMs: {share:.4f} of a core and {rate / 1e3:.1f} "
            f"kB/s for reports at one of them, {active} organisations active"
        )


if __name__ == "__main__":
    main()
