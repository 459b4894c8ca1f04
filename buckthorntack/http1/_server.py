"""HTTP/1.1 server that handles the requests of a connection one by one.

The complete body of a request is read before the request is handled.  A
handler is cancelled when its client has closed the connection.
"""

import asyncio
import collections
import contextlib
import enum
import http
import math
from typing import NamedTuple

import httptools

from buckthorntack import events
from buckthorntack import transport as transports
from buckthorntack.http1 import _connection_limit
from buckthorntack.http1 import _events
from buckthorntack.http1 import _memory
from buckthorntack.http1 import _messages
from buckthorntack.http1 import _read_size

BACKLOG_CONNECTIONS = 1024
#: Connections accepted in a turn of the event loop, as those that give way to
#: them keep their descriptors for some turns.
ACCEPTS_AT_ONCE = 4
#: Pipelined requests queued for each connection before reading pauses.
MAX_PIPELINED_REQUESTS = 8
#: What they may take in memory before reading pauses.
MAX_AHEAD_BYTES = 65_536
#: Bytes that are parsed before limits are checked again, as parsed requests
#: take many times the memory of their bytes.
SLICE_BYTES = 4096
#: Size of the write buffer above which a handler waits for its client.
HIGH_WATER_BYTES = 64 * 1024
#: Time without acknowledgement of sent bytes after which a client counts as
#: gone (RFC 5482).  It is shorter than the timeouts of callers, so that the
#: requests of a disconnected caller are cancelled before they time out.
USER_TIMEOUT_MS = 5000
#: The same for a client that takes nothing for now: the kernel counts the
#: time in which its window is closed, though it answers all probes.  It is
#: longer than requests last.
SLOW_USER_TIMEOUT_MS = 60_000
#: Status codes of requests whose clients are sound and still send.
LINGERING_STATUSES = (408, 413, 500, 503)
#: Time and bytes for which they are read on, as a close with unread bytes
#: resets the connection and the client may lose the response (RFC 9112,
#: section 9.6).
LINGER_S = 1.0
MAX_LINGER_BYTES = 1_048_576
#: Size of a body above which its organisation is looked up before it is read.
LARGE_BODY_BYTES = 65_536
#: Time for which a listener that has stopped waits for a request of a client
#: that has not been told of the end of its connection.
LAST_REQUEST_S = 0.5
#: Time in which the kernel takes what is left of complete responses.
HAND_OVER_S = 0.02
#: Lateness of a timer from which the process counts as held up.
HELD_UP_S = 0.1
#: Idle time before the kernel sends TCP keep-alive probes.
KEEPALIVE_IDLE_S = 5
#: Interim response to a request with ``Expect: 100-continue``.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Limits(NamedTuple):
    """Size and time limits of requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class EndReason(enum.Enum):
    """Why a connection ended before all its requests were answered."""

    CLIENT_CLOSED = "client_closed"
    CONNECTION_FAILED = "connection_failed"
    #: The time of the request or of its route is over.
    DEADLINE = "deadline"
    #: The response broke off and nothing may continue it.
    RESPONSE_BROKEN = "response_broken"
    HANDLER_CANCELLED = "handler_cancelled"
    HANDLER_FAILED = "handler_failed"
    #: The handler returned before the end of its response.
    HANDLER_INCOMPLETE = "handler_incomplete"
    #: The response to an earlier request announced the end.
    RESPONSE_SENT = "response_sent"
    REQUEST_REFUSED = "request_refused"
    #: Newer connections need its descriptor.
    CONNECTION_LIMIT = "connection_limit"
    IDLE_TIMEOUT = "idle_timeout"
    LISTENER_STOPPING = "listener_stopping"
    LISTENER_CLOSED = "listener_closed"


class ListenerMemory(NamedTuple):
    """What a listener needs to bound what it holds for its clients."""

    #: The ``MemoryWatch``.
    watch: object
    #: Function of the header fields of a request that returns its
    #: organisation; empty for none.
    find_owner: object
    #: Function of the header fields of a request that returns those of its
    #: refusal, as it is not handled.
    build_refusal_headers: object


class ResponseWriter:
    """Writer of the response to one request.

    :param connection: the ``_ServerConnection``.
    :param keep_alive: whether the client may send another request.
    :param version: HTTP version of the request, ``"1.0"`` or ``"1.1"``.
    :param is_head: whether it is a ``HEAD`` request, whose response has no
        body.
    """

    def __init__(self, connection, keep_alive, version, is_head):
        self.connection = connection
        self.keep_alive = keep_alive
        self.version = version
        self.is_head = is_head
        self.status = 0
        self.started = False
        self.ended = False
        #: ``Account`` of the connection; None if nothing is bounded.
        self.account = connection.account
        #: What the request takes in memory.
        self.request_bytes = 0
        self._relayed = connection.create_holding(_memory.Purpose.RELAY)
        self._chunked = False
        self._ends_at_close = False

    def start(self, status, headers, reason=b"", length=None):
        """Send the head of the response.

        :param status: status code.
        :param headers: end-to-end header fields.
        :param reason: reason phrase; if empty, the standard phrase.
        :param length: length of the body in bytes; ``None`` if unknown.
        """
        self.status = status
        self.started = True
        self.note_buffered(0)
        fields = list(headers)
        has_body = status >= 200 and status not in (204, 304)
        if length is not None and has_body:
            fields.append((b"Content-Length", str(length).encode()))
        elif has_body and self.version == "1.1":
            self._chunked = not self.is_head
            fields.append((b"Transfer-Encoding", b"chunked"))
        elif has_body:
            self.keep_alive = False
            self._ends_at_close = True
            # Only a reset tells the client that the body is incomplete.
            transports.set_reset_on_close(self.connection.transport, True)
        if self.connection.listener.closing and not self.connection.waiting:
            self.keep_alive = False
        if not self.keep_alive:
            fields.append((b"Connection", b"close"))
        first_line = b"HTTP/1.1 %d %s" % (
            status,
            reason or _default_reason(status),
        )
        self._send(_messages.encode_head(first_line, fields))

    def write(self, data):
        """Send a part of the body.

        :param data: bytes of the part.
        """
        if not data or self.is_head:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._send(data)

    @property
    def peer(self):
        """IP address and port of the client."""
        return self.connection.peer

    def has_client_left(self):
        """Whether the client has closed the connection."""
        return self.connection.has_client_left()

    def measure_age_ms(self):
        """Return the time since the last byte of the client has arrived.

        It counts the time in which the process did not read.
        """
        return self.connection.measure_silence_ms()

    async def finish(self):
        """Close the connection after a complete response.

        If its close ends the body, the close waits until all data was passed
        to the kernel.
        """
        transport = self.connection.transport
        if self._ends_at_close:
            transport.set_write_buffer_limits(high=0)
            await self.flush()
            transports.set_reset_on_close(transport, False)
        self.connection.close(EndReason.RESPONSE_SENT)

    async def flush(self):
        """Wait until the connection may hold more."""
        connection = self.connection
        if self.account is None or self._ends_at_close:
            await connection.writable.wait()
            return
        while connection.is_behind():
            connection.has_room.clear()
            await connection.has_room.wait()

    @property
    def is_over(self):
        """Whether the connection holds as much as it may."""
        return self.account is not None and self.account.is_over

    @property
    def max_buffered_bytes(self):
        """Size of what a handler keeps above which it can't read more."""
        if self.account is None:
            return math.inf
        bounds = self.account.budget.bounds
        return bounds.connection_bytes - _memory.READ_BYTES

    def note_buffered(self, size_bytes):
        """Count what the handler keeps of a response that is not started.

        :param size_bytes: its size in bytes.
        """
        if self._relayed is not None:
            self._relayed.set(size_bytes)

    def assign_owner(self, owner):
        """Count what is held to an organisation from now on.

        :param owner: the organisation; empty for none.
        """
        if self.account is not None:
            self.account.assign(owner)

    def end(self):
        """End the body."""
        if self._chunked:
            self._send(b"0\r\n\r\n")
        self.ended = True

    def send(self, status, headers, body):
        """Send a complete response.

        :param status: status code.
        :param headers: end-to-end header fields.
        :param body: the complete body.
        """
        self.start(status, headers, length=len(body))
        self.write(body)
        self.end()

    def abort(self, reason=EndReason.RESPONSE_BROKEN):
        """Abort the connection; the client sees a truncated response.

        :param reason: the ``EndReason``.
        """
        self.connection.abort(reason)

    def _send(self, data):
        self.connection.transport.write(data)
        self.connection.on_written()


