"""Errors of configurations."""

from buckthorntack import errors


class InvalidConfigurationError(errors.GatewayError):
    """A configuration contradicts itself or cannot be read."""

    number = 2001
    status = 400
    kind = "invalid_configuration"
    remedy = "correct the configuration and publish it again"
