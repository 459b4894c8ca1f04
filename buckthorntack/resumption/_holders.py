"""Choice of the control VMs that keep the origins of an entry VM's streams."""

from buckthorntack import dispatch


def choose_holders(control_vms, own_id, region, failure_domain):
    """Choose a near control VM and one that does not fail together with it.

    Entry VMs spread over the control VMs by rendezvous hashing.

    :param control_vms: ``NodePresence`` of the control VMs.
    :param own_id: id of the entry VM.
    :param region: its region.
    :param failure_domain: its failure domain.
    :returns: list of up to two node ids.
    """
    usable = [
        node
        for node in control_vms
        if node.state == "ready" and not node.silent
    ]
    if not usable:
        return []

    def rank(node):
        distance = (node.failure_domain != failure_domain) + (
            node.region != region
        )
        score = dispatch.rendezvous_score(own_id, node.node_id)
        return (distance, -score)

    ranked = sorted(usable, key=rank)
    nearest = ranked[0]
    others = [
        node
        for node in ranked
        if node.failure_domain != nearest.failure_domain
    ]
    return [nearest.node_id] + [node.node_id for node in others[:1]]
