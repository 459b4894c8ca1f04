"""Generated from ledger.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class LedgerHeader(NamedTuple):
    """
    One HTTP header of a stored answer.
    """

    name: str
    value: str


class LedgerClaim(NamedTuple):
    """
    Asks for the right to run a request once.
    """

    home_id: str
    call_id: str
    organisation: str
    key: str
    body_hash: bytes
    attempt_id: str
    store_answer: bool


class LedgerSettle(NamedTuple):
    """
    Tells what became of an attempt.
    """

    home_id: str
    call_id: str
    organisation: str
    key: str
    attempt_id: str
    run_state: str
    status: int
    headers: list[LedgerHeader]
    body: bytes
    answer_known: bool


class LedgerReply(NamedTuple):
    """
    Answer to a claim or to a settlement.
    """

    home_id: str
    call_id: str
    verdict: str
    attempt_id: str
    status: int
    headers: list[LedgerHeader]
    body: bytes
    answer_stored: bool
    detail: str
    retry_after_ms: int


class LedgerProbe(NamedTuple):
    """
    Asks the holder of a claim what it does with it.
    """

    home_id: str
    organisation: str
    key: str
    attempt_id: str


class LedgerProbeReply(NamedTuple):
    """
    What the holder knows of its attempt.
    """

    home_id: str
    organisation: str
    key: str
    attempt_id: str
    holding: str


class LedgerOperation(NamedTuple):
    """
    One operation of a batch.
    """

    name: str
    payload: bytes
    holder: str


class LedgerBatch(NamedTuple):
    """
    Log command: operations committed together.
    """

    at_ms: int
    retention_ms: int
    capacity_bytes: int
    operations: list[LedgerOperation]


class LedgerRecord(NamedTuple):
    """
    What is known of a key.
    """

    state: str
    attempt_id: str
    holder: str
    body_hash: bytes
    store_answer: bool
    expires_at_ms: int
    window: int
    status: int
    headers: list[LedgerHeader]
    body: bytes
    answer_stored: bool


class LedgerSnapshot(NamedTuple):
    """
    Replicated state of a home.
    """

    records: bytes
    tombstones: bytes
    closed_window: int
    log_time_ms: int
