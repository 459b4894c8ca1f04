"""Retries of failed attempts, retry budgets, and the quarantine."""

from buckthorntack import _lazy_imports

__getattr__, __dir__, __all__ = _lazy_imports.attach(
    __name__,
    {
        "buckthorntack.retries._budget": ("RetryBudget",),
        "buckthorntack.retries._claims": ("RunAlone", "Wait"),
        "buckthorntack.retries._crashes": (
            "Crash",
            "CrashDetector",
            "LostRequest",
        ),
        "buckthorntack.retries._errors": (
            "AnswerLostError",
            "AttemptsFailedError",
            "ConvictedError",
            "OutcomeUnknownError",
            "SuspectWaitsError",
            "TooManyAttemptsError",
        ),
        "buckthorntack.retries._events": (
            "ACQUITTED",
            "CONVICTED",
            "GAVE_UP",
            "OUTCOME_ASKED",
            "RESUMED",
            "RETRIED",
            "SUSPECTED",
        ),
        "buckthorntack.retries._fingerprint": ("fingerprint",),
        "buckthorntack.retries._items": ("item_key", "pack", "unpack"),
        "buckthorntack.retries._limiter": ("AttemptLimiter",),
        "buckthorntack.retries._policy": ("RetryPolicy",),
        "buckthorntack.retries._quarantine": (
            "Clean",
            "Convicted",
            "Quarantine",
            "Suspect",
            "Verdict",
        ),
        "buckthorntack.retries._types": (
            "AskOutcome",
            "AttemptContext",
            "ConnectRefused",
            "CrossedAnswer",
            "EngineError",
            "Failure",
            "GiveUp",
            "LostBeforeHead",
            "LostMidStream",
            "OutcomeTold",
            "QuarantineSettings",
            "Resume",
            "ResumeFailed",
            "Retry",
            "RetrySettings",
            "SaidNotRun",
            "Silent",
            "Step",
        ),
    },
)
