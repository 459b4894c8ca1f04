"""A process: its roles, links and listeners."""

from buckthorntack.node._metrics import MonitorApp
from buckthorntack.node._node import Node
from buckthorntack.node._run import run

__all__ = ["MonitorApp", "Node", "run"]
