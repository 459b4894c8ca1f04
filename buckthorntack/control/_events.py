"""Events of the control role."""

import logbook

from buckthorntack import events

CALL_REFUSED = events.declare(
    1400,
    "admin_call_refused",
    logbook.NOTICE,
    "The administration API refused a call; field error holds its number.",
    "follow the remedy in the response",
)
ADMINISTRATION_FAULT = events.declare(
    1404,
    "administration_fault",
    logbook.ERROR,
    "A call of the administration API failed with an internal error.",
    "report it with the log; resend the change with the same change id",
)
CHANGE_ANSWERED = events.declare(
    1405,
    "change_answered",
    logbook.INFO,
    "A change was accepted, or refused for a conflict or for findings.",
)
REPLICAS_CHANGED = events.declare(
    1406,
    "replicas_changed",
    logbook.NOTICE,
    "An operator added or removed a replica of the configuration group.",
)
CONTROL_STARTED = events.declare(
    1450,
    "control_started",
    logbook.NOTICE,
    "The control VM has started its replicas.",
)
