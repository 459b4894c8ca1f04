"""Typed errors, each with a number, a run state and a remedy.

Decisions return errors inside ``expression.Result``; shells may raise them.
Each subject package derives its own kinds in its ``_errors`` module.
"""

import enum
from typing import ClassVar


class RunState(enum.StrEnum):
    """What is known of whether a request ran on a backend server."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class GatewayError(Exception):
    """Base of all typed errors.

    :param detail: what happened, naming the objects concerned.
    :param retry_after_ms: when to come back, where it helps.

    >>> error = GatewayError("queue of pitchwriter is full")
    >>> str(error)
    'queue of pitchwriter is full; remedy: see the event catalogue'
    """

    #: Number of the event that is logged with this error.
    number: ClassVar[int] = 1
    #: HTTP status told to callers.
    status: ClassVar[int] = 500
    #: Machine-readable kind, told to callers as the error's type.
    kind: ClassVar[str] = "internal_error"
    #: What the reader can do about it.
    remedy: ClassVar[str] = "see the event catalogue"
    #: Whether the request may have run.
    run_state: ClassVar[RunState] = RunState.NOT_RUN

    def __init__(self, detail="", retry_after_ms=None):
        super().__init__(detail)
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    def __str__(self):
        return f"{self.detail}; remedy: {self.remedy}"
