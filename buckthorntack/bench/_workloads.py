"""The deployments' workloads: kinds of requests and their sizes."""

from typing import NamedTuple


class Kind(NamedTuple):
    """One kind of request of a workload."""

    name: str
    #: Part of all requests.
    share: float
    service: str
    organisations: tuple[str, ...]
    #: Shared part of the prompt; 0 if nothing is shared.
    prefix_tokens: int = 0
    #: Different shared parts of one organisation.
    prefixes: int = 1
    tail_tokens: int = 16
    max_tokens: int = 0
    streamed: bool = True
    method: str = "POST"
    path: str = "/v1/chat/completions"
    idempotent: bool = True
    #: Part of these requests that their caller sends again.
    resent_share: float = 0.0


class Workload(NamedTuple):
    """What callers of one deployment send, and what serves it."""

    name: str
    regions: tuple[str, ...]
    #: Region of organisations that have one; others call from any.
    homes: dict[str, str]
    kinds: tuple[Kind, ...]
    #: Backend servers of each service.
    servers: dict[str, int]
    bits_per_second: float
    #: Blocks of prompts that one engine keeps.
    cached_blocks: int
    requests_per_second: float


HOARDLINE = Workload(
    "hoardline",
    ("fukuoka", "kumamoto", "kagoshima"),
    {
        "fukuoka-council": "fukuoka",
        "kumamoto-shops": "kumamoto",
        "kagoshima-verges": "kagoshima",
    },
    (
        Kind(
            "contract pack",
            0.30,
            "pitchwriter",
            (
                "kyushu-roundabouts",
                "kyushu-roundabouts",
                "kyushu-roundabouts",
                "fukuoka-council",
                "kumamoto-shops",
                "kagoshima-verges",
            ),
            prefix_tokens=9000,
            prefixes=6,
            tail_tokens=400,
            max_tokens=40,
        ),
        Kind(
            "pitch line",
            0.35,
            "pitchwriter",
            (
                "kyushu-roundabouts",
                "kyushu-roundabouts",
                "fukuoka-council",
                "kumamoto-shops",
                "kagoshima-verges",
            ),
            tail_tokens=60,
            max_tokens=12,
        ),
        Kind(
            "availability check",
            0.20,
            "vergedesk",
            ("kyushu-roundabouts", "fukuoka-council", "kumamoto-shops"),
            method="GET",
            path="/availability/roundabout-",
        ),
        Kind(
            "booking",
            0.15,
            "vergedesk",
            ("kyushu-roundabouts", "fukuoka-council", "kagoshima-verges"),
            path="/bookings",
            idempotent=False,
            resent_share=0.3,
        ),
    ),
    {"pitchwriter": 5, "vergedesk": 3},
    70e6,
    160,
    22.0,
)

RENDIMAR = Workload(
    "rendimar",
    ("sinaloa", "sonora", "bajasur"),
    {
        "planta-mazatlan": "sinaloa",
        "planta-guaymas": "sonora",
        "planta-lapaz": "bajasur",
    },
    (
        Kind(
            "whole ledger",
            0.25,
            "rendi-model",
            (
                "cooperativa-pacifico",
                "cooperativa-pacifico",
                "cooperativa-pacifico",
                "planta-mazatlan",
                "planta-guaymas",
                "planta-lapaz",
            ),
            prefix_tokens=12000,
            prefixes=8,
            tail_tokens=300,
            max_tokens=30,
        ),
        Kind(
            "short question",
            0.40,
            "rendi-model",
            (
                "cooperativa-pacifico",
                "planta-mazatlan",
                "planta-guaymas",
                "planta-lapaz",
            ),
            tail_tokens=40,
            max_tokens=10,
        ),
        Kind(
            "record",
            0.20,
            "registro",
            ("inspectores", "planta-mazatlan", "planta-guaymas"),
            method="GET",
            path="/records/lot-",
        ),
        Kind(
            "lot entry",
            0.15,
            "registro",
            ("inspectores", "inspectores", "planta-lapaz"),
            path="/entries",
            idempotent=False,
            resent_share=0.3,
        ),
    ),
    {"rendi-model": 9, "registro": 3},
    1e9,
    200,
    22.0,
)

WORKLOADS = {workload.name: workload for workload in (HOARDLINE, RENDIMAR)}
