"""Periods, leases and limits of membership."""

from typing import NamedTuple


class MembershipTiming(NamedTuple):
    """Periods, leases and limits of membership."""

    #: Period of batches with changes.
    gossip_ms: int = 300
    #: Lease that an announcement gives a backend server.
    server_lease_ms: int = 2000
    #: Period of renewals, which carry leases and loads.
    renewal_ms: int = 800
    #: Lease that a heartbeat gives an entry VM.
    entry_lease_ms: int = 3000
    #: Period of summaries, up to ``full_rate_domains`` failure domains.
    summary_ms: int = 1000
    #: Number of failure domains above which the period of summaries grows.
    full_rate_domains: int = 6
    #: Period of anti-entropy with one random peer.
    digest_ms: int = 2000
    #: Retention time of tombstones of withdrawn and expired records.
    tombstone_ms: int = 600_000
    #: Time after its expiry during which a record can still be renewed without
    #: its contents.
    expired_retention_ms: int = 10_000
    #: Largest number of tombstones in a table.
    max_tombstones: int = 8192
    #: Largest number of backend servers in the table.
    max_servers: int = 8192
    #: Largest number of items in the table.
    max_items: int = 4096
    #: Largest size of an item's value.
    max_item_bytes: int = 1024
    #: Largest size of the items in one message.
    max_batch_bytes: int = 16_384
    #: Largest number of entry VMs in other failure domains of the region that
    #: a node sends deltas to.
    region_fanout: int = 16
    #: Largest number of entry VMs in a summary.
    summary_entries: int = 3

    @classmethod
    def from_settings(cls, timing):
        """Build the timing from settings, with defaults for missing keys.

        :param timing: the ``timing`` section of the settings.
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
        """Compute the period of summaries for a number of failure domains.

        :param domains: number of failure domains.

        >>> MembershipTiming().summary_period_ms(30)
        5000
        """
        return self.summary_ms * max(1, domains // self.full_rate_domains)
