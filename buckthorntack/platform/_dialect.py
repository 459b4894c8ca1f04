"""Formats of requests and responses on the platform."""

import math

from expression import Error
from expression import Ok

from buckthorntack import discovery
from buckthorntack import dispatch
from buckthorntack import errors
from buckthorntack import gateway
from buckthorntack import http1
from buckthorntack.platform import _announcements
from buckthorntack.platform import _configuration
from buckthorntack.platform import _headers

#: Larger counts of tokens are no counts.
MAX_TOKENS = 10**8
OK = 200
MISDIRECTED = 421
UNAVAILABLE = 503


class UnreadableRequestError(errors.GatewayError):
    """A request lacks what every request has."""

    number = 2300
    status = 400
    kind = "unreadable_request"
    remedy = "send Host and the request's id"


class PlatformDialect:
    """The platform's formats; a ``gateway.Dialect``."""

    request_id_header = _headers.REQUEST_ID
    state_path = b"/report"

    def parse_request(self, request):
        """Parse the head of a request.

        :param request: ``http1.Request``.
        :returns: ``Result`` of ``gateway.RequestMetadata``.
        """
        fields = {name.lower(): value for name, value in request.headers}
        host = fields.get(b"host")
        request_id = fields.get(_headers.REQUEST_ID)
        if not host or not request_id:
            missing = "Host" if not host else "a request id"
            return Error(UnreadableRequestError(f"{missing} is missing"))
        path = request.target.partition(b"?")[0]
        metadata = gateway.RequestMetadata(
            host=host.decode("latin-1"),
            path=path.decode("latin-1"),
            request_id=request_id,
            timeout_ms=_number(fields.get(_headers.DEADLINE)),
            prompt=_prompt(fields),
            last_event_id=_event(fields.get(_headers.LAST_EVENT_ID)),
            resumed_request_id=fields.get(_headers.RESUMES, b""),
            api_key=_api_key(fields.get(_headers.AUTHORIZATION)),
        )
        return Ok(metadata)

    def parse_response(self, head):
        """Parse the head of a server's response.

        :param head: ``http1.ResponseHead``.
        :returns: ``gateway.ResponseMetadata``.
        """
        fields = {name.lower(): value for name, value in head.headers}
        return gateway.ResponseMetadata(
            not_run=_headers.NOT_EXECUTED in fields
            or head.status == MISDIRECTED,
            is_other_server=head.status == MISDIRECTED,
            is_leaving=fields.get(_headers.SERVER_LEAVING) == b"1",
            pause_s=_pause_s(head.status, fields.get(_headers.RETRY_AFTER)),
            limit=_limit(fields.get(_headers.SERVER_LIMIT)),
            brittleness=_limit(fields.get(_headers.SERVER_BRITTLE)),
        )

    def build_server_headers(
        self,
        request,
        server_id,
        timeout_ms,
        last_event_id,
        fetch_from,
        caller,
    ):
        """Return the headers of a request to a server.

        :param request: ``http1.Request`` of the client.
        :param server_id: id of the intended server.
        :param timeout_ms: time left for the response.
        :param last_event_id: id of the stream event to continue after; None
            to start from the first event.
        :param fetch_from: address of a server to copy cached prompt parts
            from; empty for none.
        :param caller: ``gateway.Caller``; None if callers need no keys.
        """
        headers = self.build_forward_headers(
            request, timeout_ms, last_event_id, caller
        )
        if caller is not None and caller.organisation is not None:
            name = caller.organisation.name.encode()
            headers.append((_headers.TENANT, name))
        headers.append((_headers.EXPECT_INSTANCE, server_id.encode()))
        if fetch_from:
            headers.append((_headers.FETCH, fetch_from.encode()))
        return headers

    def build_health_headers(self, address, timeout_ms):
        """Return the headers of a request to the health path of a server.

        :param address: IP address and port of the server.
        :param timeout_ms: time left for the response.
        """
        return [
            (b"Host", address.encode()),
            (_headers.DEADLINE, str(int(timeout_ms)).encode()),
        ]

    def parse_health(self, head, server_id):
        """Parse the head of the response of a server's health path.

        :param head: ``http1.ResponseHead``.
        :param server_id: id of the server that was asked.
        """
        fields = {name.lower(): value for name, value in head.headers}
        if fields.get(_headers.INSTANCE_ID) != server_id.encode():
            return None
        if head.status == OK and _headers.WARMUP_MS not in fields:
            # Only servers that are cold send it.
            return 0.0
        try:
            warmup_ms = float(fields.get(_headers.WARMUP_MS, b""))
        except ValueError:
            return None
        if not 0 <= warmup_ms <= discovery.MAX_REMAINING_MS:
            return None
        return warmup_ms / 1e3

    def parse_start(self, body):
        """Parse the start of a server from the answer at ``state_path``.

        :param body: the body.
        """
        return _announcements.read_start(body)

    def build_forward_headers(
        self, request, timeout_ms, last_event_id, caller
    ):
        """Return the headers of a request to another entry VM.

        :param request: ``http1.Request`` of the client.
        :param timeout_ms: time left for the response.
        :param last_event_id: id of the stream event to continue after; None
            to start from the first event.
        :param caller: ``gateway.Caller``; None if callers need no keys.
        """
        dropped = _headers.SYSTEM_SET
        if caller is not None:
            dropped = dropped | {_headers.AUTHORIZATION}
        if last_event_id is not None:
            dropped = dropped | {_headers.LAST_EVENT_ID}
        headers = http1.exclude_headers(
            http1.strip_hop_by_hop_headers(request.headers), dropped
        )
        headers.append((_headers.DEADLINE, str(int(timeout_ms)).encode()))
        if last_event_id is not None:
            headers.append(
                (_headers.LAST_EVENT_ID, str(last_event_id).encode())
            )
        return headers

    def build_local_headers(self, request_id, retry_after_ms):
        """Return the headers of a response that the gateway creates itself.

        :param request_id: id of the request; empty if unknown.
        :param retry_after_ms: delay before a retry; None to give none.
        """
        headers = [(b"Content-Type", b"text/plain")]
        if request_id:
            headers.append((_headers.REQUEST_ID, request_id))
        if retry_after_ms is not None:
            seconds = f"{retry_after_ms / 1e3:.3f}".encode()
            headers.append((_headers.RETRY_AFTER, seconds))
        return headers

    def parse_configuration(self, content):
        """Parse and validate a configuration.

        :param content: the serialized configuration.
        :returns: ``Result`` of a ``directives.Configuration``.
        """
        return _configuration.parse_configuration(content)


