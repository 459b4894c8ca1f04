"""Errors of an HTTP exchange with a server."""

from buckthorntack import errors


class ConnectError(errors.GatewayError):
    """The connection attempt failed; nothing was sent."""

    number = 1901
    status = 503
    kind = "connect_failed"
    remedy = "check that the server runs and is reachable"
    run_state = errors.RunState.NOT_RUN


class ConnectRefusedError(ConnectError):
    """The machine of the server says that nothing listens there."""

    number = 1912


class IncompleteResponseError(errors.GatewayError):
    """The connection closed or timed out before the response was complete."""

    number = 1902
    status = 502
    kind = "answer_broken"
    remedy = "check whether the server crashed"
    run_state = errors.RunState.UNKNOWN


class UnexpectedResponseError(IncompleteResponseError):
    """The server sent bytes that are no response to this request."""

    number = 1903
    kind = "foreign_answer"
    remedy = "check the server for an HTTP protocol fault"


class UnreadResponseError(IncompleteResponseError):
    """The connection closed after the response had been left unread."""

    number = 1907
    kind = "answer_unread"
    remedy = "check for callers that read slowly"
