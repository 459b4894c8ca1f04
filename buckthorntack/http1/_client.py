"""A client connection that carries one HTTP exchange at a time."""

import asyncio
import collections
import re

import httptools

from buckthorntack import transport as transports
from buckthorntack.http1 import _errors
from buckthorntack.http1 import _memory
from buckthorntack.http1 import _messages
from buckthorntack.http1 import _read_size

#: Buffered response bytes above which reading from the server pauses, as the
#: caller reads more slowly.
MAX_BUFFERED_BYTES = 262_144
#: Time for which a response was left unread, after which its server may have
#: cut it for that reason.
UNREAD_S = 0.5
#: Responses to other requests that are skipped before the connection is
#: closed.
MAX_SKIPPED_RESPONSES = 2
#: Bytes of responses to other requests that are skipped before the connection
#: is closed.
MAX_SKIPPED_BYTES = 4_194_304
#: Parts of a body above which they are joined, as an object with a few bytes
#: takes many times as much memory.
MAX_PARTS = 64
_KEEP_ALIVE = re.compile(rb"timeout\s*=\s*(\d+)")

#: Request ids that a connection remembers; a request lasts for seconds, in
#: which a connection carries fewer others.
MAX_SENT_IDS = 256


class Connection(asyncio.Protocol):
    """A connection to a server.

    :param id_header: header field with the request id in responses, in lower
        case; empty if responses have no request id.
    """

    def __init__(self, id_header=b""):
        self.id_header = id_header
        self.transport = None
        #: Monotonic time at which it was begun to open, as its owner notes.
        self.opened_s = 0.0
        #: Called without arguments if it is closed while it is idle.
        self.on_idle_closed = None
        self.idle_since_s = 0.0
        #: Idle time before the current exchange; None on a new connection.
        self.idle_before_s = None
        #: Idle timeout that the server announced; None if it announced none.
        self.server_idle_timeout_s = None
        self.exchange_count = 0
        self._sent_ids = collections.deque(maxlen=MAX_SENT_IDS)
        self._loop = asyncio.get_running_loop()
        self._parser = None
        self._request_id = None
        self._is_head = False
        self._head = None
        self._parts = collections.deque()
        self._buffered_bytes = 0
        self._paused = False
        self._waiter = None
        self._read_size = None
        self._watch = None
        self._sending = None
        self._buffered = None
        self._reset()

    def _reset(self):
        self._status = 0
        self._reason = b""
        self._headers = []
        #: Bytes received since the last byte of the body.
        self._framing_bytes = 0
        self._skipped_count = 0
        self._skipped_bytes = 0
        self._is_reading_head = True
        self._is_skipping = False
        self._complete = False
        self._failure = None
        self._is_closing = False
        self._is_out_of_sync = False
        self._ends_at_close = False
        self._has_received = False
        self._paused_s = 0.0
        self._unread_s = 0.0

    def connection_made(self, transport):
        self.transport = transport
        self._read_size = _read_size.ReadSize(transport)

    def data_received(self, data):
        self._has_received = True
        if self._parser is None or self._complete:
            # No response is pending, so these bytes belong to no request.
            self._is_out_of_sync = True
            self.transport.abort()
            return
        if self._failure is not None:
            return
        self._framing_bytes += len(data)
        was_skipping = self._is_skipping
        try:
            self._parser.feed_data(data)
            if was_skipping or self._is_skipping:
                self._skipped_bytes += len(data)
            self._check_sizes()
        except _errors.UnexpectedResponseError as error:
            self._fail(error)
        except httptools.HttpParserUpgrade:
            self._fail(_errors.UnexpectedResponseError("protocol upgrade"))
        except httptools.HttpParserError as error:
            if self._complete:
                self._is_out_of_sync = True
            else:
                self._fail(_errors.UnexpectedResponseError(str(error)))
        self._read_size.end_read(len(data))
        if len(self._parts) > MAX_PARTS:
            self._join_parts()
        self._wake()
        self._count_buffered()
        self.pause_if_full()
        if self._watch is not None:
            self._watch.on_read()

    def _join_parts(self):
        joined = b"".join(self._parts)
        self._parts.clear()
        self._parts.append(joined)

    def pause_if_full(self):
        """Pause reading if the caller must read more first."""
        if self._is_full() and not self._paused:
            self._paused = True
            self._paused_s = self._loop.time()
            self.transport.pause_reading()
            if self._watch is not None:
                self._watch.start()

    def _is_full(self):
        """Whether the server must wait until the caller has read more."""
        if self._buffered is not None:
            return self._buffered.account.is_over and not self._complete
        return self._buffered_bytes > MAX_BUFFERED_BYTES

    def _count_buffered(self):
        if self._buffered is not None:
            self._buffered.set(self._buffered_bytes)

    def _check_sizes(self):
        """Check the sizes of what is received besides the body.

        :raises UnexpectedResponseError: there is too much of it.
        """
        if self._complete:
            return
        if self._framing_bytes > _messages.MAX_FRAMING_BYTES:
            raise _errors.UnexpectedResponseError(
                "a head, chunk line or trailer section is too large"
            )
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise _errors.UnexpectedResponseError(
                "responses to other requests are too large"
            )

    def eof_received(self):
        if (
            self._ends_at_close
            and not self._complete
            and self._failure is None
        ):
            self._complete = True
            self._wake()
        return False

    def connection_lost(self, exc):
        self._is_closing = True
        if self.on_idle_closed is not None:
            self.on_idle_closed()
        if self._sending is not None:
            self._sending.set(0)
        if not self._complete:
            detail = f"connection lost: {exc or 'closed by the server'}"
            if self._unread_s >= UNREAD_S:
                self._fail(_errors.UnreadResponseError(detail))
            else:
                self._fail(_errors.IncompleteResponseError(detail))

    def on_message_begin(self):
        if self._complete:
            self._is_out_of_sync = True
            return
        self._headers = []
        self._reason = b""
        self._is_reading_head = True
        self._is_skipping = False

    def on_status(self, status):
        if not self._complete:
            self._reason += status

    def on_header(self, name, value):
        if not self._complete and self._is_reading_head:
            self._headers.append((name, value))

    def on_headers_complete(self):
        if self._complete:
            return
        self._is_reading_head = False
        header_bytes = _messages.count_header_bytes(self._headers)
        if header_bytes > _messages.MAX_FRAMING_BYTES:
            self._fail(
                _errors.UnexpectedResponseError("the head is too large")
            )
            raise self._failure
        status = self._parser.get_status_code()
        self._is_skipping = status < 200 or not self._is_expected_response()
        if self._is_skipping:
            return
        self._status = status
        head = self._build_head(status)
        self._ends_at_close = (
            head.framing is _messages.BodyFraming.CONNECTION_CLOSE
        )
        if not self._head.done():
            self._head.set_result(head)
        if self._is_head:
            self._is_closing = True
            self._finish()

    def _build_head(self, status):
        framing = _messages.find_body_framing(
            status, self._headers, self._is_head
        )
        length = None
        if framing is not _messages.BodyFraming.CHUNKED:
            value = _messages.find_header(self._headers, b"content-length")
            length = int(value) if value is not None else None
        return _messages.ResponseHead(
            status, self._reason, self._headers, length, framing
        )

    def _is_expected_response(self):
        """Return whether the response has the id of the pending request.

        A server that cannot parse a request sends an error response without
        a request id.  After the first exchange of a connection such a response
        may as well be a second copy of an earlier one.
        """
        if not self.id_header:
            return True
        response_id = _messages.find_header(self._headers, self.id_header)
        if response_id == self._request_id:
            return True
        is_error = self._parser.get_status_code() >= 400
        return response_id is None and is_error and self.exchange_count == 1

    def on_body(self, body):
        self._read_size.count_parts(1)
        if self._complete:
            return
        self._framing_bytes = 0
        if self._is_skipping:
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)

    def on_message_complete(self):
        if self._complete:
            return
        if self._is_skipping:
            self._record_skipped_response()
            return
        self._finish()

    def _record_skipped_response(self):
        if self._parser.get_status_code() < 200:
            return
        self._skipped_count += 1
        self._is_out_of_sync = True
        if self._skipped_count > MAX_SKIPPED_RESPONSES:
            self._fail(
                _errors.UnexpectedResponseError("responses to other requests")
            )

    def _finish(self):
        self._complete = True
        if not self._parser.should_keep_alive():
            self._is_closing = True
        value = _messages.find_header(self._headers, b"keep-alive")
        found = _KEEP_ALIVE.search(value) if value else None
        if found:
            self.server_idle_timeout_s = float(found.group(1))

    def _fail(self, failure):
        if self._failure is None and not self._complete:
            self._failure = failure
        if self._head is not None and not self._head.done():
            self._head.set_exception(self._failure or failure)
            # Marks the exception as retrieved, as no task may await the head.
            self._head.exception()
        self._wake()
        if self.transport is not None:
            self.transport.abort()

    def _wake(self):
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def has_sent(self, request_id):
        """Return whether a request with this id was sent before.

        A second copy of the response to it could not be told from that to
        another attempt.

        :param request_id: the request id.
        """
        return request_id in self._sent_ids

    def measure(self):
        """Count what the server has not taken yet; return its bytes."""
        size_bytes = 0
        if not self.transport.is_closing():
            size_bytes = self.transport.get_write_buffer_size()
        self._sending.set(size_bytes)
        return size_bytes

    def hold_for(self, account, watch):
        """Count what is held of the next exchange.

        :param account: the ``Account`` of the caller's connection.
        :param watch: the ``MemoryWatch``.
        """
        self._watch = watch
        self._sending = _memory.Holding(account, _memory.Purpose.SENDING)
        self._buffered = _memory.Holding(account, _memory.Purpose.RELAY)
        watch.exchanges.add(self)

    def give_back(self):
        """Hold nothing any more, as the exchange has ended."""
        if self._buffered is None:
            return
        self._parts.clear()
        self._buffered_bytes = 0
        self._buffered.set(0)
        self._sending.set(0)
        self._watch.exchanges.discard(self)
        self._watch.remove_server(self)
        self._watch = self._sending = self._buffered = None

    def send(self, payload, request_id, is_head=False):
        """Send a request.

        :param payload: the encoded request.
        :param request_id: request id that the response must have.
        :param is_head: whether it is a ``HEAD`` request, whose response has
            no body.
        """
        self._reset()
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = request_id
        self._is_head = is_head
        self._head = self._loop.create_future()
        self._parts.clear()
        self._buffered_bytes = 0
        self.exchange_count += 1
        self._sent_ids.append(request_id)
        if self.transport.is_closing():
            self._fail(
                _errors.IncompleteResponseError("the connection was closed")
            )
            return
        self.transport.write(payload)
        if self._watch is not None:
            self.pause_if_full()
            if self.measure():
                self._watch.add_server(self)

    async def read_head(self):
        """Wait for the head of the response.

        :returns: ``ResponseHead``.
        :raises IncompleteResponseError: the connection failed before the end
            of the head.
        """
        return await asyncio.shield(self._head)

    async def read(self):
        """Return the body bytes received since the last call.

        :returns: bytes; empty at the end of the body.
        :raises IncompleteResponseError: the connection failed before the end
            of the body.
        """
        while not self._parts:
            if self._complete:
                return b""
            if self._failure is not None:
                raise self._failure
            self.resume_if_room()
            self._waiter = self._loop.create_future()
            await self._waiter
        parts = self._parts
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        self._buffered_bytes = 0
        self._count_buffered()
        if self._buffered is None:
            self._resume()
        return data

    def resume_if_room(self):
        """Go on reading if nothing is left of what was read before.

        The caller has taken what it has to before more is read.
        """
        if not self._parts and not self._is_full():
            self._resume()

    def _resume(self):
        if self._paused:
            self._paused = False
            self._unread_s += self._loop.time() - self._paused_s
            self.transport.resume_reading()

    def is_reusable(self):
        """Return whether another request may be sent on this connection."""
        return (
            (self._complete or self._parser is None)
            and not self._is_closing
            and not self._is_out_of_sync
            and not self._ends_at_close
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    @property
    def is_paused(self):
        """Whether reading waits for the caller."""
        return self._paused

    @property
    def is_out_of_sync(self):
        """Whether bytes arrived that belong to no request of this side."""
        return self._is_out_of_sync

    def was_dropped(self):
        """Return whether a reused connection closed before any response byte.

        The server or a middlebox may have dropped the connection while it
        was idle.
        """
        return (
            self.idle_before_s is not None
            and not self._has_received
            and self._is_closing
        )

    def close(self):
        """Close the connection.

        If the response is incomplete, the connection is reset (RST), so that
        the server gets no more of the request and can stop at once.
        """
        if self.transport is None:
            return
        if not self.is_reusable() and not self._is_closing:
            transports.set_reset_on_close(self.transport, True)
        self.transport.abort()
