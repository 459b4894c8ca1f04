"""Node process: its roles, links and listeners."""

from buckthorntack.node._monitoring import MonitoringApp
from buckthorntack.node._node import Node
from buckthorntack.node._run import run

__all__ = ["MonitoringApp", "Node", "run"]
