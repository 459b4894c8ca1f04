"""Listening sockets, resets, and detection of dead TCP peers."""

import fcntl
import select
import socket
import struct
import termios

#: Values of SO_LINGER, ``struct linger``.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSE_ORDERLY = struct.pack("ii", 0, 0)
#: ``struct tcp_info`` up to its field ``tcpi_unacked``.
_TCP_INFO_UNACKED = struct.Struct("24xI")
#: The same up to ``tcpi_last_data_recv``.
_TCP_INFO_LAST_DATA_RECV = struct.Struct("52xI")
#: Result of FIONREAD.
_INT = struct.Struct("i")


#: Interval between two keep-alive probes.  With a user timeout set, which
#: counts from the last byte received, one unanswered probe ends a connection;
#: a peer that is silent for a shorter time must not lose it.
KEEPALIVE_INTERVAL_S = 2


def bind_listener(address):
    """Bind a listening socket.

    :param address: IP address and port; port 0 selects a free one.
    :returns: the bound socket.
    :raises OSError: the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip("[]"), int(port)))
    return listener


def listener_url(listener, scheme="http"):
    """Return the base URL of a bound socket.

    :param listener: the socket.
    :param scheme: ``http`` or ``https``.
    """
    host, port = listener.getsockname()[:2]
    url_host = f"[{host}]" if ":" in host else host
    return f"{scheme}://{url_host}:{port}"


def configure_dead_peer_detection(sock, user_timeout_ms, keepalive_idle_s):
    """Make the kernel detect a peer that is gone without closing.

    The call also turns Nagle's algorithm off.

    :param sock: a TCP socket.
    :param user_timeout_ms: maximum time that sent bytes may stay
        unacknowledged (RFC 5482).
    :param keepalive_idle_s: idle time before the first keep-alive probe.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, keepalive_idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)


def set_user_timeout(sock, user_timeout_ms):
    """Set how long sent bytes may stay unacknowledged (RFC 5482).

    The kernel counts the time in which a peer keeps its window closed as well.

    :param sock: a TCP socket.
    :param user_timeout_ms: the longest time.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )


def count_unacknowledged(sock):
    """Return the number of segments that the peer has not acknowledged.

    :param sock: a TCP socket.
    """
    return _read_tcp_info(sock, _TCP_INFO_UNACKED)


def measure_silence_ms(sock):
    """Return the time since the last data of the peer arrived.

    The kernel counts it, also while the process stands still.

    :param sock: a TCP socket.
    """
    return _read_tcp_info(sock, _TCP_INFO_LAST_DATA_RECV)


def _read_tcp_info(sock, field):
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, field.size)
    return field.unpack(info)[0]


def count_unread(sock):
    """Return the number of bytes that arrived and were not read.

    :param sock: a TCP socket.
    """
    count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, _INT.pack(0))
    return _INT.unpack(count)[0]


def has_peer_closed(sock):
    """Whether the peer has ended the connection, also behind unread bytes.

    :param sock: a TCP socket.
    """
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


def raise_send_buffer(sock, more_bytes):
    """Let the kernel hold more data that the peer has not taken.

    It goes on sending when the socket is closed and its process has ended.
    ``net.core.wmem_max`` limits what it holds.

    :param sock: a TCP socket.
    :param more_bytes: what it holds besides what it does now.
    """
    # Values that are read are twice those that are set, for the overhead.
    held_bytes = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, held_bytes // 2 + more_bytes
    )


def set_reset_on_close(transport, enabled):
    """Choose whether a close resets a connection (RST) or ends it (FIN).

    A reset also follows if the process is killed.  It discards the data that
    the kernel has not sent yet.

    :param transport: asyncio transport of a TCP connection.
    :param enabled: whether a close resets the connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    linger = _RESET_ON_CLOSE if enabled else _CLOSE_ORDERLY
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
