"""Planner inputs, read from the published objects and from membership."""

import collections

from buckthorntack.placement import _demand
from buckthorntack.placement import _planner


def read_pools(published, failure_domain):
    """Read the model pools of a failure domain.

    :param published: a ``PublishedSet``.
    :param failure_domain: name of the failure domain.
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
    """Compute the demand for each model version from loads and arrivals.

    :param servers: ``ServerRecord`` of the failure domain.
    :param arrivals_per_second: arrivals at the entry VMs of this failure
        domain, by model version.
    :returns: :class:`Demand` by model version.
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
    """Collect the inputs of a plan.

    :param published: a ``PublishedSet``.
    :param servers: all known ``ServerRecord``.
    :param failure_domain: name of the failure domain to plan for.
    :param arrivals_per_second: arrivals by model version.
    """
    own = [s for s in servers if s.failure_domain == failure_domain]
    pools, versions = read_pools(published, failure_domain)
    demands = compute_demands(own, arrivals_per_second)
    return _planner.Inputs(pools, versions, own, demands)
