"""Backend servers of this region, grouped and ordered by load."""

import heapq
import math
from typing import NamedTuple

import sortedcontainers

from buckthorntack.routing import _ejection
from buckthorntack.routing import _load


class GroupKey(NamedTuple):
    """Service and model version of interchangeable servers.

    The model version is empty for a service without models.
    """

    service: str
    model_version: str


def list_group_keys(record):
    """List the groups that a server belongs to.

    :param record: the server's ``ServerRecord``.
    :returns: a list of :class:`GroupKey`.
    """
    versions = record.model_versions or [""]
    return [GroupKey(record.service, version) for version in versions]


class Server:
    """State of a backend server, as this entry VM knows it."""

    __slots__ = (
        "ejection",
        "groups",
        "lease_until_s",
        "load",
        "ramp_start_s",
        "record",
        "reserved_until_s",
        "sort_key",
    )

    def __init__(self, record, settings):
        self.record = record
        self.load = _load.LoadEstimate(settings)
        self.ejection = _ejection.Ejection(settings)
        self.groups = ()
        self.lease_until_s = 0.0
        self.sort_key = None
        self.ramp_start_s = -math.inf
        self.reserved_until_s = None

    def is_live(self, now_s):
        """Return whether the server is ready and its lease is valid.

        :param now_s: current monotonic time, seconds.
        """
        return self.record.state == "ready" and now_s < self.lease_until_s

    def is_fallback_only(self, now_s):
        """Return whether the server is ejected or reserved.

        Such a server is used only if no other one can run a request.

        :param now_s: current monotonic time, seconds.
        """
        ejected_until_s = self.ejection.until_s
        reserved_until_s = self.reserved_until_s
        return (ejected_until_s is not None and now_s < ejected_until_s) or (
            reserved_until_s is not None and now_s < reserved_until_s
        )

    def ramp_share(self, now_s, settings):
        """Share of the slots that counts during slow start.

        :param now_s: current monotonic time, seconds.
        :param settings: ``RouterSettings``.
        :returns: between 0 and 1; 1 after the slow start.
        """
        progress = (now_s - self.ramp_start_s) * 1e3 / settings.ramp_ms
        if progress >= 1.0:
            return 1.0
        return max(settings.ramp_start_share, progress)


class _Group:
    """Live servers of one service and model version."""

    __slots__ = ("by_load", "fallback")

    def __init__(self):
        self.by_load = sortedcontainers.SortedList()
        self.fallback = set()


class ServerTable:
    """All servers of this region, with timers of leases and ejections.

    :param settings: ``RouterSettings``.
    """

    def __init__(self, settings):
        self.settings = settings
        self._servers = {}
        self._groups = {}
        self._timers = []

    def __len__(self):
        return len(self._servers)

    def get(self, server_id):
        """Look up a server.

        :param server_id: its id.
        :returns: the ``Server`` or None.
        """
        return self._servers.get(server_id)

    def update(self, record, now_s):
        """Apply a server's record; ignore one older than the known one.

        :param record: ``ServerRecord``.
        :param now_s: current monotonic time, seconds.
        :returns: whether the server restarted, so that its cache is empty.
        """
        server = self._servers.get(record.server_id)
        if server is None:
            server = self._add(record, now_s)
        elif record[1:3] < server.record[1:3]:
            return False
        restarted = record.incarnation > server.record.incarnation
        was_live = server.is_live(now_s)
        if restarted:
            # A restart ends all attempts of the former incarnation.
            server.load = _load.LoadEstimate(self.settings)
            server.reserved_until_s = None
        self._remove_from_groups(server)
        server.record = record
        server.lease_until_s = now_s + record.lease_ms / 1e3
        if restarted or not was_live:
            server.ramp_start_s = now_s
        measured_s = now_s - record.load.age_ms / 1e3
        server.load.record_report(
            record.load.running + record.load.waiting, measured_s
        )
        self._set_timer(server.lease_until_s, record.server_id)
        self.regroup_server(server, now_s)
        return restarted

    def remove(self, server_id):
        """Remove a server.

        :param server_id: its id.
        """
        server = self._servers.pop(server_id, None)
        if server is not None:
            self._remove_from_groups(server)

    def eject(self, server, now_s):
        """Eject a server after failures.

        It is not ejected if too many servers of one of its groups are ejected
        or reserved already.

        :param server: the ``Server``.
        :param now_s: current monotonic time, seconds.
        :returns: whether it was ejected.
        """
        if not all(self._can_eject_from(key) for key in server.groups):
            server.ejection.until_s = None
            return False
        until_s = server.ejection.until_s
        server.ramp_start_s = until_s
        self._set_timer(until_s, server.record.server_id)
        self.regroup_server(server, now_s)
        return True

    def reserve(self, server, until_s, now_s):
        """Reserve a server, so that other requests avoid it.

        :param server: the ``Server``.
        :param until_s: end of the reservation, monotonic seconds; None ends
            it at once.
        :param now_s: current monotonic time, seconds.
        """
        server.reserved_until_s = until_s
        if until_s is not None:
            self._set_timer(until_s, server.record.server_id)
        self.regroup_server(server, now_s)

    def regroup_server(self, server, now_s):
        """Update the groups and the order of a server after a change.

        :param server: the ``Server``.
        :param now_s: current monotonic time, seconds.
        """
        self._remove_from_groups(server)
        if not server.is_live(now_s):
            return
        server.groups = tuple(list_group_keys(server.record))
        server_id = server.record.server_id
        if server.is_fallback_only(now_s):
            for key in server.groups:
                self._group(key).fallback.add(server_id)
            return
        slots = server.record.slots
        ratio = server.load.estimate_requests(now_s) / slots
        server.sort_key = (ratio, server_id)
        for key in server.groups:
            self._group(key).by_load.add(server.sort_key)

    def apply_expired_timers(self, now_s):
        """Regroup servers whose lease, ejection or reservation ended.

        :param now_s: current monotonic time, seconds.
        """
        timers = self._timers
        while timers and timers[0][0] <= now_s:
            _, server_id = heapq.heappop(timers)
            server = self._servers.get(server_id)
            if server is not None:
                self.regroup_server(server, now_s)

    def servers_by_load(self, key):
        """Servers of a group that accept requests, least loaded first.

        :param key: :class:`GroupKey`.
        :returns: a sorted list of pairs of load per slot and server id.
        """
        group = self._groups.get(key)
        return group.by_load if group is not None else ()

    def fallback_servers(self, key):
        """Live servers of a group that are ejected or reserved.

        :param key: :class:`GroupKey`.
        :returns: a set of server ids.
        """
        group = self._groups.get(key)
        return group.fallback if group is not None else ()

    def _add(self, record, now_s):
        server = Server(record, self.settings)
        self._servers[record.server_id] = server
        return server

    def _group(self, key):
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
        return group

    def _remove_from_groups(self, server):
        for key in server.groups:
            group = self._groups[key]
            if server.sort_key is not None:
                group.by_load.discard(server.sort_key)
            group.fallback.discard(server.record.server_id)
            if not group.by_load and not group.fallback:
                del self._groups[key]
        server.groups = ()
        server.sort_key = None

    def _can_eject_from(self, key):
        group = self._groups[key]
        size = len(group.by_load) + len(group.fallback)
        fallback_count = len(group.fallback) + 1
        return fallback_count <= size * self.settings.max_ejected_share

    def _set_timer(self, time_s, server_id):
        heapq.heappush(self._timers, (time_s, server_id))