def _default_reason(status):
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


class _ServerConnection(asyncio.Protocol):
    """One connection from a client.

    :param listener: the ``Listener`` that accepted it.
    """

    def __init__(self, listener):
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport = None
        self.peer = ""
        self.writable = asyncio.Event()
        self.writable.set()
        #: Set when the connection may hold more.
        self.has_room = asyncio.Event()
        self.waiting = collections.deque()
        #: Bytes received that are not parsed yet.
        self._unparsed = bytearray()
        self._is_parsing = False
        #: What requests take that are read whole, and those of them that wait.
        self._whole_bytes = 0
        self._ahead_bytes = 0
        self.task = None
        #: Request and response in progress; None while there is none.
        self._current = None
        #: The last request whose response is complete; None before the first.
        self._answered = None
        self._end_reason = None
        self.refused = False
        self.account = None
        if listener.memory is not None:
            budget = listener.memory.watch.budget
            self.account = _memory.Account(budget)
        self._requests_held = self.create_holding(_memory.Purpose.REQUEST)
        self._answer_held = self.create_holding(_memory.Purpose.ANSWER)
        self._is_slow = False
        self._linger_bytes = 0
        self._is_lingering = False
        #: Parts of the body in what is being parsed.
        self._body_parts = []
        #: Called for each part, of which a body of legal size may have
        #: millions.
        self.on_body = self._body_parts.append
        self._parser = httptools.HttpRequestParser(self)
        self._read_size = None
        self._timer = None
        self._deadline_s = 0.0
        #: Whether one more request is waited for before the connection ends.
        self.is_last_request_due = False
        #: When the last response ended; None before the first.
        self._idle_since_s = None
        self._reset_request()

    def create_holding(self, purpose):
        """Return a ``Holding`` of this connection; None without a budget.

        :param purpose: its ``Purpose``.
        """
        if self.account is None:
            return None
        return _memory.Holding(self.account, purpose)

    def on_written(self):
        """Count what the client has not taken of what was just written."""
        if self.account is not None and self.measure():
            self.listener.memory.watch.add_reader(self)

    def measure(self):
        """Count what the client has not taken yet; return its bytes."""
        size_bytes = 0
        if not self.transport.is_closing():
            size_bytes = self.transport.get_write_buffer_size()
        self._answer_held.set(size_bytes)
        if size_bytes:
            self._tell_slow_from_dead()
        elif self._is_slow:
            self._set_slow(False)
        return size_bytes

    def _tell_slow_from_dead(self):
        """Let a client live that has acknowledged all it had room for."""
        sock = self.transport.get_extra_info("socket")
        if sock.fileno() >= 0:
            self._set_slow(not transports.count_unacknowledged(sock))

    def _set_slow(self, is_slow):
        if is_slow is self._is_slow or self.transport.is_closing():
            return
        self._is_slow = is_slow
        sock = self.transport.get_extra_info("socket")
        transports.set_user_timeout(
            sock, SLOW_USER_TIMEOUT_MS if is_slow else USER_TIMEOUT_MS
        )

    def wake_if_room(self):
        """Let the response go on if the connection may hold more."""
        if not self.is_behind():
            self.has_room.set()

    def is_behind(self):
        """Whether the client must read before the response goes on.

        What waits in the connection to the server can't get less before.
        """
        return self._answer_held.size_bytes > 0 and self.account.is_over

    def _hold_requests(self):
        """Count what is held of requests."""
        if self._requests_held is not None:
            self._requests_held.set(
                self._whole_bytes
                + self._head_memory_bytes
                + self._body_bytes
                + len(self._unparsed)
            )

    def _reset_request(self):
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._body_bytes = 0
        #: Organisation of a large body; None until it was looked up.
        self._owner = None
        self._head_bytes = 0
        #: What the head takes in memory.
        self._head_memory_bytes = 0
        #: Bytes received since the head or the last byte of the body.
        self._framing_bytes = 0
        self._is_reading_head = True
        self._is_reading = False

    def connection_made(self, transport):
        self.transport = transport
        self._read_size = _read_size.ReadSize(transport)
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        transports.configure_dead_peer_detection(
            sock, USER_TIMEOUT_MS, KEEPALIVE_IDLE_S
        )
        host, port = transport.get_extra_info("peername")[:2]
        self.peer = f"{host}:{port}"
        self.listener.connections.add(self)
        if not self.listener.connection_limit.add(self):
            self.abort(EndReason.CONNECTION_LIMIT)
        elif self.listener.is_stopped:
            # Its client has not been told of the stop.
            self._start_reading()
        else:
            self._set_timer(self.listener.limits().header_timeout_s)

    def close(self, reason):
        """Close the connection after what was written has been sent.

        :param reason: the ``EndReason``.
        """
        self._note_end(reason)
        self.transport.close()

    def _close_idle(self, reason):
        """Close the connection unless a request has arrived meanwhile."""
        if self.transport.is_closing():
            return
        if self._is_lingering or not self._count_unread():
            self.close(reason)
        else:
            self._start_reading()

    def give_way(self):
        """Close the connection unless a request is in progress.

        :returns: whether it closes.
        """
        transport = self.transport
        if self.task is not None or transport.is_closing():
            return False
        if transport.get_write_buffer_size():
            return False
        if self._is_reading:
            self._refuse("too many connections")
        elif not self._is_lingering and self._count_unread():
            return False
        self.close(EndReason.CONNECTION_LIMIT)
        return True

    def _count_unread(self):
        sock = self.transport.get_extra_info("socket")
        return transports.count_unread(sock)

    def has_client_left(self):
        """Whether the client has closed the connection.

        The event loop may not have noticed it yet.
        """
        if self.transport.is_closing():
            return True
        sock = self.transport.get_extra_info("socket")
        return transports.has_peer_closed(sock)

    def measure_silence_ms(self):
        """Return the time since the last data of the client has arrived."""
        if self.transport.is_closing():
            return 0
        sock = self.transport.get_extra_info("socket")
        return transports.measure_silence_ms(sock)

    def _start_reading(self):
        self._is_reading = True
        self._set_timer(self.listener.limits().header_timeout_s)

    def abort_reporting_unread(self, reason):
        """Close the connection at once; report what is left unread.

        :param reason: the ``EndReason``.
        """
        if self._current is None and not self.transport.is_closing():
            self._report_unread(reason)
        self._report_undelivered(reason)
        self.abort(reason)

    def abort(self, reason):
        """Close the connection at once.

        :param reason: the ``EndReason``.
        """
        self._note_end(reason)
        self.transport.abort()

    def _note_end(self, reason):
        if self._end_reason is None and not self.transport.is_closing():
            self._end_reason = reason

    def _record_unanswered(self, exc):
        """Report each request that was read whole and is not answered."""
        requests = [] if self._current is None else [self._current]
        requests += [pair for pair in self.waiting if pair[0] is not None]
        for request, response in requests:
            if not response.ended:
                self._report_unanswered(request, response, exc)

    def _report_unanswered(self, request, response, exc):
        reason = self._end_reason
        if reason is None:
            reason = (
                EndReason.CONNECTION_FAILED
                if exc is not None
                else EndReason.CLIENT_CLOSED
            )
        listener = self.listener
        listener.unanswered[reason] += 1
        age_s = self.loop.time() - request.received_s
        listener.log.write(
            _events.REQUEST_UNANSWERED,
            request=self._find_request_id(request),
            peer=self.peer,
            reason=reason.value,
            error="" if exc is None else repr(exc),
            started=response.started,
            age_ms=round(age_s * 1e3),
            **listener.build_stop_fields(),
        )

    def _report_unread(self, reason):
        """Report what a close leaves unread, as it may hold a request."""
        unread_bytes = self._count_unread()
        if not unread_bytes:
            return
        self.listener.unread[reason] += 1
        self.listener.log.write(
            _events.BYTES_UNREAD,
            peer=self.peer,
            reason=reason.value,
            unread_bytes=unread_bytes,
        )

    def _report_undelivered(self, reason):
        """Report a complete response that the client has not taken yet."""
        left_bytes = self._count_undelivered()
        if not left_bytes:
            return
        listener = self.listener
        listener.undelivered[reason] += 1
        listener.log.write(
            _events.RESPONSE_UNDELIVERED,
            request=self._find_request_id(self._answered),
            peer=self.peer,
            reason=reason.value,
            left_bytes=left_bytes,
            **listener.build_stop_fields(),
        )

    def raise_send_buffer(self):
        """Let the kernel take the rest of a complete response."""
        left_bytes = self._count_undelivered()
        sock = self.transport.get_extra_info("socket")
        if left_bytes and sock.fileno() >= 0:
            transports.raise_send_buffer(sock, left_bytes)

    def _count_undelivered(self):
        """Return what the kernel has not taken of a complete response."""
        is_in_progress = (
            self._current is not None and not self._current[1].ended
        )
        if is_in_progress or self._answered is None:
            return 0
        return self.transport.get_write_buffer_size()

    def _find_request_id(self, request):
        name = self.listener.id_header
        value = _messages.find_header(request.headers, name)
        return (value or b"").decode("latin-1")

    def connection_lost(self, exc):
        self._record_unanswered(exc)
        self._unparsed.clear()
        self.listener.connections.discard(self)
        self.listener.connection_limit.discard(self)
        self._clear_timer()
        self.writable.set()
        self.has_room.set()
        if self.account is not None:
            self._answer_held.set(0)
        if self.task is not None:
            self.task.cancel("the client has closed its connection")
        else:
            self._drop_requests()

    def _drop_requests(self):
        self._reset_request()
        self.waiting.clear()
        self._whole_bytes = 0
        self._hold_requests()

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()
        if self.account is not None:
            self.measure()
            self.wake_if_room()

    def data_received(self, data):
        if self.refused:
            self._drop(len(data))
            return
        self._unparsed += data
        self._parse()
        self._read_size.end_read(len(data))

    def _drop(self, size_bytes):
        """Count bytes that follow a request that is refused."""
        self._linger_bytes += size_bytes
        if self._linger_bytes > MAX_LINGER_BYTES:
            self.transport.pause_reading()

    def _parse(self):
        """Parse what was received; keep what would be too far ahead."""
        self._is_parsing = True
        try:
            self._parse_slices()
        finally:
            self._is_parsing = False
        if self.refused:
            self._drop(len(self._unparsed))
            self._unparsed.clear()
        self._hold_requests()

    def _parse_slices(self):
        while self._unparsed and not self.refused:
            if self._is_far_ahead():
                # Its client can't send while nothing is read.
                self._clear_timer()
                self.transport.pause_reading()
                return
            piece = bytes(self._unparsed[:SLICE_BYTES])
            del self._unparsed[:SLICE_BYTES]
            self._feed(piece)

    def _is_far_ahead(self):
        """Whether requests wait that are many or large."""
        return self._ahead_bytes > MAX_AHEAD_BYTES or (
            len(self.waiting) > MAX_PIPELINED_REQUESTS
        )

    def _parse_on(self):
        """Parse what had to wait."""
        if self._is_parsing or not self._unparsed:
            return
        if self._is_reading:
            self._start_reading()
        self.transport.resume_reading()
        self._parse()

    def _feed(self, data):
        """Parse some bytes, then check what they belong to."""
        if self._is_reading_head:
            self._head_bytes += len(data)
        else:
            self._framing_bytes += len(data)
        if not self._is_reading:
            self._start_reading()
        try:
            self._parse_piece(data)
        except Exception as error:
            self._on_reading_failed(error)

    def _parse_piece(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            # Raised by a method below, whatever the client sent.
            raise (error.__context__ or error) from None
        except httptools.HttpParserError as error:
            self._reject(400, f"not HTTP/1.1: {error}")
        self._take_body()
        if self._is_reading_head:
            self._check_head_size()
            self._check_head_memory()
        elif self._framing_bytes > self.listener.limits().header_bytes:
            self._reject(431, "a chunk line or the trailers are too large")

    def _on_reading_failed(self, error):
        """Refuse a request that a fault of the gateway kept from being read.

        :param error: the exception.
        """
        self.listener.log.write(
            _events.READING_FAILED, peer=self.peer, error=repr(error)
        )
        if self._target:
            self._reject(500, "internal error", self._build_refusal_headers())
        else:
            # It was read whole, and may run by now.
            self.refused = True
            self.abort(EndReason.HANDLER_FAILED)

    def eof_received(self):
        return False

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        if self._is_reading_head and not self.refused:
            self._headers.append((name, value))
            self._head_memory_bytes += _memory.FIELD_BYTES
            self._head_memory_bytes += len(name) + len(value)

    def on_headers_complete(self):
        self._is_reading_head = False
        fault = self._find_framing_error()
        if fault:
            self._reject(400, fault)
            return
        self._check_head_size()
        self._check_head_memory()
        length = self._parse_content_length()
        self._check_body_size(length)
        if length and not self.refused:
            self._check_memory(length)
        if self.refused:
            return
        expect = _messages.find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.transport.write(CONTINUE)

    def _take_body(self):
        """Add the parts of the body that were parsed."""
        if not self._body_parts:
            return
        body = b"".join(self._body_parts)
        self._read_size.count_parts(len(self._body_parts))
        self._body_parts.clear()
        if self.refused:
            return
        self._framing_bytes = 0
        self._check_body_size(self._body_bytes + len(body))
        if not self.refused:
            self._check_memory(len(body))
        if self.refused:
            return
        self._body += body
        self._body_bytes += len(body)
        self._hold_requests()

    def on_message_complete(self):
        self._take_body()
        if self.refused:
            return
        request = _messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self.loop.time(),
        )
        response = ResponseWriter(
            self,
            self._parser.should_keep_alive(),
            self._parser.get_http_version(),
            request.method == b"HEAD",
        )
        response.request_bytes = self._head_memory_bytes + len(request.body)
        self._whole_bytes += response.request_bytes
        self._ahead_bytes += response.request_bytes
        self._reset_request()
        self._clear_timer()
        self.waiting.append((request, response))
        if self.task is None:
            self._start_next_request()

    def _find_framing_error(self):
        """Return the fault of the message framing; empty if there is none.

        Requests with several length or host fields are rejected, as such
        requests are used for request smuggling.
        """
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

    def _parse_content_length(self):
        value = _messages.find_header(self._headers, b"content-length")
        return int(value) if value else 0

    def _check_head_size(self):
        size = self._head_bytes
        if not self._is_reading_head:
            size = len(self._target)
            size += _messages.count_header_bytes(self._headers)
            # The space after each colon is optional.
            size -= len(self._headers)
        if size > self.listener.limits().header_bytes:
            self._reject(431, "the header is too large")

    def _check_head_memory(self):
        """Refuse the request if its head finds no room."""
        memory = self.listener.memory
        if memory is None or self.refused:
            return
        self._hold_requests()
        if not memory.watch.budget.has_room(self._head_memory_bytes):
            self._refuse_for_memory("no memory for the header")

    def _check_memory(self, size_bytes):
        """Refuse the request if what is to come of its body finds no room."""
        memory = self.listener.memory
        if memory is None:
            return
        owner = self.account.owner
        if self._body_bytes + size_bytes > LARGE_BODY_BYTES:
            if self._owner is None:
                self._owner = memory.find_owner(self._headers)
            owner = self._owner
        if not memory.watch.budget.has_room(size_bytes, owner):
            self._refuse_for_memory("no memory for the body")

    def _refuse_for_memory(self, detail):
        self.listener.memory.watch.record_refusal()
        self._refuse(detail)

    def _refuse(self, detail):
        """Refuse a request that is not handled, and may be sent again."""
        self._reject(503, detail, self._build_refusal_headers())

    def _build_refusal_headers(self):
        memory = self.listener.memory
        if memory is None:
            return ()
        return memory.build_refusal_headers(self._headers)

    def _check_body_size(self, size_bytes):
        if size_bytes > self.listener.limits().body_bytes:
            self._reject(413, "the body is too large")

    def _reject(self, status, detail, headers=()):
        """Queue an error response after those to earlier requests.

        The connection is closed after the error response.
        """
        if self.refused:
            return
        self.refused = True
        self._clear_timer()
        self._headers = []
        self._head_memory_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._hold_requests()
        self.listener.log.write(
            _events.REQUEST_MALFORMED,
            peer=self.peer,
            status=status,
            detail=detail,
        )
        self.waiting.append((None, (status, detail, headers)))
        if self.task is None:
            self._start_next_request()

    def _start_next_request(self):
        self._current = None
        if not self.waiting:
            self.task = None
            self._parse_on()
            if self.task is None and not self.refused:
                self._wait_for_request()
            return
        if self.listener.is_client_checked and self.has_client_left():
            self.task = None
            self.close(EndReason.CLIENT_CLOSED)
            return
        request, response = self.waiting.popleft()
        if request is None:
            self._send_error(*response)
            return
        self._ahead_bytes -= response.request_bytes
        self._current = (request, response)
        self.task = self.loop.create_task(self._handle(request, response))
        if self.account is not None:
            self.task.add_done_callback(lambda _: self._on_handled(response))
        self._parse_on()

    def _on_handled(self, response):
        """Give back what the request held, also if it was cancelled."""
        response.note_buffered(0)
        if self.transport.is_closing():
            self._drop_requests()
        else:
            self._whole_bytes -= response.request_bytes
            self._hold_requests()

    def _send_error(self, status, detail, headers):
        """Send an error and close.

        The rest of a body is read on for a moment.
        """
        body = detail.encode() + b"\n"
        response = ResponseWriter(self, False, "1.1", False)
        fields = headers or [(b"Content-Type", b"text/plain")]
        response.send(status, fields, body)
        if status not in LINGERING_STATUSES:
            self.close(EndReason.REQUEST_REFUSED)
            return
        self.transport.write_eof()
        self._is_lingering = True
        self.loop.call_later(LINGER_S, self.close, EndReason.REQUEST_REFUSED)

    async def _handle(self, request, response):
        try:
            await self.listener.handle(request, response)
        except asyncio.CancelledError:
            if not self.transport.is_closing():
                self.abort(EndReason.HANDLER_CANCELLED)
            raise
        except Exception as error:
            self.listener.log.write(
                _events.HANDLER_FAILED, peer=self.peer, error=repr(error)
            )
            if response.started:
                response.abort(EndReason.HANDLER_FAILED)
            else:
                response.keep_alive = False
                response.send(500, [], b"internal error\n")
        if response.ended:
            self._answered = request
        if self.transport.is_closing():
            return
        if not response.ended:
            self.abort(EndReason.HANDLER_INCOMPLETE)
        elif not response.keep_alive:
            await response.finish()
        else:
            self._start_next_request()

    def _wait_for_request(self):
        """Start the idle timeout, which is short if the listener has stopped.

        The client was not told of the stop; the next response announces it.
        """
        if self._is_reading:
            return
        self._idle_since_s = self.loop.time()
        self.listener.connection_limit.renew(self)
        if self.listener.is_stopped:
            self.is_last_request_due = True
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            self._set_timer(LAST_REQUEST_S)
        else:
            self._set_timer(self.listener.limits().idle_timeout_s)

    def _set_timer(self, seconds):
        self._deadline_s = self.loop.time() + seconds
        if self._timer is None:
            self._timer = self.loop.call_later(seconds, self._on_timer)

    def _clear_timer(self):
        self._deadline_s = 0.0

    def _on_timer(self):
        late_s = self.loop.time() - self._timer.when()
        self._timer = None
        if not self._deadline_s or self.transport.is_closing():
            return
        left_s = self._deadline_s - self.loop.time()
        if left_s > 0:
            self._timer = self.loop.call_later(left_s, self._on_timer)
        elif self._is_reading and late_s > HELD_UP_S:
            # Its client could not send while nothing was read.
            self._start_reading()
        elif self._is_reading:
            self._reject(408, "the request did not arrive in time")
        else:
            self._end_idle_time()

    def _end_idle_time(self):
        """Close the connection unless it may be idle for longer meanwhile."""
        if self.is_last_request_due:
            self._close_idle(EndReason.LISTENER_STOPPING)
            return
        if self._idle_since_s is not None:
            timeout_s = self.listener.limits().idle_timeout_s
            left_s = self._idle_since_s + timeout_s - self.loop.time()
            if left_s > 0:
                self._set_timer(left_s)
                return
        self._close_idle(EndReason.IDLE_TIMEOUT)

    def close_if_idle(self):
        """Close the connection unless a request is being read or handled."""
        if self.task is None and (self._is_lingering or not self._is_reading):
            self._close_idle(EndReason.LISTENER_STOPPING)


