"""Links between our own processes over TCP, without keys.

For networks that their owner walls off.  A connection carries messages both
ways; the node that needs it opens it.  A message may be lost, never altered.
"""

import asyncio
import collections
import contextlib

from buckthorntack import events
from buckthorntack import schema
from buckthorntack.transport import _events
from buckthorntack.transport import _sockets

#: Longest wait for a connection.
CONNECT_TIMEOUT_S = 1.0
#: Pauses between attempts to connect to a node that does not answer.
RETRY_S = 0.1
MOST_RETRY_S = 1.0
#: Unacknowledged bytes for so long mean that a node is gone or cut off, or
#: that the connection has gone silent.
USER_TIMEOUT_MS = 1500
#: Idle time after which the kernel probes whether a node still answers.
PROBE_AFTER_S = 3
#: Messages that wait while a connection is made.
MOST_WAITING = 256
#: Bytes that wait for a slow node; further messages are dropped.
MOST_BUFFERED_BYTES = 4 * 1024 * 1024
#: Longest message; a copy of a large configuration is the largest.
MOST_MESSAGE_BYTES = 64 * 1024 * 1024
_LENGTH_BYTES = 4
BACKLOG_CONNECTIONS = 512


class _Channel(asyncio.Protocol):
    """One connection to another node."""

    def __init__(self, links, peer=""):
        self.links = links
        self.peer = peer
        self.transport = None
        self._data = bytearray()

    def connection_made(self, transport):
        self.transport = transport
        _sockets.set_liveness(
            transport.get_extra_info("socket"), USER_TIMEOUT_MS, PROBE_AFTER_S
        )
        transport.write(_frame(self.links.node_id.encode()))
        self.links.opened(self)

    def connection_lost(self, exc):
        self.links.closed(self, exc)

    def data_received(self, data):
        self._data += data
        start = 0
        while True:
            begin = start + _LENGTH_BYTES
            length = int.from_bytes(self._data[start:begin])
            if length > MOST_MESSAGE_BYTES:
                self.transport.abort()
                return
            end = begin + length
            if len(self._data) < end or len(self._data) < begin:
                break
            frame = bytes(self._data[begin:end])
            start = end
            self._take(frame)
        del self._data[:start]

    def _take(self, frame):
        """The first frame names the node, each other one is a message."""
        if not self.peer:
            self.peer = frame.decode(errors="replace")
            self.links.named(self)
        elif not self.links.is_named(self):
            self.links.name_checked(self, frame)
        else:
            self.links.received(self.peer, frame)

    def is_writable(self):
        """Whether more may be sent."""
        waiting = self.transport.get_write_buffer_size()
        closing = self.transport.is_closing()
        return not closing and waiting < MOST_BUFFERED_BYTES


class _Peer:
    """What is kept of a node that messages are sent to."""

    def __init__(self):
        self.channels = []
        self.waiting = collections.deque(maxlen=MOST_WAITING)
        self.task = None
        self.retry_s = RETRY_S
        self.retry_at_s = 0.0


