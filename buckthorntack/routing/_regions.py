"""Other failure domains, and the links that lead to them."""

import math
import random
from typing import NamedTuple

from buckthorntack.routing import _load
from buckthorntack.routing import _servers


class DomainKey(NamedTuple):
    """A failure domain."""

    region: str
    failure_domain: str


class Link:
    """The link to a region, and own bytes in flight on it."""

    __slots__ = ("_backlog_bits", "_since_s", "bits_per_second", "trip_s")

    def __init__(self, trip_s, bits_per_second):
        self.trip_s = trip_s
        self.bits_per_second = bits_per_second
        self._backlog_bits = 0.0
        self._since_s = 0.0

    def send(self, body_bytes, now_s):
        """Note bytes put on the link.

        :param body_bytes: how many.
        :param now_s: the time.
        """
        self._backlog_bits = self._backlog(now_s) + body_bytes * 8
        self._since_s = now_s

    def transfer_s(self, body_bytes, now_s):
        """Expect the time until a body has arrived and an answer is back.

        :param body_bytes: its length.
        :param now_s: the time.
        :returns: seconds.
        """
        bits = self._backlog(now_s) + body_bytes * 8
        return self.trip_s + bits / self.bits_per_second

    def _backlog(self, now_s):
        sent_bits = (now_s - self._since_s) * self.bits_per_second
        return max(0.0, self._backlog_bits - sent_bits)


class Capacity:
    """Capacity of a failure domain for one service and model version."""

    __slots__ = ("load", "slots")

    def __init__(self, settings):
        self.load = _load.LoadEstimate(settings)
        self.slots = 0


class Domain:
    """Another failure domain as its summaries tell."""

    __slots__ = ("capacities", "lease_until_s", "ramp_from_s", "summary")

    def __init__(self):
        self.capacities = {}
        self.lease_until_s = 0.0
        #: When it came back; one that is new needs no ramp.
        self.ramp_from_s = -math.inf
        self.summary = None

    def is_live(self, now_s):
        """Whether its lease lasts.

        :param now_s: the time.
        """
        return now_s < self.lease_until_s

    def ready_entries(self):
        """Node ids of entry VMs that take forwarded requests."""
        return [
            entry.node_id
            for entry in self.summary.entries
            if entry.state == "ready"
        ]

    def ramp_share(self, now_s, settings):
        """Part of its slots that may be counted on after a heal.

        :param now_s: the time.
        :param settings: ``RouterSettings``.
        """
        warmed = (now_s - self.ramp_from_s) * 1e3 / settings.ramp_ms
        return min(1.0, max(settings.ramp_start_share, warmed))


class DomainTable:
    """All other failure domains and links.

    :param settings: ``RouterSettings``.
    :param rng: source of randomness.
    """

    def __init__(self, settings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self._domains = {}
        self._links = {}
        self._offers = {}

    def get(self, key):
        """Look up a failure domain.

        :param key: :class:`DomainKey`.
        :returns: the ``Domain`` or None.
        """
        return self._domains.get(key)

    def set_link(self, region, round_trip, bits_per_second):
        """Set what is known of the link to a region.

        :param region: its name.
        :param round_trip: duration.
        :param bits_per_second: bandwidth.
        """
        link = self.link(region)
        link.trip_s = round_trip.total_seconds()
        link.bits_per_second = max(bits_per_second, 1.0)

    def link(self, region):
        """The link to a region.

        :param region: its name.
        :returns: the ``Link``, with assumed figures if never measured.
        """
        link = self._links.get(region)
        if link is None:
            settings = self.settings
            trip_s = settings.round_trip_ms / 1e3
            link = Link(trip_s, settings.link_bits_per_second)
            self._links[region] = link
        return link

    def update(self, summary, now_s):
        """Take a summary; older ones change nothing.

        :param summary: ``DomainSummary``.
        :param now_s: the time.
        """
        key = DomainKey(summary.region, summary.failure_domain)
        domain = self._domains.get(key)
        if domain is None:
            domain = self._domains[key] = Domain()
        elif _is_older(summary, domain.summary):
            return
        elif not domain.is_live(now_s):
            domain.ramp_from_s = now_s
        domain.summary = summary
        domain.lease_until_s = now_s + summary.lease_ms / 1e3
        self._take_services(key, domain, summary.services, now_s)

    def offers(self, group, now_s):
        """Live failure domains that offer a service and model version.

        :param group: ``GroupKey``.
        :param now_s: the time.
        :returns: a list of :class:`DomainKey`, at most the sampled number.
        """
        keys = self._offers.get(group)
        if not keys:
            return []
        live = [key for key in keys if self._domains[key].is_live(now_s)]
        most = self.settings.sampled_domains
        if len(live) <= most:
            return live
        return self.rng.sample(live, most)

    def _take_services(self, key, domain, services, now_s):
        gone = set(domain.capacities)
        for service in services:
            group = _servers.GroupKey(service.service, service.model_version)
            if service.servers <= 0 or service.slots <= 0:
                continue
            gone.discard(group)
            capacity = domain.capacities.get(group)
            if capacity is None:
                capacity = Capacity(self.settings)
                domain.capacities[group] = capacity
            capacity.slots = service.slots
            capacity.load.servers = service.servers
            capacity.load.report(service.running + service.waiting, now_s)
            self._offers.setdefault(group, {})[key] = None
        for group in gone:
            del domain.capacities[group]
            del self._offers[group][key]


def _is_older(summary, known):
    if summary.reporter != known.reporter:
        return False
    order = (summary.incarnation, summary.sequence)
    return order < (known.incarnation, known.sequence)
