"""Errors of credentials and keys."""

from buckthorntack import errors


class CredentialError(errors.GatewayError):
    """A caller or operator gave no token, or one that is not known."""

    number = 1800
    status = 401
    kind = "invalid_token"
    remedy = "send 'Authorization: Bearer <token>' with a valid token"


class AttemptIdError(errors.GatewayError):
    """An attempt id is not one that was issued to this organisation."""

    number = 1801
    status = 404
    kind = "attempt_not_found"
    remedy = "use the id and the credential of the request itself"
    run_state = errors.RunState.UNKNOWN


class RoleError(errors.GatewayError):
    """An operator's role does not allow the call."""

    number = 1802
    status = 403
    kind = "role_not_sufficient"
    remedy = "use the token of an operator with the role named"


class KeyFileError(errors.GatewayError):
    """A key file cannot be used; names the fault, never the keys."""

    number = 1803
    kind = "key_file_unusable"
    remedy = "write the file anew with 'buckthorntack keys'"
