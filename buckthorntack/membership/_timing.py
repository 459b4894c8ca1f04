"""Periods, leases and bounds of membership."""

from typing import NamedTuple


class MembershipTiming(NamedTuple):
    """Periods, leases and bounds of membership."""

    #: Period at which changes are sent.
    gossip_ms: int = 300
    #: Lease of a backend server's announcement.
    server_lease_ms: int = 2000
    #: Period at which unchanged leases and loads are sent.
    renewal_ms: int = 800
    #: Time after which a silent entry VM is left out.
    entry_lease_ms: int = 3000
    #: Period of summaries between failure domains, for a few of them.
    summary_ms: int = 1000
    #: Failure domains beyond which summaries get rarer.
    full_rate_domains: int = 6
    #: Period of anti-entropy with one random peer.
    digest_ms: int = 2000
    #: How long a withdrawn or lapsed record's order is remembered.
    tombstone_ms: int = 600_000
    #: How long a lapsed record can be renewed without its contents.
    expired_retention_ms: int = 10_000
    #: Most remembered orders of withdrawn or lapsed records.
    max_tombstones: int = 8192
    #: Most backend servers that a failure domain's table holds.
    max_servers: int = 8192
    #: Most items held.
    max_items: int = 4096
    #: Largest value of an item.
    max_item_bytes: int = 1024
    #: Largest bytes of items in one message.
    max_batch_bytes: int = 16_384
    #: Entry VMs of other failure domains of the region sent deltas.
    region_fanout: int = 16
    #: Entry VMs named by a summary.
    summary_entries: int = 3

    @classmethod
    def from_settings(cls, timing):
        """Timing of a process.

        :param timing: the ``timing`` part of the settings, with defaults.
        """
        lease_ms = timing.get("server_lease_ms", 2000)
        return cls(
            gossip_ms=timing.get("gossip_ms", 300),
            server_lease_ms=lease_ms,
            renewal_ms=lease_ms * 2 // 5,
            entry_lease_ms=lease_ms * 3 // 2,
            summary_ms=timing.get("summary_ms", 1000),
        )

    def summary_period_ms(self, domains):
        """Period of summaries, longer with more failure domains.

        :param domains: how many failure domains there are.

        >>> MembershipTiming().summary_period_ms(30)
        5000
        """
        return self.summary_ms * max(1, domains // self.full_rate_domains)
