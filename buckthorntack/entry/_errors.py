"""Error types of the entry role."""

from buckthorntack import errors


class UnauthorisedError(errors.GatewayError):
    """The caller's credential is missing, unknown or expired."""

    number = 1310
    status = 401
    kind = "invalid_credential"
    remedy = "send the token of a published caller credential"


class NotFoundError(errors.GatewayError):
    """The path, model, service or call is unknown or not allowed."""

    number = 1311
    status = 404
    kind = "not_found"
    remedy = "see GET /v1/models and the calls in the Service object"


class KeyNeededError(errors.GatewayError):
    """A non-idempotent request carries no idempotency key."""

    number = 1312
    status = 400
    kind = "idempotency_key_needed"
    remedy = "send an Idempotency-Key header with the prefix of /v1/entries"


class TooLargeError(errors.GatewayError):
    """A request is larger than the settings allow."""

    number = 1313
    status = 413
    kind = "request_too_large"
    remedy = "send a smaller request, or ask the operator to raise the limits"


class BusyError(errors.GatewayError):
    """The entry VM has reached its maximum number of connections."""

    number = 1314
    status = 503
    kind = "too_many_connections"
    remedy = "use another entry VM of /v1/entries"


class StoppingError(errors.GatewayError):
    """The entry VM is stopping and accepts no new requests."""

    number = 1315
    status = 503
    kind = "entry_stopping"
    remedy = "use another entry VM of /v1/entries"


class NotReadyError(errors.GatewayError):
    """The entry VM has no active configuration yet."""

    number = 1316
    status = 503
    kind = "not_ready"
    remedy = "use another entry VM; check that control VMs are reachable"


class CrossedAnswerError(errors.GatewayError):
    """A response carries the id of another attempt."""

    number = 1317
    status = 502
    kind = "crossed_answer"
    remedy = "check the backend server for a fault; the caller may retry"
    run_state = errors.RunState.UNKNOWN


class ForwardingError(errors.GatewayError):
    """A request could not be forwarded to another region and did not run."""

    number = 1318
    status = 503
    kind = "region_unreachable"
    remedy = "retry later; check the link between the regions"


class ForwardedError(errors.GatewayError):
    """The region that a request was forwarded to returned an error.

    :param end: the ``ForwardEnd`` message.
    """

    number = 1319
    status = 502
    kind = "forwarded_error"
    remedy = "see the event with the number of the error"

    def __init__(self, end):
        super().__init__(end.error_detail, end.retry_after_ms or None)
        self.number = end.error_number
        self.status = end.status
        self.kind = end.error_kind
        self.remedy = end.remedy
        self.run_state = errors.RunState(end.run_state)


class AnswerTooLargeError(errors.GatewayError):
    """The response to a non-idempotent request is too large to store."""

    number = 1320
    status = 502
    kind = "answer_too_large"
    remedy = (
        "raise limits.answer_bytes, or have the service send shorter responses"
    )
    run_state = errors.RunState.RAN


class AttemptLostError(errors.GatewayError):
    """The attempt to resume is no longer reachable."""

    number = 1321
    status = 410
    kind = "attempt_lost"
    remedy = "send the request again"
    run_state = errors.RunState.UNKNOWN


class MalformedRequestError(errors.GatewayError):
    """A header or a body cannot be parsed."""

    number = 1322
    status = 400
    kind = "invalid_request_error"
    remedy = "send the request as docs/CALLERS.md describes"


class InternalError(errors.GatewayError):
    """An unexpected exception occurred in the gateway."""

    number = 1323
    status = 500
    kind = "internal_error"
    remedy = "report the request id; the log has the details"
    run_state = errors.RunState.UNKNOWN


class AnnouncementRefusedError(errors.GatewayError):
    """The published configuration does not allow an announcement."""

    number = 1324
    status = 409
    kind = "announcement_refused"
    remedy = "publish the backend server pool, or correct the announcement"


class ForwardingLostError(errors.GatewayError):
    """The origin of a forwarded request no longer receives the response."""

    number = 1325
    status = 502
    kind = "forwarding_lost"
    remedy = "resume the stream at another entry VM, or send the request again"
    run_state = errors.RunState.UNKNOWN


class WrongRegionError(errors.GatewayError):
    """The entry VM is outside the regions of the organisation's residency."""

    number = 1326
    status = 421
    kind = "wrong_region"
    remedy = "use an entry VM that GET /v1/entries lists"


class MalformedAnnouncementError(MalformedRequestError):
    """An announcement does not match its schema."""

    number = 1327
    remedy = "send the announcement as docs/BACKENDS.md describes"


class StoppedError(errors.GatewayError):
    """A planned stop ended a request before its response began."""

    number = 1331
    status = 504
    kind = "entry_stopped"
    remedy = "use another entry VM; send bookings again with the same key"
    run_state = errors.RunState.UNKNOWN


class RegionSilentError(errors.GatewayError):
    """No entry VM in the region of an attempt responded."""

    number = 1329
    status = 504
    kind = "region_silent"
    remedy = "resume the stream again; the attempt may still be running"
    run_state = errors.RunState.UNKNOWN
