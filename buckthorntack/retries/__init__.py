"""Retries of failed attempts, retry budgets, and the quarantine."""

from buckthorntack.retries._budget import RetryBudget
from buckthorntack.retries._claims import RunAlone
from buckthorntack.retries._claims import Wait
from buckthorntack.retries._crashes import Crash
from buckthorntack.retries._crashes import CrashDetector
from buckthorntack.retries._crashes import LostRequest
from buckthorntack.retries._errors import AnswerLostError
from buckthorntack.retries._errors import AttemptsFailedError
from buckthorntack.retries._errors import ConvictedError
from buckthorntack.retries._errors import OutcomeUnknownError
from buckthorntack.retries._errors import SuspectWaitsError
from buckthorntack.retries._errors import TooManyAttemptsError
from buckthorntack.retries._events import ACQUITTED
from buckthorntack.retries._events import CONVICTED
from buckthorntack.retries._events import GAVE_UP
from buckthorntack.retries._events import OUTCOME_ASKED
from buckthorntack.retries._events import RESUMED
from buckthorntack.retries._events import RETRIED
from buckthorntack.retries._events import SUSPECTED
from buckthorntack.retries._fingerprint import fingerprint
from buckthorntack.retries._items import item_key
from buckthorntack.retries._items import pack
from buckthorntack.retries._items import unpack
from buckthorntack.retries._limiter import AttemptLimiter
from buckthorntack.retries._policy import RetryPolicy
from buckthorntack.retries._quarantine import Clean
from buckthorntack.retries._quarantine import Convicted
from buckthorntack.retries._quarantine import Quarantine
from buckthorntack.retries._quarantine import Suspect
from buckthorntack.retries._quarantine import Verdict
from buckthorntack.retries._types import AskOutcome
from buckthorntack.retries._types import AttemptContext
from buckthorntack.retries._types import ConnectRefused
from buckthorntack.retries._types import CrossedAnswer
from buckthorntack.retries._types import EngineError
from buckthorntack.retries._types import Failure
from buckthorntack.retries._types import GiveUp
from buckthorntack.retries._types import LostBeforeHead
from buckthorntack.retries._types import LostMidStream
from buckthorntack.retries._types import OutcomeTold
from buckthorntack.retries._types import QuarantineSettings
from buckthorntack.retries._types import Resume
from buckthorntack.retries._types import ResumeFailed
from buckthorntack.retries._types import Retry
from buckthorntack.retries._types import RetrySettings
from buckthorntack.retries._types import SaidNotRun
from buckthorntack.retries._types import Silent
from buckthorntack.retries._types import Step

__all__ = [
    "ACQUITTED",
    "AnswerLostError",
    "AskOutcome",
    "AttemptContext",
    "AttemptLimiter",
    "AttemptsFailedError",
    "CONVICTED",
    "Clean",
    "ConnectRefused",
    "Convicted",
    "ConvictedError",
    "Crash",
    "CrashDetector",
    "CrossedAnswer",
    "EngineError",
    "Failure",
    "GAVE_UP",
    "GiveUp",
    "LostBeforeHead",
    "LostMidStream",
    "LostRequest",
    "OUTCOME_ASKED",
    "OutcomeTold",
    "OutcomeUnknownError",
    "Quarantine",
    "QuarantineSettings",
    "RESUMED",
    "RETRIED",
    "Resume",
    "ResumeFailed",
    "Retry",
    "RetryBudget",
    "RetryPolicy",
    "RetrySettings",
    "RunAlone",
    "SUSPECTED",
    "SaidNotRun",
    "Silent",
    "Step",
    "Suspect",
    "SuspectWaitsError",
    "TooManyAttemptsError",
    "Verdict",
    "Wait",
    "fingerprint",
    "item_key",
    "pack",
    "unpack",
]
