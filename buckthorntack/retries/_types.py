"""Failures of attempts, next steps and settings."""

import datetime
from typing import NamedTuple

from buckthorntack import errors


class ConnectRefused(NamedTuple):
    """No connection was made, so nothing was sent."""

    server_id: str


class LostBeforeHead(NamedTuple):
    """The connection was lost after sending, before any answer."""

    server_id: str


class Silent(NamedTuple):
    """An open connection made no progress; it was closed."""

    server_id: str


class LostMidStream(NamedTuple):
    """The connection was lost within the answer."""

    server_id: str


class CrossedAnswer(NamedTuple):
    """The answer names another attempt; the connection was closed."""

    server_id: str


class SaidNotRun(NamedTuple):
    """The server, or the entry VM forwarded to, says it was not run."""

    server_id: str
    retry_after_ms: int | None = None


class EngineError(NamedTuple):
    """The server answered with an error of its own."""

    server_id: str
    status: int
    run_state: errors.RunState = errors.RunState.UNKNOWN


class OutcomeTold(NamedTuple):
    """What the server told of the attempt when asked."""

    server_id: str
    run_state: errors.RunState
    running: bool


class ResumeFailed(NamedTuple):
    """The attempt's answer can no longer be resumed."""

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
    """What the policy knows of a request; each step gives the next one."""

    request_id: str
    fingerprint: str
    idempotent: bool
    #: Monotonic time at which the caller's patience ends.
    deadline: datetime.timedelta
    #: Last event that the caller has; -1 if none.  Kept by the owner.
    last_event: int = -1
    #: Whether the service streams events that can be resumed.
    resumable: bool = True
    attempts: int = 1
    resumes: int = 0
    questions: int = 0
    excluded: frozenset[str] = frozenset()
    #: Whether the attempt that is now known to have failed may have run.
    current_unknown: bool = False
    #: Whether an attempt given up earlier may have run.
    may_have_run: bool = False
    #: Whether some attempt is known to have run.
    ran: bool = False


class Retry(NamedTuple):
    """Start another attempt elsewhere."""

    excluded: frozenset[str]
    delay: datetime.timedelta
    context: AttemptContext


class Resume(NamedTuple):
    """Resume the attempt on a new connection to the same server."""

    after_event: int
    delay: datetime.timedelta
    context: AttemptContext


class AskOutcome(NamedTuple):
    """Ask the server on a new connection what became of the attempt."""

    delay: datetime.timedelta
    context: AttemptContext


class GiveUp(NamedTuple):
    """Tell the caller the final answer."""

    error: errors.GatewayError


Step = Retry | Resume | AskOutcome | GiveUp


class RetrySettings(NamedTuple):
    """Constants of retries."""

    attempts: int = 4
    resumes: int = 4
    questions: int = 2
    budget_share: float = 0.1
    budget_burst: int = 20
    budget_per_second: float = 1.0
    backoff_ms: float = 25.0
    longest_backoff_ms: float = 1000.0
    #: Failed attempts of equal requests over all entry VMs, in a window.
    failed_attempts: int = 8
    window_ms: int = 60_000
    retry_after_ms: int = 2000


class QuarantineSettings(NamedTuple):
    """Constants of the quarantine."""

    #: Longest time in which an item reaches all entry VMs that it can reach.
    spread_ms: int = 1000
    #: How long evidence, acquittals and convictions are kept.
    retention_ms: int = 600_000
    #: Lease of a claim to run a suspect; renewed while it is held.
    claim_lease_ms: int = 10_000
    #: Servers that crash within the window below for one common cause.
    common_cause_servers: int = 4
    common_cause_ms: int = 5000
    most_items: int = 20_000
