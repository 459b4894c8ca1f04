"""Weights of a deployment's terms."""

from typing import NamedTuple


class Weights(NamedTuple):
    """Relative weights; latency's is 1 when all are equal."""

    latency: float
    cost: float
    away: float


#: Weights of a service whose terms are not known.
DEFAULT_WEIGHTS = Weights(1.0, 1.0, 1.0)
#: Latency never counts less, so that queues are always avoided.
LEAST_LATENCY_WEIGHT = 0.1


def weights(terms):
    """Scale a deployment's terms.

    :param terms: ``DeploymentTerms`` document.
    :returns: :class:`Weights` that add up to 3.
    """
    latency = terms["tail_latency_weight"]
    cost = terms["cost_weight"]
    away = terms["share_away_weight"]
    total = latency + cost + away
    if total <= 0:
        return DEFAULT_WEIGHTS
    scale = 3.0 / total
    return Weights(
        max(latency * scale, LEAST_LATENCY_WEIGHT), cost * scale, away * scale
    )
