"""Error kinds of the ledger package."""

from buckthorntack import errors


class KeyReusedError(errors.GatewayError):
    """A key came with another body than before."""

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
        "look up at the service whether the request ran; for a new request "
        "use a new Idempotency-Key"
    )
    run_state = errors.RunState.UNKNOWN


class LedgerFullError(errors.GatewayError):
    """The home has no room for another record."""

    number = 612
    status = 503
    kind = "ledger_full"
    remedy = "retry later; operators: shorten the retention or add a home"


class HomeUnreachableError(errors.GatewayError):
    """No replica of the home answered in time.

    This sending did not run, but an earlier one of the same key may have.
    """

    number = 613
    status = 503
    kind = "ledger_home_unreachable"
    remedy = "send the same request with the same Idempotency-Key again"
    run_state = errors.RunState.UNKNOWN


class AttemptInProgressError(errors.GatewayError):
    """An earlier sending of the request still runs or cannot be asked."""

    number = 614
    status = 409
    kind = "attempt_in_progress"
    remedy = "send the same request with the same Idempotency-Key later"
    run_state = errors.RunState.UNKNOWN


class OutcomeUnknownError(errors.GatewayError):
    """It is not known whether the request ran; it will not be run again."""

    number = 615
    status = 502
    kind = "outcome_unknown"
    remedy = (
        "look up at the service whether the request ran; if it did not, "
        "send it with a new Idempotency-Key"
    )
    run_state = errors.RunState.UNKNOWN


class AnswerNotStoredError(errors.GatewayError):
    """The request ran, but its answer is not stored."""

    number = 616
    status = 409
    kind = "answer_not_stored"
    remedy = "read the result from the service; do not send it again"
    run_state = errors.RunState.RAN


class InvalidKeyError(errors.GatewayError):
    """An idempotency key is not of the right form."""

    number = 617
    status = 400
    kind = "invalid_idempotency_key"
    remedy = "use 1 to 255 visible ASCII characters and a prefix just issued"


class NoHomeError(errors.GatewayError):
    """No ledger home is configured."""

    number = 618
    status = 503
    kind = "no_ledger_home"
    remedy = "operators: list ledger_homes in the settings"


class KeyPrefixNeededError(errors.GatewayError):
    """The home takes only keys that tell when they were issued."""

    number = 619
    status = 409
    kind = "key_prefix_needed"
    remedy = (
        "start the Idempotency-Key with the prefix that the answer to "
        '"which entry VM" gives'
    )


class AttemptIdReusedError(errors.GatewayError):
    """An attempt id was used for a second claim."""

    number = 620
    kind = "attempt_id_reused"
    remedy = "make a new attempt id for each claim"
