"""Error kinds of the entry role."""

from buckthorntack import errors


class UnauthorisedError(errors.GatewayError):
    """The caller's credential is missing, unknown or expired."""

    number = 1310
    status = 401
    kind = "invalid_credential"
    remedy = "send the token of a published caller credential"


class NotFoundError(errors.GatewayError):
    """The path, model, service or call does not exist for the caller."""

    number = 1311
    status = 404
    kind = "not_found"
    remedy = "see GET /v1/models and the calls that the service lists"


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
    remedy = "send a smaller request, or have the limits raised"


class BusyError(errors.GatewayError):
    """The entry VM has as many connections as its settings allow."""

    number = 1314
    status = 503
    kind = "too_many_connections"
    remedy = "use another entry VM of /v1/entries"


class StoppingError(errors.GatewayError):
    """The entry VM stops and takes no new requests."""

    number = 1315
    status = 503
    kind = "entry_stopping"
    remedy = "use another entry VM of /v1/entries"


class NotReadyError(errors.GatewayError):
    """The entry VM has no configuration in force yet."""

    number = 1316
    status = 503
    kind = "not_ready"
    remedy = "use another entry VM; check that control VMs are reachable"


class CrossedAnswerError(errors.GatewayError):
    """An answer belongs to another attempt."""

    number = 1317
    status = 502
    kind = "crossed_answer"
    remedy = "look for the backend server's fault; the caller may ask again"
    run_state = errors.RunState.UNKNOWN


class ForwardingError(errors.GatewayError):
    """A request could not be handed to another region; it was not run."""

    number = 1318
    status = 503
    kind = "region_unreachable"
    remedy = "come back later; check the link between the regions"


class ForwardedError(errors.GatewayError):
    """The region that a request was forwarded to answered with an error.

    :param end: the ``ForwardEnd`` message.
    """

    number = 1319
    status = 502
    kind = "forwarded_error"
    remedy = "see the event of the error's number"

    def __init__(self, end):
        super().__init__(end.error_detail, end.retry_after_ms or None)
        self.number = end.error_number
        self.status = end.status
        self.kind = end.error_kind
        self.remedy = end.remedy
        self.run_state = errors.RunState(end.run_state)


class AnswerTooLargeError(errors.GatewayError):
    """The answer to a non-idempotent request is too large to be kept."""

    number = 1320
    status = 502
    kind = "answer_too_large"
    remedy = "raise limits.answer_bytes, or have the service answer briefly"
    run_state = errors.RunState.RAN


class AttemptLostError(errors.GatewayError):
    """The attempt to resume cannot be reached any more."""

    number = 1321
    status = 410
    kind = "attempt_lost"
    remedy = "send the request anew"
    run_state = errors.RunState.UNKNOWN


class MalformedRequestError(errors.GatewayError):
    """A header or a body cannot be read."""

    number = 1322
    status = 400
    kind = "invalid_request_error"
    remedy = "send the request as docs/CALLERS.md describes"


class InternalError(errors.GatewayError):
    """A fault of the gateway itself."""

    number = 1323
    status = 500
    kind = "internal_error"
    remedy = "report the request id; the log has the particulars"
    run_state = errors.RunState.UNKNOWN


class AnnouncementRefusedError(errors.GatewayError):
    """An announcement names what the published objects do not allow."""

    number = 1324
    status = 409
    kind = "announcement_refused"
    remedy = "publish the backend server pool, or correct the announcement"


class ForwardingLostError(errors.GatewayError):
    """The entry VM that forwarded a request no longer takes its answer."""

    number = 1325
    status = 502
    kind = "forwarding_lost"
    remedy = "resume the stream at another entry VM, or ask again"
    run_state = errors.RunState.UNKNOWN


class WrongRegionError(errors.GatewayError):
    """This entry VM is outside the organisation's residency."""

    number = 1326
    status = 421
    kind = "wrong_region"
    remedy = "use an entry VM that GET /v1/entries names"


class MalformedAnnouncementError(MalformedRequestError):
    """An announcement is not of the form that is described."""

    number = 1327
    remedy = "send the announcement as docs/BACKENDS.md describes"


class RegionSilentError(errors.GatewayError):
    """No entry VM of the region where an attempt runs could be asked."""

    number = 1329
    status = 504
    kind = "region_silent"
    remedy = "resume the stream again; the attempt may still run"
    run_state = errors.RunState.UNKNOWN
