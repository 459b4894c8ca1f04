"""Log events of the entry role."""

import logbook

from buckthorntack import events

REQUEST_TAKEN = events.declare(
    1300,
    "request_taken",
    logbook.DEBUG,
    "A caller's request was authenticated and parsed.",
)
REQUEST_ENDED = events.declare(
    1301,
    "request_ended",
    logbook.INFO,
    "The response to a caller's request was sent completely.",
)
REQUEST_REFUSED = events.declare(
    1302,
    "request_refused",
    logbook.INFO,
    "An error was sent in response to a caller's request.",
    "see the number and remedy of the error",
)
ROUTED = events.declare(
    1303,
    "attempt_routed",
    logbook.INFO,
    "A backend server or a region was chosen; the fields give the reasons.",
)
ATTEMPT_FAILED = events.declare(
    1304,
    "attempt_failed",
    logbook.NOTICE,
    "An attempt failed; the field step has the decision on a retry.",
    "check the backend server if this recurs",
)
ENTRY_STARTED = events.declare(
    1305,
    "entry_started",
    logbook.NOTICE,
    "The entry VM accepts requests.",
)
ENTRY_STOPPING = events.declare(
    1306,
    "entry_stopping",
    logbook.NOTICE,
    "The entry VM accepts no new callers and finishes its requests.",
)
ENTRY_STOPPED = events.declare(
    1307,
    "entry_stopped",
    logbook.NOTICE,
    "The entry VM has stopped its listeners and tasks.",
)
FAULT = events.declare(
    1308,
    "entry_fault",
    logbook.ERROR,
    "An unexpected exception in the gateway ended a request.",
    "report the traceback",
)
REPLAYED = events.declare(
    1309,
    "answer_replayed",
    logbook.INFO,
    "A retry by the caller got the stored response of the first attempt.",
)
DRAIN_CUT_SHORT = events.declare(
    1328,
    "drain_cut_short",
    logbook.WARNING,
    "A planned stop took longer than drain_ms; its requests were aborted.",
    "raise timing.drain_ms, or set it to 0 to wait for all requests",
)
ANSWER_LOST = events.declare(
    1329,
    "attempt_answer_lost",
    logbook.NOTICE,
    "A backend server's answer broke off, was malformed or had no end.",
    "check whether the server crashed or sends bytes that are no response",
)
