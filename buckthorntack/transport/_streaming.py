"""An httpx transport for responses that are streamed in many small parts.

The parts are parsed by ``httptools``, the parser that uvicorn uses.  A read
returns all parts that were received since the last read.
"""

import asyncio
import collections
import ssl

import httptools
import httpx

from buckthorntack import http1

#: Buffered body bytes above which reading from the socket pauses.
MAX_BUFFERED_BYTES = 262_144
#: Idle connections kept for each origin.
MAX_IDLE_CONNECTIONS = 64
#: Shorter than the idle timeout of servers, so that no connection is reused
#: at the moment its server closes it.
MAX_IDLE_SECONDS = 2.0
#: Responses with a lower status are interim.
FIRST_FINAL_STATUS = 200
DEFAULT_PORTS = {"http": 80, "https": 443}


class _Connection(asyncio.Protocol):
    """One connection, and the response that is read from it."""

    def __init__(self):
        self.transport = None
        self.parser = None
        self.status = 0
        self.headers = []
        self.head = None
        self.parts = collections.deque()
        self.buffered_bytes = 0
        self.is_complete = False
        self.is_reusable = False
        self.ends_at_close = False
        #: Bytes received since the last byte of the body.
        self.framing_bytes = 0
        self.is_reading_head = True
        self.failure = None
        self.idle_since_s = 0.0
        self._waiter = None
        self._paused = False

    def start_response(self):
        """Reset the parser state for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.head = asyncio.get_running_loop().create_future()
        self.parts.clear()
        self.is_complete = False
        self.is_reusable = False
        self.ends_at_close = False
        self.framing_bytes = 0

    def connection_made(self, transport):
        """Store the transport.

        :param transport: asyncio transport.
        """
        self.transport = transport

    def data_received(self, data):
        """Parse received bytes.

        :param data: the bytes.
        """
        if self.parser is None or self.is_complete or self.failure:
            # No response is pending, so these bytes belong to no request.
            self.is_reusable = False
            self.transport.abort()
            return
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._reject(f"malformed response: {error}")
            return
        is_too_large = self.framing_bytes > http1.MAX_FRAMING_BYTES
        if is_too_large and not self.is_complete:
            self._reject("a head, chunk line or trailer section is too large")
            return
        self._wake()
        if self.buffered_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def _reject(self, detail):
        """Close the connection, as its server sent no valid response."""
        self.is_reusable = False
        self._fail(httpx.RemoteProtocolError(detail))
        self.transport.abort()

    def eof_received(self):
        """End a body without framing, and close the transport."""
        if self.ends_at_close and self.failure is None:
            self.is_complete = True
            self._wake()
        return False

    def connection_lost(self, exc):
        """Fail the response unless it is complete.

        :param exc: the error that closed the connection, or ``None``.
        """
        if not self.is_complete:
            self._fail(httpx.ReadError(f"connection lost: {exc}"))

    def _fail(self, failure):
        if self.failure is None:
            self.failure = failure
        if self.head is not None and not self.head.done():
            self.head.set_exception(failure)
            self.head.exception()
        self._wake()

    def on_message_begin(self):
        """Prepare for the head of a response or of an interim response."""
        if self.is_complete:
            self.is_reusable = False
            return
        self.headers = []
        self.is_reading_head = True

    def on_header(self, name, value):
        """Store a header of the response; trailers are ignored.

        :param name: header name.
        :param value: header value.
        """
        if self.is_reading_head and not self.is_complete:
            self.headers.append((name, value))

    def on_headers_complete(self):
        """Complete the future of the head, unless the response is interim."""
        if self.is_complete:
            return
        self.is_reading_head = False
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        if http1.count_header_bytes(self.headers) > http1.MAX_FRAMING_BYTES:
            self._reject("the head is too large")
            raise self.failure
        self.status = status
        framing = http1.find_body_framing(self.status, self.headers)
        self.ends_at_close = framing is http1.BodyFraming.CONNECTION_CLOSE
        if not self.head.done():
            self.head.set_result(None)

    def on_body(self, body):
        """Buffer a part of the body.

        :param body: bytes of the part.
        """
        if self.is_complete:
            return
        self.framing_bytes = 0
        self.parts.append(body)
        self.buffered_bytes += len(body)

    def on_message_complete(self):
        """Mark the response as complete, unless it is interim."""
        if self.is_complete:
            return
        if self.parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        self.is_complete = True
        self.is_reusable = self.parser.should_keep_alive()

    def _wake(self):
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read(self):
        """Return the body bytes received since the last call.

        :returns: bytes; empty at the end of the body.
        :raises httpx.TransportError: the response is malformed or cut short.
        """
        while not self.parts:
            if self.is_complete:
                return b""
            if self.failure is not None:
                raise self.failure
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        parts = self.parts
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        self.buffered_bytes = 0
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        return data


class _ResponseStream(httpx.AsyncByteStream):
    """Body of a response.

    :param connection: the connection.
    :param release: called with the connection when the body is closed.
    """

    def __init__(self, connection, release):
        self.connection = connection
        self.release = release

    async def __aiter__(self):
        read = self.connection.read
        while data := await read():
            yield data

    async def aclose(self):
        """Release the connection for reuse, or close it."""
        self.release(self.connection)


class StreamingTransport(httpx.AsyncBaseTransport):
    """httpx transport with a pool of connections to backend servers.

    :param keep_alive: whether connections are reused.
    """

    def __init__(self, keep_alive=True):
        self.keep_alive = keep_alive
        self._idle = collections.defaultdict(list)
        self._tls_context = None

    async def handle_async_request(self, request):
        """Send a request and wait for the head of its response.

        :param request: ``httpx.Request``.
        :returns: ``httpx.Response``.
        """
        body = await request.aread()
        connection = await self._connect(request)
        try:
            connection.start_response()
            connection.transport.write(_encode_head(request) + body)
            await connection.head
        except BaseException:
            connection.transport.abort()
            raise
        origin = _parse_origin(request)
        stream = _ResponseStream(
            connection, lambda used: self._release(origin, used)
        )
        return httpx.Response(
            connection.status, headers=connection.headers, stream=stream
        )

    async def _connect(self, request):
        origin = _parse_origin(request)
        idle = self._idle[origin]
        min_idle_since_s = asyncio.get_running_loop().time() - MAX_IDLE_SECONDS
        while idle:
            connection = idle.pop()
            is_open = not connection.transport.is_closing()
            if is_open and connection.idle_since_s >= min_idle_since_s:
                return connection
            connection.transport.abort()
        return await self._open(request, origin)

    async def _open(self, request, origin):
        scheme, host, port = origin
        connect_timeout_s = request.extensions.get("timeout", {}).get(
            "connect"
        )
        loop = asyncio.get_running_loop()
        context = self._get_tls_context() if scheme == "https" else None
        try:
            async with asyncio.timeout(connect_timeout_s):
                _, connection = await loop.create_connection(
                    _Connection, host, port, ssl=context
                )
        except TimeoutError as error:
            raise httpx.ConnectTimeout(str(origin)) from error
        except OSError as error:
            raise httpx.ConnectError(str(error)) from error
        return connection

    def _get_tls_context(self):
        if self._tls_context is None:
            self._tls_context = ssl.create_default_context()
        return self._tls_context

    def _release(self, origin, connection):
        idle = self._idle[origin]
        can_reuse = (
            connection.is_complete
            and connection.is_reusable
            and not connection.parts
        )
        has_room = len(idle) < MAX_IDLE_CONNECTIONS
        if can_reuse and has_room and self.keep_alive:
            connection.idle_since_s = asyncio.get_running_loop().time()
            idle.append(connection)
        else:
            connection.transport.abort()

    async def aclose(self):
        """Close the idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.transport.abort()
        self._idle.clear()


def _parse_origin(request):
    url = request.url
    port = url.port or DEFAULT_PORTS[url.scheme]
    return url.scheme, url.host, port


def _encode_head(request):
    target = request.url.raw_path
    lines = [b"%s %s HTTP/1.1" % (request.method.encode(), target)]
    lines += [b"%s: %s" % pair for pair in request.headers.raw]
    return b"\r\n".join(lines) + b"\r\n\r\n"
