"""An httpx transport for answers that come in many small parts.

The parts are parsed by ``httptools``, the parser that uvicorn uses, and
handed over as they are read from the socket: all parts that have piled up
come in one go.
"""

import asyncio
import collections
import ssl

import httptools
import httpx

MOST_BUFFERED_BYTES = 262_144
MOST_IDLE_CONNECTIONS = 64
#: Shorter than servers keep idle connections, so that none is used just as
#: its server closes it.
MOST_IDLE_SECONDS = 2.0
DEFAULT_PORTS = {"http": 80, "https": 443}


class _Exchange(asyncio.Protocol):
    """One connection, and the answer that is being read from it."""

    def __init__(self):
        self.transport = None
        self.parser = None
        self.status = 0
        self.headers = []
        self.head = None
        self.parts = collections.deque()
        self.buffered_bytes = 0
        self.whole = False
        self.reusable = False
        self.failure = None
        self.idle_since_s = 0.0
        self._waiter = None
        self._paused = False

    def begin(self):
        """Prepare for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.head = asyncio.get_running_loop().create_future()
        self.parts.clear()
        self.whole = False
        self.reusable = False

    def connection_made(self, transport):
        """Take the connection.

        :param transport: asyncio transport.
        """
        self.transport = transport

    def data_received(self, data):
        """Parse what came.

        :param data: the bytes.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(httpx.RemoteProtocolError(f"malformed: {error}"))
            self.transport.abort()
            return
        self._wake()
        if self.buffered_bytes > MOST_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def eof_received(self):
        """The server has closed its side."""
        return False

    def connection_lost(self, exc):
        """Note the end of the connection.

        :param exc: why, or None.
        """
        if not self.whole:
            self._fail(httpx.ReadError(f"connection lost: {exc}"))

    def _fail(self, failure):
        if self.failure is None:
            self.failure = failure
        if self.head is not None and not self.head.done():
            self.head.set_exception(failure)
            self.head.exception()
        self._wake()

    def on_header(self, name, value):
        """Take a header of the answer.

        :param name: its name.
        :param value: its value.
        """
        self.headers.append((name, value))

    def on_headers_complete(self):
        """The head is whole."""
        self.status = self.parser.get_status_code()
        if not self.head.done():
            self.head.set_result(None)

    def on_body(self, body):
        """Take a part of the body.

        :param body: its bytes.
        """
        self.parts.append(body)
        self.buffered_bytes += len(body)

    def on_message_complete(self):
        """The answer is whole."""
        self.whole = True
        self.reusable = self.parser.should_keep_alive()

    def _wake(self):
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read(self):
        """The parts that came since the last call; empty at the end."""
        while not self.parts:
            if self.whole:
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


class _AnswerStream(httpx.AsyncByteStream):
    """Body of an answer.

    :param exchange: the connection.
    :param give_back: called with the connection at the end.
    """

    def __init__(self, exchange, give_back):
        self.exchange = exchange
        self.give_back = give_back

    async def __aiter__(self):
        read = self.exchange.read
        while data := await read():
            yield data

    async def aclose(self):
        """End the exchange; its connection is kept if that is sound."""
        self.give_back(self.exchange)


class StreamingTransport(httpx.AsyncBaseTransport):
    """Opens, keeps and closes connections to backend servers.

    :param keeps_connections: whether a connection is used again.
    """

    def __init__(self, keeps_connections=True):
        self.keeps_connections = keeps_connections
        self._idle = collections.defaultdict(list)
        self._tls = None

    async def handle_async_request(self, request):
        """Send a request and wait for the head of its answer.

        :param request: ``httpx.Request``.
        :returns: ``httpx.Response``.
        """
        body = await request.aread()
        exchange = await self._connect(request)
        try:
            exchange.begin()
            exchange.transport.write(_head(request) + body)
            await exchange.head
        except BaseException:
            exchange.transport.abort()
            raise
        place = _place(request)
        stream = _AnswerStream(
            exchange, lambda used: self._give_back(place, used)
        )
        return httpx.Response(
            exchange.status, headers=exchange.headers, stream=stream
        )

    async def _connect(self, request):
        place = _place(request)
        idle = self._idle[place]
        oldest_s = asyncio.get_running_loop().time() - MOST_IDLE_SECONDS
        while idle:
            exchange = idle.pop()
            is_open = not exchange.transport.is_closing()
            if is_open and exchange.idle_since_s >= oldest_s:
                return exchange
            exchange.transport.abort()
        return await self._open(request, place)

    async def _open(self, request, place):
        scheme, host, port = place
        limit_s = request.extensions.get("timeout", {}).get("connect")
        loop = asyncio.get_running_loop()
        context = self._context() if scheme == "https" else None
        try:
            async with asyncio.timeout(limit_s):
                _, exchange = await loop.create_connection(
                    _Exchange, host, port, ssl=context
                )
        except TimeoutError as error:
            raise httpx.ConnectTimeout(str(place)) from error
        except OSError as error:
            raise httpx.ConnectError(str(error)) from error
        return exchange

    def _context(self):
        if self._tls is None:
            self._tls = ssl.create_default_context()
        return self._tls

    def _give_back(self, place, exchange):
        idle = self._idle[place]
        sound = exchange.whole and exchange.reusable and not exchange.parts
        room = len(idle) < MOST_IDLE_CONNECTIONS
        if sound and room and self.keeps_connections:
            exchange.idle_since_s = asyncio.get_running_loop().time()
            idle.append(exchange)
        else:
            exchange.transport.abort()

    async def aclose(self):
        """Close the connections that are kept."""
        for idle in self._idle.values():
            for exchange in idle:
                exchange.transport.abort()
        self._idle.clear()


def _place(request):
    url = request.url
    port = url.port or DEFAULT_PORTS[url.scheme]
    return url.scheme, url.host, port


def _head(request):
    target = request.url.raw_path
    lines = [b"%s %s HTTP/1.1" % (request.method.encode(), target)]
    lines += [b"%s: %s" % pair for pair in request.headers.raw]
    return b"\r\n".join(lines) + b"\r\n\r\n"
