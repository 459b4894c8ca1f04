"""Authenticated links between nodes: one-way messages over pyzmq and CURVE.

Each node binds one ROUTER socket, on which it only receives, and opens two
DEALER sockets to each peer, on which it only sends: one for control messages
and one for forwarded requests, so that a long prompt does not delay a
heartbeat (head-of-line blocking).
"""

import asyncio
import functools

import zmq
import zmq.asyncio

from buckthorntack import events
from buckthorntack import schema
from buckthorntack.schema import messages
from buckthorntack.transport import _authenticator
from buckthorntack.transport import _delivery
from buckthorntack.transport import _events
from buckthorntack.transport import _refusals
from buckthorntack.transport import _shaping

HEARTBEAT_PERIOD_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500
ZAP_DOMAIN = "links"
RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 1000
MAX_MESSAGES_PER_WAKEUP = 256
#: Upper bound of sockets of a node: two for each peer, and four during a key
#: rotation.
MAX_SOCKETS = 8192
BULK_MESSAGES = (
    messages.ForwardRequest,
    messages.ForwardBody,
    messages.ForwardHead,
    messages.ForwardChunk,
    messages.ForwardEnd,
    messages.ForwardCancel,
    messages.ForwardCredit,
    messages.ForwardAlive,
)


class _CredentialsProvider:
    """Credentials provider for the ZeroMQ authenticator: accepted peers."""

    def __init__(self, keys, log):
        self.accepted = set(keys.accepted_public_keys) | {keys.public_key}
        self.log = log

    def callback(self, domain, key):
        """Accept or reject a peer by its public key.

        :param domain: ZAP domain; unused.
        :param key: the peer's public key, in Z85.
        :returns: whether the peer is accepted.
        """
        if key in self.accepted:
            return True
        self.log.write(_events.LINK_REFUSED, public_key=key.decode())
        return False


