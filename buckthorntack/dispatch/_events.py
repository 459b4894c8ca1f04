"""Log events of the choice of servers."""

import logbook

from buckthorntack import events

REQUEST_ROUTED = events.declare(
    2100,
    "request_routed",
    logbook.INFO,
    "A request was sent to a backend server or region, or refused.",
)
