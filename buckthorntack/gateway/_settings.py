"""Settings of one node."""

import datetime
from typing import NamedTuple

from buckthorntack import admission


class NodeSettings(NamedTuple):
    """Settings of an entry VM or control VM."""

    #: ``entry`` or ``control``.
    role: str
    node_name: str
    region: str
    failure_domain: str
    #: Region of each failure domain.
    regions: dict[str, str]
    ip_address: str
    #: Address for callers or, at a control VM, for servers and operators.
    service_address: str
    #: Address of the readiness probe; empty to disable it.
    readiness_address: str
    #: Address of the directory of entry VMs; empty to disable it.
    directory_address: str
    #: Port for messages between nodes.
    link_port: int
    #: Port for requests that entry VMs forward to each other.
    forward_port: int
    metrics_port: int
    #: Service addresses of the control VMs to contact first.
    seeds: tuple[str, ...]
    #: Whether the whole deployment starts for the first time.
    is_first_start: bool
    #: Folder for persistent state; empty at an entry VM.
    data_folder: str
    announcement_period: datetime.timedelta
    #: Number of control VMs that may fail at the same time.
    tolerated_losses: int
    #: Retry budget: allowed retries for each request.
    repeat_ratio: float
    #: Retry budget: further retries allowed in a window.
    repeat_slack: float
    #: Longest time that callers may cache a directory response.
    directory_ttl: datetime.timedelta
    #: Time between SIGTERM and SIGKILL.
    stop_grace: datetime.timedelta
    #: IP address to bind if a proxy in front of the node uses another one;
    #: empty to bind the addresses that others use.
    listen_ip: str = ""
    #: What may be admitted beyond the quotas of organisations.
    quota_tolerance: admission.QuotaTolerance = admission.QuotaTolerance()
    #: Processor in nominal cores that the node may use; 0 if not known.
    processor_cores: float = 0.0
    #: Bandwidth of the node's own link; 0 if not known.
    link_mbps: float = 0.0
    #: Memory of the VM; 0 if it bounds nothing.
    memory_mb: float = 0.0
    #: Second sends of late requests, as a share of the requests of a service;
    #: 0 for none.
    hedge_share: float = 0.0

    def to_bind_address(self, address):
        """Return the local address to bind for an address that others use.

        :param address: IP address and port.
        """
        if not self.listen_ip:
            return address
        port = address.rpartition(":")[2]
        return f"{self.listen_ip}:{port}"

    @property
    def link_address(self):
        """Address for messages of other nodes."""
        return f"{self.ip_address}:{self.link_port}"

    @property
    def forward_address(self):
        """Address for requests forwarded by entry VMs of other regions."""
        return f"{self.ip_address}:{self.forward_port}"
