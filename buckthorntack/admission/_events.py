"""Log events of admission."""

import logbook

from buckthorntack import events

ADMITTED = events.declare(
    900,
    "request_admitted",
    logbook.DEBUG,
    "a request was admitted and may start",
)
QUEUED = events.declare(
    901,
    "request_queued",
    logbook.DEBUG,
    "a request is queued until capacity is free",
)
SHED = events.declare(
    902,
    "request_shed",
    logbook.WARNING,
    "a request was refused for lack of capacity; it was not run",
    "add backend servers, or look for an organisation that sends an "
    "excess of requests",
)
OVER_QUOTA = events.declare(
    903,
    "quota_exceeded",
    logbook.INFO,
    "a request exceeded its organisation's quota and was refused; it was "
    "not run",
    "raise the organisation's quota if it is too small",
)
QUOTA_REFUSED = events.declare(
    910,
    "quota_refused",
    logbook.INFO,
    "an organisation's quota is used up for now; the request was not run",
    "raise the organisation's quota if it is too small",
)
QUEUE_FULL = events.declare(
    911,
    "queue_full",
    logbook.WARNING,
    "a request was shed because the queue is full; it was not run",
    "add backend servers or raise the organisation's priority",
)
DEADLINE_PASSED = events.declare(
    912,
    "deadline_before_start",
    logbook.WARNING,
    "a request could not start before its deadline; it was not run",
    "add backend servers",
)
