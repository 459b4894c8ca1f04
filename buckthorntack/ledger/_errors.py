"""Errors of the ledger."""

from buckthorntack import errors


class KeyReusedError(errors.GatewayError):
    """A key was used again with a different request body."""

    number = 610
    status = 422
    kind = "idempotency_key_reused"
    remedy = "use a new Idempotency-Key for a new request"


class KeyExpiredError(errors.GatewayError):
    """A key is older than the retention of records."""

    number = 611
    status = 410
    kind = "idempotency_key_expired"
    remedy = (
        "check at the service whether the request ran; for a new request "
        "use a new Idempotency-Key"
    )
    run_state = errors.RunState.UNKNOWN


class LedgerFullError(errors.GatewayError):
    """The records of the home have reached their memory limit."""

    number = 612
    status = 503
    kind = "ledger_full"
    remedy = "retry later; operators: shorten the retention or add a home"


class HomeUnreachableError(errors.GatewayError):
    """No replica of the home replied in time.

    This attempt did not run, but an earlier one of the same key may have.
    """

    number = 613
    status = 503
    kind = "ledger_home_unreachable"
    remedy = "send the same request with the same Idempotency-Key again"
    run_state = errors.RunState.UNKNOWN


class AttemptInProgressError(errors.GatewayError):
    """An earlier attempt is still running, or its state is not known yet."""

    number = 614
    status = 409
    kind = "attempt_in_progress"
    remedy = "send the same request with the same Idempotency-Key later"
    run_state = errors.RunState.UNKNOWN


class OutcomeUnknownError(errors.GatewayError):
    """It is unknown whether the request ran; it is not run again."""

    number = 615
    status = 502
    kind = "outcome_unknown"
    remedy = (
        "check at the service whether the request ran; if it did not, "
        "send it with a new Idempotency-Key"
    )
    run_state = errors.RunState.UNKNOWN


class AnswerNotStoredError(errors.GatewayError):
    """The request ran, but its response is not stored."""

    number = 616
    status = 409
    kind = "answer_not_stored"
    remedy = "read the result from the service; do not send it again"
    run_state = errors.RunState.RAN


class InvalidKeyError(errors.GatewayError):
    """The syntax or the prefix of an idempotency key is invalid."""

    number = 617
    status = 400
    kind = "invalid_idempotency_key"
    remedy = (
        "use 1 to 255 visible ASCII characters and a recently issued prefix"
    )


class NoHomeError(errors.GatewayError):
    """No ledger home is configured."""

    number = 618
    status = 503
    kind = "no_ledger_home"
    remedy = "operators: list ledger_homes in the settings"


class KeyPrefixNeededError(errors.GatewayError):
    """The home accepts a new key only if its prefix has the issue time."""

    number = 619
    status = 409
    kind = "key_prefix_needed"
    remedy = (
        "start the Idempotency-Key with the prefix in the response to "
        'a "which entry VM" request'
    )


class AttemptIdReusedError(errors.GatewayError):
    """An attempt id was used for more than one claim."""

    number = 620
    kind = "attempt_id_reused"
    remedy = "use a new attempt id for each claim"
