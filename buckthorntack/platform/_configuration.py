"""Configurations as operators of the platform send them.

Numbers beyond any use are taken for the nearest that nodes can work with.
"""

import datetime
import itertools
import re
from typing import NotRequired
from typing import TypedDict

from expression import Error
import msgspec

from buckthorntack import directives

#: Arrays and objects within each other.  Decoders follow as many as the stack
#: of their caller leaves room for, which differs between nodes.
MAX_NESTING = 64
#: Length of the error that is logged and answered.
MAX_DETAIL_LENGTH = 500
#: Longest time of a request, stream or connection.
MAX_TIME_MS = 86_400_000.0
MAX_COUNT = (1 << 52) - 1
#: Requests that an engine runs at once.
MAX_SLOTS = 1_000_000
MIN_RATE_PER_S = 1e-6
MAX_RATE_PER_S = 1e12
MAX_TOKEN_BYTES = 1e12
MIN_TRANSFER_MBPS = 1e-3
_QUOTED = re.compile(rb'"[^"]*"')
_ESCAPED = re.compile(rb"\\.", re.DOTALL)
_NESTING_STEPS = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}
_IRRELEVANT = bytes(set(range(256)) - {*_NESTING_STEPS, ord('"')})


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
    warmup_s: NotRequired[float]
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
    if _is_nested_deeply(content):
        return _invalid("it is nested too deeply")
    try:
        document = _DECODER.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _invalid(str(error))
    validated = directives.validate(_configuration(document))
    if validated.is_error():
        return _invalid(validated.error.detail)
    return validated


def _invalid(detail):
    if len(detail) > MAX_DETAIL_LENGTH:
        detail = f"{detail[:MAX_DETAIL_LENGTH]}..."
    return Error(directives.InvalidConfigurationError(detail))


def _is_nested_deeply(content):
    """Whether too many arrays and objects lie within each other.

    >>> _is_nested_deeply(b"[" * 65), _is_nested_deeply(b"{[]}" * 65)
    (True, False)
    """
    if b"\\" in content:
        content = _ESCAPED.sub(b"", content)
    brackets = _QUOTED.sub(b"", content.translate(None, _IRRELEVANT))
    steps = map(_NESTING_STEPS.get, brackets.replace(b'"', b""))
    return any(depth > MAX_NESTING for depth in itertools.accumulate(steps))


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
    timeout_ms = item["timeout_ms"]
    objective_ms = item.get("target_latency_ms", 0.0)
    return directives.Route(
        name=item["name"],
        host=item["host"],
        path_prefix=item["path_prefix"],
        kind=_KINDS.get(item["type"], directives.RequestKind.UNSAFE),
        splits=_splits(item),
        timeout=_ms(timeout_ms),
        objective=_ms(objective_ms if objective_ms > 0 else timeout_ms),
        pause_objective=None if pause_ms is None else _ms(max(0.0, pause_ms)),
        priority=_priority(item),
        max_attempts=min(item.get("max_attempts", 1), MAX_COUNT),
        resumable=item.get("resumable", False),
        has_prompts=item.get("sticky", False),
        allowed_regions=frozenset(item.get("allowed_regions") or ()),
        is_anonymous=item.get("anonymous", False),
    )


def _organisation(item):
    return directives.Organisation(
        name=item["name"],
        api_keys=frozenset(item["api_keys"]),
        priority=_priority(item),
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
        rate_per_s=_rate(rate_per_s),
        burst=min(item.get("burst") or 0.0, MAX_COUNT),
        default_tokens=min(item.get("uncached_tokens", 0.0), MAX_COUNT),
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
        link_mbps = engine.get("link_mbps", 0.0)
        profile = directives.EngineProfile(
            _clamp(engine["capacity"], 1, MAX_SLOTS),
            _clamp(engine["kv_capacity_tokens"], 1, MAX_COUNT),
            _clamp(engine.get("kv_bytes", 0.0), 0.0, MAX_TOKEN_BYTES),
            link_mbps if link_mbps >= MIN_TRANSFER_MBPS else 0.0,
        )
    return directives.Service(
        name=item["name"],
        health_path=item.get("health_path", ""),
        max_connections=item.get("max_conns", 0),
        warmup_per_s=_rate(item.get("warmup_per_s", 0.0)),
        engine=profile,
        warmup=_ms(max(0.0, item.get("warmup_s", 0.0)) * 1e3),
    )


def _priority(item):
    return _clamp(item.get("priority", 0), 0, MAX_COUNT)


def _rate(per_s):
    """A rate; 0 or less is for the caller to judge."""
    if per_s <= 0:
        return per_s
    return _clamp(per_s, MIN_RATE_PER_S, MAX_RATE_PER_S)


def _ms(milliseconds):
    milliseconds = _clamp(milliseconds, -MAX_TIME_MS, MAX_TIME_MS)
    return datetime.timedelta(milliseconds=milliseconds)


def _clamp(value, lowest, highest):
    return max(lowest, min(value, highest))
