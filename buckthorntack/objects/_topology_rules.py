"""Rules of regions, priorities, quotas and terms."""

import itertools

from buckthorntack.objects import _findings
from buckthorntack.objects import _registry

#: Largest ratio of the weights of one rank.
MAX_WEIGHT_RATIO = 1000
#: Longest time that a quota's burst may take to refill.
MAX_REFILL_SECONDS = 3600


@_registry.rule("region_without_domain", "Region", ["FailureDomain"])
def region_without_domain(region, index):
    """Each region has a failure domain.

    :param region: row of the region.
    :param index: the set.
    """
    if region.name not in index.domains_by_region:
        yield _findings.finding(
            "region_without_domain",
            "Region",
            region.name,
            "name",
            "no failure domain lies in this region",
            "add a FailureDomain with this region, or remove the region",
        )


@_registry.rule("contradictory_priorities", reads=["Priority"])
def contradictory_priorities(index):
    """No two priorities have the same rank and weight.

    :param index: the set.
    """
    for group in _group_by_rank(index):
        for one, other in itertools.pairwise(group):
            if one.weight == other.weight:
                yield _findings.finding(
                    "contradictory_priorities",
                    "Priority",
                    other.name,
                    "weight",
                    f"rank and weight equal those of priority {one.name!r}",
                    "use one priority, or give them different ranks or "
                    "weights",
                )


@_registry.rule("priority_weight_ratio", reads=["Priority"])
def priority_weight_ratio(index):
    """Weights of one rank differ by a factor of at most 1000.

    :param index: the set.
    """
    for group in _group_by_rank(index):
        lightest, heaviest = group[0], group[-1]
        if heaviest.weight > MAX_WEIGHT_RATIO * lightest.weight:
            yield _findings.finding(
                "priority_weight_ratio",
                "Priority",
                lightest.name,
                "weight",
                f"priority {heaviest.name!r} of equal rank weighs more than "
                f"{MAX_WEIGHT_RATIO} times as much, so this one would starve",
                "use a lower rank instead of so small a weight",
            )


def _group_by_rank(index):
    """Yield the priorities of each rank in ascending order of weight."""
    rows = sorted(index.rows("Priority"), key=lambda row: row[1:] + row[:1])
    for _, group in itertools.groupby(rows, key=lambda row: row.rank):
        yield list(group)


@_registry.rule("quota_burst", "Quota")
def quota_burst(quota, _index):
    """A quota's burst covers 1 s of its rate and refills within 3600 s.

    :param quota: row of the quota.
    """
    rate = quota.requests_per_second
    if quota.burst_requests < rate:
        message = "burst is smaller than one second of the rate"
        remedy = f"set burst_requests to {rate:g} or more"
    elif quota.burst_requests > rate * MAX_REFILL_SECONDS:
        message = f"burst takes over {MAX_REFILL_SECONDS} s to refill"
        remedy = "lower burst_requests or raise requests_per_second"
    else:
        return
    yield _findings.finding(
        "quota_burst", "Quota", quota.name, "burst_requests", message, remedy
    )


@_registry.rule("terms_without_weight", "DeploymentTerms")
def terms_without_weight(terms, _index):
    """At least one weight of the terms is above zero.

    :param terms: row of the terms.
    """
    if not any(terms[1:]):
        yield _findings.finding(
            "terms_without_weight",
            "DeploymentTerms",
            terms.name,
            "tail_latency_weight",
            "all weights are zero, so no choice is better than another",
            "set a weight above zero",
        )
