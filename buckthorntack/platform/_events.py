"""Log events of the adapter."""

import logbook

from buckthorntack import events

ANNOUNCEMENT_UNREADABLE = events.declare(
    2301,
    "announcement_unreadable",
    logbook.WARNING,
    "What a backend server said of itself could not be read; what was known "
    "of it holds.",
    "look for a sender of another version",
)
START_FAILED = events.declare(
    2302,
    "start_failed",
    logbook.ERROR,
    "The process ends, as it cannot start or go on.",
    "see the error",
)
LEAVE_UNREADABLE = events.declare(
    2303,
    "leave_unreadable",
    logbook.WARNING,
    "A backend server left, but which start of it could not be read;"
    " it counts as gone whichever it is.",
    "look for a sender of another version",
)
