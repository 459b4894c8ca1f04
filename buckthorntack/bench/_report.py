"""Figures of runs: latency, cost, share away, refusals, violations."""

import collections
from typing import NamedTuple

from hdrh import histogram

from buckthorntack.bench import _policies

LONGEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
SECONDS_PER_HOUR = 3600.0
PERCENTILES = (50.0, 95.0, 99.0)
BASELINES = tuple(n for n in _policies.POLICIES if n != _policies.GATEWAY)
MOST_VIOLATIONS_TOLD = 20


class Figures(NamedTuple):
    """Figures of one run."""

    deployment: str
    policy: str
    seed: int
    requests: int
    answered: int
    #: Time to the first token of model requests, by percentile.
    first_token_ms: dict
    #: The same for each kind of request.
    by_kind_ms: dict
    between_tokens_ms: dict
    #: Pool cost times server time spent on prefill and generation.
    cost: float
    prefilled_tokens: int
    #: Prefilled although a server of the deployment had done so before.
    wasted_tokens: int
    #: Share of model requests that another region ran.
    share_away: float
    #: Share of all prompt tokens found in a cache.
    cached_share: float
    #: Refusals by run state and kind.
    refusals: dict
    broken: int
    violations: list
    loop_lag_p99_ms: float


def percentiles(values_ms):
    """Percentiles by histogram.

    :param values_ms: the values.
    :returns: value by percentile.

    >>> percentiles([1.0, 1.0, 2.0])
    {'p50': 1.0, 'p95': 2.0, 'p99': 2.0}
    """
    counts = histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for value in values_ms:
        counts.record_value(max(1, round(value * 1e3)))
    return {
        f"p{p:.0f}": round(counts.get_value_at_percentile(p) / 1e3, 1)
        for p in PERCENTILES
    }


def figures(result):
    """Work out the figures of a run.

    :param result: the ``RunResult``.
    :returns: :class:`Figures`.
    """
    plan = result.plan
    measured = [
        seen for seen in result.observations if not seen.request.warms_up
    ]
    good = [seen for seen in measured if seen.whole]
    models = [seen for seen in good if seen.request.kind.max_tokens]
    gaps = [gap for seen in models for gap in seen.between_tokens_ms]
    prefilled, cached = _tokens(result)
    return Figures(
        plan.workload.name,
        plan.policy,
        plan.seed,
        len(measured),
        len(good),
        percentiles([seen.first_token_ms for seen in models]),
        _by_kind(good),
        percentiles(gaps),
        round(_cost(result), 6),
        round(prefilled),
        round(_wasted(result, prefilled)),
        round(_share_away(models, result.records), 4),
        round(cached / max(1.0, prefilled + cached), 4),
        _refusals(result.observations),
        sum(seen.broken for seen in result.observations),
        result.violations,
        percentiles(result.loop_lags_ms)["p99"],
    )


def _by_kind(good):
    kinds = collections.defaultdict(list)
    for seen in good:
        kinds[seen.request.kind.name].append(seen.first_token_ms)
    return {name: percentiles(kinds[name]) for name in sorted(kinds)}


def _engines(result):
    fakes = result.records.fakes.values()
    return [server for server in fakes if hasattr(server.fake, "work")]


def _tokens(result):
    work = [server.fake.work for server in _engines(result)]
    prefilled = sum(one.prefilled_tokens for one in work)
    return prefilled, sum(one.cached_tokens for one in work)


def _cost(result):
    profile = result.profile
    total = 0.0
    for server in _engines(result):
        work = server.fake.work
        prefill_s = work.prefilled_tokens / profile.prefill_tokens_per_second
        slot_s = work.generated_tokens * profile.token_ms / 1e3
        busy_s = prefill_s + slot_s / profile.slots
        pool = server.announcer.document["pool"]
        total += busy_s * result.pool_costs[pool] / SECONDS_PER_HOUR
    return total


def _wasted(result, prefilled):
    """Tokens prefilled beyond one prefill of each shared prompt."""
    needed = 0
    shared = set()
    for seen in result.observations:
        request, kind = seen.request, seen.request.kind
        if kind.max_tokens and request.mark in result.records.by_mark:
            needed += kind.tail_tokens
            prefix = (request.organisation, kind.name, request.prefix)
            if prefix not in shared:
                shared.add(prefix)
                needed += kind.prefix_tokens
    return max(0.0, prefilled - needed)


def _share_away(models, records):
    away = 0
    for seen in models:
        attempt_id = next(iter(seen.attempt_ids), "")
        run = records.by_attempt.get(attempt_id)
        away += run is not None and run.region != seen.request.region
    return away / max(1, len(models))


def _refusals(observations):
    counts = collections.Counter(
        f"{seen.run_state} {seen.error}"
        for seen in observations
        if seen.run_state
    )
    return dict(sorted(counts.items()))


def document(all_figures):
    """Figures of several runs as a JSON document.

    :param all_figures: list of :class:`Figures`.
    """
    runs = []
    for one in all_figures:
        run = one._asdict()
        run["violations"] = [v._asdict() for v in one.violations]
        runs.append(run)
    return {"runs": runs, "ratios": ratios(all_figures)}


def ratios(all_figures):
    """Ratios of the gateway's figures to the best baseline's.

    The best baseline of a run is the one with the lowest p99 time to the
    first token.

    :param all_figures: list of :class:`Figures`.
    :returns: a list with one entry for each seed.
    """
    found = []
    for own in all_figures:
        if own.policy != _policies.GATEWAY:
            continue
        others = [
            one
            for one in all_figures
            if one.policy in BASELINES
            and (one.deployment, one.seed) == (own.deployment, own.seed)
        ]
        if others:
            best = min(others, key=lambda one: one.first_token_ms["p99"])
            cheapest = min(one.cost for one in others)
            found.append(_ratio(own, best, cheapest))
    return found


def _ratio(own, best, cheapest):
    return {
        "deployment": own.deployment,
        "seed": own.seed,
        "best_baseline": best.policy,
        "first_token_p99": _quotient(
            own.first_token_ms["p99"], best.first_token_ms["p99"]
        ),
        "cost": _quotient(own.cost, best.cost),
        "cost_to_cheapest": _quotient(own.cost, cheapest),
        "share_away": _quotient(own.share_away, best.share_away),
    }


def _quotient(value, base):
    return round(value / base, 3) if base else None
