"""Events of the control role."""

import logbook

from buckthorntack import events

CALL_REFUSED = events.declare(
    1400,
    "admin_call_refused",
    logbook.NOTICE,
    "A call of the administration API was refused; the line gives the error.",
    "see the remedy that the line and the answer give",
)
ADMINISTRATION_FAULT = events.declare(
    1404,
    "administration_fault",
    logbook.ERROR,
    "A call of the administration API failed because of a fault.",
    "report it with the log; resend the change under the same change id",
)
CHANGE_ANSWERED = events.declare(
    1405,
    "change_answered",
    logbook.INFO,
    "An operator's change was accepted, or refused by a conflict or findings.",
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
    "The control VM runs its replicas.",
)
