"""Inputs of a plan, from the published objects and membership."""

import collections

from buckthorntack.placement import _demand
from buckthorntack.placement import _planner


def read_pools(published, failure_domain):
    """Model pools of a failure domain.

    :param published: a ``PublishedSet``.
    :param failure_domain: its name.
    :returns: :class:`PoolPlan` by name, ``ModelVersion`` by name.
    """
    pools, versions = {}, {}
    for row in published.index.rows("BackendServerPool"):
        document = published.pool(row.name)
        is_here = failure_domain in document["failure_domains"]
        if not is_here or not document.get("model_versions"):
            continue
        pools[row.name] = _pool_plan(published, document)
        for name in document["model_versions"]:
            versions[name] = published.model_version(name)
    return pools, versions


def _pool_plan(published, document):
    terms = published.terms(document["service"])
    return _demand.PoolPlan(
        document["name"],
        tuple(document["model_versions"]),
        document.get("min_servers", 0),
        document["checks_fencing"],
        terms["tail_latency_weight"],
        terms["cost_weight"],
    )


def compute_demands(servers, arrivals_per_second):
    """Demand by model version, from loads and arrivals.

    :param servers: ``ServerRecord`` of the failure domain.
    :param arrivals_per_second: arrivals at this failure domain's entry VMs,
        by model version.
    """
    running = collections.Counter()
    waiting = collections.Counter()
    for record in servers:
        if len(record.model_versions) == 1:
            running[record.model_versions[0]] += record.load.running
            waiting[record.model_versions[0]] += record.load.waiting
    versions = running.keys() | waiting.keys() | arrivals_per_second.keys()
    return {
        version: _demand.Demand(
            running[version],
            waiting[version],
            arrivals_per_second.get(version, 0.0),
        )
        for version in versions
    }


def read_inputs(published, servers, failure_domain, arrivals_per_second):
    """Inputs of a plan.

    :param published: a ``PublishedSet``.
    :param servers: ``ServerRecord`` known here.
    :param failure_domain: name of the failure domain planned for.
    :param arrivals_per_second: arrivals by model version.
    """
    own = [s for s in servers if s.failure_domain == failure_domain]
    pools, versions = read_pools(published, failure_domain)
    demands = compute_demands(own, arrivals_per_second)
    return _planner.Inputs(pools, versions, own, demands)
