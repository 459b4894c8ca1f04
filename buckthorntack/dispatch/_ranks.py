"""Ranks of requests: that of the organisation, then that of the route."""

import datetime
from typing import NamedTuple

_MS = datetime.timedelta(milliseconds=1)
#: Least urgent priority of a route that still changes its limit.
MAX_ROUTE_PRIORITY = 3


class _ServiceRanks(NamedTuple):
    """Ranks of the requests to one service."""

    #: Distinct priorities of its routes, most urgent first.
    route_priorities: list[int]
    #: Wait for an engine that its most urgent route accepts.
    urgent_wait_ms: float


class RankTable:
    """Order of the requests to each service, from a configuration.

    :param configuration: ``directives.Configuration``; None for none.
    :param settings: the ``DispatchSettings``.
    """

    def __init__(self, configuration, settings):
        organisations = configuration.organisations if configuration else ()
        self._organisation_priorities = sorted(
            {organisation.priority for organisation in organisations}
        )
        self._services = {}
        routes_of = {}
        for route in configuration.routes if configuration else ():
            for split in route.splits:
                routes_of.setdefault(split.service, []).append(route)
        for service, routes in routes_of.items():
            priorities = sorted({route.priority for route in routes})
            waits_ms = [
                accepted_wait_ms(route, settings) - settings.first_event_ms
                for route in routes
                if route.priority == priorities[0]
            ]
            self._services[service] = _ServiceRanks(
                priorities, max(0.0, min(waits_ms))
            )

    def position(self, organisation, route, service):
        """Place of a request among the ranks of a service.

        :param organisation: its ``directives.Organisation``.
        :param route: its ``directives.Route``.
        :param service: name of the service.
        :returns: from 0.0, the most urgent, to 1.0; None if all requests to
            the service have the same rank, or the configuration lacks this
            one.
        """
        ranks = self._services.get(service)
        if ranks is None or route.priority not in ranks.route_priorities:
            return None
        if organisation.priority not in self._organisation_priorities:
            return None
        route_count = len(ranks.route_priorities)
        count = len(self._organisation_priorities) * route_count
        if count == 1:
            return None
        level = self._organisation_priorities.index(organisation.priority)
        place = level * route_count
        place += ranks.route_priorities.index(route.priority)
        return place / (count - 1)

    def urgent_wait_ms(self, service):
        """Wait for an engine that the most urgent route accepts.

        :param service: name of the service.
        :returns: milliseconds, or None if no route leads to it.
        """
        ranks = self._services.get(service)
        return None if ranks is None else ranks.urgent_wait_ms


def accepted_wait_ms(route, settings):
    """Largest expected time of a request while there is room.

    :param route: the ``directives.Route``.
    :param settings: the ``DispatchSettings``.
    """
    objectives = settings.refuse_at_objectives
    objectives -= settings.refuse_priority_step * min(
        route.priority, MAX_ROUTE_PRIORITY
    )
    return route.objective / _MS * objectives
