"""One connection to a server, used for one exchange after the other."""

import asyncio
import collections
import re
import socket
import struct

import httptools

from buckthorntack.http1 import _errors
from buckthorntack.http1 import _messages

#: Bytes of an answer kept for a slow client before reading pauses.
MOST_BUFFERED_BYTES = 262_144
#: Answers to earlier requests that are passed over before a connection is
#: given up.
MOST_FOREIGN_ANSWERS = 2
_KEEP_ALIVE = re.compile(rb"timeout\s*=\s*(\d+)")


class Connection(asyncio.Protocol):
    """A connection to a server.

    :param id_name: field that names the request in its answer, in lower
        case; empty if answers name none.
    """

    def __init__(self, id_name=b""):
        self.id_name = id_name
        self.transport = None
        self.idle_since_s = 0.0
        #: How long it was idle before the exchange at hand; None if it is new.
        self.idled_s = None
        #: How long the server keeps it open while idle; None if not told.
        self.idle_limit_s = None
        self.exchanges = 0
        self._loop = asyncio.get_running_loop()
        self._parser = None
        self._request_id = None
        self._is_head = False
        self._head = None
        self._parts = collections.deque()
        self._buffered_bytes = 0
        self._paused = False
        self._waiter = None
        self._clear()

    def _clear(self):
        self._status = 0
        self._reason = b""
        self._headers = []
        self._foreign = 0
        self._skips = False
        self._complete = False
        self._failure = None
        self._closes = False
        self._poisoned = False
        self._until_end = False
        self._received = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self._received = True
        if self._parser is None or self._complete:
            # Nothing is awaited: whatever comes belongs to no request.
            self._poisoned = True
            self.transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(_errors.ForeignAnswerError("an upgrade"))
        except httptools.HttpParserError as error:
            if self._complete:
                self._poisoned = True
            else:
                self._fail(_errors.ForeignAnswerError(str(error)))
        self._wake()
        too_much = self._buffered_bytes > MOST_BUFFERED_BYTES
        if too_much and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def eof_received(self):
        if self._until_end and not self._complete and self._failure is None:
            self._complete = True
            self._wake()
        return False

    def connection_lost(self, exc):
        self._closes = True
        if not self._complete:
            detail = f"connection lost: {exc or 'closed by the server'}"
            self._fail(_errors.AnswerBrokenError(detail))

    def on_message_begin(self):
        if self._complete:
            self._poisoned = True
            return
        self._headers = []
        self._reason = b""

    def on_status(self, status):
        if not self._complete:
            self._reason += status

    def on_header(self, name, value):
        if not self._complete:
            self._headers.append((name, value))

    def on_headers_complete(self):
        if self._complete:
            return
        status = self._parser.get_status_code()
        self._skips = status < 200 or not self._is_own()
        if self._skips:
            return
        self._status = status
        codings = _messages.find_header(self._headers, b"transfer-encoding")
        length = _messages.find_header(self._headers, b"content-length")
        has_body = status not in (204, 304) and not self._is_head
        self._until_end = has_body and codings is None and length is None
        known = int(length) if length is not None and not codings else None
        head = _messages.AnswerHead(status, self._reason, self._headers, known)
        if not self._head.done():
            self._head.set_result(head)
        if self._is_head:
            self._closes = True
            self._finish()

    def _is_own(self):
        """Whether the answer names the request that is waited for.

        Errors of a server that could not read a request name none.
        """
        if not self.id_name:
            return True
        named = _messages.find_header(self._headers, self.id_name)
        if named == self._request_id:
            return True
        return named is None and self._parser.get_status_code() >= 400

    def on_body(self, body):
        if self._complete or self._skips:
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)

    def on_message_complete(self):
        if self._complete:
            return
        if self._skips:
            self._note_skipped()
            return
        self._finish()

    def _note_skipped(self):
        if self._parser.get_status_code() < 200:
            return
        self._foreign += 1
        self._poisoned = True
        if self._foreign > MOST_FOREIGN_ANSWERS:
            self._fail(_errors.ForeignAnswerError("answers to others"))

    def _finish(self):
        self._complete = True
        if not self._parser.should_keep_alive():
            self._closes = True
        value = _messages.find_header(self._headers, b"keep-alive")
        found = _KEEP_ALIVE.search(value) if value else None
        if found:
            self.idle_limit_s = float(found.group(1))

    def _fail(self, failure):
        if self._failure is None and not self._complete:
            self._failure = failure
        if self._head is not None and not self._head.done():
            self._head.set_exception(self._failure or failure)
            # Read here, as nobody may wait for it any more.
            self._head.exception()
        self._wake()
        if self.transport is not None:
            self.transport.abort()

    def _wake(self):
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def send(self, payload, request_id, is_head=False):
        """Send a request.

        :param payload: its bytes.
        :param request_id: value of the id field; its answer must have it.
        :param is_head: whether the answer will have no body.
        """
        self._clear()
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = request_id
        self._is_head = is_head
        self._head = self._loop.create_future()
        self._parts.clear()
        self._buffered_bytes = 0
        self.exchanges += 1
        if self.transport.is_closing():
            self._fail(_errors.AnswerBrokenError("the connection was closed"))
            return
        self.transport.write(payload)

    async def head(self):
        """Wait for the head of the answer.

        :returns: ``AnswerHead``.
        :raises AnswerBrokenError: there will be none.
        """
        return await asyncio.shield(self._head)

    async def read(self):
        """The bytes of the body that came since the last call.

        :returns: bytes; empty at the end of the body.
        :raises AnswerBrokenError: the body will not be whole.
        """
        while not self._parts:
            if self._complete:
                return b""
            if self._failure is not None:
                raise self._failure
            self._waiter = self._loop.create_future()
            await self._waiter
        parts = self._parts
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        self._buffered_bytes = 0
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        return data

    def is_reusable(self):
        """Whether another request may be sent on this connection."""
        return (
            (self._complete or self._parser is None)
            and not self._closes
            and not self._poisoned
            and not self._until_end
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    def was_dropped(self):
        """Whether a kept connection ended without a byte of an answer.

        The server, or something between, may have dropped it while idle.
        """
        return self.idled_s is not None and not self._received and self._closes

    def close(self):
        """Give the connection up; the server notices at once.

        A request that is on its way is not delivered any more: the connection
        is reset if its answer is not whole.
        """
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.is_reusable() and not self._closes:
            reset = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self.transport.abort()
