"""Lookup of the route of a request."""

import collections
from typing import NamedTuple

import xxhash


class HostResidency(NamedTuple):
    """Regions that may serve the routes of one host."""

    #: Whether any route restricts its regions. The other fields are empty if
    #: none does, but an empty field alone does not mean that.
    is_restricted: bool
    #: Regions that every route with a restriction allows.
    common_regions: frozenset[str]
    #: Regions that at least one route with a restriction allows.
    any_regions: frozenset[str]


class RouteTable:
    """Index of routes by host and path prefix.

    :param configuration: the ``Configuration``.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._by_host = collections.defaultdict(dict)
        for route in configuration.routes:
            self._by_host[route.host.lower()][route.path_prefix] = route
        self._organisations = {
            item.name: item for item in configuration.organisations
        }
        self._by_key = {
            key: item
            for item in configuration.organisations
            for key in item.api_keys
        }

    @property
    def has_organisations(self):
        """Whether callers must present the key of an organisation."""
        return bool(self._organisations)

    def find_organisation(self, name):
        """Return an organisation by its name.

        :param name: the name.
        :returns: the ``Organisation``, or None.
        """
        return self._organisations.get(name)

    def find_key_owner(self, key):
        """Return the organisation that holds a key.

        :param key: the key that a caller presents.
        :returns: the ``Organisation``, or None.
        """
        return self._by_key.get(key)

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

    def narrow_route(self, route):
        """Return a route of an older table within the regions allowed now.

        Only the regions change: a request is served by the route that it was
        accepted with, also if the route was removed since.

        :param route: the ``Route``.
        :returns: the ``Route``; None if no region may serve it any longer.
        """
        current = self._by_host.get(route.host.lower(), {}).get(
            route.path_prefix
        )
        if current is None or not current.allowed_regions:
            return route
        if not route.allowed_regions:
            return route._replace(allowed_regions=current.allowed_regions)
        regions = route.allowed_regions & current.allowed_regions
        return route._replace(allowed_regions=regions) if regions else None

    def find_host_residency(self, host):
        """Return where requests to a host may be served.

        :param host: the host; its port is ignored.
        :returns: :class:`HostResidency`; None if the host has no route, so
            that its residency is not known.
        """
        prefixes = self._by_host.get(_strip_port(host.lower()))
        if not prefixes:
            return None
        region_sets = [
            route.allowed_regions
            for route in prefixes.values()
            if route.allowed_regions
        ]
        if not region_sets:
            return HostResidency(False, frozenset(), frozenset())
        return HostResidency(
            True,
            frozenset.intersection(*region_sets),
            frozenset.union(*region_sets),
        )


def fingerprint_route(route):
    """Return a short text that tells where a route's requests may run.

    It is the same in all builds.  Limits and objectives are not part of it.

    :param route: the ``Route``; None for none.
    :returns: the text; empty for none.
    """
    if route is None:
        return ""
    splits = [f"{split.service} {split.weight!r}" for split in route.splits]
    regions = sorted(route.allowed_regions)
    parts = [route.kind.value, *splits, "", *regions]
    return xxhash.xxh3_64_hexdigest("\n".join(parts).encode())


def restrict_to_organisation(route, organisation):
    """Return a route within the regions that an organisation allows too.

    :param route: the ``Route``.
    :param organisation: the ``Organisation``; None for none.
    :returns: the ``Route``; None if no region may serve both.
    """
    if organisation is None or not organisation.allowed_regions:
        return route
    regions = organisation.allowed_regions
    if route.allowed_regions:
        regions = regions & route.allowed_regions
    return route._replace(allowed_regions=regions) if regions else None


def _strip_port(host):
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
