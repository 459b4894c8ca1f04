"""Results of attempts to get a response for a request."""

from typing import NamedTuple

from buckthorntack import http1
from buckthorntack.dispatch import Outcome


class Completed(NamedTuple):
    """The client got its final response."""


class NotSent(NamedTuple):
    """The request was not sent."""

    reason: str


class OutOfDate(NamedTuple):
    """The request was not sent, as no record of a server can be relied on."""

    reason: str


class NotRun(NamedTuple):
    """The request was sent but not run."""

    reason: str
    retry_after_ms: float | None = None


class Unknown(NamedTuple):
    """The request may have run."""

    reason: str


class Failed(NamedTuple):
    """A complete response with a server error status."""

    head: http1.ResponseHead
    body: bytes


class Started(NamedTuple):
    """A response has begun; the rest is still to be read."""

    head: http1.ResponseHead
    #: First data of a stream; empty for any other response.
    first_data: bytes


def classify_outcome(result, status):
    """Return what a result shows about its server.

    :param result: the result of an attempt.
    :param status: status of the response that the client got; 0 for none.
    :returns: the ``Outcome``.
    """
    if isinstance(result, NotRun):
        return Outcome.FULL
    if isinstance(result, Failed) or status >= 500:
        return Outcome.ERROR
    if isinstance(result, Unknown):
        return Outcome.LOST
    return Outcome.OK
