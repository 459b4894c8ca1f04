"""Events of placement."""

import logbook

from buckthorntack import events

LEASE_GRANTED = events.declare(
    1100,
    "issuer_lease_granted",
    logbook.NOTICE,
    "A node became the issuer of engine orders of a failure domain.",
)
PLACEMENT_DECIDED = events.declare(
    1101,
    "placement_decided",
    logbook.INFO,
    "An engine is to be drained, ordered or returned to work, and why.",
)
ORDER_ACCEPTED = events.declare(
    1102,
    "order_accepted",
    logbook.INFO,
    "An engine has accepted an order.",
)
ORDER_REFUSED = events.declare(
    1103,
    "order_refused",
    logbook.WARNING,
    "An engine has refused an order.",
    "see the reason; a higher fencing number ends this node's lease",
)
ORDER_UNANSWERED = events.declare(
    1104,
    "order_unanswered",
    logbook.WARNING,
    "An order got no valid answer; it is sent again if it has no effect.",
    "look at the engine's log",
)
STEP_FAILED = events.declare(
    1106,
    "placement_step_failed",
    logbook.ERROR,
    "A step of placement failed; the next one is tried.",
    "report the error with the lines before it",
)
ISSUER_CHANGED = events.declare(
    1105,
    "issuer_changed",
    logbook.NOTICE,
    "This node has begun or ceased to issue engine orders.",
)
