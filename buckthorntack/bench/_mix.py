"""Generates the timed requests of a workload from a seed."""

import math
import random
from typing import NamedTuple

from buckthorntack.bench import _workloads

BYTES_PER_TOKEN = 4
#: Ratio of a region's rate at its peak to its mean rate, less one.
PEAK_SHARE = 0.9
#: Later than the request, its resend is sent after up to this time.
LATEST_RESEND_S = 1.5
#: Requests of the warm-up are numbered from here.
WARM_UP_NUMBERS = 500_000


class TimedRequest(NamedTuple):
    """One request, and when its caller sends it."""

    at_s: float
    #: Names the request; a resend carries the number of the first.
    number: int
    kind: _workloads.Kind
    organisation: str
    region: str
    #: Which of the region's entry VMs the caller uses.
    entry: int
    #: Which of the organisation's shared prompts it builds on.
    prefix: int
    resent: bool = False

    @property
    def warms_up(self):
        """Whether it is sent before what is measured."""
        return self.number >= WARM_UP_NUMBERS

    @property
    def mark(self):
        """Text by which fakes and answers name the request."""
        return f"request-{self.number:06d}."


def generate(workload, seed, seconds, rate=1.0):
    """Generate the requests of one run.

    A day is compressed into the run, with a daily peak for each region.

    :param workload: the ``Workload``.
    :param seed: seed of all randomness.
    :param seconds: length of the run.
    :param rate: factor of the workload's usual rate.
    :returns: list of :class:`TimedRequest`, by time.

    >>> requests = generate(_workloads.HOARDLINE, 1, 10.0)
    >>> requests == generate(_workloads.HOARDLINE, 1, 10.0)
    True
    """
    rng = random.Random(f"{workload.name}/{seed}")
    wanted = round(workload.requests_per_second * rate * seconds)
    requests = []
    for number in range(wanted):
        request = _draw(workload, rng, number, seconds)
        requests.append(request)
        if rng.random() < request.kind.resent_share:
            requests.append(_resend(request, workload, rng))
    return sorted(requests, key=lambda request: request.at_s)


def with_warm_up(workload, seed, seconds, rate, warm_up_s):
    """Generate the requests of a run that first fills the caches.

    :param workload: the ``Workload``.
    :param seed: seed of all randomness.
    :param seconds: length of what is measured.
    :param rate: factor of the workload's usual rate.
    :param warm_up_s: length of the warm-up before it.
    :returns: list of :class:`TimedRequest`, by time.
    """
    before = [
        request._replace(number=request.number + WARM_UP_NUMBERS)
        for request in generate(workload, f"{seed}/warm", warm_up_s, rate)
    ]
    measured = [
        request._replace(at_s=request.at_s + warm_up_s)
        for request in generate(workload, seed, seconds, rate)
    ]
    return sorted(before + measured, key=lambda request: request.at_s)


def _draw(workload, rng, number, seconds):
    shares = [kind.share for kind in workload.kinds]
    kind = rng.choices(workload.kinds, shares)[0]
    organisation = rng.choice(kind.organisations)
    at_s = rng.uniform(0.0, seconds)
    region = workload.homes.get(organisation)
    if region is None:
        region = _draw_region(workload.regions, rng, at_s / seconds)
    else:
        at_s = _draw_time(workload.regions.index(region), rng, seconds)
    return TimedRequest(
        at_s,
        number,
        kind,
        organisation,
        region,
        rng.randrange(2),
        rng.randrange(kind.prefixes),
    )


def rate_factor(region_number, day_share):
    """Rate of a region at a time of day, relative to its mean.

    :param region_number: peaks of regions are a third of a day apart.
    :param day_share: part of the day that has passed.

    >>> round(rate_factor(0, 1 / 6), 2)
    1.9
    """
    phase = day_share - region_number / 3 - 1 / 6
    return 1.0 + PEAK_SHARE * math.cos(2 * math.pi * phase)


def _draw_region(regions, rng, day_share):
    factors = [rate_factor(n, day_share) for n in range(len(regions))]
    return rng.choices(regions, factors)[0]


def _draw_time(region_number, rng, seconds):
    while True:
        share = rng.random()
        factor = rate_factor(region_number, share)
        if rng.random() * (1.0 + PEAK_SHARE) < factor:
            return share * seconds


def _resend(request, workload, rng):
    """The same request again, at another entry VM."""
    region = request.region
    if request.organisation not in workload.homes:
        region = rng.choice(workload.regions)
    return request._replace(
        at_s=request.at_s + rng.uniform(0.01, LATEST_RESEND_S),
        region=region,
        entry=1 - request.entry,
        resent=True,
    )


def prompt(request):
    """Text of a completion request.

    :param request: the :class:`TimedRequest`.
    """
    kind = request.kind
    shared = ""
    if kind.prefix_tokens:
        title = f"{request.organisation} {kind.name} {request.prefix} clause "
        shared = _repeat(title, kind.prefix_tokens)
    tail = _repeat(request.mark + " ", kind.tail_tokens)
    return shared + tail


def _repeat(text, tokens):
    wanted = tokens * BYTES_PER_TOKEN
    return (text * (wanted // len(text) + 1))[:wanted]
