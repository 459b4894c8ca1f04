"""Kinds of final answer after attempts failed."""

from buckthorntack import errors


class AttemptsFailedError(errors.GatewayError):
    """No attempt ran the request, and no further one is made."""

    number = 1010
    status = 503
    kind = "attempts_failed"
    remedy = "send it again after the stated time"


class OutcomeUnknownError(errors.GatewayError):
    """The request may have run, and its answer is lost."""

    number = 1011
    status = 502
    kind = "outcome_unknown"
    remedy = (
        "ask for the outcome by its idempotency key before sending it again"
    )
    run_state = errors.RunState.UNKNOWN


class AnswerLostError(errors.GatewayError):
    """The request ran, and its answer cannot be had."""

    number = 1012
    status = 502
    kind = "answer_lost"
    remedy = "do not send it again unless it may run twice"
    run_state = errors.RunState.RAN


class ConvictedError(errors.GatewayError):
    """The request crashes the backend servers that run it."""

    number = 1013
    status = 422
    kind = "request_quarantined"
    remedy = (
        "do not send this request again; operators: look at the crashes of "
        "the backend servers that it ran on"
    )


class TooManyAttemptsError(errors.GatewayError):
    """The request failed too often lately, here or at other entry VMs."""

    number = 1014
    status = 429
    kind = "too_many_attempts"
    remedy = "send it again after the stated time"


class SuspectWaitsError(errors.GatewayError):
    """The request is suspected and runs at another entry VM already."""

    number = 1015
    status = 503
    kind = "suspect_waits"
    remedy = "send it again after the stated time"
