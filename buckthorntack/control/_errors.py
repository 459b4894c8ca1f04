"""Errors of the control role and its administration API."""

from buckthorntack import errors


class MalformedCallError(errors.GatewayError):
    """A call of the administration API is malformed."""

    number = 1400
    status = 400
    kind = "malformed_call"
    remedy = "send JSON as described in the operators' documentation"


class UnknownCallError(errors.GatewayError):
    """The administration API has no such path and method."""

    number = 1401
    status = 404
    kind = "unknown_call"
    remedy = "use a path and method listed in the operators' documentation"


class UnknownObjectError(errors.GatewayError):
    """No published object has this kind and name."""

    number = 1402
    status = 404
    kind = "unknown_object"
    remedy = "list kinds and names with 'buckthorntack get'"


class CallTooLargeError(errors.GatewayError):
    """The request body of a call exceeds the size limit."""

    number = 1403
    status = 413
    kind = "call_too_large"
    remedy = "split the change into smaller ones"


class InternalError(errors.GatewayError):
    """An internal error of the control VM made a call fail."""

    number = 1404
    kind = "internal_error"
    remedy = (
        "look for event 1404 in the log of the control VM; resend the change "
        "with the same change id"
    )
    run_state = errors.RunState.UNKNOWN
