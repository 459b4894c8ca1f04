"""Routing of requests to backend servers and failure domains."""

from buckthorntack.routing._baselines import BaselinePolicy
from buckthorntack.routing._baselines import LeastLoadedPolicy
from buckthorntack.routing._baselines import RandomPolicy
from buckthorntack.routing._baselines import RoundRobinPolicy
from buckthorntack.routing._ejection import Ejection
from buckthorntack.routing._errors import ExcludedError
from buckthorntack.routing._errors import NoServerError
from buckthorntack.routing._errors import ResidencyError
from buckthorntack.routing._events import EJECTED
from buckthorntack.routing._events import FORWARDED
from buckthorntack.routing._events import REFUSED
from buckthorntack.routing._events import ROUTED
from buckthorntack.routing._prefix import format_prefix_hash
from buckthorntack.routing._prefix import prefix_hashes
from buckthorntack.routing._prefix import PrefixIndex
from buckthorntack.routing._prompt import Prompt
from buckthorntack.routing._prompt import read_prompt
from buckthorntack.routing._router import Router
from buckthorntack.routing._types import AttemptOutcome
from buckthorntack.routing._types import Reasons
from buckthorntack.routing._types import RouteDecision
from buckthorntack.routing._types import RouteForward
from buckthorntack.routing._types import RouteLocal
from buckthorntack.routing._types import RouteRequest
from buckthorntack.routing._types import RouterSettings

__all__ = [
    "AttemptOutcome",
    "BaselinePolicy",
    "EJECTED",
    "Ejection",
    "ExcludedError",
    "FORWARDED",
    "LeastLoadedPolicy",
    "NoServerError",
    "PrefixIndex",
    "Prompt",
    "REFUSED",
    "ROUTED",
    "RandomPolicy",
    "Reasons",
    "ResidencyError",
    "RouteDecision",
    "RouteForward",
    "RouteLocal",
    "RouteRequest",
    "Router",
    "RouterSettings",
    "RoundRobinPolicy",
    "format_prefix_hash",
    "prefix_hashes",
    "read_prompt",
]
