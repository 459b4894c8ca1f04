"""Log events of HTTP/1.1 connections."""

import logbook

from buckthorntack import events

LISTENING = events.declare(
    1900,
    "http1_listening",
    logbook.INFO,
    "The process accepts HTTP connections at this address.",
)
CONNECT_FAILED = events.declare(
    1901,
    "connect_failed",
    logbook.NOTICE,
    "The connection attempt to a server failed; nothing was sent.",
    "check that the server runs and is reachable",
)
ANSWER_BROKEN = events.declare(
    1902,
    "answer_broken",
    logbook.NOTICE,
    "The connection to a server closed before its response was complete.",
    "check whether the server crashed",
)
FOREIGN_ANSWER = events.declare(
    1903,
    "foreign_answer",
    logbook.WARNING,
    "A server sent bytes that are no response to the current request.",
    "check the server for an HTTP protocol fault",
)
REQUEST_MALFORMED = events.declare(
    1904,
    "request_malformed",
    logbook.NOTICE,
    "A request could not be parsed and was rejected.",
    "check the client's HTTP library",
)
HANDLER_FAILED = events.declare(
    1905,
    "handler_failed",
    logbook.ERROR,
    "The handler of a request failed; its connection was closed.",
    "report the error",
)
MEMORY_SHORT = events.declare(
    1906,
    "memory_short",
    logbook.WARNING,
    "Little memory is left for what is held for callers and servers; the"
    " biggest holders wait and large bodies are refused.",
    "check for callers that read slowly, or give the VM more memory",
)
REQUEST_UNANSWERED = events.declare(
    1907,
    "request_unanswered",
    logbook.NOTICE,
    "A connection ended before the response to a request that was read whole"
    " was complete; the reason tells which side ended it.",
    "look for the same request in request_ended and attempt_failed",
)
BYTES_UNREAD = events.declare(
    1908,
    "bytes_unread",
    logbook.NOTICE,
    "An idle connection was closed while bytes of its client had arrived; a"
    " request in them got no response.",
    "check whether the process was held up, or clients reuse connections"
    " for longer than the idle timeout",
)
ACCEPT_FAILED = events.declare(
    1909,
    "accept_failed",
    logbook.WARNING,
    "A listener that stops could not accept the connections that waited;"
    " their clients are reset.",
    "check whether the process has file descriptors left",
)
RESPONSE_UNDELIVERED = events.declare(
    1910,
    "response_undelivered",
    logbook.NOTICE,
    "A connection was closed before its client had taken all of a complete"
    " response; the size is what was left.",
    "check for clients that read slowly beside a stop",
)
READING_FAILED = events.declare(
    1911,
    "reading_failed",
    logbook.ERROR,
    "A fault of the gateway kept a request from being read; it was not run.",
    "report the error",
)
