"""Generated from retries.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class CrashEvidence(NamedTuple):
    """
    A request was running on a backend server that crashed.
    """

    fingerprint: str
    server_id: str
    incarnation: int
    isolated: bool


class Acquittal(NamedTuple):
    """
    A suspect ran to its end; a crash no longer counts against it.
    """

    fingerprint: str
    server_id: str
    incarnation: int


class Conviction(NamedTuple):
    """
    A request is refused everywhere, as it crashes backend servers.
    """

    fingerprint: str


class SuspectClaim(NamedTuple):
    """
    An entry VM wants to run a suspect on a backend server, or does so.
    """

    subject: str
    node_id: str
    sequence: int
    running: bool
    lease_ms: int


class FailedAttempts(NamedTuple):
    """
    Attempts of a request that failed at one entry VM.
    """

    fingerprint: str
    node_id: str
    count: int
    window: int
