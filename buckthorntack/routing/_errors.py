"""Kinds of refusal by the router; all of them before any work started."""

from buckthorntack import errors


class ResidencyError(errors.GatewayError):
    """No region that the organisation allows can be used from here."""

    number = 810
    status = 503
    kind = "residency_unserved"
    remedy = (
        "send it to an entry VM of an allowed region, or add a region to "
        "the organisation's residency rule"
    )


class NoServerError(errors.GatewayError):
    """No live backend server offers the service and model version."""

    number = 811
    status = 503
    kind = "no_backend_server"
    remedy = (
        "retry after the stated time; operators: check that the pool's "
        "backend servers announce this model version"
    )


class ExcludedError(errors.GatewayError):
    """All backend servers that could run it are excluded for it."""

    number = 812
    status = 503
    kind = "servers_excluded"
    remedy = (
        "retry after the stated time; operators: look for attempts that "
        "failed on the named backend servers"
    )


class MalformedBodyError(errors.GatewayError):
    """A completion request cannot be read."""

    number = 850
    status = 400
    kind = "invalid_request_error"
    remedy = "send JSON as docs/CALLERS.md describes"
