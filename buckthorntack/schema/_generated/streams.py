"""Generated from streams.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class OriginGroup(NamedTuple):
    """
    Streams that servers of one software version began.
    """

    service: str
    software_version: str
    keys: bytes
    server_id: str | None = None
    born_ms: int = 0


class StreamOrigins(NamedTuple):
    """
    Streams that began at an entry VM, for a control VM to keep.
    """

    groups: list[OriginGroup]


class OriginQuery(NamedTuple):
    """
    An entry VM asks which software versions began streams.
    """

    keys: bytes


class OriginReply(NamedTuple):
    """
    What a control VM knows of the streams of a query.
    """

    groups: list[OriginGroup]
    unknown: bytes


class IncarnationQuery(NamedTuple):
    """
    An entry VM asks whether its record of a server is of the newest incarnation.
    """

    number: int
    server_id: str
    born_ms: int


class IncarnationReply(NamedTuple):
    """
    What a control VM knows of the incarnation of a query.
    """

    number: int
    state: Literal["newest", "replaced", "unknown"]
