"""Selection of the entry VMs that a caller is given."""

READY = "ready"


def select_entry_addresses(
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
    :returns: addresses, in random order.
    """
    usable = [
        node for node in nodes if node.state == READY and not node.silent
    ]
    in_region = [node for node in usable if node.region == region]
    in_failure_domain = [
        node for node in in_region if node.failure_domain == failure_domain
    ]
    in_home_regions = [node for node in usable if node.region in home_regions]
    for chosen in (in_failure_domain, in_region, in_home_regions, usable):
        if len(chosen) >= 2 or (chosen and chosen is not in_failure_domain):
            break
    addresses = sorted({node.service_address for node in chosen})
    rng.shuffle(addresses)
    return addresses[:max_addresses]
