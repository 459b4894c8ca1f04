"""Requests to the router, its decisions and its settings."""

import enum
from typing import NamedTuple


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended, as far as routing is concerned."""

    OK = "ok"
    FAILED = "failed"
    BUSY = "busy"
    CANCELLED = "cancelled"


class RouteRequest(NamedTuple):
    """What is to be routed."""

    request_id: str
    organisation: str
    service: str
    model_version: str
    prefix_hashes: tuple[int, ...]
    prompt_tokens: int
    body_bytes: int
    allowed_regions: frozenset[str]
    #: Region that forwarded it; None if a caller of this region sent it.
    origin_region: str | None = None
    #: Servers, and failure domains forwarded to, that failed it.
    excluded_servers: frozenset[str] = frozenset()
    idempotent: bool = True
    #: Must run on a server without other suspects.
    isolate: bool = False
    #: Server that runs an equal request now, and takes this one as well.
    preferred_server: str | None = None
    #: Leads equal requests of several entry VMs to one of equal servers.
    fingerprint: str = ""


class Reasons(NamedTuple):
    """Why a decision was made; for one log line."""

    expected_ttft_ms: float
    score: float
    load: float
    cached_share: float
    candidates: int
    ramp_share: float
    #: Best score in this region; None if nothing can run here.
    local_score: float | None


class RouteLocal(NamedTuple):
    """Run the request on a backend server of this region."""

    server_id: str
    url: str
    reasons: Reasons


class RouteForward(NamedTuple):
    """Hand the request to an entry VM of another failure domain."""

    region: str
    failure_domain: str
    #: Node ids of entry VMs that take it, in the order to try.
    entries: tuple[str, ...]
    reasons: Reasons


RouteDecision = RouteLocal | RouteForward


class RouterSettings(NamedTuple):
    """Constants of the routing policy."""

    #: Servers scored for a cached prefix, the longest first.
    cached_servers: int = 3
    #: Servers drawn by load beside those, and if there are none.
    sampled_beside_cached: int = 2
    sampled_servers: int = 4
    sampled_domains: int = 8
    #: Prompt tokens that a server takes in a second, until learnt.
    prefill_tokens_per_second: float = 8000.0
    #: Work on a prompt besides its tokens.
    request_overhead_ms: float = 20.0
    #: Time a request holds a slot, until learnt.
    service_time_ms: float = 4000.0
    #: Added to the first token's time by a fully occupied batch.
    batch_delay_ms: float = 100.0
    #: Candidates this close to the best are drawn from at random.
    tolerance_share: float = 0.1
    tolerance_ms: float = 5.0
    #: Age at which a load report starts to count less, and its half-life.
    stale_load_ms: float = 5000.0
    ramp_ms: float = 20000.0
    ramp_start_share: float = 0.1
    #: Score that serving in another region costs at full weight.
    away_ms: float = 1000.0
    #: Advantage needed to start and to keep forwarding.
    forward_enter_ms: float = 400.0
    forward_leave_ms: float = 100.0
    forward_share: float = 0.25
    #: Link to a region that was never measured.
    round_trip_ms: float = 150.0
    link_bits_per_second: float = 50e6
    eject_after_failures: int = 3
    ejection_ms: float = 5000.0
    longest_ejection_ms: float = 60000.0
    ejected_share: float = 0.5
    prefix_blocks: int = 30_000
    retry_after_ms: int = 2000
