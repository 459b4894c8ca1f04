"""Origin of a stream in a request's life: headers, waiting, service."""

import datetime
import urllib.parse

from buckthorntack import http1
from buckthorntack import resumption

#: Headers with the origin of a stream, in requests between entry VMs and
#: their responses.
SERVICE_HEADER = b"x-gateway-origin-service"
VERSION_HEADER = b"x-gateway-origin-version"
#: The same of the server that began it, and its incarnation, in responses.
SERVER_HEADER = b"x-gateway-origin-server"
BORN_HEADER = b"x-gateway-origin-born"
#: Time without an event after which callers abandon a stream: the longest of
#: these, the last two as multiples of the objectives of the route.
MIN_CALLER_PATIENCE = datetime.timedelta(seconds=2)
CALLER_PATIENCE_OBJECTIVES = 4
CALLER_PATIENCE_PAUSES = 8
#: Time reserved for a response to reach the caller.
PATIENCE_MARGIN = datetime.timedelta(milliseconds=200)
#: Delay between two choices of a server for a stream that waits for one.
RETRY_DELAY = datetime.timedelta(milliseconds=100)


def write_headers(origin):
    """Return the headers that tell an entry VM the origin of a stream.

    :param origin: ``resumption.StreamOrigin``; None if it is not known.
    :returns: list of name and value pairs.

    >>> write_headers(resumption.StreamOrigin("text", "v 1"))[1]
    (b'x-gateway-origin-version', b'v%201')
    """
    if origin is None:
        return []
    return [
        (SERVICE_HEADER, _quote(origin.service)),
        (VERSION_HEADER, _quote(origin.software_version)),
    ]


def read_headers(headers):
    """Return the origin that another entry VM tells; None if it tells none.

    :param headers: list of name and value pairs.
    """
    service = http1.find_header(headers, SERVICE_HEADER)
    version = http1.find_header(headers, VERSION_HEADER)
    if service is None or version is None:
        return None
    return resumption.StreamOrigin(_unquote(service), _unquote(version))


def write_server(began_at):
    """Return the headers that tell an entry VM which server began a stream.

    :param began_at: pair of server id and incarnation; empty if not known.
    :returns: list of name and value pairs.
    """
    if not began_at:
        return []
    server_id, born_ms = began_at
    return [
        (SERVER_HEADER, _quote(server_id)),
        (BORN_HEADER, str(born_ms).encode()),
    ]


def read_server(headers):
    """Return the server that another entry VM tells; empty if it tells none.

    :param headers: list of name and value pairs.

    >>> read_server(write_server(("s 1", 5)))
    ('s 1', 5)
    """
    server_id = http1.find_header(headers, SERVER_HEADER)
    born_ms = http1.find_header(headers, BORN_HEADER)
    if server_id is None or born_ms is None or not born_ms.isdigit():
        return ()
    return (_unquote(server_id), int(born_ms))


def find_service(route, services, origin):
    """Return the service that continues a stream of a route.

    :param route: the ``directives.Route``.
    :param services: ``directives.Service`` by name.
    :param origin: ``resumption.StreamOrigin`` of the stream.
    :returns: the service; None if it no longer serves the route.
    """
    names = {split.service for split in route.splits if split.weight > 0}
    return services.get(origin.service) if origin.service in names else None


def compute_patience_s(route):
    """Time without an event for which a caller waits, less a margin.

    :param route: the ``directives.Route``.
    """
    pause = route.pause_objective or datetime.timedelta()
    patience = max(
        MIN_CALLER_PATIENCE,
        route.objective * CALLER_PATIENCE_OBJECTIVES,
        pause * CALLER_PATIENCE_PAUSES,
    )
    return (patience - PATIENCE_MARGIN).total_seconds()


def _quote(text):
    return urllib.parse.quote(text, safe="").encode()


def _unquote(value):
    return urllib.parse.unquote(value.decode("latin-1"))
