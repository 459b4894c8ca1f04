"""Errors raised for invalid configurations."""

from buckthorntack import errors


class InvalidConfigurationError(errors.GatewayError):
    """A configuration cannot be parsed or fails validation."""

    number = 2001
    status = 400
    kind = "invalid_configuration"
    remedy = "correct the configuration and publish it again"
