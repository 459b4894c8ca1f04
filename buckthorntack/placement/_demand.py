"""Number of engines that each model version needs."""

import math
from typing import NamedTuple


class Demand(NamedTuple):
    """Demand for one model version in a failure domain."""

    running: int
    waiting: int
    arrivals_per_second: float


class PoolPlan(NamedTuple):
    """Fields of a backend server pool that the planner uses."""

    name: str
    model_versions: tuple[str, ...]
    min_servers: int
    checks_fencing: bool
    tail_latency_weight: float
    cost_weight: float


#: Target utilisation for terms that give weight to tail latency only.
_MIN_UTILISATION = 0.5
#: Increase of the target utilisation for terms that give weight to cost only.
_COST_UTILISATION_RANGE = 0.35


def target_utilisation(pool):
    """Compute the fraction of an engine's slots that should be in use.

    :param pool: a :class:`PoolPlan`.
    """
    total = pool.tail_latency_weight + pool.cost_weight
    share = pool.cost_weight / total if total else 0.5
    return _MIN_UTILISATION + _COST_UTILISATION_RANGE * share


def is_in_demand(demand):
    """Whether there are requests for a model version.

    :param demand: a :class:`Demand`.
    """
    return bool(demand.running or demand.waiting or demand.arrivals_per_second)


def engines_needed(pool, demand, slots):
    """Compute the engines that a model version needs on its own.

    :param pool: a :class:`PoolPlan`.
    :param demand: a :class:`Demand`.
    :param slots: number of slots of one engine.

    >>> pool = PoolPlan("p", ("m",), 1, True, 1, 0)
    >>> engines_needed(pool, Demand(10, 6, 2.0), 8)
    4
    """
    busy = demand.running + demand.waiting
    needed = math.ceil(busy / (slots * target_utilisation(pool)))
    min_engines = max(pool.min_servers, 1 if is_in_demand(demand) else 0)
    return max(needed, min_engines)


def share_engines(pool, needs, demands, engines):
    """Divide the available engines among the model versions of a pool.

    The minimum number of each version is assigned first, and versions in
    demand come before others.  Each further engine goes to the version with
    the smallest fraction of its need.

    :param pool: a :class:`PoolPlan`.
    :param needs: engines needed, by model version.
    :param demands: :class:`Demand` by model version.
    :param engines: number of available engines.
    :returns: number of engines by model version.
    """
    shares = dict.fromkeys(pool.model_versions, 0)
    order = sorted(
        pool.model_versions,
        key=lambda version: (not is_in_demand(demands[version]), version),
    )
    for level in range(max(pool.min_servers, 1)):
        for version in order:
            wanted = needs[version] > level
            if wanted and sum(shares.values()) < engines:
                shares[version] += 1
    while sum(shares.values()) < engines:
        lacking = [v for v in order if shares[v] < needs[v]]
        if not lacking:
            break
        neediest = min(lacking, key=lambda v: shares[v] / needs[v])
        shares[neediest] += 1
    return shares
