"""Failures of attempts, steps that follow them, and settings."""

import datetime
from typing import NamedTuple

from buckthorntack import errors


class ConnectRefused(NamedTuple):
    """No connection was established, so nothing was sent."""

    server_id: str


class LostBeforeHead(NamedTuple):
    """The connection was lost after the request and before the answer."""

    server_id: str


class Silent(NamedTuple):
    """The connection made no progress in time and was closed."""

    server_id: str


class LostMidStream(NamedTuple):
    """The connection was lost during the answer."""

    server_id: str


class CrossedAnswer(NamedTuple):
    """The answer belongs to another attempt; the connection was closed."""

    server_id: str


class SaidNotRun(NamedTuple):
    """The server or the other entry VM answered that it was not run."""

    server_id: str
    retry_after_ms: int | None = None


class EngineError(NamedTuple):
    """The server answered with an error."""

    server_id: str
    status: int
    run_state: errors.RunState = errors.RunState.UNKNOWN


class OutcomeTold(NamedTuple):
    """The answer of the server to an outcome query."""

    server_id: str
    run_state: errors.RunState
    running: bool


class ResumeFailed(NamedTuple):
    """The server cannot resume the answer of the attempt."""

    server_id: str


Failure = (
    ConnectRefused
    | LostBeforeHead
    | Silent
    | LostMidStream
    | CrossedAnswer
    | SaidNotRun
    | EngineError
    | OutcomeTold
    | ResumeFailed
)


class AttemptContext(NamedTuple):
    """State of a request in the policy; each step carries its successor."""

    request_id: str
    fingerprint: str
    idempotent: bool
    #: Monotonic time until which the caller waits; no step is taken later.
    deadline: datetime.timedelta
    #: Number of the last event delivered to the caller; -1 if none.  The
    #: owner of the context updates it.
    last_event: int = -1
    #: Whether the service can resume an event stream.
    resumable: bool = True
    attempts: int = 1
    resumes: int = 0
    outcome_queries: int = 0
    excluded: frozenset[str] = frozenset()
    #: Whether the current attempt may have run.
    current_may_have_run: bool = False
    #: Whether an earlier attempt may have run.
    earlier_may_have_run: bool = False
    #: Whether any attempt is known to have run.
    ran: bool = False


class Retry(NamedTuple):
    """Start another attempt on another server."""

    excluded: frozenset[str]
    delay: datetime.timedelta
    context: AttemptContext


class Resume(NamedTuple):
    """Resume the attempt on a new connection to the same server."""

    after_event: int
    delay: datetime.timedelta
    context: AttemptContext


class AskOutcome(NamedTuple):
    """Ask the server on a new connection for the outcome of the attempt."""

    delay: datetime.timedelta
    context: AttemptContext


class GiveUp(NamedTuple):
    """End the request with an error to the caller."""

    error: errors.GatewayError


Step = Retry | Resume | AskOutcome | GiveUp


class RetrySettings(NamedTuple):
    """Constants of the retry policy."""

    #: Attempts of one request, the first included.
    max_attempts: int = 4
    #: Resumes of one attempt; a report that it is running resets the count.
    max_resumes: int = 4
    #: Outcome queries about one attempt; a report that it is running resets
    #: the count.
    max_outcome_queries: int = 2
    #: Retries that each first attempt adds to the budget.
    budget_share: float = 0.1
    #: Capacity of the budget in retries.
    budget_burst: int = 20
    #: Retries that each second adds to the budget.
    budget_per_second: float = 1.0
    #: Upper bound of the first random delay; doubled for each further one.
    backoff_ms: float = 25.0
    #: Upper bound of every delay.
    max_backoff_ms: float = 1000.0
    #: Failed attempts of equal requests in a window, over all entry VMs.
    max_failed_attempts: int = 8
    #: Time without a failed attempt after which the counts are deleted.
    window_ms: int = 60_000
    #: Delay that a refusal tells the caller to wait before a retry.
    retry_after_ms: int = 2000


class QuarantineSettings(NamedTuple):
    """Constants of the quarantine."""

    #: Longest time until an item has reached all reachable entry VMs.
    max_propagation_ms: int = 1000
    #: Retention of evidence and convictions; that of acquittals is twice as
    #: long.
    retention_ms: int = 600_000
    #: Lease of a claim to run a suspect; renewed while the suspect runs.
    claim_lease_ms: int = 10_000
    #: Crashed servers in the window below that indicate a common cause.
    common_cause_servers: int = 4
    #: Largest time between crashes that may have a common cause.
    common_cause_ms: int = 5000
    max_items: int = 20_000
