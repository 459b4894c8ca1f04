"""Operator directives: the routing configuration and domain evacuations.

Each configuration is published under a version number.  The configuration
with the highest version is active.
"""

from buckthorntack.directives._errors import InvalidConfigurationError
from buckthorntack.directives._machine import decode_command
from buckthorntack.directives._machine import DirectivesMachine
from buckthorntack.directives._machine import encode_command
from buckthorntack.directives._route_table import fingerprint_route
from buckthorntack.directives._route_table import HostResidency
from buckthorntack.directives._route_table import restrict_to_organisation
from buckthorntack.directives._route_table import RouteTable
from buckthorntack.directives._types import Configuration
from buckthorntack.directives._types import EngineProfile
from buckthorntack.directives._types import Organisation
from buckthorntack.directives._types import Quota
from buckthorntack.directives._types import QuotaUnit
from buckthorntack.directives._types import RequestKind
from buckthorntack.directives._types import RequestLimits
from buckthorntack.directives._types import Route
from buckthorntack.directives._types import Service
from buckthorntack.directives._types import Split
from buckthorntack.directives._validation import validate

__all__ = [
    "Configuration",
    "DirectivesMachine",
    "EngineProfile",
    "HostResidency",
    "InvalidConfigurationError",
    "Organisation",
    "Quota",
    "QuotaUnit",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RouteTable",
    "Service",
    "Split",
    "decode_command",
    "encode_command",
    "fingerprint_route",
    "restrict_to_organisation",
    "validate",
]
