"""Errors of gateway nodes."""

from buckthorntack import errors


class NoMajorityError(errors.GatewayError):
    """A majority of control VMs was unreachable or did not respond in time."""

    number = 2220
    status = 503
    kind = "no_majority"
    remedy = "retry, also at another control VM"
    run_state = errors.RunState.UNKNOWN


class ControlStoppingError(errors.GatewayError):
    """A planned stop leaves no time for a call at this control VM."""

    number = 2247
    status = 503
    kind = "control_stopping"
    remedy = "retry at another control VM"


class OperatorLeftError(errors.GatewayError):
    """Who gave an order has left, and may have given it elsewhere as well."""

    number = 2251
    status = 503
    kind = "operator_left"
    remedy = "give the order again if it is still needed"


class UnknownDomainError(errors.GatewayError):
    """The failure domain is not part of the deployment."""

    number = 2221
    status = 400
    kind = "unknown_failure_domain"
    remedy = "name a failure domain of the deployment"


class SettingsError(errors.GatewayError):
    """The settings of a node cannot be read or are invalid."""

    number = 2222
    status = 400
    kind = "settings"
    remedy = "correct the settings file; see deploy/settings.json"


class UnknownKeyError(errors.GatewayError):
    """A request presents no key of an organisation."""

    number = 2223
    status = 401
    kind = "unknown_key"
    remedy = "send a key of the organisation"


class QuotaUsedUpError(errors.GatewayError):
    """The quota of an organisation is used up for now."""

    number = 2237
    status = 429
    kind = "quota_used_up"
    remedy = "retry after the stated time"

    def __init__(self, charge, retry_after_ms):
        super().__init__(
            "the quota of the organisation is used up", retry_after_ms
        )
        #: The ``Charge`` that there is no room for.
        self.charge = charge


class UnknownOrganisationError(errors.GatewayError):
    """An entry VM has no organisation that another one has authorised."""

    number = 2224
    status = 503
    kind = "unknown_organisation"
    remedy = "send the request again"