def _number(value):
    """A count of milliseconds; None if there is none that can be read."""
    try:
        return max(0.0, float(value)) if value else None
    except ValueError:
        return None


def _pause_s(status, value):
    """A pause in seconds; None if the response asks for none."""
    if status != UNAVAILABLE or value is None:
        return None
    try:
        pause_s = float(value)
    except ValueError:
        return None
    return pause_s if math.isfinite(pause_s) and pause_s > 0 else None


def _limit(value):
    """What a response says of a limit of its server.

    A value that is no rate says nothing: neither that there is a limit nor
    that there is none.
    """
    if value is None:
        return gateway.NO_LIMIT
    try:
        per_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(per_s) or per_s < 0:
        return None
    return gateway.StatedRate(per_s)


def _api_key(value):
    """The key that a request presents; None without one."""
    scheme, _, key = (value or b"").strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != _headers.KEY_SCHEME or not key:
        return None
    return key.decode("latin-1")


def _event(value):
    try:
        return int(value) if value else None
    except ValueError:
        return None


def _prompt(fields):
    """The prompt of a generation; None if the request is none."""
    counts = fields.get(_headers.TOKEN_COUNT)
    if counts is None:
        return None
    parts = _parts(fields.get(_headers.PROMPT_PREFIX, b""))
    try:
        tokens, _, output = counts.partition(b",")
        return dispatch.Prompt(parts, _count(tokens), _count(output or b"0"))
    except ValueError:
        return None


def _count(value):
    """A count of tokens.

    :raises ValueError: the value is none.
    """
    digits = value.strip()
    if not digits.isdigit() or int(digits) > MAX_TOKENS:
        raise ValueError("no count of tokens")
    return int(digits)


def _parts(value):
    """The parts of a prompt; none if one of them cannot be read."""
    parts = []
    for item in filter(None, map(bytes.strip, value.split(b","))):
        part_id, _, tokens = item.rpartition(b":")
        try:
            count = _count(tokens)
        except ValueError:
            return ()
        parts.append(dispatch.Part(part_id.decode("latin-1"), count))
    return tuple(parts)
