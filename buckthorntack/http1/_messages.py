"""Heads of HTTP/1.1 messages."""

from typing import NamedTuple

#: Fields that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
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
#: Fields that frame a message; the sender of each hop writes its own.
FRAMING = frozenset((b"content-length", b"expect"))

Headers = list[tuple[bytes, bytes]]


class Request(NamedTuple):
    """A request, read whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    #: Monotonic time at which its last byte was read.
    received_s: float


class AnswerHead(NamedTuple):
    """Status and header fields of an answer."""

    status: int
    reason: bytes
    headers: Headers
    #: Length of the body; None if it is chunked or ends with the connection.
    length: int | None


def find_header(headers, name):
    """First value of a header field.

    :param headers: pairs of name and value.
    :param name: the name, in lower case.
    :returns: the value, or None.

    >>> find_header([(b"Host", b"a")], b"host")
    b'a'
    """
    for key, value in headers:
        if len(key) == len(name) and key.lower() == name:
            return value
    return None


def without(headers, names):
    """Header fields but for some.

    :param headers: pairs of name and value.
    :param names: names to leave out, in lower case.
    """
    return [pair for pair in headers if pair[0].lower() not in names]


def end_to_end(headers):
    """Header fields that are meant for the other end.

    :param headers: pairs of name and value.

    >>> end_to_end([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"B", b"2")])
    [(b'B', b'2')]
    """
    dropped = HOP_BY_HOP | FRAMING
    for name, value in headers:
        if name.lower() == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | named
    return without(headers, dropped)


def encode_head(first_line, headers):
    """Bytes of a head.

    :param first_line: request or status line.
    :param headers: pairs of name and value.
    """
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_request(method, target, headers, body):
    """Bytes of a request with its body.

    :param method: the method.
    :param target: path and query.
    :param headers: end-to-end fields.
    :param body: the whole body.
    """
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        length = (b"Content-Length", str(len(body)).encode())
        headers = [*headers, length]
    first_line = b"%s %s HTTP/1.1" % (method, target)
    return encode_head(first_line, headers) + body
