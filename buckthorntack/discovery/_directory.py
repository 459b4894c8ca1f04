"""Selection of the entry VMs that a caller is given."""

import enum
from typing import NamedTuple

READY = "ready"
#: Fewest entry VMs that a caller is given, if there are as many.
MIN_NAMED = 2


class AddressScope(enum.StrEnum):
    """Where the entry VMs lie that a caller is given."""

    FAILURE_DOMAIN = "failure_domain"
    REGION = "region"
    HOME_REGIONS = "home_regions"
    ALL_REGIONS = "all_regions"
    #: No entry VM that may be named is ready.
    NONE = "none"


class DirectoryAnswer(NamedTuple):
    """Entry VMs that a caller is given."""

    scope: AddressScope
    #: Service addresses in random order.
    addresses: list[str]


def select_entry_vms(
    nodes, region, failure_domain, residency, max_addresses, rng
):
    """Select the nearest entry VMs that take requests.

    The caller's failure domain is enough if it has two of them.  Otherwise
    the first non-empty set is used: the caller's region, then the regions
    that may serve every route of the host, then those that may serve one.
    All regions follow only if the host is known to have no restriction.
    Entry VMs of another region have a longer round trip.

    Of the chosen set each is named with a probability in proportion to its
    capacity, as callers choose among those named with equal probability.

    :param nodes: ``NodePresence`` of the known entry VMs.
    :param region: the caller's region.
    :param failure_domain: the caller's failure domain.
    :param residency: ``directives.HostResidency`` of the host that the caller
        asks for; None if it is not known, so that only the caller's region
        is safe.
    :param max_addresses: largest number of addresses.
    :param rng: random number generator.
    :returns: :class:`DirectoryAnswer`.
    """
    usable = [
        node for node in nodes if node.state == READY and not node.silent
    ]
    in_region = [node for node in usable if node.region == region]
    in_failure_domain = [
        node for node in in_region if node.failure_domain == failure_domain
    ]
    if len(in_failure_domain) >= 2:
        scope, chosen = AddressScope.FAILURE_DOMAIN, in_failure_domain
    elif in_region:
        scope, chosen = AddressScope.REGION, in_region
    else:
        scope, chosen = _select_remote(usable, residency)
    named = _sample_by_capacity(chosen, rng)
    addresses = sorted({node.service_address for node in named})
    rng.shuffle(addresses)
    return DirectoryAnswer(scope, addresses[:max_addresses])


def _sample_by_capacity(nodes, rng):
    """Return a random part of the nodes, weighted by capacity.

    The most capable ones are always part of it.  At least ``MIN_NAMED`` are,
    so that a caller has another one if the first fails.
    """
    largest = max((node.capacity for node in nodes), default=0.0)
    if largest <= 0:
        return nodes
    kept, others = [], []
    for node in nodes:
        # One that does not report its capacity counts as a capable one.
        capacity = node.capacity or largest
        is_kept = capacity >= largest or rng.random() < capacity / largest
        (kept if is_kept else others).append(node)
    missing = min(MIN_NAMED - len(kept), len(others))
    if missing > 0:
        others.sort(key=lambda node: -node.capacity)
        kept += others[:missing]
    return kept


def _select_remote(usable, residency):
    """Return scope and entry VMs for a caller without any in its region."""
    if residency is None:
        return AddressScope.NONE, []
    if not residency.is_restricted:
        scope = AddressScope.ALL_REGIONS if usable else AddressScope.NONE
        return scope, usable
    for home_regions in (residency.common_regions, residency.any_regions):
        chosen = [node for node in usable if node.region in home_regions]
        if chosen:
            return AddressScope.HOME_REGIONS, chosen
    return AddressScope.NONE, []
