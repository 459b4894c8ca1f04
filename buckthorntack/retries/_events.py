"""Log events of retries and quarantine."""

import logbook

from buckthorntack import events

RETRIED = events.declare(
    1000,
    "attempt_retried",
    logbook.INFO,
    "a failed attempt is followed by another one",
)
RESUMED = events.declare(
    1001,
    "attempt_resumed",
    logbook.INFO,
    "a new connection resumes an attempt's answer",
)
OUTCOME_ASKED = events.declare(
    1002,
    "outcome_asked",
    logbook.INFO,
    "a backend server is asked what became of an attempt",
)
GAVE_UP = events.declare(
    1003,
    "attempts_given_up",
    logbook.WARNING,
    "a request got its final answer without a whole run",
    "look at the failures logged before it",
)
SUSPECTED = events.declare(
    1004,
    "request_suspected",
    logbook.WARNING,
    "a request ran on a backend server that crashed; it runs apart next",
    "look at the backend server's own log",
)
CONVICTED = events.declare(
    1005,
    "request_convicted",
    logbook.ERROR,
    "a request crashed two backend servers and is refused everywhere",
    "look at the two crashes; the refusal ends after its retention",
)
ACQUITTED = events.declare(
    1006,
    "request_acquitted",
    logbook.INFO,
    "a suspected request ran to its end",
)
