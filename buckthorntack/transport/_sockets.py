"""Listening sockets, and how connections notice that a peer is gone."""

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


def set_liveness(sock, user_timeout_ms, probe_after_s):
    """Let the kernel find out when a peer is gone without a word.

    :param sock: a TCP socket.
    :param user_timeout_ms: how long sent bytes may stay unacknowledged
        (RFC 5482).
    :param probe_after_s: idle time after which the peer is probed.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, probe_after_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
