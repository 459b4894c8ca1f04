"""Routes and services of a configuration."""

import datetime
import enum
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """Retry semantics and response type of a route's requests."""

    #: Idempotent: may run more than once.
    SAFE = "safe"
    #: Not idempotent: runs at most once for each attempt of a client.
    UNSAFE = "unsafe"
    #: The response is an event stream; idempotent only if it is resumable.
    STREAM = "stream"


class Split(NamedTuple):
    """Weight of one service in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Services, limits and latency objectives of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    splits: tuple[Split, ...]
    #: Longest time from the request to the end of its response.
    timeout: datetime.timedelta
    #: Latency objective of the response, or of a stream's first event.
    objective: datetime.timedelta
    #: Objective for the gap between two events of a stream; None for none.
    pause_objective: datetime.timedelta | None
    #: Scheduling priority; 0 is the highest.
    priority: int
    #: Maximum number of servers that one request is sent to.
    max_attempts: int
    #: Whether a server can continue a stream after the last event received.
    resumable: bool
    #: Whether requests carry prompts whose prefixes servers cache.
    has_prompts: bool
    #: Regions that may serve the route; empty for all.
    allowed_regions: frozenset[str]
    #: Whether callers need no key of an organisation.
    is_anonymous: bool = False

    @property
    def is_idempotent(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.SAFE


class EngineProfile(NamedTuple):
    """Capacity of each model engine of a service."""

    #: Requests that an engine runs at the same time.
    slots: int
    #: Size of the key-value cache in tokens.
    memory_tokens: int
    #: Size of a cached token in bytes.
    token_bytes: float = 0.0
    #: Bandwidth of cache transfers between engines; 0 if not supported.
    transfer_mbps: float = 0.0


class Service(NamedTuple):
    """A service that backend servers provide."""

    name: str
    health_path: str
    #: Maximum number of connections to a server from all callers together.
    max_connections: int
    #: Request rate that a cold server can take; 0 for no limit.
    warmup_per_s: float
    #: Profile of the model engines; None if the service has none.
    engine: EngineProfile | None
    #: Time for which a server is cold after its start.
    warmup: datetime.timedelta = datetime.timedelta()


class QuotaUnit(enum.StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(NamedTuple):
    """Requests or tokens that an organisation may use, over all entry VMs."""

    unit: QuotaUnit
    rate_per_s: float
    #: Amount that may be used at once beyond the rate.
    burst: float
    #: Tokens that a request without a token count counts as.
    default_tokens: float = 0.0


class Organisation(NamedTuple):
    """An organisation whose callers present its keys."""

    name: str
    api_keys: frozenset[str]
    #: Scheduling priority; 0 is the highest.  It precedes that of the route.
    priority: int = 0
    #: None for no limit.
    quota: Quota | None = None
    #: Regions that may serve its requests; empty for all.
    allowed_regions: frozenset[str] = frozenset()

    def __repr__(self):
        """Leave the keys out, as they must not be logged."""
        return f"Organisation({self.name!r}, priority={self.priority})"


class RequestLimits(NamedTuple):
    """Limits on the size and duration of client requests."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Configuration(NamedTuple):
    """Routes, services and limits published under one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
    #: Empty if callers present no keys.
    organisations: tuple[Organisation, ...] = ()
