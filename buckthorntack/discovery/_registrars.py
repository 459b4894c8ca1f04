"""Choice of the control VM to which a backend server announces itself."""

from buckthorntack import dispatch


def choose_registrar(record, control_vms):
    """Choose the control VM that a server shall announce itself to.

    It is one of the server's failure domain, else of its region, else any;
    servers spread over several by rendezvous hashing.

    :param record: ``AnnouncedServer``.
    :param control_vms: ``NodePresence`` of the control VMs that take
        announcements.
    :returns: ``NodePresence``; None if there is none.
    """
    return min(
        control_vms,
        key=lambda node: (
            _distance(record, node),
            -dispatch.rendezvous_score(record.server_id, node.node_id),
        ),
        default=None,
    )


def _distance(record, node):
    if node.failure_domain == record.failure_domain:
        return 0
    return 1 if node.region == record.region else 2


def is_cut_off(node_id, control_vms):
    """Whether a control VM hears less than half of all, itself included.

    :param node_id: its id.
    :param control_vms: ``NodePresence`` of all control VMs that are not gone.
    """
    heard = sum(
        not node.silent or node.node_id == node_id for node in control_vms
    )
    return 2 * heard < len(control_vms)
