"""Verdicts of the state machine of a home on an operation."""

from typing import NamedTuple

from buckthorntack import errors
from buckthorntack.schema import messages


class Granted(NamedTuple):
    """The attempt holds the claim and may run."""

    attempt_id: str


class Released(NamedTuple):
    """The attempt was released before; it must not run."""

    attempt_id: str


class InProgress(NamedTuple):
    """Another attempt holds the claim."""

    attempt_id: str
    holder: str


class Replay(NamedTuple):
    """The request ran before; includes the response if it is stored."""

    attempt_id: str
    status: int
    headers: list[messages.LedgerHeader]
    body: bytes
    answer_stored: bool


class Unknown(NamedTuple):
    """It is unknown whether the attempt ran."""

    attempt_id: str


class Resolve(NamedTuple):
    """The holder is lost: ask the backend server for the outcome."""

    attempt_id: str


class Settled(NamedTuple):
    """The home recorded an outcome, or ignored it as outdated."""

    attempt_id: str


class Refused(NamedTuple):
    """The operation was refused."""

    error: errors.GatewayError
