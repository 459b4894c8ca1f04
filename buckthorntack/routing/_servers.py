"""Backend servers of this region, in groups ordered by load."""

import heapq
import math
from typing import NamedTuple

import sortedcontainers

from buckthorntack.routing import _ejection
from buckthorntack.routing import _load


class GroupKey(NamedTuple):
    """Service and model version; the latter empty for a plain service."""

    service: str
    model_version: str


def group_keys(record):
    """Groups that a server belongs to.

    :param record: its ``ServerRecord``.
    :returns: a list of :class:`GroupKey`.
    """
    versions = record.model_versions or [""]
    return [GroupKey(record.service, version) for version in versions]


class Server:
    """A backend server as this entry VM sees it."""

    __slots__ = (
        "ejection",
        "groups",
        "lease_until_s",
        "load",
        "position",
        "ramp_from_s",
        "record",
        "reserved_until_s",
    )

    def __init__(self, record, settings):
        self.record = record
        self.load = _load.LoadEstimate(settings)
        self.ejection = _ejection.Ejection(settings)
        self.groups = ()
        self.lease_until_s = 0.0
        self.position = None
        self.ramp_from_s = -math.inf
        self.reserved_until_s = None

    def is_live(self, now_s):
        """Whether it may take new work.

        :param now_s: the time.
        """
        return self.record.state == "ready" and now_s < self.lease_until_s

    def is_left_out(self, now_s):
        """Whether it is live but better not used.

        :param now_s: the time.
        """
        ejected = self.ejection.until_s
        reserved = self.reserved_until_s
        return (ejected is not None and now_s < ejected) or (
            reserved is not None and now_s < reserved
        )

    def ramp_share(self, now_s, settings):
        """Part of its slots that may be counted on while it warms up.

        :param now_s: the time.
        :param settings: ``RouterSettings``.
        """
        warmed = (now_s - self.ramp_from_s) * 1e3 / settings.ramp_ms
        if warmed >= 1.0:
            return 1.0
        return max(settings.ramp_start_share, warmed)


class _Group:
    """Servers of one service and model version."""

    __slots__ = ("left_out", "ordered")

    def __init__(self):
        self.ordered = sortedcontainers.SortedList()
        self.left_out = set()


class ServerTable:
    """All servers of this region, with timers for lease and ejection.

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
        """Take a record; older ones change nothing.

        :param record: ``ServerRecord``.
        :param now_s: the time.
        :returns: whether its caches are to be forgotten.
        """
        server = self._servers.get(record.server_id)
        if server is None:
            server = self._add(record, now_s)
        elif record[1:3] < server.record[1:3]:
            return False
        restarted = record.incarnation > server.record.incarnation
        was_live = server.is_live(now_s)
        if restarted:
            # Attempts of the former incarnation are gone with it.
            server.load = _load.LoadEstimate(self.settings)
            server.reserved_until_s = None
        self._remove_from_groups(server)
        server.record = record
        server.lease_until_s = now_s + record.lease_ms / 1e3
        if restarted or not was_live:
            server.ramp_from_s = now_s
        measured_s = now_s - record.load.age_ms / 1e3
        server.load.report(
            record.load.running + record.load.waiting, measured_s
        )
        self._set_timer(server.lease_until_s, record.server_id)
        self.refresh(server, now_s)
        return restarted

    def remove(self, server_id):
        """Forget a server.

        :param server_id: its id.
        """
        server = self._servers.pop(server_id, None)
        if server is not None:
            self._remove_from_groups(server)

    def eject(self, server, now_s):
        """Leave a server out after failures, unless too many are.

        :param server: the ``Server``.
        :param now_s: the time.
        :returns: whether it was ejected.
        """
        if not all(self._can_spare(key) for key in server.groups):
            server.ejection.until_s = None
            return False
        until_s = server.ejection.until_s
        server.ramp_from_s = until_s
        self._set_timer(until_s, server.record.server_id)
        self.refresh(server, now_s)
        return True

    def reserve(self, server, until_s, now_s):
        """Give a server no other work for a while.

        :param server: the ``Server``.
        :param until_s: when this ends; None ends it at once.
        :param now_s: the time.
        """
        server.reserved_until_s = until_s
        if until_s is not None:
            self._set_timer(until_s, server.record.server_id)
        self.refresh(server, now_s)

    def refresh(self, server, now_s):
        """Put a server where it belongs after a change.

        :param server: the ``Server``.
        :param now_s: the time.
        """
        self._remove_from_groups(server)
        if not server.is_live(now_s):
            return
        server.groups = tuple(group_keys(server.record))
        server_id = server.record.server_id
        if server.is_left_out(now_s):
            for key in server.groups:
                self._group(key).left_out.add(server_id)
            return
        slots = server.record.slots
        ratio = server.load.requests(now_s) / slots
        server.position = (ratio, server_id)
        for key in server.groups:
            self._group(key).ordered.add(server.position)

    def expire(self, now_s):
        """Apply leases and ejections that have ended.

        :param now_s: the time.
        """
        timers = self._timers
        while timers and timers[0][0] <= now_s:
            _, server_id = heapq.heappop(timers)
            server = self._servers.get(server_id)
            if server is not None:
                self.refresh(server, now_s)

    def ordered(self, key):
        """Servers of a group that take work, by load.

        :param key: :class:`GroupKey`.
        :returns: a sorted list of pairs that end with the server's id.
        """
        group = self._groups.get(key)
        return group.ordered if group is not None else ()

    def left_out(self, key):
        """Servers of a group that are live but left out.

        :param key: :class:`GroupKey`.
        :returns: a set of server ids.
        """
        group = self._groups.get(key)
        return group.left_out if group is not None else ()

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
            if server.position is not None:
                group.ordered.discard(server.position)
            group.left_out.discard(server.record.server_id)
            if not group.ordered and not group.left_out:
                del self._groups[key]
        server.groups = ()
        server.position = None

    def _can_spare(self, key):
        group = self._groups[key]
        size = len(group.ordered) + len(group.left_out)
        left_out = len(group.left_out) + 1
        return left_out <= size * self.settings.ejected_share

    def _set_timer(self, time_s, server_id):
        heapq.heappush(self._timers, (time_s, server_id))
