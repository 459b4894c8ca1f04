"""Requests to the router, its decisions and its settings."""

import enum
from typing import NamedTuple


class AttemptOutcome(enum.StrEnum):
    """Result of an attempt, as routing distinguishes it."""

    OK = "ok"
    FAILED = "failed"
    BUSY = "busy"
    CANCELLED = "cancelled"


class RouteRequest(NamedTuple):
    """A request to be routed."""

    request_id: str
    organisation: str
    service: str
    model_version: str
    prefix_hashes: tuple[int, ...]
    prompt_tokens: int
    body_bytes: int
    allowed_regions: frozenset[str]
    #: Region that forwarded the request; None if a caller sent it directly.
    origin_region: str | None = None
    #: Servers and failure domains on which earlier attempts failed.
    excluded_servers: frozenset[str] = frozenset()
    idempotent: bool = True
    #: Whether the request is suspected of crashing servers, and so needs a
    #: server that runs no other suspect.
    isolate: bool = False
    #: Server that runs an equal request at present and is preferred.
    preferred_server: str | None = None
    #: Hash of the request, by which several entry VMs choose the same one of
    #: servers with about equal scores.
    fingerprint: str = ""


class Reasons(NamedTuple):
    """Figures behind a decision, for its log event."""

    expected_ttft_ms: float
    score: float
    load: float
    cached_share: float
    candidates: int
    ramp_share: float
    #: Best score in this region; None if no server here can run it.
    local_score: float | None


class RouteLocal(NamedTuple):
    """Run the request on a backend server of this region."""

    server_id: str
    url: str
    reasons: Reasons


class RouteForward(NamedTuple):
    """Forward the request to an entry VM of another failure domain."""

    region: str
    failure_domain: str
    #: Node ids of entry VMs that accept it, in the order to try them.
    entries: tuple[str, ...]
    reasons: Reasons


RouteDecision = RouteLocal | RouteForward


class RouterSettings(NamedTuple):
    """Constants of the routing policy."""

    #: Servers scored because they have a prefix cached, longest first.
    max_cached_servers: int = 3
    #: Servers sampled by load if some have a prefix cached.
    sampled_servers_with_cached: int = 2
    #: Servers sampled by load if none has a prefix cached.
    sampled_servers: int = 4
    #: Failure domains scored for a request.
    max_sampled_domains: int = 8
    #: Prefill speed of a server without slowdown.
    prefill_tokens_per_second: float = 8000.0
    #: Constant part of the prefill time.
    request_overhead_ms: float = 20.0
    #: Initial estimate of the time for which a request occupies a slot.
    service_time_ms: float = 4000.0
    #: Delay of the first token by a fully occupied batch.
    batch_delay_ms: float = 100.0
    #: Candidates are near best if their score exceeds the best score by at
    #: most this share of it, or by the tolerance below if that is greater.
    tolerance_share: float = 0.1
    #: Difference in score up to which a candidate is always near best.
    tolerance_ms: float = 5.0
    #: Age from which a load report decays, and the half-life of the decay.
    stale_load_ms: float = 5000.0
    #: Duration of the slow start of a server or failure domain.
    ramp_ms: float = 20000.0
    #: Share of the slots that counts at the beginning of the slow start.
    ramp_start_share: float = 0.1
    #: Added to the score of a target in another region, at weight 1.
    remote_region_penalty_ms: float = 1000.0
    #: Hysteresis of forwarding: score advantage of another failure domain
    #: needed to start forwarding, in addition to the share below.
    forward_start_margin_ms: float = 400.0
    #: Score advantage below which forwarding stops.
    forward_stop_margin_ms: float = 100.0
    #: Score advantage needed to start, as a share of the other domain's
    #: score.
    forward_margin_share: float = 0.25
    #: Assumed round trip to a region whose link was never measured.
    round_trip_ms: float = 150.0
    #: Assumed bandwidth of a link that was never measured.
    link_bits_per_second: float = 50e6
    #: Consecutive failures after which a server is ejected.
    eject_after_failures: int = 3
    #: Duration of the first ejection; it doubles with each further one until
    #: an attempt succeeds.
    ejection_ms: float = 5000.0
    #: Upper bound of the duration of an ejection.
    max_ejection_ms: float = 60000.0
    #: Largest share of a group that may be ejected or reserved after an
    #: ejection.
    max_ejected_share: float = 0.5
    #: Blocks in the index of cached prefixes.
    max_prefix_blocks: int = 30_000
    #: Delay that a refusal tells the caller to wait before a retry.
    retry_after_ms: int = 2000
