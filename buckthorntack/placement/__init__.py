"""Model placement on engines: planner, engine orders, issuer leases."""

from buckthorntack.placement._build import build_placement_task
from buckthorntack.placement._build import drained_servers
from buckthorntack.placement._demand import Demand
from buckthorntack.placement._demand import PoolPlan
from buckthorntack.placement._granter import LeaseGranterTask
from buckthorntack.placement._granter import LeaseWatch
from buckthorntack.placement._inputs import read_inputs
from buckthorntack.placement._lease import IssuerLease
from buckthorntack.placement._machine import encode_command
from buckthorntack.placement._machine import LeaseMachine
from buckthorntack.placement._machine import LeaseOutcome
from buckthorntack.placement._planner import DrainEngine
from buckthorntack.placement._planner import Inputs
from buckthorntack.placement._planner import OrderEngine
from buckthorntack.placement._planner import PlacementPlanner
from buckthorntack.placement._planner import ReturnEngine
from buckthorntack.placement._planner import Target
from buckthorntack.placement._store import WeightStoreBudget
from buckthorntack.placement._task import DRAIN_KIND
from buckthorntack.placement._task import PlacementTask
from buckthorntack.placement._task import read_drain_item
from buckthorntack.placement._timing import PlacementTiming

__all__ = [
    "DRAIN_KIND",
    "Demand",
    "DrainEngine",
    "Inputs",
    "IssuerLease",
    "LeaseGranterTask",
    "LeaseMachine",
    "LeaseOutcome",
    "LeaseWatch",
    "OrderEngine",
    "PlacementPlanner",
    "PlacementTask",
    "PlacementTiming",
    "PoolPlan",
    "ReturnEngine",
    "Target",
    "WeightStoreBudget",
    "build_placement_task",
    "drained_servers",
    "encode_command",
    "read_drain_item",
    "read_inputs",
]
