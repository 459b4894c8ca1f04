"""Unauthenticated links between nodes over plain TCP.

These links are meant for isolated networks.  A connection carries messages in
both directions; the node that has a message to send opens it.  Messages can
be lost, but are not altered.
"""

import asyncio
import collections
import contextlib

from buckthorntack import events
from buckthorntack import schema
from buckthorntack.transport import _delivery
from buckthorntack.transport import _events
from buckthorntack.transport import _refusals
from buckthorntack.transport import _sockets

#: Time limit of a connection attempt.
CONNECT_TIMEOUT_S = 1.0
#: Initial delay before another attempt to connect to an unreachable node; the
#: delay doubles with each failed attempt.
MIN_RETRY_DELAY_S = 0.1
#: Upper bound of the delay between connection attempts.
MAX_RETRY_DELAY_S = 1.0
#: Time without acknowledgement of sent bytes after which a connection is
#: closed (TCP_USER_TIMEOUT): the node has stopped or is unreachable, or the
#: network no longer forwards the packets of the connection.
USER_TIMEOUT_MS = 1500
#: Idle time before the kernel sends TCP keep-alive probes.
KEEPALIVE_IDLE_S = 3
#: Messages queued during a connection attempt; the oldest are dropped first.
MAX_WAITING_FRAMES = 256
#: Size of the write buffer above which messages to a slow node are dropped.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
#: Largest message; the largest in use is a copy of a large configuration.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
#: Size of the length prefix of a frame.
_LENGTH_BYTES = 4
BACKLOG_CONNECTIONS = 512


class _Connection(asyncio.Protocol):
    """One TCP connection to another node.

    :param links: the ``PlainLinks`` that own the connection.
    :param peer: node id expected of the peer; empty if the peer connected.
    """

    def __init__(self, links, peer=""):
        self.links = links
        self.peer = peer
        self.transport = None
        self._data = bytearray()

    def connection_made(self, transport):
        self.transport = transport
        _sockets.configure_dead_peer_detection(
            transport.get_extra_info("socket"),
            USER_TIMEOUT_MS,
            KEEPALIVE_IDLE_S,
        )
        transport.write(_encode_frame(self.links.node_id.encode()))
        self.links.on_opened(self)

    def connection_lost(self, exc):
        self.links.on_closed(self, exc)

    def data_received(self, data):
        self._data += data
        start = 0
        while True:
            begin = start + _LENGTH_BYTES
            length = int.from_bytes(self._data[start:begin])
            if length > MAX_MESSAGE_BYTES:
                self.transport.abort()
                return
            end = begin + length
            if len(self._data) < end or len(self._data) < begin:
                break
            frame = bytes(self._data[begin:end])
            start = end
            self._on_frame(frame)
        del self._data[:start]

    def _on_frame(self, frame):
        """Handle a frame: the peer's node id comes first, then messages."""
        if not self.peer:
            self.peer = frame.decode(errors="replace")
            self.links.on_peer_identified(self)
        elif not self.links.is_identified(self):
            self.links.on_peer_id_received(self, frame)
        else:
            self.links.on_frame(self.peer, frame)

    def is_writable(self):
        """Return whether another message may be sent."""
        waiting = self.transport.get_write_buffer_size()
        closing = self.transport.is_closing()
        return not closing and waiting < MAX_BUFFERED_BYTES


class _Peer:
    """Connections, queued frames and retry state of one peer."""

    def __init__(self):
        self.connections = []
        self.waiting = collections.deque(maxlen=MAX_WAITING_FRAMES)
        self.task = None
        self.retry_delay_s = MIN_RETRY_DELAY_S
        self.retry_at_s = 0.0


