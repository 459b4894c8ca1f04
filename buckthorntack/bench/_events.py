"""Log events of the load tool."""

import logbook

from buckthorntack import events

FAULTY_SCHEDULE = events.declare(
    1600,
    "faulty_schedule",
    logbook.ERROR,
    "A fault schedule cannot be used.",
    "mend the schedule; see docs/LOAD.md for its fields",
)
UNKNOWN_POLICY = events.declare(
    1601,
    "unknown_policy",
    logbook.ERROR,
    "A routing policy of this name does not exist.",
    "name policies that 'buckthorntack load --help' lists",
)
FAULT = events.declare(
    1602,
    "fault_injected",
    logbook.INFO,
    "The load tool brought about a fault of its schedule.",
)
