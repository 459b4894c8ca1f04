"""Requests and answers as callers and servers of the platform send them."""

from expression import Error
from expression import Ok

from buckthorntack import dispatch
from buckthorntack import errors
from buckthorntack import gateway
from buckthorntack import http1
from buckthorntack.platform import _configuration
from buckthorntack.platform import _headers

MISDIRECTED = 421


class UnreadableRequestError(errors.GatewayError):
    """A request lacks what every request has."""

    number = 2300
    status = 400
    kind = "unreadable_request"
    remedy = "send Host and the request's id"


class PlatformDialect:
    """The platform's formats; a ``gateway.Dialect``."""

    id_name = _headers.REQUEST_ID

    def read_request(self, request):
        """Read the head of a request.

        :param request: ``http1.Request``.
        :returns: ``Result`` of ``gateway.RequestFacts``.
        """
        fields = {name.lower(): value for name, value in request.headers}
        host = fields.get(b"host")
        request_id = fields.get(_headers.REQUEST_ID)
        if not host or not request_id:
            missing = "Host" if not host else "a request id"
            return Error(UnreadableRequestError(f"{missing} is missing"))
        path = request.target.partition(b"?")[0]
        facts = gateway.RequestFacts(
            host=host.decode("latin-1"),
            path=path.decode("latin-1"),
            request_id=request_id,
            patience_ms=_number(fields.get(_headers.DEADLINE)),
            prompt=_prompt(fields),
            last_event=_event(fields.get(_headers.LAST_EVENT_ID)),
        )
        return Ok(facts)

    def read_answer(self, head):
        """Read the head of a server's answer.

        :param head: ``http1.AnswerHead``.
        :returns: ``gateway.AnswerFacts``.
        """
        fields = {name.lower(): value for name, value in head.headers}
        return gateway.AnswerFacts(
            not_run=_headers.NOT_EXECUTED in fields
            or head.status == MISDIRECTED,
            is_other_server=head.status == MISDIRECTED,
        )

    def server_headers(self, request, server_id, left_ms, after, fetch_from):
        """Header fields of a request as it goes to a server.

        :param request: ``http1.Request`` of the client.
        :param server_id: server that it is meant for.
        :param left_ms: how long an answer is waited for.
        :param after: last event that is not to be sent again, or None.
        :param fetch_from: address of a server to copy parts of the prompt
            from; empty for none.
        """
        headers = self.forward_headers(request, left_ms, after)
        headers.append((_headers.EXPECT_INSTANCE, server_id.encode()))
        if fetch_from:
            headers.append((_headers.FETCH, fetch_from.encode()))
        return headers

    def forward_headers(self, request, left_ms, after):
        """Header fields of a request as it goes to another entry VM.

        :param request: ``http1.Request`` of the client.
        :param left_ms: how long an answer is waited for.
        :param after: last event that is not to be sent again, or None.
        """
        dropped = _headers.SYSTEM_SET
        if after is not None:
            dropped = dropped | {_headers.LAST_EVENT_ID}
        headers = http1.without(http1.end_to_end(request.headers), dropped)
        headers.append((_headers.DEADLINE, str(int(left_ms)).encode()))
        if after is not None:
            headers.append((_headers.LAST_EVENT_ID, str(after).encode()))
        return headers

    def own_headers(self, request_id, retry_after_ms):
        """Header fields of an answer of ours.

        :param request_id: id of the request; empty if it has none.
        :param retry_after_ms: when to come back; None if not said.
        """
        headers = [(b"Content-Type", b"text/plain")]
        if request_id:
            headers.append((_headers.REQUEST_ID, request_id))
        if retry_after_ms is not None:
            seconds = f"{retry_after_ms / 1e3:.3f}".encode()
            headers.append((_headers.RETRY_AFTER, seconds))
        return headers

    def read_configuration(self, content):
        """Read and check a configuration.

        :param content: its bytes.
        :returns: ``Result`` of a ``directives.Configuration``.
        """
        return _configuration.read_configuration(content)


def _number(value):
    """A count of milliseconds; None if there is none that can be read."""
    try:
        return max(0.0, float(value)) if value else None
    except ValueError:
        return None


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
    try:
        tokens, _, output = counts.partition(b",")
        parts = tuple(_parts(fields.get(_headers.PROMPT_PREFIX, b"")))
        return dispatch.Prompt(parts, int(tokens), int(output or 0))
    except ValueError:
        return None


def _parts(value):
    for item in value.split(b","):
        if item.strip():
            part_id, _, tokens = item.strip().rpartition(b":")
            yield dispatch.Part(part_id.decode("latin-1"), int(tokens))
