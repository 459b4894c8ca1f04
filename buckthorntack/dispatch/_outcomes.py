"""Outcomes of attempts, classified by what they show about the server."""

import enum


class Outcome(enum.StrEnum):
    """Outcome of an attempt at a server."""

    #: A complete answer that is not a failure of the server.
    OK = "ok"
    #: The server had no free slot; the request did not run.
    FULL = "full"
    #: An answer that reports a failure of the server.
    ERROR = "error"
    #: Broken connection, broken answer or timeout.
    LOST = "lost"
    #: No connection could be opened, so nothing was sent.
    UNREACHABLE = "unreachable"
    #: The client disconnected or its deadline passed.
    ABANDONED = "abandoned"
