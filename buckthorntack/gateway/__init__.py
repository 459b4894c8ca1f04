"""Entry VMs that proxy requests, and control VMs that coordinate them.

A ``Dialect`` defines the formats of requests, responses and configurations;
``buckthorntack.platform`` implements one.
"""

from buckthorntack.gateway._control import ControlNode
from buckthorntack.gateway._dialect import Dialect
from buckthorntack.gateway._dialect import NO_LIMIT
from buckthorntack.gateway._dialect import RequestMetadata
from buckthorntack.gateway._dialect import ResponseMetadata
from buckthorntack.gateway._dialect import StatedRate
from buckthorntack.gateway._entry import EntryNode
from buckthorntack.gateway._errors import SettingsError
from buckthorntack.gateway._run import run
from buckthorntack.gateway._settings import NodeSettings

__all__ = [
    "NO_LIMIT",
    "ControlNode",
    "Dialect",
    "EntryNode",
    "NodeSettings",
    "RequestMetadata",
    "ResponseMetadata",
    "SettingsError",
    "StatedRate",
    "run",
]
