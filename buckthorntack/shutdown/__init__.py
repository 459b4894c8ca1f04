"""Which work a process that stops may still begin, and when it ends."""

from buckthorntack.shutdown._durations import RecentDurations
from buckthorntack.shutdown._window import DELIVERY_TIME
from buckthorntack.shutdown._window import may_begin
from buckthorntack.shutdown._window import plan_stop
from buckthorntack.shutdown._window import StopWindow
from buckthorntack.shutdown._window import Work

__all__ = [
    "DELIVERY_TIME",
    "RecentDurations",
    "StopWindow",
    "Work",
    "may_begin",
    "plan_stop",
]
