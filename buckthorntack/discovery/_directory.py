"""Selection of the entry VMs that a caller is given."""

import enum
from typing import NamedTuple

READY = "ready"


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
    nodes, region, failure_domain, home_regions, max_addresses, rng
):
    """Select the nearest entry VMs that take requests.

    The caller's failure domain is enough if it has two of them.  Otherwise
    the first non-empty set is used: the caller's region, the home regions,
    all regions.  Entry VMs of another region have a longer round trip.

    :param nodes: ``NodePresence`` of the known entry VMs.
    :param region: the caller's region.
    :param failure_domain: the caller's failure domain.
    :param home_regions: regions that may serve the caller's requests; empty
        if all may.
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
    in_home_regions = [node for node in usable if node.region in home_regions]
    chosen = usable
    scope = AddressScope.ALL_REGIONS
    if len(in_failure_domain) >= 2:
        chosen, scope = in_failure_domain, AddressScope.FAILURE_DOMAIN
    elif in_region:
        chosen, scope = in_region, AddressScope.REGION
    elif in_home_regions:
        chosen, scope = in_home_regions, AddressScope.HOME_REGIONS
    if not chosen:
        scope = AddressScope.NONE
    addresses = sorted({node.service_address for node in chosen})
    rng.shuffle(addresses)
    return DirectoryAnswer(scope, addresses[:max_addresses])
