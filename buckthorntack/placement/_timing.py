"""Periods, leases and bounds of placement."""

from typing import NamedTuple


class PlacementTiming(NamedTuple):
    """Periods, leases and bounds of placement."""

    #: Period of plans.
    plan_period_ms: int = 1000
    #: How long an issuer's lease lasts.
    lease_ms: int = 15_000
    #: Period at which an issuer renews its lease.
    renew_ms: int = 4000
    #: How much earlier than its end an issuer stops issuing.
    safety_margin_ms: int = 2000
    #: Time after which an unanswered lease request is sent elsewhere.
    request_timeout_ms: int = 2000
    #: Longest time from sending an order to its effect at an engine.
    max_order_delay_ms: int = 5000
    #: Time after which an order without visible effect is sent again.
    order_timeout_ms: int = 30_000
    #: How long a lack of engines lasts before one is moved.
    min_shortage_ms: int = 20_000
    #: Time between two moves of one engine.
    move_cooldown_ms: int = 120_000
    #: Time to live of the item that tells which engines are drained.
    drain_item_ttl_ms: int = 8000
    #: Time from draining an engine until its load report counts.
    drain_ms: int = 4000
