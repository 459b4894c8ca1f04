"""What operators order of a running system: routes and evacuations.

A configuration is published under a version; the highest one is in force.
"""

from buckthorntack.directives._check import check
from buckthorntack.directives._errors import InvalidConfigurationError
from buckthorntack.directives._machine import decode_command
from buckthorntack.directives._machine import DirectivesMachine
from buckthorntack.directives._machine import encode_command
from buckthorntack.directives._matching import RouteTable
from buckthorntack.directives._types import Configuration
from buckthorntack.directives._types import EngineProfile
from buckthorntack.directives._types import RequestKind
from buckthorntack.directives._types import RequestLimits
from buckthorntack.directives._types import Route
from buckthorntack.directives._types import Service
from buckthorntack.directives._types import Split

__all__ = [
    "Configuration",
    "DirectivesMachine",
    "EngineProfile",
    "InvalidConfigurationError",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RouteTable",
    "Service",
    "Split",
    "check",
    "decode_command",
    "encode_command",
]
