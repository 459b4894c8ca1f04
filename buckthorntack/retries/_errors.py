"""Errors that callers get after failed attempts, or from the quarantine."""

from buckthorntack import errors


class AttemptsFailedError(errors.GatewayError):
    """No attempt ran the request, and no further one is made."""

    number = 1010
    status = 503
    kind = "attempts_failed"
    remedy = "send the request again after the stated time"


class OutcomeUnknownError(errors.GatewayError):
    """The request may have run, and its answer is lost."""

    number = 1011
    status = 502
    kind = "outcome_unknown"
    remedy = (
        "ask for the outcome by the idempotency key before sending the "
        "request again"
    )
    run_state = errors.RunState.UNKNOWN


class AnswerLostError(errors.GatewayError):
    """The request ran, and its answer cannot be recovered."""

    number = 1012
    status = 502
    kind = "answer_lost"
    remedy = "do not send the request again unless it may run twice"
    run_state = errors.RunState.RAN


class ConvictedError(errors.GatewayError):
    """The request crashed several backend servers and is refused."""

    number = 1013
    status = 422
    kind = "request_quarantined"
    remedy = (
        "do not send this request again; operators: check the crashes of "
        "the backend servers that it ran on"
    )


class TooManyAttemptsError(errors.GatewayError):
    """Equal requests failed too often recently, at any entry VM."""

    number = 1014
    status = 429
    kind = "too_many_attempts"
    remedy = "send the request again after the stated time"


class SuspectWaitsError(errors.GatewayError):
    """The request is suspected and could not be run alone in time."""

    number = 1015
    status = 503
    kind = "suspect_waits"
    remedy = "send the request again after the stated time"
