"""Log events of HTTP/1.1 connections."""

import logbook

from buckthorntack import events

LISTENING = events.declare(
    1900,
    "http1_listening",
    logbook.INFO,
    "The process takes HTTP connections at this address.",
)
CONNECT_FAILED = events.declare(
    1901,
    "connect_failed",
    logbook.NOTICE,
    "No connection to a server could be made; nothing was sent.",
    "look whether the server runs and can be reached",
)
ANSWER_BROKEN = events.declare(
    1902,
    "answer_broken",
    logbook.NOTICE,
    "The connection to a server ended before its answer was whole.",
    "look for a crash of the server",
)
FOREIGN_ANSWER = events.declare(
    1903,
    "foreign_answer",
    logbook.WARNING,
    "A server sent bytes that are no answer to the request at hand.",
    "look for a fault of the server",
)
REQUEST_MALFORMED = events.declare(
    1904,
    "request_malformed",
    logbook.NOTICE,
    "A request could not be read and was refused.",
    "look at the client's HTTP library",
)
HANDLER_FAILED = events.declare(
    1905,
    "handler_failed",
    logbook.ERROR,
    "The handler of a request failed; its connection was closed.",
    "report the error",
)
