"""Periods and timeouts of placement."""

from typing import NamedTuple


class PlacementTiming(NamedTuple):
    """Periods and timeouts of placement."""

    #: Period between two plans.
    plan_period_ms: int = 1000
    #: Duration of an issuer lease.
    lease_ms: int = 15_000
    #: Period at which an issuer renews its lease.
    renew_ms: int = 4000
    #: Time before the end of its lease at which an issuer stops issuing.
    safety_margin_ms: int = 2000
    #: Time after which an unanswered lease request goes to another control VM.
    request_timeout_ms: int = 2000
    #: Longest time from sending an order to its effect at the engine.
    max_order_delay_ms: int = 5000
    #: Time after which an order without visible effect is resent.
    order_timeout_ms: int = 30_000
    #: Time for which a shortage of engines must last before one is moved.
    min_shortage_ms: int = 20_000
    #: Shortest time between two moves of the same engine.
    move_cooldown_ms: int = 120_000
    #: Time to live of the item that lists drained engines.
    drain_item_ttl_ms: int = 8000
    #: Time from the start of a drain to the first load report that counts.
    drain_ms: int = 4000
