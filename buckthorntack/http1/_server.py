"""A listener for HTTP/1.1 requests, which are handled one by one.

The whole body of a request is read before it is handled.  A handler is
cancelled when its client has closed the connection.
"""

import asyncio
import collections
import contextlib
import http
from typing import NamedTuple

import httptools

from buckthorntack import events
from buckthorntack import transport as transports
from buckthorntack.http1 import _events
from buckthorntack.http1 import _messages

BACKLOG_CONNECTIONS = 1024
#: Requests that a connection may send ahead of their answers.
MOST_PIPELINED = 8
#: Written bytes that may wait for a client before its handler has to.
HIGH_WATER_BYTES = 64 * 1024
#: A peer that acknowledges nothing for so long has gone (RFC 5482); shorter
#: than the patience of callers, so that their requests end with them.
USER_TIMEOUT_MS = 5000
#: Idle time after which the kernel probes whether a peer still answers.
PROBE_AFTER_S = 5
#: Framing of a message by more than one field is an attempt to smuggle.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Limits(NamedTuple):
    """What a client may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Reply:
    """The answer to one request, as its handler writes it.

    :param connection: the ``_ServerConnection``.
    :param keep_alive: whether the client may send another request.
    :param version: HTTP version of the request, ``"1.0"`` or ``"1.1"``.
    :param is_head: whether only the head is to be sent.
    """

    def __init__(self, connection, keep_alive, version, is_head):
        self.connection = connection
        self.keep_alive = keep_alive
        self.version = version
        self.is_head = is_head
        self.status = 0
        self.started = False
        self.ended = False
        self._chunked = False

    def start(self, status, headers, reason=b"", length=None):
        """Send the head.

        :param status: status code.
        :param headers: end-to-end fields.
        :param reason: reason phrase; the usual one if it is empty.
        :param length: bytes of the body; None if that is not known.
        """
        self.status = status
        self.started = True
        fields = list(headers)
        has_body = status >= 200 and status not in (204, 304)
        if length is not None and has_body:
            fields.append((b"Content-Length", str(length).encode()))
        elif has_body and self.version == "1.1":
            self._chunked = not self.is_head
            fields.append((b"Transfer-Encoding", b"chunked"))
        elif has_body:
            self.keep_alive = False
        if self.connection.listener.closing:
            self.keep_alive = False
        if not self.keep_alive:
            fields.append((b"Connection", b"close"))
        first_line = b"HTTP/1.1 %d %s" % (status, reason or _reason(status))
        self._send(_messages.encode_head(first_line, fields))

    def write(self, data):
        """Send a part of the body.

        :param data: its bytes.
        """
        if not data or self.is_head:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._send(data)

    async def flush(self):
        """Wait while the client reads more slowly than it is sent to."""
        await self.connection.writable.wait()

    def end(self):
        """The body is whole."""
        if self._chunked:
            self._send(b"0\r\n\r\n")
        self.ended = True

    def send(self, status, headers, body):
        """Send a whole answer.

        :param status: status code.
        :param headers: end-to-end fields.
        :param body: the body.
        """
        self.start(status, headers, length=len(body))
        self.write(body)
        self.end()

    def abort(self):
        """Cut the connection, so that the answer looks broken."""
        self.connection.transport.abort()

    def _send(self, data):
        self.connection.transport.write(data)


def _reason(status):
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


class _ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, listener):
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport = None
        self.peer = ""
        self.writable = asyncio.Event()
        self.writable.set()
        self.waiting = collections.deque()
        self.task = None
        self.refused = False
        self._parser = httptools.HttpRequestParser(self)
        self._timer = None
        self._timer_due_s = 0.0
        self._begin()

    def _begin(self):
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._reads_head = True
        self._is_reading = False

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        raw = transport.get_extra_info("socket")
        transports.set_liveness(raw, USER_TIMEOUT_MS, PROBE_AFTER_S)
        host, port = transport.get_extra_info("peername")[:2]
        self.peer = f"{host}:{port}"
        self.listener.connections.add(self)
        self._arm(self.listener.limits().header_timeout_s)

    def connection_lost(self, exc):
        self.listener.connections.discard(self)
        self._disarm()
        self.writable.set()
        if self.task is not None:
            self.task.cancel("the client has closed its connection")

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    def data_received(self, data):
        if self.refused:
            return
        if self._reads_head:
            self._head_bytes += len(data)
        if not self._is_reading:
            self._is_reading = True
            self._arm(self.listener.limits().header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"not HTTP/1.1: {error}")
        if not self.refused and self._reads_head:
            self._check_head_size()

    def eof_received(self):
        return False

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._headers.append((name, value))

    def on_headers_complete(self):
        self._reads_head = False
        fault = self._framing_fault()
        if fault:
            self._refuse(400, fault)
            return
        self._check_head_size()
        self._check_body_size(self._announced_bytes())
        expect = _messages.find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.transport.write(CONTINUE)

    def on_body(self, body):
        self._body.append(body)
        self._body_bytes += len(body)
        self._check_body_size(self._body_bytes)

    def on_message_complete(self):
        if self.refused:
            return
        request = _messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self.loop.time(),
        )
        reply = Reply(
            self,
            self._parser.should_keep_alive(),
            self._parser.get_http_version(),
            request.method == b"HEAD",
        )
        self._begin()
        self._disarm()
        self.waiting.append((request, reply))
        if self.task is None:
            self._next()
        elif len(self.waiting) > MOST_PIPELINED:
            self.transport.pause_reading()

    def _framing_fault(self):
        lengths = 0
        codings = []
        hosts = 0
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"content-length":
                lengths += 1
            elif lowered == b"transfer-encoding":
                codings.append(value.strip().lower())
            elif lowered == b"host":
                hosts += 1
        if lengths > 1 or (lengths and codings):
            return "more than one length"
        if codings and codings != [b"chunked"]:
            return "unknown transfer coding"
        if hosts > 1:
            return "more than one host"
        return ""

    def _announced_bytes(self):
        value = _messages.find_header(self._headers, b"content-length")
        return int(value) if value else 0

    def _check_head_size(self):
        size = self._head_bytes
        if not self._reads_head:
            size = sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self.listener.limits().header_bytes:
            self._refuse(431, "the header is too large")

    def _check_body_size(self, size_bytes):
        if size_bytes > self.listener.limits().body_bytes:
            self._refuse(413, "the body is too large")

    def _refuse(self, status, detail):
        """Answer what can't be handled, once earlier requests are answered."""
        if self.refused:
            return
        self.refused = True
        self._disarm()
        self.listener.log.write(
            _events.REQUEST_MALFORMED,
            peer=self.peer,
            status=status,
            detail=detail,
        )
        self.waiting.append((None, (status, detail)))
        if self.task is None:
            self._next()

    def _next(self):
        if not self.waiting:
            self.task = None
            self._rest()
            return
        request, reply = self.waiting.popleft()
        if request is None:
            self._send_refusal(*reply)
            return
        if len(self.waiting) <= MOST_PIPELINED:
            self.transport.resume_reading()
        self.task = self.loop.create_task(self._handle(request, reply))

    def _send_refusal(self, status, detail):
        body = detail.encode() + b"\n"
        reply = Reply(self, False, "1.1", False)
        reply.send(status, [(b"Content-Type", b"text/plain")], body)
        self.transport.close()

    async def _handle(self, request, reply):
        try:
            await self.listener.handle(request, reply)
        except asyncio.CancelledError:
            if not self.transport.is_closing():
                self.transport.abort()
            raise
        except Exception as error:
            self.listener.log.write(
                _events.HANDLER_FAILED, peer=self.peer, error=repr(error)
            )
            if reply.started:
                reply.abort()
            else:
                reply.keep_alive = False
                reply.send(500, [], b"internal error\n")
        if self.transport.is_closing():
            return
        if not reply.ended:
            self.transport.abort()
        elif not reply.keep_alive:
            self.transport.close()
        else:
            self._next()

    def _rest(self):
        """Wait for the next request."""
        if self.listener.closing and not self._is_reading:
            self.transport.close()
        elif not self._is_reading:
            self._arm(self.listener.limits().idle_timeout_s)

    def _arm(self, seconds):
        self._timer_due_s = self.loop.time() + seconds
        if self._timer is None:
            self._timer = self.loop.call_later(seconds, self._check_time)

    def _disarm(self):
        self._timer_due_s = 0.0

    def _check_time(self):
        self._timer = None
        if not self._timer_due_s or self.transport.is_closing():
            return
        left_s = self._timer_due_s - self.loop.time()
        if left_s > 0:
            self._timer = self.loop.call_later(left_s, self._check_time)
        elif self._is_reading:
            self._refuse(408, "the request did not arrive in time")
        else:
            self.transport.close()

    def close_if_idle(self):
        """Close the connection unless a request is read or handled."""
        if self.task is None and not self._is_reading:
            self.transport.close()


class Listener:
    """Takes connections at one address; an asynchronous context manager.

    :param sock: bound socket.
    :param handle: coroutine function of a ``Request`` and a ``Reply``.
    :param limits: function that gives the ``Limits`` now.
    """

    def __init__(self, sock, handle, limits=Limits):
        self.sock = sock
        self.handle = handle
        self.limits = limits
        self.connections = set()
        self.closing = False
        self.log = events.EventLog("http1")
        self._server = None

    @property
    def address(self):
        """IP address and port that it listens at."""
        host, port = self.sock.getsockname()[:2]
        return f"{host}:{port}"

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self),
            sock=self.sock,
            backlog=BACKLOG_CONNECTIONS,
        )
        self.log.write(_events.LISTENING, address=self.address)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        tasks = [c.task for c in self.connections if c.task is not None]
        for connection in list(self.connections):
            connection.transport.abort()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def busy(self):
        """Connections whose requests are read or handled."""
        return sum(
            1
            for connection in self.connections
            if connection.task is not None or connection._is_reading
        )

    def begin_close(self):
        """Let each connection end after the answer that comes next."""
        self.closing = True

    def stop_accepting(self):
        """Take no new connections and close those that are idle."""
        self.closing = True
        self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()
