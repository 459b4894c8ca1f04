"""Choice of the backend server or region that gets a request."""

from buckthorntack.dispatch._choice import Dispatcher
from buckthorntack.dispatch._decisions import Forward
from buckthorntack.dispatch._decisions import Refuse
from buckthorntack.dispatch._decisions import RoutingRequest
from buckthorntack.dispatch._decisions import Serve
from buckthorntack.dispatch._events import REQUEST_ROUTED
from buckthorntack.dispatch._exchange import UsageExchange
from buckthorntack.dispatch._fleet import Fleet
from buckthorntack.dispatch._fleet import InFlightRequest
from buckthorntack.dispatch._outcomes import Outcome
from buckthorntack.dispatch._prompts import Part
from buckthorntack.dispatch._prompts import PrefixCache
from buckthorntack.dispatch._prompts import Prompt
from buckthorntack.dispatch._reachability import Reachability
from buckthorntack.dispatch._retry_budgets import RetryBudgets
from buckthorntack.dispatch._server_limits import REJECTION_HOLD_S
from buckthorntack.dispatch._server_limits import ServerLimits
from buckthorntack.dispatch._server_rates import RateLimits
from buckthorntack.dispatch._server_rates import ServerRates
from buckthorntack.dispatch._settings import DispatchSettings
from buckthorntack.dispatch._shared_rate import rendezvous_score
from buckthorntack.dispatch._shared_room import Room

__all__ = [
    "REJECTION_HOLD_S",
    "REQUEST_ROUTED",
    "DispatchSettings",
    "Dispatcher",
    "Fleet",
    "InFlightRequest",
    "Forward",
    "Outcome",
    "Part",
    "Prompt",
    "PrefixCache",
    "RateLimits",
    "Reachability",
    "Refuse",
    "RetryBudgets",
    "Serve",
    "ServerLimits",
    "ServerRates",
    "UsageExchange",
    "Room",
    "RoutingRequest",
    "rendezvous_score",
]
