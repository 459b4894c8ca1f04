"""Generated from bench.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NotRequired

from typing_extensions import TypedDict


class FaultSchedules(TypedDict):
    pass


class FaultStep(TypedDict, closed=True):
    """
    One fault, or its end.
    """

    at_s: float
    """
    Seconds after the first request.
    """
    fault: Literal[
        "cut_region",
        "cut_one_way",
        "heal_region",
        "kill_server",
        "restart_server",
        "drain_server",
        "stop_entry",
        "kill_entry",
        "start_entry",
        "silent_connections",
        "crossed_answers",
        "crash_request",
        "lagging_load",
    ]
    region: NotRequired[str]
    """
    Region that is cut or healed, sends one way, or sends the crashing request.
    """
    to_region: NotRequired[str]
    """
    Region that no longer receives.
    """
    server_id: NotRequired[str]
    """
    Backend server concerned.
    """
    node_id: NotRequired[str]
    """
    Entry VM concerned.
    """
    organisation: NotRequired[str]
    """
    Organisation that sends the crashing request.
    """
    count: NotRequired[int]
    """
    Connections or answers concerned.
    """
    lag_ms: NotRequired[int]
    """
    Period of load reports.
    """


class FaultSchedule(TypedDict, closed=True):
    """
    Faults that a run of the load tool brings about.
    """

    steps: list[FaultStep]
