"""Generated from placement.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class LeaseRow(NamedTuple):
    """
    Lease of the issuer of one failure domain.
    """

    failure_domain: str
    holder: str
    fencing: int
    renewal: int
    duration_ms: int


class LeaseCommand(NamedTuple):
    """
    Proposal to grant, renew or take over a lease.
    """

    failure_domain: str
    holder: str
    duration_ms: int
    expected_fencing: int
    expected_renewal: int
    least_fencing: int


class LeaseSnapshot(NamedTuple):
    """
    All leases.
    """

    rows: list[LeaseRow]


class LeaseRequest(NamedTuple):
    """
    Asks a control VM for the lease of a failure domain, or to renew it.
    """

    failure_domain: str
    holder: str
    request_number: int
    duration_ms: int
    least_fencing: int


class LeaseGrant(NamedTuple):
    """
    Answer to a request for a lease.
    """

    failure_domain: str
    request_number: int
    granted: bool
    holder: str
    fencing: int
    wait_ms: int
