"""How an attempt at a server ended, as far as it tells about the server."""

import enum


class Outcome(enum.StrEnum):
    """How an attempt ended."""

    #: A whole answer that is no failure of the server.
    OK = "ok"
    #: The server had no room; the request did not run.
    FULL = "full"
    #: An answer with a failure of the server.
    ERROR = "error"
    #: No connection, a broken answer or none in time.
    LOST = "lost"
    #: The client left, or its time was over.
    ABANDONED = "abandoned"
