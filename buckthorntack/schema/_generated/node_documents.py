"""Generated from node.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NotRequired
from typing import TypedDict


class NodeDocuments(TypedDict):
    pass


class NodeDocument(TypedDict):
    """
    Settings of a node that finds the others by itself.
    """

    role: Literal["entry", "control"]
    """
    What the node does.
    """
    node_name: str
    """
    Name in log lines.
    """
    region: str
    failure_domain: str
    regions: dict[str, str]
    """
    Region of each failure domain.
    """
    ip_address: str
    service_address: str
    """
    IP address and port for callers or, at a control VM, for operators and backend servers.
    """
    readiness_address: str
    """
    Where the platform asks whether the node is ready; empty for nowhere.
    """
    directory_address: str
    """
    Where callers ask for entry VMs; empty for nowhere.
    """
    metrics_port: int
    """
    Where metrics are served, at /metrics.
    """
    internal_ports: list[int]
    """
    First and last port for traffic between nodes.
    """
    seeds: list[str]
    """
    Service addresses of some control VMs.
    """
    first_start: bool
    """
    Whether the whole deployment starts for the first time.
    """
    data_folder: str
    """
    Folder for state that lasts; empty at an entry VM.
    """
    announcement_ms: int
    """
    Pause between two announcements of a backend server.
    """
    tolerated_losses: int
    """
    Control VMs that may be lost at once.
    """
    repeat_ratio: float
    """
    Repeated sends for each request.
    """
    repeat_slack: float
    """
    Repeated sends beyond that in a window.
    """
    directory_ttl_s: float
    """
    Longest time that callers use an answer of the directory.
    """
    grace_s: float
    """
    Time between SIGTERM and SIGKILL.
    """
    quota_window_s: NotRequired[float]
    """
    Time over which the quotas of organisations are measured; missing where there are none.
    """
    quota_overrun: NotRequired[float]
    """
    Part of a quota that may be admitted beyond it in that time.
    """
    quota_slack: NotRequired[float]
    """
    Further amount that may be admitted beyond a quota in that time, in its unit.
    """
    memory_mb: NotRequired[float]
    """
    Memory of the VM in MB, which bounds what an entry VM holds for callers and servers; missing or 0 for no bound.
    """
    listen_ip: NotRequired[str]
    """
    IP address to bind in place of ip_address, which others use, where a relay stands between.
    """
    processor_share: NotRequired[float]
    """
    Share of its processor that the node may use; 0 or left out if not known.
    """
    processor_speed: NotRequired[float]
    """
    Speed of that processor in nominal cores; left out for 1.
    """
    link_mbps: NotRequired[float]
    """
    Bandwidth of the node's own link; 0 or left out if not known.
    """
    hedge_share: NotRequired[float]
    """
    Second sends of late requests that may run more than once, for each request of a service; 0 for none.
    """
