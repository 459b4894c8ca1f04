"""How many engines each model version needs."""

import math
from typing import NamedTuple


class Demand(NamedTuple):
    """Demand for one model version in a failure domain."""

    running: int
    waiting: int
    arrivals_per_second: float


class PoolPlan(NamedTuple):
    """What the planner needs of a backend server pool."""

    name: str
    model_versions: tuple[str, ...]
    min_servers: int
    checks_fencing: bool
    tail_latency_weight: float
    cost_weight: float


#: Share of slots in use aimed at by terms that weigh latency alone.
_MIN_UTILISATION = 0.5
#: What terms that weigh cost alone add to it.
_COST_UTILISATION_RANGE = 0.35


def target_utilisation(pool):
    """Share of an engine's slots that shall be in use.

    :param pool: a :class:`PoolPlan`.
    """
    total = pool.tail_latency_weight + pool.cost_weight
    share = pool.cost_weight / total if total else 0.5
    return _MIN_UTILISATION + _COST_UTILISATION_RANGE * share


def is_in_demand(demand):
    """Whether anybody asks for a model version.

    :param demand: a :class:`Demand`.
    """
    return bool(demand.running or demand.waiting or demand.arrivals_per_second)


def engines_needed(pool, demand, slots):
    """Engines that a model version needs by itself.

    :param pool: a :class:`PoolPlan`.
    :param demand: a :class:`Demand`.
    :param slots: slots of one engine.

    >>> pool = PoolPlan("p", ("m",), 1, True, 1, 0)
    >>> engines_needed(pool, Demand(10, 6, 2.0), 8)
    4
    """
    busy = demand.running + demand.waiting
    needed = math.ceil(busy / (slots * target_utilisation(pool)))
    min_engines = max(pool.min_servers, 1 if is_in_demand(demand) else 0)
    return max(needed, min_engines)


def share_engines(pool, needs, demands, engines):
    """Engines that each model version gets of those there are.

    The least numbers go first, those in demand before others; the rest goes
    where most is lacking, as a share of the need.

    :param pool: a :class:`PoolPlan`.
    :param needs: engines needed, by model version.
    :param demands: :class:`Demand` by model version.
    :param engines: how many engines there are.
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
        most = min(lacking, key=lambda v: shares[v] / needs[v])
        shares[most] += 1
    return shares
