"""Links of a node to others that it gets to know by their addresses."""

from buckthorntack import transport

#: Pause between heartbeats of an idle link; each crosses regions and back.
HEARTBEAT_MS = 1000


def host_of(address):
    """IP address of an address with port.

    :param address: IP address and port.

    >>> host_of("10.0.0.1:80")
    '10.0.0.1'
    """
    return address.rpartition(":")[0]


def make_links(settings, node_id, handle, clock):
    """Links without keys: the network is walled by its platform.

    :param settings: ``NodeSettings``.
    :param node_id: id of this node.
    :param handle: called with sender and message for each received one.
    :param clock: source of time.
    :returns: ``transport.LinkTask``.
    """
    return transport.LinkTask(
        node_id,
        settings.link_address,
        None,
        {},
        handle,
        clock,
        heartbeat_ms=HEARTBEAT_MS,
    )
