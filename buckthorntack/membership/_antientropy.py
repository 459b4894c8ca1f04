"""Anti-entropy: two nodes compare digests and exchange differing records."""

import collections

from buckthorntack.membership import _digest
from buckthorntack.schema import messages

#: Scope of the records that all nodes of one failure domain share.
DOMAIN_SCOPE = "failure_domain"
#: Scope of the records that all nodes share.
GLOBAL_SCOPE = "world"

SERVER = "server"
ENTRY = "entry"
SUMMARY = "domain"
ITEM = "item"

#: Separates the kind and the key of an item in a record key.
_SEPARATOR = "\0"
#: Largest number of records requested or offered in one exchange.
_MAX_PULL = 256


class AntiEntropy:
    """Compares digests with random peers and exchanges what differs.

    :param state: the shared :class:`MembershipState`.
    :param delta_gossip: the :class:`DeltaGossip` that sends server records.
    :param summary_gossip: the :class:`SummaryGossip` that sends summaries.
    :param item_gossip: the :class:`ItemGossip` that sends items.
    """

    def __init__(self, state, delta_gossip, summary_gossip, item_gossip):
        self.state = state
        self.delta_gossip = delta_gossip
        self.summary_gossip = summary_gossip
        self.item_gossip = item_gossip
        self.due_at_ms = 0

    def tick(self):
        """Request records about to expire; start a comparison if due."""
        self._pull_expiring()
        if self.state.now_ms < self.due_at_ms:
            return
        period_ms = self.state.timing.digest_ms
        jitter_ms = self.state.rng.randrange(period_ms // 4 + 1)
        self.due_at_ms = self.state.now_ms + period_ms - jitter_ms
        peers = self.state.domain_peers()
        if peers:
            self.send_digest(
                self.state.rng.choice(peers).node_id, DOMAIN_SCOPE
            )
        contacts = self.summary_gossip.choose_contacts()
        if contacts and self.summary_gossip.relay_rank() is not None:
            self.send_digest(self.state.rng.choice(contacts), GLOBAL_SCOPE)

    def _pull_expiring(self):
        """Request servers whose lease is about to expire from a random peer.

        This bypasses a link on which their renewals are lost.
        """
        state = self.state
        peers = state.domain_peers()
        deadline_ms = state.now_ms + state.timing.server_lease_ms // 4
        expiring = [
            messages.RecordKey(SERVER, held.record.server_id, *held.version)
            for held in state.servers.held_servers()
            if state.now_ms < held.expires_at_ms <= deadline_ms
            and held.record.failure_domain == state.own.failure_domain
        ]
        if expiring and peers:
            self._pull(state.rng.choice(peers).node_id, expiring)

    def _pull(self, to, keys):
        chosen = keys[:_MAX_PULL]
        self.state.send(to, messages.MembershipPull, [], chosen)

    def record_keys(self, scope):
        """Keys of this node's records in a scope.

        :param scope: :data:`DOMAIN_SCOPE` or :data:`GLOBAL_SCOPE`.
        """
        state = self.state
        keys = [_summary_key(state.own.failure_domain)]
        keys += [
            _summary_key(summary.failure_domain)
            for summary in state.summaries.records(state.now_ms)
        ]
        keys += [
            messages.RecordKey(ITEM, _SEPARATOR.join(key), 0, version)
            for key, version in state.items.versions()
        ]
        if scope == DOMAIN_SCOPE:
            keys += [_entry_key(record) for record in state.domain_entries()]
            keys += self._server_keys()
        return keys

    def _server_keys(self):
        state = self.state
        return [
            messages.RecordKey(
                SERVER,
                held.record.server_id,
                held.record.incarnation,
                held.changed_sequence,
            )
            for held in state.servers.held_servers()
            if held.expires_at_ms > state.now_ms
            and held.record.failure_domain == state.own.failure_domain
        ]

    def send_digest(self, to, scope):
        """Start a comparison with one node.

        :param to: id of the node.
        :param scope: :data:`DOMAIN_SCOPE` or :data:`GLOBAL_SCOPE`.
        """
        keys = self.record_keys(scope)
        hashes = _digest.buckets(keys, _digest.bucket_count(len(keys)))
        self.state.send(to, messages.MembershipDigest, scope, hashes)

    def on_digest(self, sender, message):
        """Answer a digest with the record keys of the buckets that differ.

        :param sender: id of the node that started the comparison.
        :param message: the message.
        """
        keys = self.record_keys(message.scope)
        count = len(message.buckets)
        if not 0 < count <= _digest.MAX_BUCKETS:
            return
        ours = _digest.buckets(keys, count)
        numbers = set(_digest.differing_buckets(ours, message.buckets))
        if not numbers:
            return
        chosen = [k for k in keys if _digest.bucket_of(k, count) in numbers]
        self.state.send(
            sender,
            messages.MembershipDigestDetail,
            message.scope,
            count,
            sorted(numbers),
            chosen,
        )

    def on_detail(self, sender, message):
        """Request newer records of the other node and send newer own ones.

        :param sender: id of the node that answered the digest.
        :param message: the message.
        """
        count = max(1, message.count)
        numbers = set(message.buckets)
        theirs = {_record_name(key): key for key in message.keys}
        ours = {
            _record_name(key): key
            for key in self.record_keys(message.scope)
            if _digest.bucket_of(key, count) in numbers
        }
        wanted = [
            key
            for name, key in theirs.items()
            if name not in ours or _version(key) > _version(ours[name])
        ]
        if wanted:
            self._pull(sender, wanted)
        offered = [
            key
            for name, key in ours.items()
            if name not in theirs or _version(key) > _version(theirs[name])
        ]
        self.on_pull(sender, offered[:_MAX_PULL])

    def on_pull(self, sender, keys):
        """Send the full records of some keys.

        :param sender: id of the requester.
        :param keys: keys of the records.
        """
        groups = collections.defaultdict(list)
        for key in keys:
            groups[key.kind].append(key)
        self._send_servers(sender, groups[SERVER])
        self._send_entries(sender, groups[ENTRY])
        self._send_summaries(sender, groups[SUMMARY])
        items = [tuple(key.key.split(_SEPARATOR, 1)) for key in groups[ITEM]]
        found = self.item_gossip.current_items(k for k in items if len(k) == 2)
        self.item_gossip.send(sender, found)

    def _send_servers(self, sender, keys):
        state = self.state
        found = [state.servers.get(key.key) for key in keys]
        live = [h for h in found if h and h.expires_at_ms > state.now_ms]
        self.delta_gossip.send_updates(sender, live)

    def _send_entries(self, sender, keys):
        state = self.state
        names = {key.key for key in keys}
        records = [
            state.entries.record_at(name, state.now_ms)
            for name in sorted(names)
            if state.entries.get(name) is not None
        ]
        if state.own.node_id in names:
            records.append(state.own_record())
        if records:
            state.send(sender, messages.MembershipEntries, records)

    def send_entries(self, newcomer):
        """Send the known entry VMs to a node that has joined the region.

        :param newcomer: ``EntryRecord`` of the node.
        """
        state = self.state
        records = state.domain_peers()
        is_near = newcomer.failure_domain == state.own.failure_domain
        if is_near and self.summary_gossip.relay_rank() is not None:
            records = state.entries.records()
        others = [r for r in records if r.node_id != newcomer.node_id]
        if others:
            found = [
                state.entries.record_at(r.node_id, state.now_ms)
                for r in others
            ]
            state.send(newcomer.node_id, messages.MembershipEntries, found)

    def _send_summaries(self, sender, keys):
        state = self.state
        names = {key.key for key in keys}
        summaries = [
            summary
            for summary in state.summaries.records(state.now_ms)
            if summary.failure_domain in names
        ]
        if state.own.failure_domain in names:
            summaries.append(self.summary_gossip.own_summary())
        if summaries:
            self.summary_gossip.send(sender, summaries)


def _summary_key(failure_domain):
    """Key of a summary without a version; only its presence is compared."""
    return messages.RecordKey(SUMMARY, failure_domain, 0, 0)


def _entry_key(record):
    return messages.RecordKey(
        ENTRY, record.node_id, record.incarnation, record.sequence
    )


def _record_name(key):
    return key.kind, key.key


def _version(key):
    return key.incarnation, key.sequence
