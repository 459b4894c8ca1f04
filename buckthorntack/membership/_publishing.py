"""Gossip of small application items to all nodes."""

from expression import Error
from expression import Ok

from buckthorntack.membership import _commands
from buckthorntack.membership import _errors
from buckthorntack.schema import messages

#: Number of entry VMs of each other failure domain that an item is sent to.
_CONTACTS = 2
#: Estimated size of an item without its value.
_ITEM_OVERHEAD_BYTES = 64


class ItemGossip:
    """Sends items and merges received ones.

    :param state: the shared :class:`MembershipState`.
    :param summary_gossip: the :class:`SummaryGossip` that chooses contacts in
        other failure domains.
    """

    def __init__(self, state, summary_gossip):
        self.state = state
        self.summary_gossip = summary_gossip
        self._to_publish = {}
        self._to_forward = {}

    def publish(self, item):
        """Merge an item of this node's application and queue it.

        :param item: the item.
        :returns: ``Result`` of the item or a ``GatewayError``.
        """
        if not self.state.items.merge(item, self.state.now_ms):
            detail = f"{item.kind} {item.key} version {item.version}"
            return Error(_errors.ItemRefusedError(detail))
        self._to_publish[item.kind, item.key] = True
        return Ok(item)

    def tick(self):
        """Send published items and forward received ones."""
        published, self._to_publish = self._to_publish, {}
        forward, self._to_forward = self._to_forward, {}
        domain_ids = [record.node_id for record in self.state.domain_peers()]
        if published:
            contact_ids = self.summary_gossip.choose_contacts(_CONTACTS)
            self._send_keys(domain_ids + contact_ids, published)
        if forward:
            self._send_keys(domain_ids, forward)

    def _send_keys(self, nodes, keys):
        items = self.current_items(keys)
        for node_id in nodes:
            self.send(node_id, items)

    def current_items(self, keys):
        """Items of some keys with their remaining time to live.

        :param keys: pairs of kind and key.
        """
        state = self.state
        found = [state.items.get(*key, state.now_ms) for key in keys]
        return [item for item in found if item is not None]

    def send(self, to, items):
        """Send items to one node in batches of bounded size.

        :param to: id of the receiver.
        :param items: the items.
        """
        for batch in split_batches(items, self.state.timing.max_batch_bytes):
            self.state.send(to, messages.MembershipItems, batch)

    def on_items(self, sender, message, age_ms):
        """Merge items; forward those that come from another failure domain.

        :param sender: id of the sender.
        :param message: the message.
        :param age_ms: upper bound on its age, or ``None`` if unknown.
        """
        state = self.state
        is_internal = state.is_domain_peer(sender)
        for item in message.items:
            item = item._replace(ttl_ms=item.ttl_ms - (age_ms or 0))
            if not state.items.merge(item, state.now_ms):
                continue
            state.commands.append(_commands.ItemChanged(item))
            if not is_internal:
                self._to_forward[item.kind, item.key] = True


def split_batches(items, max_bytes):
    """Split items into batches of bounded size.

    :param items: the items.
    :param max_bytes: largest size of a batch; a larger item gets a batch of
        its own.
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
