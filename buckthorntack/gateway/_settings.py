"""Settings of one node."""

import datetime
from typing import NamedTuple


class NodeSettings(NamedTuple):
    """What a node is told when it starts."""

    #: ``entry`` or ``control``.
    role: str
    node_name: str
    region: str
    failure_domain: str
    #: Region of each failure domain.
    regions: dict[str, str]
    ip_address: str
    #: Where callers or, at a control VM, servers and operators connect.
    service_address: str
    #: Where the platform asks whether the node is ready; empty for nowhere.
    readiness_address: str
    #: Where callers ask for entry VMs; empty for nowhere.
    directory_address: str
    link_port: int
    forward_port: int
    metrics_port: int
    #: Service addresses of some control VMs.
    seeds: tuple[str, ...]
    #: Whether the whole deployment starts for the first time.
    is_first_start: bool
    #: Folder for state that lasts; empty at an entry VM.
    data_folder: str
    announcement_period: datetime.timedelta
    #: Control VMs that may be lost at once.
    tolerated_losses: int
    #: Repeated sends for each request, and beyond that in a window.
    repeat_ratio: float
    repeat_slack: float
    #: Longest time that a directory answer is used.
    directory_ttl: datetime.timedelta
    #: Time between SIGTERM and SIGKILL.
    grace: datetime.timedelta
    #: IP address to bind where a relay stands before the node; empty if
    #: others use the one that is bound.
    listen_ip: str = ""

    def bound(self, address):
        """Address to bind for one that others use.

        :param address: IP address and port.
        """
        if not self.listen_ip:
            return address
        port = address.rpartition(":")[2]
        return f"{self.listen_ip}:{port}"

    @property
    def link_address(self):
        """Where the node takes messages of other nodes."""
        return f"{self.ip_address}:{self.link_port}"

    @property
    def forward_address(self):
        """Where the node takes requests of entry VMs of other regions."""
        return f"{self.ip_address}:{self.forward_port}"
