"""Parsing of addresses that consist of an IP address and a port."""

import ipaddress
from typing import NamedTuple

_MAX_PORT = 65535


class Address(NamedTuple):
    """IP address and port of a socket."""

    host: str
    port: int


def parse_address(text: str) -> Address | None:
    """Parse an IP address and a port.

    :param text: such as ``127.0.0.1:80`` or ``[::1]:80``.
    :returns: the address, or ``None`` if the text is malformed.

    >>> parse_address("[::1]:80")
    Address(host='::1', port=80)
    >>> parse_address("localhost:80") is None
    True
    """
    host, _, port = text.rpartition(":")
    has_brackets = host.startswith("[") and host.endswith("]")
    address = host[1:-1] if has_brackets else host
    if not (port.isascii() and port.isdigit()) or int(port) > _MAX_PORT:
        return None
    try:
        version = ipaddress.ip_address(address).version
    except ValueError:
        return None
    if has_brackets != (version == 6):
        return None
    return Address(address, int(port))
