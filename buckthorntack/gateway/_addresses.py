"""Addresses of nodes."""

from buckthorntack import discovery


def host_of(address):
    """IP address of an address with port.

    :param address: IP address and port.

    >>> host_of("10.0.0.1:80")
    '10.0.0.1'
    """
    return address.rpartition(":")[0]


def link_address_of(node_id, link_port):
    """Where a control VM takes messages.

    :param node_id: its node id, or its service address.
    :param link_port: port of links; the same on all VMs.

    >>> link_address_of("10.0.0.1:80~3f", 7300)
    '10.0.0.1:7300'
    """
    return f"{host_of(discovery.address_of(node_id))}:{link_port}"
