"""Generated from discovery.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class AnnouncedServer(NamedTuple):
    """
    A backend server as control VMs pass it on.
    """

    server_id: str
    born_ms: int
    sequence: int
    state: Literal["ready", "draining", "gone"]
    service: str
    address: str
    failure_domain: str
    region: str
    slots: int
    cold_left_ms: int
    reclaim_left_ms: int
    silent: bool
    software_version: str


class NodePresence(NamedTuple):
    """
    A node of ours as control VMs pass it on.
    """

    node_id: str
    incarnation: int
    sequence: int
    role: Literal["entry", "control"]
    state: Literal["starting", "ready", "stopping", "gone"]
    link_address: str
    service_address: str
    failure_domain: str
    region: str
    silent: bool
    unreachable_services: list[str]
    capacity: float = 0.0
    protocol_version: int = 0
    means: float = 0.0


class PresenceReport(NamedTuple):
    """
    A node tells a control VM that it lives, and what it has.
    """

    node: NodePresence
    registry_epoch: int
    registry_stamp: int
    version: int
    directives_index: int
    heard_servers: list[str]
    heard_nodes: list[str]


class PresenceReply(NamedTuple):
    """
    Answer of a control VM to a report.
    """

    incarnation: int
    accepted: bool
    registry_epoch: int
    registry_stamp: int
    has_majority: bool
    wants_servers: bool
    wants_marks: bool = False


class RegistryChanges(NamedTuple):
    """
    Changes of a control VM's registry.
    """

    registry_epoch: int
    since_stamp: int
    stamp: int
    servers: list[AnnouncedServer]
    nodes: list[NodePresence]


class PackedChanges(NamedTuple):
    """
    Many changes of a registry, compressed; only for nodes with protocol version 1 or later.
    """

    content: bytes


class ServerUse(NamedTuple):
    """
    Requests that one entry VM or one region has at a backend server.
    """

    server_id: str
    running: int
    waiting: int
    waiting_tokens: int
    held_tokens: int


class ServerRead(NamedTuple):
    """
    Tokens that a server has read and nobody is told of one by one.
    """

    server_id: str
    tokens: int


class PromptSent(NamedTuple):
    """
    Shared parts of a prompt that a server has read.
    """

    server_id: str
    parts: list[str]
    tokens: list[int]


class ReplicaEnvelope(NamedTuple):
    """
    A message of a replicated group for one replica; another one may have the address by now.
    """

    receiver: str
    content: bytes


class ControlIdentity(NamedTuple):
    """
    Who a control VM's disk belongs to; kept on the disk.
    """

    node_id: str
    first_voters: list[str]


class ServerRestart(NamedTuple):
    """
    A server that may have started again, or what it told after that.
    """

    server_id: str
    version: int
    is_suspected: bool
    cold_left_ms: int
    is_mild: bool = False


class ServerLimit(NamedTuple):
    """
    What a backend server said last of the requests that it takes.
    """

    server_id: str
    born_ms: int
    version: int
    is_named: bool
    per_s: float
    is_brittle: bool
    rejections_per_s: float
    rejections: int


class OrganisationUse(NamedTuple):
    """
    Tokens or requests that an organisation was admitted, in the unit of its quota.
    """

    organisation: str
    admitted: float
    requested: float


class SpeedSample(NamedTuple):
    """
    Answer times of one incarnation of a server against the expected ones.
    """

    server_id: str
    born_ms: int
    count: float
    ratio_sum: float
    read_count: float = 0.0
    read_ratio_sum: float = 0.0


class RegionLoad(NamedTuple):
    """
    Load of the backend servers of a region.
    """

    region: str
    servers: list[ServerUse]
    prompts: list[PromptSent]
    limits: list[ServerLimit]
    organisations: list[OrganisationUse] = []
    speeds: list[SpeedSample] = []


class UseReport(NamedTuple):
    """
    What entry VMs have at the servers of their region.
    """

    sequence: int
    scope: Literal["own", "domain", "region"]
    is_whole: bool
    uses: list[ServerUse]
    prompts: list[PromptSent]
    reads: list[ServerRead]
    heard: list[str]
    is_urgent: bool
    limits: list[ServerLimit]
    organisations: list[OrganisationUse] = []
    speeds: list[SpeedSample] = []
    known_speeds: list[SpeedSample] = []
    restarts: list[ServerRestart] = []
    knows_restarts: bool = False
