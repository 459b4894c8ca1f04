"""Limit of clients' connections, below the descriptors of the process."""

import resource

#: Part of the descriptors that connections of clients may take; the rest is
#: for servers, links and files.
CLIENT_SHARE = 2 / 3


def compute_max_connections():
    """Return how many connections of clients may be open; None for any."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return None
    return int(CLIENT_SHARE * descriptors)


class ConnectionLimit:
    """Connections of clients, those first that were used longest ago.

    :param max_connections: function that returns how many may be open; None
        for any number.
    """

    def __init__(self, max_connections=compute_max_connections):
        self._max_connections = max_connections
        self._connections = {}

    def add(self, connection):
        """Add a connection; close another one if there are too many.

        :param connection: has a method ``give_way``, which closes it unless a
            request is in progress, and returns whether it did.
        :returns: whether the connection may stay.
        """
        self._connections[connection] = None
        most = self._max_connections()
        if most is None or len(self._connections) <= most:
            return True
        others = (one for one in self._connections if one is not connection)
        return any(one.give_way() for one in others)

    def renew(self, connection):
        """Note that a connection was used.

        :param connection: the connection.
        """
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def discard(self, connection):
        """Remove a connection that is closed.

        :param connection: the connection.
        """
        self._connections.pop(connection, None)
