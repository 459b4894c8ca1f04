"""Errors of routing; each is raised before a request is run."""

from buckthorntack import errors


class ResidencyError(errors.GatewayError):
    """No region that the organisation allows can be reached from here."""

    number = 810
    status = 503
    kind = "residency_unserved"
    remedy = (
        "send the request to an entry VM of an allowed region, or add a "
        "region to the organisation's residency rule"
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
    """All backend servers that could run the request are excluded."""

    number = 812
    status = 503
    kind = "servers_excluded"
    remedy = (
        "retry after the stated time; operators: check the failed "
        "attempts on the named backend servers"
    )


class MalformedBodyError(errors.GatewayError):
    """The body of a completion request is malformed."""

    number = 850
    status = 400
    kind = "invalid_request_error"
    remedy = "send the JSON that docs/CALLERS.md describes"