class PlainLinks:
    """Unauthenticated links of one node; an asynchronous context manager.

    :param node_id: this node.
    :param listen_address: IP address and port to bind.
    :param handle: called with the sender and each received message.
    """

    def __init__(self, node_id, listen_address, handle):
        self.node_id = node_id
        self.listen_address = listen_address
        self.addresses = {}
        self.sent_bytes = 0
        self.sent_messages = 0
        self.dropped_messages = 0
        self.received_messages = 0
        self._peers = collections.defaultdict(_Peer)
        self._connections = set()
        self._identified = set()
        self._closing = False
        self._server = None
        self._log = events.EventLog("transport")
        self._refusals = _refusals.Refusals(self._log)
        self.delivery = _delivery.Delivery(handle, self._log)

    async def __aenter__(self):
        sock = _sockets.bind_listener(self.listen_address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), sock=sock, backlog=BACKLOG_CONNECTIONS
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
        for connection in list(self._connections):
            connection.transport.abort()

    def set_address(self, node_id, address):
        """Set the link address of a node, and allow an immediate retry.

        :param node_id: the node.
        :param address: its link address.
        """
        if self.addresses.get(node_id) == address:
            return
        self.addresses[node_id] = address
        self._peers[node_id].retry_at_s = 0.0

    def send(self, to, message):
        """Send a message without waiting.

        :param to: id of the receiving node.
        :param message: a message of the schema.
        :returns: whether the message was written or queued.
        """
        loop = asyncio.get_running_loop()
        if to == self.node_id:
            loop.call_soon(self.delivery.deliver, to, message)
            return True
        packed = _delivery.encode(schema.pack, to, message, self._log)
        if packed is None:
            self.dropped_messages += 1
            return False
        frame = _encode_frame(packed)
        peer = self._peers[to]
        for connection in reversed(peer.connections):
            if connection.is_writable():
                self._write(connection, frame)
                return True
        if to in self.addresses and not peer.connections:
            if peer.task is not None:
                peer.waiting.append(frame)
                return True
            if loop.time() >= peer.retry_at_s:
                peer.waiting.append(frame)
                peer.task = loop.create_task(self._connect(to, peer))
                return True
        self.dropped_messages += 1
        return False

    def _write(self, connection, frame):
        connection.transport.write(frame)
        self.sent_messages += 1
        self.sent_bytes += len(frame)

    async def _connect(self, node_id, peer):
        loop = asyncio.get_running_loop()
        host, _, port = self.addresses[node_id].rpartition(":")
        connection = _Connection(self, node_id)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: connection, host, int(port)
                )
        except (OSError, OverflowError, ValueError) as error:
            self.dropped_messages += len(peer.waiting)
            peer.waiting.clear()
            peer.retry_at_s = loop.time() + peer.retry_delay_s
            peer.retry_delay_s = min(2 * peer.retry_delay_s, MAX_RETRY_DELAY_S)
            self._log.write(
                _events.LINK_FAILED, node=node_id, error=repr(error)
            )
        else:
            peer.retry_delay_s = MIN_RETRY_DELAY_S
            while peer.waiting:
                self._write(connection, peer.waiting.popleft())
        finally:
            peer.task = None

    def on_opened(self, connection):
        """Register an established connection.

        :param connection: the connection.
        """
        if self._closing:
            connection.transport.abort()
            return
        self._connections.add(connection)
        if connection.peer:
            self._register(connection)

    def on_peer_identified(self, connection):
        """Register a connection by the node id that its peer has sent.

        :param connection: a connection opened by the peer.
        """
        self._identified.add(connection)
        self._register(connection)

    def is_identified(self, connection):
        """Return whether the peer of a connection has sent its node id.

        :param connection: the connection.
        """
        return connection in self._identified

    def on_peer_id_received(self, connection, frame):
        """Compare the node id that a peer has sent with the expected one.

        A control VM that lost its disk has a new node id at the same address;
        the connection is then registered under the new id.

        :param connection: a connection opened by this node.
        :param frame: the peer's node id, in UTF-8.
        """
        self._identified.add(connection)
        peer_id = frame.decode(errors="replace")
        if peer_id != connection.peer:
            self._unregister(connection)
            connection.peer = peer_id
            self._register(connection)

    def _register(self, connection):
        self._peers[connection.peer].connections.append(connection)
        self._log.write(_events.LINK_OPENED, node=connection.peer)

    def _unregister(self, connection):
        connections = self._peers[connection.peer].connections
        if connection in connections:
            connections.remove(connection)

    def on_closed(self, connection, exc):
        """Remove a closed connection.

        :param connection: the connection.
        :param exc: the error that closed it, or ``None``.
        """
        self._connections.discard(connection)
        self._identified.discard(connection)
        if connection.peer:
            self._unregister(connection)
            if not self._closing:
                self._log.write(
                    _events.LINK_LOST, node=connection.peer, error=repr(exc)
                )

    def on_frame(self, sender, frame):
        """Decode a message and pass it to the handler.

        :param sender: id of the sending node.
        :param frame: the encoded message.
        """
        if self._closing:
            return
        try:
            message = schema.decode(*schema.split(frame))
        except schema.MalformedMessageError as error:
            name, _ = schema.split(frame)
            self._refusals.record(sender, name, error)
            return
        self.received_messages += 1
        self.delivery.deliver(sender, message)


def _encode_frame(data):
    return len(data).to_bytes(_LENGTH_BYTES) + data
