"""Validation of a whole configuration."""

import collections
import datetime
import math

from expression import Error
from expression import Ok

from buckthorntack.directives import _errors

#: Highest version that messages and logs can hold.
MAX_VERSION = (1 << 63) - 1
#: An organisation's name is sent in a header field.
MAX_ORGANISATION_LENGTH = 1024


def validate(configuration):
    """Validate all routes and the version of a configuration.

    :param configuration: the ``Configuration``.
    :returns: ``Result`` of the configuration, or of an
        :class:`InvalidConfigurationError` whose detail lists all findings.
    """
    findings = [
        *_find_duplicates(configuration.routes),
        *(
            finding
            for route in configuration.routes
            for finding in _validate_route(route, configuration.services)
        ),
        *_validate_limits(configuration.limits),
        *_validate_organisations(configuration.organisations),
    ]
    if not 0 <= configuration.version <= MAX_VERSION:
        findings.append(f"the version is not within 0 and {MAX_VERSION}")
    if findings:
        detail = "; ".join(findings)
        return Error(_errors.InvalidConfigurationError(detail))
    return Ok(configuration)


def _find_duplicates(routes):
    """Yield a finding for each duplicate host and prefix, or name."""
    route_keys = collections.Counter(
        (route.host.lower(), route.path_prefix) for route in routes
    )
    for (host, prefix), count in route_keys.items():
        if count > 1:
            yield f"{count} routes share {host}{prefix}"
    names = collections.Counter(route.name for route in routes)
    for name, count in names.items():
        if count > 1:
            yield f"{count} routes are named {name}"


def _validate_route(route, services):
    """Yield a finding for each invalid field of a route."""
    if not route.splits:
        yield f"route {route.name} names no service"
    for split in route.splits:
        if split.service not in services:
            yield f"route {route.name} names unknown service {split.service}"
        if split.weight < 0:
            yield f"route {route.name} has a weight below 0"
    weight = sum(split.weight for split in route.splits)
    if route.splits and weight <= 0:
        yield f"the weights of route {route.name} add up to 0"
    if not math.isfinite(weight):
        yield f"the weights of route {route.name} are too large"
    if route.timeout <= datetime.timedelta():
        yield f"route {route.name} has no timeout"
    if route.max_attempts < 1:
        yield f"route {route.name} allows no attempt"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield f"the prefix of route {route.name} must be within slashes"


def _validate_limits(limits):
    """Yield a finding for each limit that no request could keep."""
    if limits.header_bytes <= 0:
        yield "the limit of header bytes allows no request"
    if limits.body_bytes < 0:
        yield "the limit of body bytes is below 0"
    if limits.header_timeout <= datetime.timedelta():
        yield "the header timeout allows no request"
    if limits.idle_timeout < datetime.timedelta():
        yield "the idle timeout is below 0"


def _validate_organisations(organisations):
    """Yield a finding for each conflict between organisations.

    The findings name organisations and never a key.
    """
    names = collections.Counter(item.name for item in organisations)
    for name, count in names.items():
        if count > 1:
            yield f"{count} organisations are named {name}"
    owners = {}
    for organisation in organisations:
        if not _is_header_value(organisation.name):
            yield f"{organisation.name!r} cannot name an organisation"
        for key in organisation.api_keys:
            owner = owners.setdefault(key, organisation.name)
            if owner != organisation.name:
                yield f"{owner} and {organisation.name} share a key"
        quota = organisation.quota
        if quota is not None and min(quota[1:]) < 0:
            yield f"the quota of {organisation.name} is below 0"


def _is_header_value(name):
    """Whether a name can be sent in a header field."""
    return 0 < len(name) <= MAX_ORGANISATION_LENGTH and not any(
        ord(character) < 0x20 or ord(character) == 0x7F for character in name
    )
