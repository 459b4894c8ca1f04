"""A caller's request as the entry role handles it."""

import datetime
from typing import NamedTuple


class GatewayRequest(NamedTuple):
    """A request that was authenticated and read."""

    request_id: str
    organisation: str
    service: str
    #: Empty for a plain service.
    model_version: str
    method: str
    #: Path at the backend server.
    path: str
    body: bytes
    content_type: str
    idempotent: bool
    streamed: bool
    #: Empty for an idempotent request.
    idempotency_key: str
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    fingerprint: str
    allowed_regions: frozenset[str]
    #: Revision of the configuration it was decided under.
    revision: int
    #: Monotonic time until which the first byte is awaited.
    deadline: datetime.timedelta
    #: Region that forwarded it, or None.
    origin_region: str | None = None
    #: Attempt to resume, or empty.
    resumed_attempt: str = ""
    #: Last event that the caller has.
    resume_after: int = -1