class LinkTask:
    """Authenticated links of one node; an asynchronous context manager.

    :param node_id: this node.
    :param listen_address: IP address and port to bind.
    :param keys: ``security.LinkKeys``, the same pair on all nodes.
    :param addresses: link addresses by node id, as known from the settings.
    :param handle: called with the sender and each received message.
    :param clock: source of time.
    :param shaping: simulated delays and losses; none by default.
    :param queue_messages: high-water mark of each socket, in messages.
    """

    def __init__(
        self,
        node_id,
        listen_address,
        keys,
        addresses,
        handle,
        clock,
        shaping=None,
        queue_messages=10000,
    ):
        self.node_id = node_id
        self.listen_address = listen_address
        self.keys = keys
        self.addresses = addresses
        self.clock = clock
        self.shaping = shaping or _shaping.Unshaped()
        self.queue_messages = queue_messages
        self.sent_bytes = 0
        self.sent_messages = 0
        self.dropped_messages = 0
        self.received_bytes = 0
        self.received_messages = 0
        self._connected = {}
        self._dealers = {}
        self._log = events.EventLog("transport")
        self._refusals = _refusals.Refusals(self._log)
        self.delivery = _delivery.Delivery(handle, self._log)

    async def __aenter__(self):
        self._context = zmq.asyncio.Context()
        self._context.max_sockets = MAX_SOCKETS
        self._sync_context = zmq.Context.shadow(self._context)
        self._authenticator = _authenticator.LinkAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            ZAP_DOMAIN, _CredentialsProvider(self.keys, self._log)
        )
        self._delivery_queue = _shaping.DeliveryQueue(
            self.shaping, self._deliver, self.clock
        )
        self._router = self._sync_context.socket(zmq.ROUTER)
        self._configure(self._router)
        self._router.curve_server = True
        self._router.router_handover = True
        self._router.zap_domain = ZAP_DOMAIN.encode()
        self._router.bind(f"tcp://{self.listen_address}")
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")
        asyncio.get_running_loop().add_reader(
            self._router.FD, self._receive_available
        )
        for node in self.addresses:
            self.connect(node)
        self._log.write(_events.LINK_LISTENING, address=self.address)
        return self

    async def __aexit__(self, *exc_info):
        asyncio.get_running_loop().remove_reader(self._router.FD)
        self._authenticator.stop()
        self._router.close()
        for node_id in {node_id for node_id, _ in self._dealers}:
            self.disconnect(node_id)
        self._context.destroy(linger=0)

    def _configure(self, socket):
        socket.linger = 0
        socket.sndhwm = self.queue_messages
        socket.rcvhwm = self.queue_messages
        socket.heartbeat_ivl = HEARTBEAT_PERIOD_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        socket.curve_publickey = self.keys.public_key
        socket.curve_secretkey = self.keys.secret_key

    def set_address(self, node_id, address):
        """Set the link address of a node and close links to an older address.

        :param node_id: the node.
        :param address: its link address.
        """
        if self.addresses.get(node_id) == address:
            return
        self.addresses[node_id] = address
        self.disconnect(node_id)

    def connect(self, node_id):
        """Open the links to a node before the first message is sent.

        :param node_id: the node.
        """
        if node_id == self.node_id or node_id not in self.addresses:
            return
        for traffic_class in ("control", "bulk"):
            self._open_sockets(node_id, traffic_class)

    def disconnect(self, node_id):
        """Close the links to a node.

        :param node_id: the node.
        """
        for traffic_class in ("control", "bulk"):
            for dealer in self._dealers.pop((node_id, traffic_class), ()):
                dealer.close()

    def _open_sockets(self, node_id, traffic_class):
        """Return the sockets to a peer, one for each key that it may have.

        During a key rotation, a peer has either the old or the new key.
        """
        dealers = self._dealers.get((node_id, traffic_class))
        if dealers is None:
            own = self.keys.public_key
            others = sorted(self.keys.accepted_public_keys - {own})
            dealers = [
                self._open_socket(node_id, traffic_class, key)
                for key in (own, *others)
            ]
            self._dealers[node_id, traffic_class] = dealers
        return dealers

    def _open_socket(self, node_id, traffic_class, server_key):
        dealer = self._sync_context.socket(zmq.DEALER)
        self._configure(dealer)
        dealer.immediate = True
        dealer.reconnect_ivl = RECONNECT_INTERVAL_MS
        dealer.reconnect_ivl_max = MAX_RECONNECT_INTERVAL_MS
        dealer.curve_serverkey = server_key
        dealer.routing_id = f"{self.node_id}/{traffic_class}".encode()
        dealer.connect(f"tcp://{self.addresses[node_id]}")
        return dealer

    def send(self, to, message):
        """Send a message without waiting.

        :param to: id of the receiving node.
        :param message: a message of the schema.
        :returns: whether the message was queued; ``False`` without a link.
        """
        if to == self.node_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.delivery.deliver, to, message)
            return True
        if to not in self.addresses:
            self.dropped_messages += 1
            return False
        traffic_class = (
            "bulk" if isinstance(message, BULK_MESSAGES) else "control"
        )
        frames = _delivery.encode(schema.encode, to, message, self._log)
        if frames is None or not any(
            _try_send(dealer, frames)
            for dealer in self._open_sockets(to, traffic_class)
        ):
            self.dropped_messages += 1
            return False
        self.sent_messages += 1
        self.sent_bytes += len(frames[0]) + len(frames[1])
        return True

    def _receive_available(self):
        for _ in range(MAX_MESSAGES_PER_WAKEUP):
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            except zmq.ZMQError:
                return
            self._receive(frames)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._receive_if_open)

    def _receive_if_open(self):
        if not self._router.closed:
            self._receive_available()

    def _receive(self, frames):
        name = b""
        try:
            peer, name, payload = frames
            message = schema.decode(name, payload)
        except (ValueError, schema.MalformedMessageError) as error:
            peer = frames[0].decode(errors="replace")
            self._refusals.record(peer, name, error)
            return
        size_bytes = len(name) + len(payload)
        self.received_messages += 1
        self.received_bytes += size_bytes
        sender = _parse_node_id(peer)
        self._delivery_queue.put(sender, message, size_bytes)

    def _deliver(self, sender, message):
        if not self._router.closed:
            self.delivery.deliver(sender, message)


def _try_send(dealer, frames):
    try:
        dealer.send_multipart(frames, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True


@functools.lru_cache(maxsize=4096)
def _parse_node_id(peer):
    return peer.decode(errors="replace").rpartition("/")[0]
