"""Requests, results and settings of admission."""

from typing import NamedTuple

import expression

from buckthorntack import errors


class QuotaLimits(NamedTuple):
    """Limits of an organisation, summed over all entry VMs."""

    requests_per_second: float
    burst_requests: int
    tokens_per_minute: int


def quota_limits(document):
    """Read the limits from a quota object.

    :param document: ``Quota`` document.
    :returns: :class:`QuotaLimits`.
    """
    return QuotaLimits(
        document["requests_per_second"],
        document["burst_requests"],
        document["tokens_per_minute"],
    )


class AdmissionRequest(NamedTuple):
    """A request for admission."""

    request_id: str
    organisation: str
    service: str
    #: Priority class; rank 0 starts first and is shed last.
    rank: int
    weight: float
    quota: QuotaLimits
    prompt_tokens: int
    #: Longest time in the queue.
    deadline_ms: int


class Admitted(NamedTuple):
    """The request may start now."""

    request_id: str


class Queued(NamedTuple):
    """The request is queued; ``tick`` returns its outcome later."""

    request_id: str
    queue_length: int


#: Result of ``AdmissionController.offer``.
AdmissionResult = expression.Result[Admitted | Queued, errors.GatewayError]


class Refused(NamedTuple):
    """The request will not start; it was not run."""

    request_id: str
    error: errors.GatewayError


class AdmissionSettings(NamedTuple):
    """Constants of admission."""

    queue_requests: int = 1000
    #: Fraction of the slots that the heaviest user leaves to other
    #: organisations.
    reserved_share: float = 0.1
    #: Lease duration of quota lent to another entry VM.
    quota_lease_ms: int = 4000
    #: Time constant of the moving average of an organisation's demand.
    demand_ms: int = 5000
    #: Factor on the demand that gives the share to keep or to borrow.
    demand_headroom: float = 1.25
    #: Largest number of needs, and of grants per organisation, in one report.
    reported_organisations: int = 256
    min_retry_after_ms: int = 100
    max_retry_after_ms: int = 60_000
    #: Largest random increase of Retry-After, as a fraction of it.
    retry_jitter_share: float = 0.2
