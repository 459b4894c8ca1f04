"""Pool of persistent connections to servers."""

import asyncio
import collections
import functools
import socket

from buckthorntack import events
from buckthorntack import transport
from buckthorntack.http1 import _client
from buckthorntack.http1 import _errors
from buckthorntack.http1 import _events
from buckthorntack.http1 import _server

#: Idle time after which a connection is not reused if its server announces
#: no idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
#: A connection is not reused within this time before its idle timeout.  The
#: margin exceeds a round trip between regions, so that the server does not
#: close the connection while a request is in transit.
IDLE_MARGIN_S = 0.5
#: Idle connections kept for each server.
MAX_IDLE_CONNECTIONS = 64
#: If a connection was found dropped after some idle time, the idle timeout of
#: its server is set to this fraction of that time.
DROPPED_IDLE_RATIO = 0.7
#: Lower bound of the reduced idle timeout.
MIN_IDLE_TIMEOUT_S = 0.2
#: Time without acknowledgement of sent bytes after which a connection ends
#: (TCP_USER_TIMEOUT).  Sound servers may be silent for a second or two; that
#: a link is cut is found sooner, by new connections.
USER_TIMEOUT_MS = 3000


class ConnectionPool:
    """Pool of connections by server, as context manager.

    :param connect_timeout_s: time limit of a connection attempt.
    :param id_header: header field with the request id in responses, in lower
        case; empty if responses have no request id.
    :param receive_buffer_bytes: size of the kernel's receive buffers, which
        the kernel doubles; None for its default.
    """

    def __init__(
        self, connect_timeout_s, id_header=b"", receive_buffer_bytes=None
    ):
        self.connect_timeout_s = connect_timeout_s
        self.receive_buffer_bytes = receive_buffer_bytes
        self.id_header = id_header
        #: Called with the key of a server that closed an idle connection
        #: which could still be used, and its idle time.
        self.on_early_close = lambda key, idle_s: None
        self._idle = collections.defaultdict(list)
        self._idle_timeouts_s = {}
        self._log = events.EventLog("http1")

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for key in list(self._idle):
            self.close_idle(key)

    async def acquire(self, key, address, request_id=None):
        """Return an idle connection to a server, or open a new one.

        :param key: unique key of the server.
        :param address: IP address and port.
        :param request_id: as of :meth:`take_idle`.
        :returns: ``Connection``.
        :raises ConnectError: the connection attempt failed.
        """
        return self.take_idle(key, request_id) or await self.open(address)

    def take_idle(self, key, request_id=None):
        """Return an idle connection to a server; None if there is none.

        :param key: unique key of the server.
        :param request_id: id of the request to be sent; a connection that has
            carried it before is left, as a second copy of the earlier response
            would be taken for the response to this attempt.
        """
        idle = self._idle.get(key, ())
        carried = [one for one in idle if one.has_sent(request_id)]
        for connection in carried:
            idle.remove(connection)
        try:
            return self._take_usable(key, idle)
        finally:
            if carried:
                idle.extend(carried)

    def _take_usable(self, key, idle):
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            idle_before_s = now - connection.idle_since_s
            timeout_s = self._idle_timeouts_s.get(key, idle_before_s)
            is_recent = (
                now < _reuse_deadline_s(connection)
                and idle_before_s <= timeout_s
            )
            if connection.is_reusable() and is_recent:
                connection.idle_before_s = idle_before_s
                connection.on_idle_closed = None
                return connection
            self._close(key, connection)
        return None

    def release(self, key, connection):
        """Keep a connection if it is reusable, or else close it.

        :param key: key of the server.
        :param connection: the ``Connection``.
        """
        connection.give_back()
        if connection.was_dropped():
            self._reduce_idle_timeout(key, connection.idle_before_s)
        idle = self._idle[key]
        if not connection.is_reusable() or len(idle) >= MAX_IDLE_CONNECTIONS:
            self._close(key, connection)
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        connection.on_idle_closed = functools.partial(
            self._on_idle_closed, key, connection
        )
        idle.append(connection)

    def _on_idle_closed(self, key, connection):
        connection.on_idle_closed = None
        now = asyncio.get_running_loop().time()
        idle_s = now - connection.idle_since_s
        timeout_s = self._idle_timeouts_s.get(key, idle_s)
        if now < _reuse_deadline_s(connection) and idle_s <= timeout_s:
            self.on_early_close(key, idle_s)

    def _close(self, key, connection):
        connection.on_idle_closed = None
        if connection.is_out_of_sync:
            self._log.write(_events.FOREIGN_ANSWER, server=key)
        connection.close()

    def _reduce_idle_timeout(self, key, idle_before_s):
        """Shorten the idle timeout of a server that dropped a connection."""
        timeout_s = max(MIN_IDLE_TIMEOUT_S, DROPPED_IDLE_RATIO * idle_before_s)
        previous_s = self._idle_timeouts_s.get(key, timeout_s)
        self._idle_timeouts_s[key] = min(previous_s, timeout_s)

    def close_idle(self, key):
        """Close the idle connections to a server.

        :param key: key of the server.
        """
        self._idle_timeouts_s.pop(key, None)
        for connection in self._idle.pop(key, ()):
            connection.on_idle_closed = None
            connection.close()

    def idle_count(self, key):
        """Return the number of idle connections to a server.

        :param key: key of the server.
        """
        return len(self._idle.get(key, ()))

    async def open(self, address):
        """Open a new connection to a server.

        :param address: IP address and port.
        :returns: ``Connection``.
        :raises ConnectError: the connection attempt failed.
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        loop = asyncio.get_running_loop()
        try:
            sock.setblocking(False)
            if self.receive_buffer_bytes is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self.receive_buffer_bytes,
                )
            transport.configure_dead_peer_detection(
                sock, USER_TIMEOUT_MS, _server.KEEPALIVE_IDLE_S
            )
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.sock_connect(sock, (host, int(port)))
                _, connection = await loop.create_connection(
                    lambda: _client.Connection(self.id_header), sock=sock
                )
        except (OSError, ValueError, OverflowError) as error:
            sock.close()
            self._log.write(
                _events.CONNECT_FAILED, address=address, error=repr(error)
            )
            kind = _errors.ConnectError
            if isinstance(error, ConnectionRefusedError):
                kind = _errors.ConnectRefusedError
            raise kind(f"{address}: {error!r}") from None
        except BaseException:
            sock.close()
            raise
        return connection


def _reuse_deadline_s(connection):
    timeout_s = connection.server_idle_timeout_s
    if timeout_s is None:
        timeout_s = DEFAULT_IDLE_TIMEOUT_S
    return connection.idle_since_s + timeout_s - IDLE_MARGIN_S
