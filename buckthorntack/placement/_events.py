"""Log events of placement."""

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
    "The planner decided to drain, order or return an engine; the reason is "
    "given.",
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
    "read the reason; a higher fencing number ends the lease of this node",
)
ORDER_UNANSWERED = events.declare(
    1104,
    "order_unanswered",
    logbook.WARNING,
    "An order got no valid answer; it is resent if it has no effect.",
    "read the engine's log",
)
STEP_FAILED = events.declare(
    1106,
    "placement_step_failed",
    logbook.ERROR,
    "A step of placement failed; the next step runs as usual.",
    "report the error with the log lines before it",
)
ISSUER_CHANGED = events.declare(
    1105,
    "issuer_changed",
    logbook.NOTICE,
    "This node has started or stopped issuing engine orders.",
)
