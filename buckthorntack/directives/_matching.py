"""Choice of the route of a request."""

import collections


class RouteTable:
    """Finds the route of a host and path.

    :param configuration: the ``Configuration``.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._by_host = collections.defaultdict(dict)
        for route in configuration.routes:
            self._by_host[route.host.lower()][route.path_prefix] = route

    def find(self, host, path):
        """The route with the longest prefix of a path.

        :param host: value of the ``Host`` field; a port is passed over.
        :param path: path of the request, without its query.
        :returns: the ``Route``, or None.
        """
        prefixes = self._by_host.get(_without_port(host.lower()))
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def regions_of(self, host):
        """Regions that may serve all requests to a host.

        :param host: the host; a port is passed over.
        :returns: regions; empty if no route of the host is bound to any.
        """
        prefixes = self._by_host.get(_without_port(host.lower()), {})
        bounds = [
            route.allowed_regions
            for route in prefixes.values()
            if route.allowed_regions
        ]
        return frozenset.intersection(*bounds) if bounds else frozenset()


def _without_port(host):
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
