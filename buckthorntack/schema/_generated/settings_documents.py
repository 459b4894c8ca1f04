"""Generated from settings.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NotRequired

from typing_extensions import TypedDict


class SettingsFile(TypedDict):
    pass


class NodeAddress(TypedDict, closed=True):
    """
    Where a node is reached.
    """

    node_id: str
    """
    Unique among nodes.
    """
    link_address: str
    """
    IP address and port.
    """
    region: str
    """
    Region of the node.
    """
    failure_domain: str
    """
    Failure domain of the node.
    """
    roles: list[Literal["entry", "control"]]
    """
    What the node does.
    """


class LedgerHome(TypedDict, closed=True):
    """
    Control VMs that hold at-most-once records together.
    """

    home_id: str
    """
    Prefix of idempotency keys.
    """
    region: str
    """
    Region of the home.
    """
    replicas: list[str]
    """
    Node ids; all in the home's region.
    """


class LinkSettings(TypedDict, closed=True):
    """
    Links between our own processes.
    """

    listen_address: str
    """
    IP address and port.
    """
    queue_messages: NotRequired[int]
    """
    Messages kept for a slow peer.
    """


class HttpSettings(TypedDict, closed=True):
    """
    An HTTP listener.
    """

    listen_address: str
    """
    IP address and port.
    """
    public_url: NotRequired[str]
    """
    Address told to others, if it differs.
    """
    certificate_file: NotRequired[str]
    """
    TLS certificate chain; plain HTTP without it; a relative path starts at the folder of the settings file.
    """
    private_key_file: NotRequired[str]
    """
    Key of the certificate; a relative path starts at the folder of the settings file.
    """


class KeySettings(TypedDict, closed=True):
    """
    Files that hold secrets; their content never appears in logs.
    """

    link_keys_file: str
    """
    Key pairs of the links; a relative path starts at the folder of the settings file.
    """
    token_key_file: str
    """
    Key that signs attempt ids; a relative path starts at the folder of the settings file.
    """
    operator_tokens_file: NotRequired[str]
    """
    Hashed operator tokens with their roles; a relative path starts at the folder of the settings file.
    """


class TimingSettings(TypedDict, closed=True):
    """
    Periods and deadlines.
    """

    heartbeat_ms: NotRequired[int]
    """
    Period of the leader's heartbeats.
    """
    election_ms: NotRequired[int]
    """
    Shortest election timeout.
    """
    gossip_ms: NotRequired[int]
    """
    Period of membership deltas.
    """
    summary_ms: NotRequired[int]
    """
    Period of summaries between failure domains.
    """
    server_lease_ms: NotRequired[int]
    """
    Lease of a backend server's announcement.
    """
    progress_ms: NotRequired[int]
    """
    Longest silence of a stream before it is resumed.
    """
    request_deadline_ms: NotRequired[int]
    """
    Longest time to the first byte.
    """
    drain_ms: NotRequired[int]
    """
    Longest graceful shutdown; 0 waits for all requests.
    """
    stop_notice_ms: NotRequired[int]
    """
    Time between leaving callers' lists and refusing new connections.
    """
    ledger_retention_ms: NotRequired[int]
    """
    How long at-most-once records are kept.
    """


class LimitSettings(TypedDict, closed=True):
    """
    Bounds on callers' input.
    """

    body_bytes: NotRequired[int]
    """
    Largest request body.
    """
    header_bytes: NotRequired[int]
    """
    Largest request head.
    """
    connections: NotRequired[int]
    """
    Most open connections of callers.
    """
    queue_requests: NotRequired[int]
    """
    Most waiting requests of a service.
    """
    answer_bytes: NotRequired[int]
    """
    Largest stored answer of a non-idempotent request.
    """


class LogSettings(TypedDict, closed=True):
    """
    Log output.
    """

    format: NotRequired[Literal["text", "json"]]
    """
    Lines of text, or of JSON.
    """
    level: NotRequired[Literal["debug", "info", "notice", "warning", "error"]]
    """
    Least level that is written.
    """
    file: NotRequired[str]
    """
    File to append to; standard error without it; a relative path starts at the folder of the settings file.
    """


class WeightStoreSettings(TypedDict, closed=True):
    """
    Rate-limited store of model weights.
    """

    bytes_per_second: float
    """
    Rate that all loads share.
    """
    concurrent_loads: NotRequired[int]
    """
    Most loads at a time.
    """


class Settings(TypedDict, closed=True):
    """
    Settings of one process.
    """

    node_id: str
    """
    Unique name of this node; a VM whose disk was lost gets a new one.
    """
    roles: list[Literal["entry", "control"]]
    """
    What this process does.
    """
    region: str
    """
    Region of this VM.
    """
    failure_domain: str
    """
    Failure domain of this VM.
    """
    data_folder: str
    """
    Folder for all durable state; a relative path starts at the folder of the settings file.
    """
    links: LinkSettings
    """
    Links between our own processes.
    """
    callers: NotRequired[HttpSettings]
    """
    Listener for callers; needed by an entry VM.
    """
    backends: NotRequired[HttpSettings]
    """
    Listener for backend servers; needed by an entry VM.
    """
    admin: NotRequired[HttpSettings]
    """
    Listener for operators; needed by a control VM.
    """
    metrics: NotRequired[HttpSettings]
    """
    Listener for metrics, health and readiness.
    """
    nodes: list[NodeAddress]
    """
    Nodes to contact first: all control VMs, and entry VMs of this failure domain.
    """
    control: list[str]
    """
    Node ids of the first voters of the configuration group.
    """
    ledger_homes: list[LedgerHome]
    """
    Homes of at-most-once records.
    """
    keys: KeySettings
    """
    Files that hold secrets.
    """
    timing: NotRequired[TimingSettings]
    """
    Periods and deadlines.
    """
    limits: NotRequired[LimitSettings]
    """
    Bounds on callers' input.
    """
    log: NotRequired[LogSettings]
    """
    Log output.
    """
    weight_store: NotRequired[WeightStoreSettings]
    """
    Rate-limited store of model weights.
    """
