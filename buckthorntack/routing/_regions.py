"""Other failure domains, and the network links to their regions."""

import math
import random
from typing import NamedTuple

from buckthorntack.routing import _load
from buckthorntack.routing import _servers


class DomainKey(NamedTuple):
    """Region and name of a failure domain."""

    region: str
    failure_domain: str


class Link:
    """The network link to a region, and local bytes queued on it."""

    __slots__ = (
        "_backlog_bits",
        "_updated_s",
        "bits_per_second",
        "round_trip_s",
    )

    def __init__(self, round_trip_s, bits_per_second):
        self.round_trip_s = round_trip_s
        self.bits_per_second = bits_per_second
        self._backlog_bits = 0.0
        self._updated_s = 0.0

    def record_sent_bytes(self, body_bytes, now_s):
        """Add a sent body to the backlog of the link.

        :param body_bytes: its length.
        :param now_s: current monotonic time, seconds.
        """
        self._backlog_bits = self._compute_backlog_bits(now_s) + body_bytes * 8
        self._updated_s = now_s

    def estimate_transfer_s(self, body_bytes, now_s):
        """Estimate the transfer time of a body plus one round trip.

        :param body_bytes: its length.
        :param now_s: current monotonic time, seconds.
        :returns: seconds.
        """
        bits = self._compute_backlog_bits(now_s) + body_bytes * 8
        return self.round_trip_s + bits / self.bits_per_second

    def _compute_backlog_bits(self, now_s):
        sent_bits = (now_s - self._updated_s) * self.bits_per_second
        return max(0.0, self._backlog_bits - sent_bits)


class Capacity:
    """Slots and load of a failure domain for one service and version."""

    __slots__ = ("load", "slots")

    def __init__(self, settings):
        self.load = _load.LoadEstimate(settings)
        self.slots = 0


class Domain:
    """State of another failure domain, from its summaries."""

    __slots__ = ("capacities", "lease_until_s", "ramp_start_s", "summary")

    def __init__(self):
        self.capacities = {}
        self.lease_until_s = 0.0
        #: Start of the slow start, when a lost domain recovers; a new domain
        #: has none.
        self.ramp_start_s = -math.inf
        self.summary = None

    def is_live(self, now_s):
        """Return whether the lease of the domain is valid.

        :param now_s: current monotonic time, seconds.
        """
        return now_s < self.lease_until_s

    def list_ready_entries(self):
        """List the node ids of entry VMs that accept forwarded requests."""
        return [
            entry.node_id
            for entry in self.summary.entries
            if entry.state == "ready"
        ]

    def ramp_share(self, now_s, settings):
        """Share of the slots that counts during slow start.

        :param now_s: current monotonic time, seconds.
        :param settings: ``RouterSettings``.
        :returns: between 0 and 1; 1 after the slow start.
        """
        progress = (now_s - self.ramp_start_s) * 1e3 / settings.ramp_ms
        return min(1.0, max(settings.ramp_start_share, progress))


class DomainTable:
    """All other failure domains, and the links to all regions.

    :param settings: ``RouterSettings``.
    :param rng: source of randomness.
    """

    def __init__(self, settings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self._domains = {}
        self._links = {}
        self._domains_by_group = {}

    def get(self, key):
        """Look up a failure domain.

        :param key: :class:`DomainKey`.
        :returns: the ``Domain`` or None.
        """
        return self._domains.get(key)

    def set_link(self, region, round_trip, bits_per_second):
        """Set the measured figures of the link to a region.

        :param region: name of the region.
        :param round_trip: round-trip time as a ``timedelta``.
        :param bits_per_second: bandwidth.
        """
        link = self.get_link(region)
        link.round_trip_s = round_trip.total_seconds()
        link.bits_per_second = max(bits_per_second, 1.0)

    def get_link(self, region):
        """Return the link to a region, and add it if needed.

        :param region: name of the region.
        :returns: the ``Link``, with assumed figures if never measured.
        """
        link = self._links.get(region)
        if link is None:
            settings = self.settings
            round_trip_s = settings.round_trip_ms / 1e3
            link = Link(round_trip_s, settings.link_bits_per_second)
            self._links[region] = link
        return link

    def update(self, summary, now_s):
        """Apply a domain's summary; ignore one older than the known one.

        :param summary: ``DomainSummary``.
        :param now_s: current monotonic time, seconds.
        """
        key = DomainKey(summary.region, summary.failure_domain)
        domain = self._domains.get(key)
        if domain is None:
            domain = self._domains[key] = Domain()
        elif _is_older(summary, domain.summary):
            return
        elif not domain.is_live(now_s):
            domain.ramp_start_s = now_s
        domain.summary = summary
        domain.lease_until_s = now_s + summary.lease_ms / 1e3
        self._update_capacities(key, domain, summary.services, now_s)

    def sample_domains(self, group, now_s):
        """Sample live failure domains that offer a service and version.

        :param group: ``GroupKey``.
        :param now_s: current monotonic time, seconds.
        :returns: a list of :class:`DomainKey`, at most
            ``max_sampled_domains`` of them.
        """
        keys = self._domains_by_group.get(group)
        if not keys:
            return []
        live_keys = [key for key in keys if self._domains[key].is_live(now_s)]
        max_count = self.settings.max_sampled_domains
        if len(live_keys) <= max_count:
            return live_keys
        return self.rng.sample(live_keys, max_count)

    def _update_capacities(self, key, domain, services, now_s):
        missing = set(domain.capacities)
        for service in services:
            group = _servers.GroupKey(service.service, service.model_version)
            if service.servers <= 0 or service.slots <= 0:
                continue
            missing.discard(group)
            capacity = domain.capacities.get(group)
            if capacity is None:
                capacity = Capacity(self.settings)
                domain.capacities[group] = capacity
            capacity.slots = service.slots
            capacity.load.servers = service.servers
            capacity.load.record_report(
                service.running + service.waiting, now_s
            )
            self._domains_by_group.setdefault(group, {})[key] = None
        for group in missing:
            del domain.capacities[group]
            del self._domains_by_group[group][key]


def _is_older(summary, current):
    if summary.reporter != current.reporter:
        return False
    version = (summary.incarnation, summary.sequence)
    return version < (current.incarnation, current.sequence)
