"""Spread of the application's small items to all nodes."""

from expression import Error
from expression import Ok

from buckthorntack.membership import _commands
from buckthorntack.membership import _errors
from buckthorntack.schema import messages

#: Entry VMs of each other failure domain that an item is sent to.
_CONTACTS = 2
#: Bytes of an item besides its value, roughly.
_ITEM_OVERHEAD_BYTES = 64


class ItemGossip:
    """Sends and takes items.

    :param state: the :class:`MembershipState` it works on.
    :param summary_gossip: the :class:`SummarySpread` that knows other domains.
    """

    def __init__(self, state, summary_gossip):
        self.state = state
        self.summary_gossip = summary_gossip
        self._to_publish = {}
        self._to_forward = {}

    def publish(self, item):
        """Take an item of this node's application.

        :param item: the item.
        :returns: ``Result`` of the item or a ``GatewayError``.
        """
        if not self.state.items.merge(item, self.state.now_ms):
            detail = f"{item.kind} {item.key} version {item.version}"
            return Error(_errors.ItemRefusedError(detail))
        self._to_publish[item.kind, item.key] = True
        return Ok(item)

    def tick(self):
        """Send what is new."""
        published, self._to_publish = self._to_publish, {}
        forward, self._to_forward = self._to_forward, {}
        near = [record.node_id for record in self.state.domain_peers()]
        if published:
            far = self.summary_gossip.choose_contacts(_CONTACTS)
            self._send_keys(near + far, published)
        if forward:
            self._send_keys(near, forward)

    def _send_keys(self, nodes, keys):
        items = self.current_items(keys)
        for node_id in nodes:
            self.send(node_id, items)

    def current_items(self, keys):
        """Items of some keys with their time left.

        :param keys: pairs of kind and key.
        """
        state = self.state
        found = [state.items.get(*key, state.now_ms) for key in keys]
        return [item for item in found if item is not None]

    def send(self, to, items):
        """Send items to one node, in bounded batches.

        :param to: the node.
        :param items: the items.
        """
        for batch in split_batches(items, self.state.timing.max_batch_bytes):
            self.state.send(to, messages.MembershipItems, batch)

    def on_items(self, sender, message, age_ms):
        """Take items; those from outside go on to this domain.

        :param sender: node that sent them.
        :param message: the message.
        :param age_ms: bound on its age, or ``None``.
        """
        state = self.state
        inside = state.is_domain_peer(sender)
        for item in message.items:
            item = item._replace(ttl_ms=item.ttl_ms - (age_ms or 0))
            if not state.items.merge(item, state.now_ms):
                continue
            state.commands.append(_commands.ItemChanged(item))
            if not inside:
                self._to_forward[item.kind, item.key] = True


def split_batches(items, max_bytes):
    """Split items into batches of bounded size.

    :param items: the items.
    :param max_bytes: most bytes of a batch of several items.
    """
    batch, size = [], 0
    for item in items:
        item_bytes = len(item.value) + _ITEM_OVERHEAD_BYTES
        if batch and size + item_bytes > max_bytes:
            yield batch
            batch, size = [], 0
        batch.append(item)
        size += item_bytes
    if batch:
        yield batch
