"""Generated from directives.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class PublishVersion(NamedTuple):
    """
    Command: put a configuration in force.
    """

    version: int
    content: bytes


class EvacuateDomain(NamedTuple):
    """
    Command: send no work to a failure domain, or take that back.
    """

    failure_domain: str
    evacuated: bool


class OrderEvacuation(NamedTuple):
    """
    Command: as EvacuateDomain, unless a newer order for the failure domain was applied.
    """

    failure_domain: str
    evacuated: bool
    based_on: int


class EvacuationOrder(NamedTuple):
    """
    The last order for a failure domain.
    """

    failure_domain: str
    index: int


class Directives(NamedTuple):
    """
    All that operators have ordered; also the snapshot of the group.
    """

    index: int
    version: int
    content: bytes
    evacuated: list[str]


class DirectivesCopy(NamedTuple):
    """
    A copy of the directives for a node.
    """

    index: int
    version: int
    content: bytes
    evacuated: list[str]
    confirmed: bool


class DirectivesSnapshot(NamedTuple):
    """
    Snapshot of the group from the first OrderEvacuation on.
    """

    directives: Directives
    orders: list[EvacuationOrder]
