"""Errors of gateway nodes."""

from buckthorntack import errors


class NoMajorityError(errors.GatewayError):
    """Most control VMs cannot be reached, or did not answer in time."""

    number = 2220
    status = 503
    kind = "no_majority"
    remedy = "send it again, to another control VM too"
    run_state = errors.RunState.UNKNOWN


class UnknownDomainError(errors.GatewayError):
    """There is no such failure domain."""

    number = 2221
    status = 400
    kind = "unknown_failure_domain"
    remedy = "name a failure domain of the deployment"


class SettingsError(errors.GatewayError):
    """The settings of a node can't be read."""

    number = 2222
    status = 400
    kind = "settings"
    remedy = "correct the settings file; see deploy/settings.json"
