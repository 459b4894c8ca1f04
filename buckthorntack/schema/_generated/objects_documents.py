"""Generated from objects.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NotRequired
from typing import TypeAlias

from typing_extensions import TypedDict


class Objects(TypedDict):
    pass


class Region(TypedDict, closed=True):
    """
    A region; prompt caches and residency end at its border.
    """

    name: str
    """
    Unique among regions.
    """


class FailureDomain(TypedDict, closed=True):
    """
    A part of a region that can be cut off as a whole.
    """

    name: str
    """
    Unique among failure domains.
    """
    region: str
    """
    Name of its region.
    """


class ResidencyRule(TypedDict, closed=True):
    """
    Where requests of an organisation and their data may be served.
    """

    name: str
    """
    Unique among residency rules.
    """
    regions: list[str]
    """
    Names of regions.
    """


class Priority(TypedDict, closed=True):
    """
    Order in which waiting requests are admitted.
    """

    name: str
    """
    Unique among priorities.
    """
    rank: int
    """
    0 goes first; shed last.
    """
    weight: float
    """
    Share among organisations of equal rank.
    """


class Quota(TypedDict, closed=True):
    """
    Limits of an organisation over all entry VMs.
    """

    name: str
    """
    Unique among quotas.
    """
    requests_per_second: float
    """
    Sustained rate of requests.
    """
    burst_requests: int
    """
    Requests that may come at once; from one second of the rate to one hour of it.
    """
    tokens_per_minute: int
    """
    Prompt and generated tokens.
    """


class Organisation(TypedDict, closed=True):
    """
    A customer with its own terms.
    """

    name: str
    """
    Unique among organisations.
    """
    residency_rule: str
    """
    Name of its residency rule.
    """
    priority: str
    """
    Name of its priority.
    """
    quota: str
    """
    Name of its quota.
    """
    services: list[str]
    """
    Names of the services it may use.
    """


class CallerCredential(TypedDict, closed=True):
    """
    Binds a caller's secret to an organisation.
    """

    name: str
    """
    Unique among credentials.
    """
    organisation: str
    """
    Name of its organisation.
    """
    token_sha256: str
    """
    Hash of the bearer token, in hexadecimal.
    """
    expires_at: NotRequired[str]
    """
    Time after which it is refused.
    """


Adapter: TypeAlias = str


class ModelVersion(TypedDict, closed=True):
    """
    A version of a model that engines can load.
    """

    name: str
    """
    Unique among model versions.
    """
    model: str
    """
    Name that callers ask for.
    """
    version: str
    """
    Version of the model's weights.
    """
    weights_bytes: int
    """
    Size of its weights.
    """
    adapters: NotRequired[list[Adapter]]
    """
    Adapters that may be loaded with it.
    """


class ServiceCall(TypedDict, closed=True):
    """
    A call of a plain service.
    """

    method: Literal["GET", "POST", "PUT", "PATCH", "DELETE"]
    """
    HTTP method.
    """
    path: str
    """
    Path below the service, starting with a slash; a trailing /* stands for all paths below.
    """
    idempotent: bool
    """
    Whether it may be repeated.
    """


class Service(TypedDict, closed=True):
    """
    What callers use: model engines or a plain service.
    """

    name: str
    """
    Unique among services; callers of a plain service name it.
    """
    kind: Literal["model", "plain"]
    """
    Model engines, or a plain service.
    """
    terms: str
    """
    Name of its deployment terms.
    """
    model_versions: NotRequired[list[str]]
    """
    Names of model versions it offers; the first is the default.
    """
    calls: NotRequired[list[ServiceCall]]
    """
    Calls of a plain service.
    """


class BackendServerPool(TypedDict, closed=True):
    """
    Backend servers that announce themselves under this name.
    """

    name: str
    """
    Unique among pools; backend servers announce it.
    """
    service: str
    """
    Name of its service.
    """
    failure_domains: list[str]
    """
    Names of the failure domains in which it may run.
    """
    model_versions: NotRequired[list[str]]
    """
    Names of model versions its engines may load.
    """
    cost_per_hour: float
    """
    Cost of one backend server.
    """
    checks_fencing: bool
    """
    Whether its engines refuse an order with an old fencing number.
    """
    min_servers: NotRequired[int]
    """
    Fewest engines of each model version.
    """


class DeploymentTerms(TypedDict, closed=True):
    """
    What a deployment weighs, as relative weights.
    """

    name: str
    """
    Unique among terms.
    """
    tail_latency_weight: float
    """
    Weight of the expected time to the first token or answer.
    """
    cost_weight: float
    """
    Weight of the pool's cost.
    """
    share_away_weight: float
    """
    Weight of serving in another region.
    """
