"""HTTP/1.1 messages, header fields and their encoding."""

import enum
from typing import NamedTuple

#: Header fields that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
#: Header fields of message framing, which the sender of each hop sets itself.
FRAMING_HEADERS = frozenset((b"content-length", b"expect"))

#: Largest head of a response with the interim responses before it, largest
#: chunk line and largest trailer section.  Servers send some kilobytes.
MAX_FRAMING_BYTES = 65_536

Headers = list[tuple[bytes, bytes]]


class Request(NamedTuple):
    """A request with its complete body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    #: Monotonic time at which the last byte was received, in seconds.
    received_s: float


class BodyFraming(enum.Enum):
    """What marks the end of a response body (RFC 9112, section 6.3)."""

    NO_BODY = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    #: The server closes the connection after the last byte.
    CONNECTION_CLOSE = "close"


class ResponseHead(NamedTuple):
    """Status and header fields of a response."""

    status: int
    reason: bytes
    headers: Headers
    #: Length of the body in bytes; None if the body is chunked or ends when
    #: the connection closes.
    length: int | None
    framing: BodyFraming


def find_header(headers, name):
    """Return the first value of a header field.

    :param headers: pairs of name and value.
    :param name: the name, in lower case.
    :returns: the value, or ``None``.

    >>> find_header([(b"Host", b"a")], b"host")
    b'a'
    """
    for key, value in headers:
        if len(key) == len(name) and key.lower() == name:
            return value
    return None


def find_body_framing(status, headers, is_head=False):
    """Return what marks the end of a response body.

    :param status: status code.
    :param headers: pairs of name and value.
    :param is_head: whether it is the response to a ``HEAD`` request.
    :returns: :class:`BodyFraming`.

    >>> find_body_framing(200, [(b"Server", b"a")])
    <BodyFraming.CONNECTION_CLOSE: 'close'>
    """
    if status in (204, 304) or is_head:
        return BodyFraming.NO_BODY
    if find_header(headers, b"transfer-encoding") is not None:
        return BodyFraming.CHUNKED
    if find_header(headers, b"content-length") is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION_CLOSE


def count_header_bytes(headers):
    """Return the size of the lines of header fields in bytes.

    :param headers: pairs of name and value.

    >>> count_header_bytes([(b"A", b"b")])
    6
    """
    return sum(len(name) + len(value) + 4 for name, value in headers)


def exclude_headers(headers, names):
    """Return the header fields whose names are not excluded.

    :param headers: pairs of name and value.
    :param names: names to exclude, in lower case.
    """
    return [pair for pair in headers if pair[0].lower() not in names]


def strip_hop_by_hop_headers(headers):
    """Return the end-to-end header fields without those of framing.

    :param headers: pairs of name and value.

    >>> headers = [(b"Connection", b"x-a"), (b"X-A", b"1"), (b"B", b"2")]
    >>> strip_hop_by_hop_headers(headers)
    [(b'B', b'2')]
    """
    excluded = HOP_BY_HOP_HEADERS | FRAMING_HEADERS
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options = {
                part.strip().lower() for part in value.split(b",")
            }
            excluded = excluded | connection_options
    return exclude_headers(headers, excluded)


def encode_head(first_line, headers):
    """Encode the head of a message.

    :param first_line: request line or status line.
    :param headers: pairs of name and value.
    """
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_request(method, target, headers, body):
    """Encode a request with its body.

    :param method: request method.
    :param target: path and query.
    :param headers: end-to-end header fields.
    :param body: the complete body.
    """
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        length = (b"Content-Length", str(len(body)).encode())
        headers = [*headers, length]
    first_line = b"%s %s HTTP/1.1" % (method, target)
    return encode_head(first_line, headers) + body
