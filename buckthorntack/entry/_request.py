"""Parsed request of a caller."""

import datetime
from typing import NamedTuple


class GatewayRequest(NamedTuple):
    """An authenticated and parsed request."""

    request_id: str
    organisation: str
    service: str
    #: Empty for a service that serves no model.
    model_version: str
    method: str
    #: Path, with the query, to request from the backend server.
    path: str
    body: bytes
    content_type: str
    idempotent: bool
    streamed: bool
    #: Empty if the request is idempotent.
    idempotency_key: str
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    fingerprint: str
    allowed_regions: frozenset[str]
    #: Revision of the configuration that the request was checked against.
    revision: int
    #: Monotonic time by which the first byte of the response is due.
    deadline: datetime.timedelta
    #: Region that forwarded the request; ``None`` if it came from a caller.
    origin_region: str | None = None
    #: Id of the attempt to resume; empty for a new request.
    resumed_attempt: str = ""
    #: Number of the last event that the caller received; -1 if none.
    resume_after: int = -1
