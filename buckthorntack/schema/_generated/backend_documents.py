"""Generated from backend.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NotRequired
from typing import TypeAlias

from typing_extensions import TypedDict


class BackendInterface(TypedDict):
    pass


ModelVersion: TypeAlias = str


Adapter: TypeAlias = str


class LoadReport(TypedDict, closed=True):
    """
    Load of a backend server.
    """

    running: int
    waiting: int
    cache_used_fraction: float
    lag_ms: NotRequired[int]
    """
    Age of these figures.
    """


class CacheEvent(TypedDict, closed=True):
    """
    Blocks of a prompt prefix that entered or left a cache.
    """

    sequence: int
    """
    Gaps tell of lost events.
    """
    kind: Literal["stored", "removed", "cleared"]
    prefix_hashes: NotRequired[list[str]]
    """
    Chained hashes of prompt blocks, in hexadecimal.
    """


class AnnouncementAnswer(TypedDict, closed=True):
    """
    Answer to an announcement.
    """

    lease_ms: int
    renew_ms: int
    accepted: bool
    reason: NotRequired[str]
    echo: NotRequired[str]
    """
    To be sent with the next announcement.
    """


class Outcome(TypedDict, closed=True):
    """
    What a backend server knows of an attempt.
    """

    attempt_id: str
    run_state: Literal["not_run", "ran", "unknown"]
    running: bool
    last_event: NotRequired[int]


class EngineOrder(TypedDict, closed=True):
    """
    Target state of an engine.
    """

    issuer: str
    """
    Failure domain whose issuer sent it.
    """
    fencing: int
    order_id: str
    model_versions: list[str]
    """
    Model versions to have loaded.
    """
    adapters: list[str]
    role: Literal["both", "prefill", "decode"]


class EngineOrderAnswer(TypedDict, closed=True):
    """
    Answer to an order.
    """

    accepted: bool
    fencing: int
    """
    Highest fencing number seen.
    """
    reason: NotRequired[str]


class Announcement(TypedDict, closed=True):
    """
    What a backend server posts to an entry VM to announce itself and renew its lease.
    """

    server_id: str
    incarnation: int
    """
    Grows with each start.
    """
    sequence: int
    """
    Grows with each announcement.
    """
    state: Literal["ready", "draining", "withdrawn"]
    pool: str
    failure_domain: str
    url: str
    """
    Base address of its HTTP interface.
    """
    slots: int
    """
    Requests it can run at once.
    """
    model_versions: NotRequired[list[ModelVersion]]
    """
    Names of model versions loaded.
    """
    adapters: NotRequired[list[Adapter]]
    role: NotRequired[Literal["both", "prefill", "decode"]]
    fencing: NotRequired[int]
    """
    Highest fencing number seen in an order.
    """
    load: NotRequired[LoadReport]
    cache_events: NotRequired[list[CacheEvent]]
    """
    Cache events since the last announcement; may have gaps.
    """
    echo: NotRequired[str]
    """
    The echo of the last answer, so that a late announcement is recognised.
    """
    echo_age_ms: NotRequired[int]
    """
    Time since that answer arrived.
    """
    limit_per_s: NotRequired[float]
    """
    Requests per second that it takes of all entry VMs together; absent for no limit.
    """
    rejections_per_s: NotRequired[float]
    """
    Requests per second that it can reject for want of room before it falls over; absent if it is not brittle.
    """
