"""Routes and services of a configuration."""

import datetime
import enum
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """What may be repeated."""

    #: May run more than once.
    SAFE = "safe"
    #: Runs at most once for each attempt of a client.
    UNSAFE = "unsafe"
    #: Answered by a stream of events; unsafe unless it can be resumed.
    STREAM = "stream"


class Split(NamedTuple):
    """Share of a route's requests that a service gets."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host and path go, and under which terms."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    splits: tuple[Split, ...]
    #: Longest time that a request is kept waiting.
    timeout: datetime.timedelta
    #: Time to the answer, or a stream's first event, that earns full credit.
    objective: datetime.timedelta
    #: Longest pause between two events of a stream that is on time.
    pause_objective: datetime.timedelta | None
    #: 0 is the most urgent.
    priority: int
    #: Most servers that one request is sent to.
    max_attempts: int
    resumable: bool
    #: Whether requests carry prompts whose parts servers keep.
    has_prompts: bool
    #: Regions that may serve it; empty for all.
    allowed_regions: frozenset[str]

    @property
    def idempotent(self):
        """Whether a request may run again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.SAFE


class EngineProfile(NamedTuple):
    """What the model engines of a service can do."""

    slots: int
    memory_tokens: int
    #: Bytes of memory that a token takes, as when it is copied.
    token_bytes: float = 0.0
    #: Speed of copies between engines; 0 if they can't copy.
    transfer_mbps: float = 0.0


class Service(NamedTuple):
    """A service that backend servers offer."""

    name: str
    health_path: str
    #: Connections that a server takes from all callers together.
    max_connections: int
    #: Requests a second that a cold server bears; 0 if it bears all.
    warmup_per_s: float
    #: Profile of its engines; None for a plain service.
    engine: EngineProfile | None


class RequestLimits(NamedTuple):
    """What a client may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Configuration(NamedTuple):
    """All that an operator has published under one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
