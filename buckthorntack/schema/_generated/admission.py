"""Generated from admission.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class QuotaNeed(NamedTuple):
    """
    An entry VM needs more of an organisation's quota than it has.
    """

    organisation: str
    share: float


class QuotaGrant(NamedTuple):
    """
    A part of the sender's share, lent to another entry VM.
    """

    node_id: str
    incarnation: int
    asked_at_ms: int
    organisation: str
    share: float
    lease_ms: int


class UsageReport(NamedTuple):
    """
    What an entry VM needs of quotas, and what it lends.
    """

    node_id: str
    incarnation: int
    sent_at_ms: int
    needs: list[QuotaNeed]
    grants: list[QuotaGrant]
