"""Log events of membership."""

import logbook

from buckthorntack import events

SERVER_ADDED = events.declare(
    700,
    "server_added",
    logbook.INFO,
    "A backend server was added or has changed.",
)
SERVER_REMOVED = events.declare(
    701,
    "server_removed",
    logbook.NOTICE,
    "A backend server has withdrawn or its lease has expired; it gets no "
    "new work.",
    "if it should run, check its log and its connection to the entry VMs",
)
ANNOUNCEMENT_REFUSED = events.declare(
    702,
    "announcement_refused",
    logbook.WARNING,
    "An announcement of a backend server was refused.",
    "see the reason; the incarnation must increase with each start",
)
ECHO_ASKED = events.declare(
    708,
    "echo_asked",
    logbook.DEBUG,
    "A backend server was asked to announce again with the answer's echo.",
)
ITEM_REFUSED = events.declare(
    707,
    "item_refused",
    logbook.NOTICE,
    "An item of this node's application was refused and not published.",
    "see the reason",
)
ENTRY_CHANGED = events.declare(
    703,
    "entry_changed",
    logbook.INFO,
    "An entry VM was added or has changed its state.",
)
ENTRY_REMOVED = events.declare(
    704,
    "entry_removed",
    logbook.NOTICE,
    "An entry VM has stopped or its lease has expired.",
    "if it was not stopped, check its log and its links",
)
STEP_FAILED = events.declare(
    709,
    "membership_step_failed",
    logbook.ERROR,
    "A step of membership failed; the next step is tried.",
    "report the error with the log lines before it",
)
DOMAIN_LEARNED = events.declare(
    705,
    "domain_learned",
    logbook.INFO,
    "The first summary of a failure domain was received.",
)
DOMAIN_SILENT = events.declare(
    706,
    "domain_silent",
    logbook.WARNING,
    "The last summary of a failure domain has expired.",
    "check the links between the two failure domains",
)
