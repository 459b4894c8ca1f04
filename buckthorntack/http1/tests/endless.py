"""Bytes without end, as faulty servers and callers send them."""

import asyncio
import contextlib

from buckthorntack import transport

CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
)
OTHER_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\n"
#: What begins a response, and what follows it again and again.  None of it
#: can be part of a valid response to request 7.
RESPONSES = {
    "empty-lines": (b"", b"\r\n"),
    "status-line": (b"HTTP/1.1 200 ", b"a"),
    "many-headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "header-name": (b"HTTP/1.1 200 OK\r\n", b"a"),
    "header-value": (b"HTTP/1.1 200 OK\r\nX-A: ", b"b"),
    "interim-responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "other-responses": (b"", OTHER_HEAD + b"Content-Length: 1\r\n\r\na"),
    "other-body-length": (
        OTHER_HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"a",
    ),
    "other-body-chunked": (
        OTHER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\na\r\n",
    ),
    "other-body-close": (OTHER_HEAD + b"\r\n", b"a"),
    "chunk-size": (CHUNKED_HEAD + b"1\r\na\r\n", b"0"),
    "chunk-extension": (CHUNKED_HEAD + b"1;x=", b"y"),
    "later-chunk-extension": (CHUNKED_HEAD + b"1\r\na\r\n1;x=", b"y"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-A: b\r\n"),
    "trailer-value": (CHUNKED_HEAD + b"0\r\nX-A: ", b"b"),
}
REQUEST_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)
REQUESTS = {
    "empty-lines": (b"", b"\r\n"),
    "target": (b"GET /", b"a"),
    "many-headers": (b"GET / HTTP/1.1\r\n", b"X-A: b\r\n"),
    "header-value": (b"GET / HTTP/1.1\r\nX-A: ", b"b"),
    "chunk-size": (REQUEST_HEAD + b"1\r\na\r\n", b"0"),
    "chunk-extension": (REQUEST_HEAD + b"1;x=", b"y"),
    "later-chunk-extension": (REQUEST_HEAD + b"1\r\na\r\n1;x=", b"y"),
    "trailers": (REQUEST_HEAD + b"0\r\n", b"X-A: b\r\n"),
    "trailer-value": (REQUEST_HEAD + b"0\r\nX-A: ", b"b"),
}
#: Sizes of the reads in which the bytes arrive.
READ_SIZES_BYTES = (97, 65_536)
#: More than any limit allows.
MAX_FED_BYTES = 6 * 1024 * 1024
#: Bytes after which a server falls silent, so that a client without limits
#: does not fill the memory.
MAX_SERVED_BYTES = 64 * 1024 * 1024


class FakeTransport:
    """Transport that records what its protocol does with it."""

    def __init__(self):
        self.is_closed = False
        self.is_paused = False
        self.sent = b""
        #: Size of the largest read, as asyncio's transports have it.
        self.max_size = 262_144

    def write(self, data):
        """Record sent bytes."""
        self.sent += data

    def get_extra_info(self, name):
        """Return the address of a client; there is no socket."""
        return ("127.0.0.1", 1) if name == "peername" else None

    def is_closing(self):
        """Whether it was closed."""
        return self.is_closed

    def close(self):
        """Close the connection."""
        self.is_closed = True

    abort = close

    def pause_reading(self):
        """Stop the peer."""
        self.is_paused = True

    def resume_reading(self):
        """Let the peer go on."""
        self.is_paused = False


def pieces(first, repeated, read_size_bytes):
    """Yield the reads of bytes without end, up to ``MAX_FED_BYTES``.

    :param first: what they begin with.
    :param repeated: what follows again and again.
    :param read_size_bytes: size of a read.
    """
    yield first
    block = repeated * (read_size_bytes // len(repeated) + 1)
    position = fed_bytes = 0
    while fed_bytes < MAX_FED_BYTES:
        piece = (block * 2)[position : position + read_size_bytes]
        position = (position + read_size_bytes) % len(repeated)
        fed_bytes += len(piece)
        yield piece


def feed_until_closed(protocol, fake, parts):
    """Feed a protocol until it closes or pauses; return the bytes it took.

    :param protocol: the protocol.
    :param fake: its :class:`FakeTransport`.
    :param parts: the reads.
    """
    fed_bytes = 0
    for part in parts:
        protocol.data_received(part)
        fed_bytes += len(part)
        if fake.is_closed or fake.is_paused:
            break
    return fed_bytes


class EndlessServer:
    """Server that answers each request with bytes without end.

    :param first: what they begin with.
    :param repeated: what follows until the connection closes.
    """

    def __init__(self, first, repeated):
        self.first = first
        self.block = repeated * (65_536 // len(repeated) + 1)
        self.address = ""
        self.connections = 0
        #: Connections that the client has closed.
        self.closed = 0
        self._server = None

    async def __aenter__(self):
        sock = transport.bind_listener("127.0.0.1:0")
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self._server = await asyncio.start_server(self._serve, sock=sock)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.first)
        with contextlib.suppress(ConnectionError):
            for _ in range(MAX_SERVED_BYTES // len(self.block)):
                writer.write(self.block)
                await writer.drain()
            await reader.read()
        self.closed += 1
        writer.close()
