"""Generated from forwarding.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class ForwardRequest(NamedTuple):
    """
    A caller's request handed to an entry VM of another region, at most once.
    """

    forward_id: str
    request_id: str
    origin_region: str
    revision: int
    organisation: str
    service: str
    model_version: str
    method: str
    path: str
    idempotent: bool
    streamed: bool
    resume_after: int
    fingerprint: str
    deadline_ms: int
    body_bytes: int
    content_type: str
    idempotency_key: str
    prompt_tokens: int
    resumed_attempt: str


class ForwardHeader(NamedTuple):
    """
    One HTTP header.
    """

    name: str
    value: str


class ForwardBody(NamedTuple):
    """
    A part of the request's body.
    """

    forward_id: str
    sequence: int
    data: bytes
    last: bool


class ForwardHead(NamedTuple):
    """
    Status and headers of the answer.
    """

    forward_id: str
    status: int
    attempt_id: str
    sequence: int
    headers: list[ForwardHeader]


class ForwardChunk(NamedTuple):
    """
    A part of the answer's body.
    """

    forward_id: str
    sequence: int
    data: bytes


class ForwardEnd(NamedTuple):
    """
    End of the answer: whole, or an error.
    """

    forward_id: str
    sequence: int
    error_number: int
    error_detail: str
    run_state: str
    retry_after_ms: int
    error_kind: str
    remedy: str
    status: int


class ForwardCancel(NamedTuple):
    """
    The origin no longer wants the answer.
    """

    forward_id: str


class ForwardCredit(NamedTuple):
    """
    The origin can take more chunks.
    """

    forward_id: str
    sequence: int


class ForwardAlive(NamedTuple):
    """
    The answering side still works on it.
    """

    forward_id: str
