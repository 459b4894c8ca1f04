"""Log events of routing."""

import logbook

from buckthorntack import events

ROUTED = events.declare(
    800,
    "request_routed",
    logbook.INFO,
    "a request was routed to a backend server of this region",
)
FORWARDED = events.declare(
    801,
    "request_forwarded",
    logbook.INFO,
    "a request was forwarded to another failure domain",
)
REFUSED = events.declare(
    802,
    "routing_refused",
    logbook.WARNING,
    "no backend server could be chosen for a request; it was not run",
    "see the error's remedy; check servers and residency rules",
)
EJECTED = events.declare(
    803,
    "server_ejected",
    logbook.WARNING,
    "a backend server failed repeatedly and is ejected for a limited time",
    "check the log of the backend server",
)
RESIDENCY_UNSERVED = events.declare(
    810,
    "residency_unserved",
    logbook.WARNING,
    "no region that the organisation allows can be reached from here",
    "check the organisation's residency rule and the links to its regions",
)
NO_SERVER = events.declare(
    811,
    "no_backend_server",
    logbook.WARNING,
    "no live backend server offers the service and model version",
    "check that the pool's backend servers announce this model version",
)
EXCLUDED = events.declare(
    812,
    "servers_excluded",
    logbook.WARNING,
    "all backend servers that could run a request failed it earlier",
    "check the failed attempts on the named backend servers",
)
