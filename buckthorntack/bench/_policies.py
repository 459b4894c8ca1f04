"""Routing policies that a run can use."""

from buckthorntack import routing
from buckthorntack.bench import _errors

GATEWAY = "gateway"

#: What makes a region's router, by name; ``None`` for the gateway's own.
POLICIES = {
    GATEWAY: None,
    "random": routing.RandomPolicy,
    "round_robin": routing.RoundRobinPolicy,
    "least_loaded": routing.LeastLoadedPolicy,
}


def named_policies(text):
    """Names of policies from a list with commas.

    :param text: the list.
    :returns: the names.
    :raises UnknownPolicyError: a name is not known.

    >>> named_policies("gateway,random")
    ['gateway', 'random']
    """
    names = text.split(",")
    for name in names:
        if name not in POLICIES:
            raise _errors.UnknownPolicyError(name)
    return names
