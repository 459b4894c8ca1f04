"""Addresses of nodes."""


def host_of(address):
    """IP address of an address with port.

    :param address: IP address and port.

    >>> host_of("10.0.0.1:80")
    '10.0.0.1'
    """
    return address.rpartition(":")[0]
