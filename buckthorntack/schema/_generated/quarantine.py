"""Generated from quarantine.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class LostSubject(NamedTuple):
    """
    A request or prompt part that an attempt lost at a crash had.
    """

    key: str
    depth: int
    request: str
    ran_ms: int
    good_age_ms: int


class CrashRecord(NamedTuple):
    """
    A crash of a backend server and what may have caused it.
    """

    server_id: str
    born_ms: int
    occurrence: int
    age_ms: int
    subjects: list[LostSubject]


class BlameRecord(NamedTuple):
    """
    A request or prompt part that is refused at all entry VMs.
    """

    key: str
    depth: int
    age_ms: int
    trials: int
    trial_age_ms: int


class ClearRecord(NamedTuple):
    """
    An answer went on, so that crashes before it do not count.
    """

    key: str
    age_ms: int


class QuarantineUpdate(NamedTuple):
    """
    Records of the quarantine of an entry VM.
    """

    crashes: list[CrashRecord]
    blames: list[BlameRecord]
    clears: list[ClearRecord]


class QuarantineDigest(NamedTuple):
    """
    Asks another entry VM to compare its quarantine.
    """

    digest: str


class QuarantineTable(NamedTuple):
    """
    All blames and clears of an entry VM, after a comparison.
    """

    update: QuarantineUpdate
    digest: str
    is_reply: bool
