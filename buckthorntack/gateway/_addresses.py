"""Helpers for addresses of nodes."""

from buckthorntack import discovery


def host_of(address):
    """Return the IP address of an address with a port.

    :param address: IP address and port.

    >>> host_of("10.0.0.1:80")
    '10.0.0.1'
    """
    return address.rpartition(":")[0]


def link_address_of(node_id, link_port):
    """Return the address at which a control VM receives messages.

    :param node_id: node id or service address of the control VM.
    :param link_port: port for messages between nodes; the same on all VMs.

    >>> link_address_of("10.0.0.1:80~3f", 7300)
    '10.0.0.1:7300'
    """
    return f"{host_of(discovery.address_of(node_id))}:{link_port}"
