"""Choice of the backend server or region that gets a request."""

from buckthorntack.dispatch._choice import Dispatcher
from buckthorntack.dispatch._crashes import CrashLedger
from buckthorntack.dispatch._decisions import Forward
from buckthorntack.dispatch._decisions import Refuse
from buckthorntack.dispatch._decisions import Serve
from buckthorntack.dispatch._decisions import Wanted
from buckthorntack.dispatch._events import REQUEST_ROUTED
from buckthorntack.dispatch._exchange import UseExchange
from buckthorntack.dispatch._fleet import Fleet
from buckthorntack.dispatch._fleet import Flight
from buckthorntack.dispatch._outcomes import Outcome
from buckthorntack.dispatch._prompts import Part
from buckthorntack.dispatch._prompts import Prompt
from buckthorntack.dispatch._prompts import PromptMemory
from buckthorntack.dispatch._repeats import RepeatBudgets
from buckthorntack.dispatch._settings import DispatchSettings
from buckthorntack.dispatch._warmup import WarmupGate

__all__ = [
    "REQUEST_ROUTED",
    "CrashLedger",
    "DispatchSettings",
    "Dispatcher",
    "Fleet",
    "Flight",
    "Forward",
    "Outcome",
    "Part",
    "Prompt",
    "PromptMemory",
    "Refuse",
    "RepeatBudgets",
    "Serve",
    "UseExchange",
    "Wanted",
    "WarmupGate",
]
