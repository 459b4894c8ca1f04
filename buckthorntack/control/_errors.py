"""Errors of the control role and its administration API."""

from buckthorntack import errors


class MalformedCallError(errors.GatewayError):
    """A call of the administration API is malformed."""

    number = 1400
    status = 400
    kind = "malformed_call"
    remedy = "send JSON as the operators' page describes"


class UnknownCallError(errors.GatewayError):
    """There is no such call."""

    number = 1401
    status = 404
    kind = "unknown_call"
    remedy = "use a path and method that the operators' page lists"


class UnknownObjectError(errors.GatewayError):
    """There is no object of this kind and name."""

    number = 1402
    status = 404
    kind = "unknown_object"
    remedy = "look for its kind and name with 'buckthorntack get'"


class CallTooLargeError(errors.GatewayError):
    """The body of a call is larger than allowed."""

    number = 1403
    status = 413
    kind = "call_too_large"
    remedy = "split the change into smaller ones"


class AdministrationFault(errors.GatewayError):
    """A call failed because of a fault of the program."""

    number = 1404
    kind = "internal_error"
    remedy = (
        "look for event 1404 in the log of the control VM; resend the change "
        "under the same change id"
    )
    run_state = errors.RunState.UNKNOWN
