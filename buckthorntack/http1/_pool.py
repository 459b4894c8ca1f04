"""Connections to servers that are kept for later requests."""

import asyncio
import collections
import socket

from buckthorntack import events
from buckthorntack import transport
from buckthorntack.http1 import _client
from buckthorntack.http1 import _errors
from buckthorntack.http1 import _events
from buckthorntack.http1 import _server

#: Idle time after which a connection is not used again if its server does
#: not tell its own limit.
IDLE_LIMIT_S = 4.0
#: A connection is not used so shortly before its server closes it; more than
#: a round trip between regions.
IDLE_MARGIN_S = 0.5
MOST_IDLE = 64
#: Part of the idle time after which a connection was found dropped that later
#: ones may reach, and the shortest such limit.
DROPPED_SHARE = 0.7
LEAST_IDLE_LIMIT_S = 0.2
#: Unacknowledged bytes for so long mean that a server is gone or cut off.
USER_TIMEOUT_MS = 1500


class ConnectionPool:
    """Opens and keeps connections by server; a context manager.

    :param connect_timeout_s: longest wait for a connection.
    :param id_name: field that names the request in answers.
    """

    def __init__(self, connect_timeout_s, id_name=b""):
        self.connect_timeout_s = connect_timeout_s
        self.id_name = id_name
        self._idle = collections.defaultdict(list)
        self._limits_s = {}
        self._log = events.EventLog("http1")

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for key in list(self._idle):
            self.forget(key)

    async def take(self, key, address):
        """A connection to a server, kept or new.

        :param key: names the server; another one has another key.
        :param address: IP address and port.
        :returns: ``Connection``.
        :raises ConnectError: none could be made.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(key, ())
        while idle:
            connection = idle.pop()
            idled_s = now - connection.idle_since_s
            limit_s = self._limits_s.get(key, idled_s)
            in_time = now < _last_use_s(connection) and idled_s <= limit_s
            if connection.is_reusable() and in_time:
                connection.idled_s = idled_s
                return connection
            connection.close()
        return await self._open(address)

    def give_back(self, key, connection):
        """Keep a connection if it is sound, else close it.

        :param key: names its server.
        :param connection: the ``Connection``.
        """
        if connection.was_dropped():
            self._note_dropped(key, connection.idled_s)
        idle = self._idle[key]
        if not connection.is_reusable() or len(idle) >= MOST_IDLE:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        idle.append(connection)

    def _note_dropped(self, key, idled_s):
        """Use connections to a server sooner after one was dropped."""
        limit_s = max(LEAST_IDLE_LIMIT_S, DROPPED_SHARE * idled_s)
        known_s = self._limits_s.get(key, limit_s)
        self._limits_s[key] = min(known_s, limit_s)

    def forget(self, key):
        """Close the idle connections to a server.

        :param key: names the server.
        """
        self._limits_s.pop(key, None)
        for connection in self._idle.pop(key, ()):
            connection.close()

    def idle_count(self, key):
        """Idle connections to a server.

        :param key: names the server.
        """
        return len(self._idle.get(key, ()))

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        loop = asyncio.get_running_loop()
        try:
            sock.setblocking(False)
            transport.set_liveness(
                sock, USER_TIMEOUT_MS, _server.PROBE_AFTER_S
            )
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.sock_connect(sock, (host, int(port)))
                _, connection = await loop.create_connection(
                    lambda: _client.Connection(self.id_name), sock=sock
                )
        except (OSError, ValueError) as error:
            sock.close()
            self._log.write(
                _events.CONNECT_FAILED, address=address, error=repr(error)
            )
            raise _errors.ConnectError(f"{address}: {error!r}") from None
        except BaseException:
            sock.close()
            raise
        return connection


def _last_use_s(connection):
    limit_s = connection.idle_limit_s
    if limit_s is None:
        limit_s = IDLE_LIMIT_S
    return connection.idle_since_s + limit_s - IDLE_MARGIN_S
