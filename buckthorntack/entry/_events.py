"""Log events of the entry role."""

import logbook

from buckthorntack import events

REQUEST_TAKEN = events.declare(
    1300,
    "request_taken",
    logbook.DEBUG,
    "A caller's request was authenticated and read.",
)
REQUEST_ENDED = events.declare(
    1301,
    "request_ended",
    logbook.INFO,
    "A caller's request was answered whole.",
)
REQUEST_REFUSED = events.declare(
    1302,
    "request_refused",
    logbook.INFO,
    "A caller's request was answered with an error.",
    "see the error's own number and remedy",
)
ROUTED = events.declare(
    1303,
    "attempt_routed",
    logbook.INFO,
    "A backend server or another region was chosen, for the reasons given.",
)
ATTEMPT_FAILED = events.declare(
    1304,
    "attempt_failed",
    logbook.NOTICE,
    "An attempt failed; the next step was decided.",
    "look at the backend server if this repeats",
)
ENTRY_STARTED = events.declare(
    1305,
    "entry_started",
    logbook.NOTICE,
    "The entry VM takes requests.",
)
ENTRY_STOPPING = events.declare(
    1306,
    "entry_stopping",
    logbook.NOTICE,
    "The entry VM leaves callers' lists and finishes what it has.",
)
ENTRY_STOPPED = events.declare(
    1307,
    "entry_stopped",
    logbook.NOTICE,
    "The entry VM has answered all its requests and ends.",
)
FAULT = events.declare(
    1308,
    "entry_fault",
    logbook.ERROR,
    "A fault of the gateway itself ended a request.",
    "report the traceback",
)
REPLAYED = events.declare(
    1309,
    "answer_replayed",
    logbook.INFO,
    "A resend was given the stored answer of its first attempt.",
)
DRAIN_CUT_SHORT = events.declare(
    1328,
    "drain_cut_short",
    logbook.WARNING,
    "A planned stop took longer than drain_ms; requests were cut off.",
    "raise timing.drain_ms, or set it to 0 to wait for all requests",
)
