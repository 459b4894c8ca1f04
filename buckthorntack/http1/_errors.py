"""Errors of an exchange with a server."""

from buckthorntack import errors


class ConnectError(errors.GatewayError):
    """No connection was made; nothing was sent."""

    number = 1901
    status = 503
    kind = "connect_failed"
    remedy = "look whether the server runs and can be reached"
    run_state = errors.RunState.NOT_RUN


class AnswerBrokenError(errors.GatewayError):
    """The connection ended, or went silent, before the answer was whole."""

    number = 1902
    status = 502
    kind = "answer_broken"
    remedy = "look for a crash of the server"
    run_state = errors.RunState.UNKNOWN


class ForeignAnswerError(AnswerBrokenError):
    """The server sent bytes that are no answer to this request."""

    number = 1903
    kind = "foreign_answer"
    remedy = "look for a fault of the server"
