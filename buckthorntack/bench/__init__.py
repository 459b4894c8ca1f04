"""Load and experiment tool: mixes, faults, checks of promises, reports."""

from buckthorntack.bench._drive import Driver
from buckthorntack.bench._drive import RunPlan
from buckthorntack.bench._drive import RunResult
from buckthorntack.bench._errors import ScheduleError
from buckthorntack.bench._errors import UnknownPolicyError
from buckthorntack.bench._faults import check_schedule
from buckthorntack.bench._faults import load_schedule
from buckthorntack.bench._mix import generate
from buckthorntack.bench._mix import TimedRequest
from buckthorntack.bench._plots import write as write_plots
from buckthorntack.bench._policies import named_policies
from buckthorntack.bench._policies import POLICIES
from buckthorntack.bench._promises import check
from buckthorntack.bench._promises import Violation
from buckthorntack.bench._report import document
from buckthorntack.bench._report import Figures
from buckthorntack.bench._report import figures
from buckthorntack.bench._report import ratios
from buckthorntack.bench._text import HEADER
from buckthorntack.bench._text import remarks
from buckthorntack.bench._text import row
from buckthorntack.bench._workloads import WORKLOADS

__all__ = [
    "Driver",
    "Figures",
    "HEADER",
    "POLICIES",
    "RunPlan",
    "RunResult",
    "ScheduleError",
    "TimedRequest",
    "UnknownPolicyError",
    "Violation",
    "WORKLOADS",
    "check",
    "check_schedule",
    "document",
    "figures",
    "generate",
    "load_schedule",
    "named_policies",
    "ratios",
    "remarks",
    "row",
    "write_plots",
]
