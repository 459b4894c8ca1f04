"""Links between our own processes: one-way messages over pyzmq with CURVE.

Each node binds one ROUTER socket, on which it only receives, and opens two
DEALER sockets to a peer, on which it only sends: one for control messages
and one for the bulk of forwarded requests, so that a long prompt does not
hold up a heartbeat.
"""

import asyncio
import functools

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from buckthorntack import events
from buckthorntack import schema
from buckthorntack.schema import messages
from buckthorntack.transport import _events
from buckthorntack.transport import _shaping

HEARTBEAT_PERIOD_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500
ZAP_DOMAIN = "links"
RECONNECT_MS = 50
RECONNECT_MAX_MS = 1000
RECEIVED_AT_ONCE = 256
#: Sockets of a node; two for each peer, twice that while keys are rotated.
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


class _AcceptedKeys:
    """Tells the authenticator which peers may connect."""

    def __init__(self, keys, log):
        self.accepted = set(keys.accepted_public_keys) | {keys.public_key}
        self.log = log

    def callback(self, domain, key):
        """Accept or refuse a peer.

        :param domain: ZAP domain, unused.
        :param key: the peer's public key, as Z85 text.
        """
        if key in self.accepted:
            return True
        self.log.write(_events.LINK_REFUSED, public_key=key.decode())
        return False


class LinkTask:
    """Owns the sockets of one node's links.

    :param node_id: this node.
    :param listen_address: IP address and port to receive on.
    :param keys: ``security.LinkKeys``, the same pair on all nodes.
    :param addresses: link address of each node known from the settings.
    :param handle: called with sender and message for each received one.
    :param clock: source of time.
    :param shaping: delays and losses for trials.
    :param queue_messages: messages kept for a slow peer.
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
        self.handle = handle
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

    async def __aenter__(self):
        self._context = zmq.asyncio.Context()
        self._context.max_sockets = MAX_SOCKETS
        self._plain = zmq.Context.shadow(self._context)
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            ZAP_DOMAIN, _AcceptedKeys(self.keys, self._log)
        )
        self._arrivals = _shaping.ArrivalQueue(
            self.shaping, self._hand_on, self.clock
        )
        self._router = self._plain.socket(zmq.ROUTER)
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

    def learn(self, node_id, address):
        """Take in where a node is reached; an old link is dropped.

        :param node_id: the node.
        :param address: its link address.
        """
        if self.addresses.get(node_id) == address:
            return
        self.addresses[node_id] = address
        self.disconnect(node_id)

    def connect(self, node_id):
        """Open the links to a node, ahead of need.

        :param node_id: the node.
        """
        if node_id == self.node_id or node_id not in self.addresses:
            return
        for lane in ("control", "bulk"):
            self._open_lane(node_id, lane)

    def disconnect(self, node_id):
        """Close the links to a node.

        :param node_id: the node.
        """
        for lane in ("control", "bulk"):
            for dealer in self._dealers.pop((node_id, lane), ()):
                dealer.close()

    def _open_lane(self, node_id, lane):
        """Sockets to a peer, one for each key that it may have by now."""
        dealers = self._dealers.get((node_id, lane))
        if dealers is None:
            own = self.keys.public_key
            others = sorted(self.keys.accepted_public_keys - {own})
            dealers = [
                self._open(node_id, lane, key) for key in (own, *others)
            ]
            self._dealers[node_id, lane] = dealers
        return dealers

    def _open(self, node_id, lane, server_key):
        dealer = self._plain.socket(zmq.DEALER)
        self._configure(dealer)
        dealer.immediate = True
        dealer.reconnect_ivl = RECONNECT_MS
        dealer.reconnect_ivl_max = RECONNECT_MAX_MS
        dealer.curve_serverkey = server_key
        dealer.routing_id = f"{self.node_id}/{lane}".encode()
        dealer.connect(f"tcp://{self.addresses[node_id]}")
        return dealer

    def send(self, to, message):
        """Send a message without waiting.

        :param to: node that shall receive it.
        :param message: a message of the schema.
        :returns: whether it was taken; ``False`` while there is no link.
        """
        if to == self.node_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.handle, to, message)
            return True
        if to not in self.addresses:
            self.dropped_messages += 1
            return False
        lane = "bulk" if isinstance(message, BULK_MESSAGES) else "control"
        frames = schema.encode(message)
        if not any(
            _sent(dealer, frames) for dealer in self._open_lane(to, lane)
        ):
            self.dropped_messages += 1
            return False
        self.sent_messages += 1
        self.sent_bytes += len(frames[0]) + len(frames[1])
        return True

    def _receive_available(self):
        for _ in range(RECEIVED_AT_ONCE):
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
        try:
            peer, name, payload = frames
            message = schema.decode(name, payload)
        except (ValueError, schema.MalformedMessageError) as error:
            peer = frames[0].decode(errors="replace")
            self._log.write(
                _events.MESSAGE_REFUSED, peer=peer, reason=str(error)
            )
            return
        size_bytes = len(name) + len(payload)
        self.received_messages += 1
        self.received_bytes += size_bytes
        sender = _node_of(peer)
        self._arrivals.put(sender, message, size_bytes)

    def _hand_on(self, sender, message):
        if not self._router.closed:
            self.handle(sender, message)


def _sent(dealer, frames):
    try:
        dealer.send_multipart(frames, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True


@functools.lru_cache(maxsize=4096)
def _node_of(peer):
    return peer.decode(errors="replace").rpartition("/")[0]
