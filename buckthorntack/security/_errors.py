"""Errors of credentials and keys."""

from buckthorntack import errors


class CredentialError(errors.GatewayError):
    """A caller or operator sent no token, or an unknown one."""

    number = 1800
    status = 401
    kind = "invalid_token"
    remedy = "send 'Authorization: Bearer <token>' with a valid token"


class AttemptIdError(errors.GatewayError):
    """An attempt id was not issued to this organisation."""

    number = 1801
    status = 404
    kind = "attempt_not_found"
    remedy = "use the attempt id and credential of the original request"
    run_state = errors.RunState.UNKNOWN


class RoleError(errors.GatewayError):
    """An operator's role does not allow the call."""

    number = 1802
    status = 403
    kind = "role_not_sufficient"
    remedy = "use the token of an operator with the required role"


class KeyFileError(errors.GatewayError):
    """A key file cannot be used.

    The detail describes the fault and contains no keys.
    """

    number = 1803
    kind = "key_file_unusable"
    remedy = "recreate the file with 'buckthorntack keys'"
