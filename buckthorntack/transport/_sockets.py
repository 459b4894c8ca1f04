"""Sockets that listeners take over."""

import socket


def bind_listener(address):
    """Bind a listening socket.

    :param address: IP address and port; port 0 takes a free one.
    :returns: the bound socket.
    :raises OSError: the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only on sockets that name TCP.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip("[]"), int(port)))
    return listener


def listener_url(listener, scheme="http"):
    """Base URL of a bound socket.

    :param listener: the socket.
    :param scheme: ``http`` or ``https``.
    """
    host, port = listener.getsockname()[:2]
    shown = f"[{host}]" if ":" in host else host
    return f"{scheme}://{shown}:{port}"
