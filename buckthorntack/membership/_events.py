"""Events of membership."""

import logbook

from buckthorntack import events

SERVER_ADDED = events.declare(
    700,
    "server_added",
    logbook.INFO,
    "A backend server was learned or has changed.",
)
SERVER_REMOVED = events.declare(
    701,
    "server_removed",
    logbook.NOTICE,
    "A backend server has withdrawn or its lease has lapsed; it gets no "
    "new work.",
    "if it should run, look at its log and its way to the entry VMs",
)
ANNOUNCEMENT_REFUSED = events.declare(
    702,
    "announcement_refused",
    logbook.WARNING,
    "An announcement was not taken.",
    "see the reason; an incarnation must grow with each start",
)
ECHO_ASKED = events.declare(
    708,
    "echo_asked",
    logbook.DEBUG,
    "A first announcement was answered with an echo to announce with.",
)
ITEM_REFUSED = events.declare(
    707,
    "item_refused",
    logbook.NOTICE,
    "An item of this node's application was not spread.",
    "see the reason",
)
ENTRY_CHANGED = events.declare(
    703,
    "entry_changed",
    logbook.INFO,
    "An entry VM was learned or has changed its state.",
)
ENTRY_REMOVED = events.declare(
    704,
    "entry_removed",
    logbook.NOTICE,
    "An entry VM has stopped or gone silent.",
    "if it was not stopped, look at its log and its links",
)
STEP_FAILED = events.declare(
    709,
    "membership_step_failed",
    logbook.ERROR,
    "A step of membership failed; the next one is tried.",
    "report the error with the lines before it",
)
DOMAIN_LEARNED = events.declare(
    705,
    "domain_learned",
    logbook.INFO,
    "Summaries of a failure domain arrive.",
)
DOMAIN_SILENT = events.declare(
    706,
    "domain_silent",
    logbook.WARNING,
    "No summary of a failure domain has arrived for long.",
    "look at the links between the two failure domains",
)
