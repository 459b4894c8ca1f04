"""Listen addresses: an IP address and a port."""

import ipaddress
from typing import NamedTuple

_MAX_PORT = 65535


class Address(NamedTuple):
    """Where a socket listens or connects."""

    host: str
    port: int


def parse_address(text: str) -> Address | None:
    """Split an address.

    :param text: such as ``127.0.0.1:80`` or ``[::1]:80``.
    :returns: host and port, or ``None`` if it is no address.

    >>> parse_address("[::1]:80")
    Address(host='::1', port=80)
    >>> parse_address("localhost:80") is None
    True
    """
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    bare = host[1:-1] if bracketed else host
    if not (port.isascii() and port.isdigit()) or int(port) > _MAX_PORT:
        return None
    try:
        version = ipaddress.ip_address(bare).version
    except ValueError:
        return None
    if bracketed != (version == 6):
        return None
    return Address(bare, int(port))
