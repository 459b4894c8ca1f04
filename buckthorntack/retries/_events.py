"""Log events of retries and of the quarantine."""

import logbook

from buckthorntack import events

RETRIED = events.declare(
    1000,
    "attempt_retried",
    logbook.INFO,
    "another attempt follows a failed one",
)
RESUMED = events.declare(
    1001,
    "attempt_resumed",
    logbook.INFO,
    "the answer of an attempt is resumed on a new connection",
)
OUTCOME_ASKED = events.declare(
    1002,
    "outcome_asked",
    logbook.INFO,
    "a backend server is asked for the outcome of an attempt",
)
GAVE_UP = events.declare(
    1003,
    "attempts_given_up",
    logbook.WARNING,
    "a request got an error, as no attempt completed",
    "check the failures logged before this event",
)
SUSPECTED = events.declare(
    1004,
    "request_suspected",
    logbook.WARNING,
    "a request ran on a backend server that crashed; it runs alone next time",
    "check the log of the backend server",
)
CONVICTED = events.declare(
    1005,
    "request_convicted",
    logbook.ERROR,
    "a request crashed two backend servers and is refused everywhere",
    "check the two crashes; the refusal ends after the retention time",
)
ACQUITTED = events.declare(
    1006,
    "request_acquitted",
    logbook.INFO,
    "a suspected request completed and is no longer suspected",
)
ATTEMPTS_FAILED = events.declare(
    1010,
    "attempts_failed",
    logbook.WARNING,
    "no attempt ran a request, and no further one is made",
    "check the failures logged before this event",
)
OUTCOME_UNKNOWN = events.declare(
    1011,
    "outcome_unknown",
    logbook.WARNING,
    "a request may have run, and its answer is lost",
    "ask for the outcome by its idempotency key",
)
ANSWER_LOST = events.declare(
    1012,
    "answer_lost",
    logbook.WARNING,
    "a request ran, and its answer cannot be recovered",
    "check the log of the backend server",
)
QUARANTINED = events.declare(
    1013,
    "request_quarantined",
    logbook.WARNING,
    "a request was refused, as it crashes backend servers; it was not run",
    "check the crashes of the backend servers that it ran on",
)
TOO_MANY_ATTEMPTS = events.declare(
    1014,
    "too_many_attempts",
    logbook.WARNING,
    "equal requests failed too often recently; this one was not run",
    "check the failures logged before this event",
)
SUSPECT_WAITS = events.declare(
    1015,
    "suspect_waits",
    logbook.WARNING,
    "a suspected request could not run alone in time; it was not run",
    "none needed, unless the event is repeated",
)