class Listener:
    """HTTP server at one address, as asynchronous context manager.

    :param sock: bound socket.
    :param handle: coroutine function of a ``Request`` and a
        ``ResponseWriter``.
    :param limits: function that returns the current ``Limits``.
    :param memory: ``ListenerMemory``; None to bound each connection alone.
    :param id_header: header field with the id of a request, in lower case;
        empty if requests have none.
    :param is_client_checked: whether requests are dropped whose client has
        closed its side of the connection before they are handled.  Otherwise
        a handler that does not wait still answers them.
    :param connection_limit: the ``ConnectionLimit`` that listeners of the
        process share; None for one of its own.
    """

    def __init__(
        self,
        sock,
        handle,
        limits=Limits,
        memory=None,
        id_header=b"",
        is_client_checked=False,
        connection_limit=None,
    ):
        self.sock = sock
        self.handle = handle
        self.limits = limits
        self.memory = memory
        self.id_header = id_header
        self.is_client_checked = is_client_checked
        self.connections = set()
        self.connection_limit = (
            connection_limit or _connection_limit.ConnectionLimit()
        )
        #: Number of requests that were read whole and not answered, by
        #: ``EndReason``.
        self.unanswered = collections.Counter()
        #: Number of connections that were closed with unread bytes while no
        #: request was in progress, by ``EndReason``.
        self.unread = collections.Counter()
        #: Number of complete responses that were not taken before their
        #: connection was closed, by ``EndReason``.
        self.undelivered = collections.Counter()
        #: Whether responses announce the end of their connections.
        self.closing = False
        #: When that began, of the event loop's time; None before.
        self._closing_since_s = None
        #: Whether new connections are refused and idle ones closed.
        self.is_stopped = False
        self.log = events.EventLog("http1")
        self._server = None
        #: Tasks that open the connections that waited at the stop.
        self._last_accepted = set()

    @property
    def address(self):
        """IP address and port of the listening socket."""
        host, port = self.sock.getsockname()[:2]
        return f"{host}:{port}"

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self),
            sock=self.sock,
            backlog=ACCEPTS_AT_ONCE,
        )
        self.sock.listen(BACKLOG_CONNECTIONS)
        self.log.write(_events.LISTENING, address=self.address)
        return self

    async def __aexit__(self, *exc_info):
        tasks = [c.task for c in self.connections if c.task is not None]
        self.abort()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def abort(self):
        """Close the socket and all connections at once."""
        self.disable_keep_alive()
        self.is_stopped = True
        self._server.close()
        for task in self._last_accepted:
            task.cancel()
        for connection in list(self.connections):
            connection.abort_reporting_unread(EndReason.LISTENER_CLOSED)

    async def hand_over(self):
        """Let the kernel send complete responses that clients read slowly.

        It goes on with them when the process has ended.
        """
        for connection in list(self.connections):
            connection.raise_send_buffer()
        await asyncio.sleep(HAND_OVER_S)

    def count_active_connections(self):
        """Return the number of connections with a request in progress.

        A response is in progress until the kernel has taken all of it.
        """
        return len(self._last_accepted) + sum(
            1
            for connection in self.connections
            if connection.task is not None
            or connection._is_reading
            or connection.is_last_request_due
            or connection.transport.get_write_buffer_size()
        )

    def disable_keep_alive(self):
        """Close each connection after its next response."""
        if not self.closing:
            self._closing_since_s = asyncio.get_running_loop().time()
        self.closing = True

    def build_stop_fields(self):
        """Return how long the listener has been stopping, as log fields."""
        if self._closing_since_s is None:
            return {}
        now_s = asyncio.get_running_loop().time()
        return {"stopping_ms": round((now_s - self._closing_since_s) * 1e3)}

    def stop_accepting(self):
        """Accept no new connections and close those that are idle.

        Connections that wait to be accepted still are, as the close of the
        socket would reset them.
        """
        self.disable_keep_alive()
        self.is_stopped = True
        self._accept_waiting()
        # The server refuses what it accepted in this turn if it is closed now.
        asyncio.get_running_loop().call_soon(self._close_server)
        for connection in list(self.connections):
            connection.close_if_idle()

    def _close_server(self):
        self._accept_waiting()
        self._server.close()

    def _accept_waiting(self):
        loop = asyncio.get_running_loop()
        while self._server.is_serving():
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self.log.write(_events.ACCEPT_FAILED, error=repr(error))
                return
            task = loop.create_task(
                loop.connect_accepted_socket(
                    lambda: _ServerConnection(self), sock
                )
            )
            self._last_accepted.add(task)
            task.add_done_callback(self._last_accepted.discard)
