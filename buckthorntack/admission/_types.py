"""Requests to admission, its answers and its settings."""

from typing import NamedTuple

import expression

from buckthorntack import errors


class QuotaLimits(NamedTuple):
    """Limits of an organisation over all entry VMs."""

    requests_per_second: float
    burst_requests: int
    tokens_per_minute: int


def quota_limits(document):
    """Read limits from an operator's object.

    :param document: ``Quota`` document.
    :returns: :class:`QuotaLimits`.
    """
    return QuotaLimits(
        document["requests_per_second"],
        document["burst_requests"],
        document["tokens_per_minute"],
    )


class AdmissionRequest(NamedTuple):
    """What asks to be admitted."""

    request_id: str
    organisation: str
    service: str
    #: 0 goes first and is shed last.
    rank: int
    weight: float
    quota: QuotaLimits
    prompt_tokens: int
    #: Longest wait for admission.
    deadline_ms: int


class Admitted(NamedTuple):
    """The request may start now."""

    request_id: str


class Queued(NamedTuple):
    """The request waits; a command of ``tick`` follows."""

    request_id: str
    queue_length: int


#: Answer to an offer.
Offer = expression.Result[Admitted | Queued, errors.GatewayError]


class Refused(NamedTuple):
    """The request will not start; it was not run."""

    request_id: str
    error: errors.GatewayError


class AdmissionSettings(NamedTuple):
    """Constants of admission."""

    queue_requests: int = 1000
    #: Slots that the heaviest user leaves to the others.
    reserved_share: float = 0.1
    #: Lease of quota lent to another entry VM.
    quota_lease_ms: int = 4000
    #: Time over which an organisation's demand is averaged.
    demand_ms: int = 5000
    #: Spare quota kept above the demand.
    demand_headroom: float = 1.25
    #: Most organisations named in one report.
    reported_organisations: int = 256
    min_retry_after_ms: int = 100
    max_retry_after_ms: int = 60_000
    #: Random part added to the time after which to come back.
    retry_jitter_share: float = 0.2
