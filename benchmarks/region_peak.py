"""Plays one region's peak of a large deployment in virtual time.

31 engines and 60 entry VMs in three regions; one of them has most of the
requests.  Prints what became of the requests of each kind, and with
organisations also of each of them.  Usage::

    python -m benchmarks.region_peak [--region north] [--load 1.6] [--seed 1]
        [--organisations [--unranked]]
        [--uneven]
"""

import argparse
import collections
import datetime
import random

from buckthorntack import directives
from buckthorntack import emulator
from buckthorntack.directives.tests import _documents

_MS = datetime.timedelta(milliseconds=1)
ENTRIES = 20
#: Engines of each region, and its part of the requests at its peak.
REGIONS = {"north": (14, 273.0), "middle": (10, 228.0), "south": (7, 195.0)}
#: Questions may be served in these only.
HOMES = frozenset(("north", "middle"))
PEAK_TIMES = 2.8
NIGHT_TIMES = 0.17
REVIEW_SHARE = 0.057
QUESTION_SHARE = 0.684


def kinds(peak, load):
    """The kinds of request.

    :param peak: the region that has its peak.
    :param load: factor of all rates.
    """
    review = _documents.route(
        "review",
        objective=863 * _MS,
        pause_objective=300 * _MS,
        timeout=6475 * _MS,
        priority=1,
        max_attempts=1,
        resumable=False,
    )
    question = _documents.route(
        "question",
        objective=623 * _MS,
        pause_objective=300 * _MS,
        timeout=4156 * _MS,
        allowed_regions=HOMES,
    )
    rates = {
        region: rate * load * (PEAK_TIMES if region == peak else NIGHT_TIMES)
        for region, (_, rate) in REGIONS.items()
    }
    away = sum(rate for name, rate in rates.items() if name not in HOMES)
    return [
        emulator.Kind(
            review,
            {name: rate * REVIEW_SHARE for name, rate in rates.items()},
            ((13_300, 332),),
            3_720,
            0.9,
            120,
            0.8,
        ),
        emulator.Kind(
            question,
            {
                name: (rates[name] + away / len(HOMES)) * QUESTION_SHARE
                for name in sorted(HOMES)
            },
            ((55, 16), (37, 3994)),
            291,
            0.9,
            45,
            0.8,
        ),
    ]


#: Priority of each organisation, its part of the requests, and the factor of
#: a flood.
ORGANISATIONS = {
    "first-a": (0, 0.3, 1.0),
    "first-b": (0, 0.1, 1.0),
    "first-flood": (0, 0.05, 6.0),
    "second-a": (1, 0.3, 1.0),
    "second-b": (1, 0.15, 1.0),
    "third": (2, 0.1, 1.0),
}
#: Quota of an organisation, in multiples of its usual tokens.
QUOTA_TIMES = 1.8


def organisation_kinds(played):
    """Split kinds of requests among the organisations.

    :param played: list of ``emulator.Kind``.
    """
    tokens_per_s = sum(
        sum(kind.per_s.values())
        * (sum(mean for mean, _ in kind.parts) + kind.own_tokens)
        for kind in played
    )
    split = []
    for name, (priority, part, times) in ORGANISATIONS.items():
        rate = tokens_per_s * part * QUOTA_TIMES
        organisation = directives.Organisation(
            name,
            frozenset((name,)),
            priority,
            directives.Quota(directives.QuotaUnit.TOKENS, rate, rate),
        )
        for kind in played:
            per_s = {
                region: rate * part * times
                for region, rate in kind.per_s.items()
            }
            split.append(kind._replace(per_s=per_s, organisation=organisation))
    return split


def uneven_speed(server_id, now_ms):
    """Speed of an engine of a deployment of two sorts.

    :param server_id: the engine; its name ends in its number.
    :param now_ms: virtual time.
    """
    is_fast = int(server_id.rpartition("-")[2]) % 3 == 0
    return 1.7 if is_fast else 0.7


def outcome(result, route):
    """One word for what became of a request.

    :param result: ``emulator.Result``.
    :param route: its ``directives.Route``.
    """
    if result.outcome != "answered":
        return result.outcome
    if result.is_on_time(route):
        return "in_time"
    is_late = result.first_ms > route.objective / _MS
    return "late_first" if is_late else "paused"


def main():
    """Play one peak and print the shares of each outcome."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--region", choices=REGIONS, default="north")
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--organisations", action="store_true")
    parser.add_argument("--unranked", action="store_true")
    parser.add_argument(
        "--uneven",
        action="store_true",
        help="one engine of three is fast, the others are slow",
    )
    options = parser.parse_args()
    routes = [kind.route for kind in kinds(options.region, options.load)]
    played = kinds(options.region, options.load)
    configuration = None
    if options.organisations:
        played = organisation_kinds(played)
        if not options.unranked:
            configuration = _documents.configuration(*routes)._replace(
                organisations=tuple(
                    {
                        kind.organisation.name: kind.organisation
                        for kind in played
                    }.values()
                )
            )
    deployment = emulator.Deployment(
        [
            emulator.Region(name, engines, ENTRIES)
            for name, (engines, _) in REGIONS.items()
        ],
        seed=options.seed,
        speeds=uneven_speed if options.uneven else None,
    )
    until_ms = options.seconds * 1e3
    traffic = emulator.Traffic(played, random.Random(options.seed))
    # What was sent last is answered or given up by then.
    longest_ms = max(kind.route.timeout / _MS for kind in played)
    results = deployment.play(
        traffic.arrivals(until_ms), until_ms + longest_ms, configuration
    )
    by_route = {route.name: route for route in routes}
    for route in routes:
        _print_shares(
            route.name,
            [one for one in results if one.kind == route.name],
            by_route,
        )
    for name in ORGANISATIONS if options.organisations else ():
        _print_shares(
            name,
            [one for one in results if one.organisation == name],
            by_route,
        )
    print(f"prompt tokens read: {deployment.tokens_read()}")


def _print_shares(title, results, routes):
    counts = collections.Counter(
        outcome(one, routes[one.kind]) for one in results
    )
    counts["returned"] = sum(one.tries > 0 for one in results)
    shares = "  ".join(
        f"{name} {count / max(1, len(results)):.3f}"
        for name, count in sorted(counts.items())
    )
    print(f"{title}: {len(results)} requests  {shares}")


if __name__ == "__main__":
    main()
