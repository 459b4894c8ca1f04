"""Configurations as operators of the platform send them."""

import datetime
from typing import NotRequired
from typing import TypedDict

from expression import Error
import msgspec

from buckthorntack import directives


class _SplitDocument(TypedDict):
    service: str
    weight: float


class _RouteDocument(TypedDict):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: NotRequired[float]
    itl_target_ms: NotRequired[float | None]
    priority: NotRequired[int]
    service: NotRequired[str | None]
    #: Shares of several services, in place of ``service``.
    backends: NotRequired[list[_SplitDocument] | None]
    max_attempts: NotRequired[int]
    #: Whether its requests carry prompts.
    sticky: NotRequired[bool]
    resumable: NotRequired[bool]
    anonymous: NotRequired[bool]
    allowed_regions: NotRequired[list[str] | None]


class _EngineDocument(TypedDict):
    capacity: int
    kv_capacity_tokens: int
    kv_bytes: NotRequired[float]
    link_mbps: NotRequired[float]


class _ServiceDocument(TypedDict):
    name: str
    health_path: NotRequired[str]
    max_conns: NotRequired[int]
    warmup_per_s: NotRequired[float]
    engine: NotRequired[_EngineDocument | None]


class _LimitsDocument(TypedDict):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _TenantDocument(TypedDict):
    name: str
    api_keys: list[str]
    priority: NotRequired[int]
    #: What ``rate_per_s`` and ``burst`` count.
    unit: NotRequired[str]
    #: Tokens that a request without a count of its own counts as.
    uncached_tokens: NotRequired[float]
    rate_per_s: NotRequired[float | None]
    burst: NotRequired[float | None]
    allowed_regions: NotRequired[list[str] | None]


class _ConfigurationDocument(TypedDict):
    version: int
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    limits: _LimitsDocument
    tenants: NotRequired[list[_TenantDocument] | None]


#: Kinds that are not named here are treated as those that run once at most.
_KINDS = {
    "safe": directives.RequestKind.SAFE,
    "streaming": directives.RequestKind.STREAM,
}
_DECODER = msgspec.json.Decoder(_ConfigurationDocument)


def parse_configuration(content):
    """Parse and validate a configuration.

    :param content: the serialized configuration.
    :returns: ``Result`` of a ``directives.Configuration``.
    """
    try:
        document = _DECODER.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(directives.InvalidConfigurationError(str(error)))
    return directives.validate(_configuration(document))


def _configuration(document):
    limits = document["limits"]
    services = [_service(item) for item in document["services"]]
    return directives.Configuration(
        version=document["version"],
        routes=tuple(_route(item) for item in document["routes"]),
        services={service.name: service for service in services},
        limits=directives.RequestLimits(
            header_bytes=limits["max_header_bytes"],
            body_bytes=limits["max_body_bytes"],
            header_timeout=_ms(limits["header_timeout_ms"]),
            idle_timeout=_ms(limits["idle_timeout_ms"]),
        ),
        organisations=tuple(
            _organisation(item) for item in document.get("tenants") or ()
        ),
    )


def _route(item):
    pause_ms = item.get("itl_target_ms")
    return directives.Route(
        name=item["name"],
        host=item["host"],
        path_prefix=item["path_prefix"],
        kind=_KINDS.get(item["type"], directives.RequestKind.UNSAFE),
        splits=_splits(item),
        timeout=_ms(item["timeout_ms"]),
        objective=_ms(item.get("target_latency_ms") or item["timeout_ms"]),
        pause_objective=None if pause_ms is None else _ms(pause_ms),
        priority=item.get("priority", 0),
        max_attempts=item.get("max_attempts", 1),
        resumable=item.get("resumable", False),
        has_prompts=item.get("sticky", False),
        allowed_regions=frozenset(item.get("allowed_regions") or ()),
        is_anonymous=item.get("anonymous", False),
    )


def _organisation(item):
    return directives.Organisation(
        name=item["name"],
        api_keys=frozenset(item["api_keys"]),
        priority=item.get("priority", 0),
        quota=_quota(item),
        allowed_regions=frozenset(item.get("allowed_regions") or ()),
    )


def _quota(item):
    rate_per_s = item.get("rate_per_s")
    if not rate_per_s:
        return None
    is_in_tokens = item.get("unit") == "tokens"
    return directives.Quota(
        unit=directives.QuotaUnit.TOKENS
        if is_in_tokens
        else directives.QuotaUnit.REQUESTS,
        rate_per_s=rate_per_s,
        burst=item.get("burst") or 0.0,
        default_tokens=item.get("uncached_tokens", 0.0),
    )


def _splits(item):
    backends = item.get("backends")
    if backends:
        return tuple(
            directives.Split(split["service"], split["weight"])
            for split in backends
        )
    service = item.get("service")
    return (directives.Split(service, 1.0),) if service else ()


def _service(item):
    engine = item.get("engine")
    profile = None
    if engine:
        profile = directives.EngineProfile(
            engine["capacity"],
            engine["kv_capacity_tokens"],
            engine.get("kv_bytes", 0.0),
            engine.get("link_mbps", 0.0),
        )
    return directives.Service(
        name=item["name"],
        health_path=item.get("health_path", ""),
        max_connections=item.get("max_conns", 0),
        warmup_per_s=item.get("warmup_per_s", 0.0),
        engine=profile,
    )


def _ms(milliseconds):
    return datetime.timedelta(milliseconds=milliseconds)
