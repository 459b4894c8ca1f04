"""Weights of the parts of a score, from the terms of a deployment."""

from typing import NamedTuple


class Weights(NamedTuple):
    """Relative weights of a score's parts; each is 1 if all are equal."""

    latency: float
    cost: float
    remote: float


#: Weights of a service whose terms are unknown or all zero.
DEFAULT_WEIGHTS = Weights(1.0, 1.0, 1.0)
#: Lower bound of the weight of latency, so that every service avoids queues.
MIN_LATENCY_WEIGHT = 0.1


def compute_weights(terms):
    """Compute weights from the terms of a deployment.

    :param terms: ``DeploymentTerms`` document.
    :returns: :class:`Weights` that add up to 3, or to slightly more if
        latency has its lower bound.
    """
    latency = terms["tail_latency_weight"]
    cost = terms["cost_weight"]
    remote = terms["share_away_weight"]
    total = latency + cost + remote
    if total <= 0:
        return DEFAULT_WEIGHTS
    scale = 3.0 / total
    return Weights(
        max(latency * scale, MIN_LATENCY_WEIGHT), cost * scale, remote * scale
    )
