"""Lookup of the route of a request."""

import collections


class RouteTable:
    """Index of routes by host and path prefix.

    :param configuration: the ``Configuration``.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._by_host = collections.defaultdict(dict)
        for route in configuration.routes:
            self._by_host[route.host.lower()][route.path_prefix] = route

    def find_route(self, host, path):
        """Return the route with the longest prefix that matches a path.

        :param host: value of the ``Host`` header; its port is ignored.
        :param path: path of the request, without the query.
        :returns: the ``Route``, or None.
        """
        prefixes = self._by_host.get(_strip_port(host.lower()))
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def list_allowed_regions(self, host):
        """Return the regions that may serve every request to a host.

        :param host: the host; its port is ignored.
        :returns: set of regions; empty if no route of the host restricts its
            regions.
        """
        prefixes = self._by_host.get(_strip_port(host.lower()), {})
        region_sets = [
            route.allowed_regions
            for route in prefixes.values()
            if route.allowed_regions
        ]
        return (
            frozenset.intersection(*region_sets)
            if region_sets
            else frozenset()
        )


def _strip_port(host):
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
