"""Which entry VMs a caller is told to use."""

READY = "ready"


def directory(nodes, region, failure_domain, homes, most, rng):
    """Addresses of entry VMs for a caller.

    Those of the caller's region are named, as long as one of them takes
    requests; a request of another region would travel further.

    :param nodes: ``NodePresence`` of the entry VMs known.
    :param region: the caller's region.
    :param failure_domain: the caller's failure domain.
    :param homes: regions that may serve the caller's requests; empty for
        all.
    :param most: how many addresses to give.
    :param rng: source of randomness.
    :returns: addresses, in random order.
    """
    usable = [
        node for node in nodes if node.state == READY and not node.silent
    ]
    near = [node for node in usable if node.region == region]
    beside = [node for node in near if node.failure_domain == failure_domain]
    at_home = [node for node in usable if node.region in homes]
    for chosen in (beside, near, at_home, usable):
        if len(chosen) >= 2 or (chosen and chosen is not beside):
            break
    addresses = sorted({node.service_address for node in chosen})
    rng.shuffle(addresses)
    return addresses[:most]
