"""Log events of resumed streams."""

import logbook

from buckthorntack import events

ORIGIN_UNKNOWN = events.declare(
    2500,
    "stream_origin_unknown",
    logbook.NOTICE,
    "No node that answered knows which software version began the stream that"
    " a client resumes; the request is refused.",
    "check the control VMs if it is logged often",
)
ORIGINS_CUT = events.declare(
    2501,
    "stream_origins_cut",
    logbook.WARNING,
    "More streams began than records are kept; the oldest were dropped early.",
    "check the rate of streams against docs/CAPACITY.md",
)
INCARNATION_UNCONFIRMED = events.declare(
    2502,
    "server_incarnation_unconfirmed",
    logbook.NOTICE,
    "A stream does not go on at a server, as it has started again (replaced)"
    " or too few control VMs say that it has not (unknown).",
    "if it is logged often, check the links between this entry VM and the"
    " control VMs",
)
ORIGIN_REFUSED = events.declare(
    2503,
    "stream_origin_refused",
    logbook.NOTICE,
    "An entry VM told where streams began by an old record of their server,"
    " so their software version is not known; their clients begin anew.",
    "check the links between that entry VM and the control VMs",
)
