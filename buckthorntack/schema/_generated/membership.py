"""Generated from membership.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class ServerLoad(NamedTuple):
    """
    Load of a backend server as it last reported it.
    """

    running: int
    waiting: int
    cache_used_fraction: float
    age_ms: int


class ServerRecord(NamedTuple):
    """
    A backend server as it announced itself.
    """

    server_id: str
    incarnation: int
    sequence: int
    state: str
    pool: str
    service: str
    model_versions: list[str]
    adapters: list[str]
    role: str
    region: str
    failure_domain: str
    url: str
    slots: int
    lease_ms: int
    load: ServerLoad


class EntryRecord(NamedTuple):
    """
    An entry VM.
    """

    node_id: str
    incarnation: int
    sequence: int
    state: str
    region: str
    failure_domain: str
    caller_url: str
    link_address: str
    revision: int
    lease_ms: int
    in_flight: int


class ServiceSummary(NamedTuple):
    """
    What one failure domain can do for one service and model version.
    """

    service: str
    model_version: str
    servers: int
    slots: int
    running: int
    waiting: int


class DomainSummary(NamedTuple):
    """
    What other failure domains need to know of one.
    """

    region: str
    failure_domain: str
    incarnation: int
    sequence: int
    entries: list[EntryRecord]
    services: list[ServiceSummary]
    lease_ms: int