class PlainLinks:
    """Owns the connections of one node; an asynchronous context manager.

    :param node_id: this node.
    :param listen_address: IP address and port to take connections at.
    :param handle: called with sender and message for each received one.
    """

    def __init__(self, node_id, listen_address, handle):
        self.node_id = node_id
        self.listen_address = listen_address
        self.handle = handle
        self.addresses = {}
        self.sent_bytes = 0
        self.sent_messages = 0
        self.dropped_messages = 0
        self.received_messages = 0
        self._peers = collections.defaultdict(_Peer)
        self._channels = set()
        self._named = set()
        self._closing = False
        self._server = None
        self._log = events.EventLog("transport")

    async def __aenter__(self):
        sock = _sockets.bind_listener(self.listen_address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Channel(self), sock=sock, backlog=BACKLOG_CONNECTIONS
        )
        self._log.write(_events.LINKS_UNAUTHENTICATED)
        self._log.write(_events.LINK_LISTENING, address=self.listen_address)
        return self

    async def __aexit__(self, *exc_info):
        self._closing = True
        self._server.close()
        tasks = [p.task for p in self._peers.values() if p.task is not None]
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for channel in list(self._channels):
            channel.transport.abort()

    def learn(self, node_id, address):
        """Take in where a node is reached.

        :param node_id: the node.
        :param address: its link address.
        """
        if self.addresses.get(node_id) == address:
            return
        self.addresses[node_id] = address
        self._peers[node_id].retry_at_s = 0.0

    def send(self, to, message):
        """Send a message without waiting.

        :param to: node that shall receive it.
        :param message: a message of the schema.
        :returns: whether it was taken.
        """
        loop = asyncio.get_running_loop()
        if to == self.node_id:
            loop.call_soon(self.handle, to, message)
            return True
        frame = _frame(schema.pack(message))
        peer = self._peers[to]
        for channel in reversed(peer.channels):
            if channel.is_writable():
                self._write(channel, frame)
                return True
        if to in self.addresses and not peer.channels:
            if peer.task is not None:
                peer.waiting.append(frame)
                return True
            if loop.time() >= peer.retry_at_s:
                peer.waiting.append(frame)
                peer.task = loop.create_task(self._connect(to, peer))
                return True
        self.dropped_messages += 1
        return False

    def _write(self, channel, frame):
        channel.transport.write(frame)
        self.sent_messages += 1
        self.sent_bytes += len(frame)

    async def _connect(self, node_id, peer):
        loop = asyncio.get_running_loop()
        host, _, port = self.addresses[node_id].rpartition(":")
        channel = _Channel(self, node_id)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: channel, host, int(port))
        except (OSError, ValueError) as error:
            self.dropped_messages += len(peer.waiting)
            peer.waiting.clear()
            peer.retry_at_s = loop.time() + peer.retry_s
            peer.retry_s = min(2 * peer.retry_s, MOST_RETRY_S)
            self._log.write(
                _events.LINK_FAILED, node=node_id, error=repr(error)
            )
        else:
            peer.retry_s = RETRY_S
            while peer.waiting:
                self._write(channel, peer.waiting.popleft())
        finally:
            peer.task = None

    def opened(self, channel):
        """A connection was made.

        :param channel: the connection.
        """
        if self._closing:
            channel.transport.abort()
            return
        self._channels.add(channel)
        if channel.peer:
            self._use(channel)

    def named(self, channel):
        """A connection that another node opened has told its name.

        :param channel: the connection.
        """
        self._named.add(channel)
        self._use(channel)

    def is_named(self, channel):
        """Whether the other node has told its name.

        :param channel: the connection.
        """
        return channel in self._named

    def name_checked(self, channel, frame):
        """The name of a node that this one has connected to.

        A control VM whose disk was lost has another name at its address.

        :param channel: the connection.
        :param frame: the name.
        """
        self._named.add(channel)
        name = frame.decode(errors="replace")
        if name != channel.peer:
            self._unuse(channel)
            channel.peer = name
            self._use(channel)

    def _use(self, channel):
        self._peers[channel.peer].channels.append(channel)
        self._log.write(_events.LINK_OPENED, node=channel.peer)

    def _unuse(self, channel):
        channels = self._peers[channel.peer].channels
        if channel in channels:
            channels.remove(channel)

    def closed(self, channel, exc):
        """A connection has ended.

        :param channel: the connection.
        :param exc: why, or None.
        """
        self._channels.discard(channel)
        self._named.discard(channel)
        if channel.peer:
            self._unuse(channel)
            if not self._closing:
                self._log.write(
                    _events.LINK_LOST, node=channel.peer, error=repr(exc)
                )

    def received(self, sender, frame):
        """Hand a message on.

        :param sender: the node that sent it.
        :param frame: its bytes.
        """
        if self._closing:
            return
        try:
            message = schema.unpack(frame)
        except schema.MalformedMessageError as error:
            self._log.write(
                _events.MESSAGE_REFUSED, peer=sender, reason=str(error)
            )
            return
        self.received_messages += 1
        self.handle(sender, message)


def _frame(data):
    return len(data).to_bytes(_LENGTH_BYTES) + data
