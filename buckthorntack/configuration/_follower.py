"""Replication of the configuration to an entry VM, without I/O."""

import datetime
import functools

from buckthorntack import schema
from buckthorntack.configuration import _commands
from buckthorntack.configuration import _log
from buckthorntack.configuration import _transfer
from buckthorntack.schema import messages

#: Period of polls, which also report the active revision.
POLL_PERIOD = datetime.timedelta(seconds=1)
#: Time without a message after which another control VM is polled.
SOURCE_TIMEOUT = datetime.timedelta(seconds=3)


class ConfigurationFollower:
    """Follows the published set; its revision never goes down.

    An empty follower does not know which revision it had before it lost its
    state.  It therefore loads a first set only from a control VM whose
    revision a quorum has confirmed, and only at that revision or a later
    one.  Likewise it counts as registered only if such a control VM says so.

    :param region: region of this entry VM.
    :param failure_domain: its failure domain.
    :param sources: node ids of control VMs.
    :param rng: random source.
    :param registration: number under which it registers; must be higher than
        at all earlier starts.
    """

    def __init__(self, region, failure_domain, sources, rng, registration):
        self.region = region
        self.failure_domain = failure_domain
        self.sources = tuple(sources)
        self.rng = rng
        self.registration = registration
        self.log = _log.PublishedLog()
        self.active_revision = 0
        self.registered = False
        self.source = None
        self._last_heard_at = None
        self._next_poll_at = None
        self._min_revision = None
        self._transfer = None

    @property
    def is_empty(self):
        """Whether no set has been loaded yet."""
        return self.log.revision == 0

    def restore(self, copy, deltas, registered, registration):
        """Load a durable copy, which is active at once.

        :param copy: an encoded ``ConfigurationCopy``.
        :param deltas: encoded deltas after it.
        :param registered: whether this entry VM was registered.
        :param registration: number of its last registration.
        """
        self.log.load(copy)
        for delta in deltas:
            self.log.append(delta)
        self.registered = registered
        if registered:
            self.registration = registration
        else:
            self.registration = max(self.registration, registration + 1)
        self.active_revision = self.log.revision

    def on_activated(self, revision, now):
        """Record that a revision is durable and active.

        :param revision: the revision.
        :param now: monotonic time.
        :returns: commands, among them the report to the source.
        """
        self.active_revision = max(self.active_revision, revision)
        return self._poll(self.source, now) if self.source else []

    def tick(self, now, peers):
        """Poll, replace a silent source, and retry a stalled transfer.

        :param now: monotonic time.
        :param peers: other entry VMs of the same failure domain.
        :returns: commands.
        """
        if self.source is None or now - self._last_heard_at >= SOURCE_TIMEOUT:
            self._choose_source(now)
        commands = []
        if self._next_poll_at is None or now >= self._next_poll_at:
            commands += self._poll(self.source, now)
            commands += self._poll_peer(now, peers)
        if self._transfer is not None and self._transfer.is_overdue(now):
            commands += self._transfer.retry(now)
        return commands

    def poll_immediately(self, now, peers):
        """Poll at once, because a request names a higher revision.

        :param now: monotonic time.
        :param peers: other entry VMs of the same failure domain.
        :returns: commands.
        """
        self._next_poll_at = None
        return self.tick(now, peers)

    def _choose_source(self, now):
        others = [one for one in self.sources if one != self.source]
        if self.source is None or others:
            self.source = self.rng.choice(others)
        self._last_heard_at = now
        self._transfer = None
        self._next_poll_at = None

    def _poll(self, to, now):
        self._next_poll_at = now + POLL_PERIOD
        poll = messages.ConfigurationPoll(
            region=self.region,
            failure_domain=self.failure_domain,
            revision=self.active_revision,
            digest=self.log.digest_at(self.active_revision) or b"",
            registered=self.registered,
            registration=self.registration,
        )
        return [_commands.Send(to, poll)]

    def _poll_peer(self, now, peers):
        out_of_contact = now - self._last_heard_at >= 2 * POLL_PERIOD
        if self.is_empty or not peers or not out_of_contact:
            return []
        return self._poll(self.rng.choice(list(peers)), now)

    def receive(self, sender, message, now):
        """Handle a message.

        :param sender: node that sent it.
        :param message: a message of the schema.
        :param now: monotonic time.
        :returns: commands.
        """
        if sender == self.source:
            self._last_heard_at = now
        return self._receive(message, sender, now)

    @functools.singledispatchmethod
    def _receive(self, message, sender, now):
        return []

    @_receive.register
    def _on_present(self, message: messages.ConfigurationPresent, sender, now):
        if sender not in self.sources:
            return []
        commands = []
        if self.is_empty and message.fresh:
            self._min_revision = max(self._min_revision or 0, message.revision)
        if message.copy_needed and message.revision > self.log.revision:
            commands += self._start_transfer(sender, now)
        up_to_date = (
            not self.is_empty and self.log.revision >= message.revision
        )
        registered = message.fresh and message.registered
        if registered and up_to_date and not self.registered:
            self.registered = True
            commands.append(_commands.StoreRegistration())
        return commands

    def _start_transfer(self, sender, now):
        if self._transfer is not None or (
            self.is_empty and self._min_revision is None
        ):
            return []
        self._transfer = _transfer.CopyTransfer(sender, now)
        return self._transfer.request_missing()

    @_receive.register
    def _on_deltas(self, message: messages.ConfigurationDeltas, sender, now):
        known_count = self.log.revision - message.after_revision
        end_revision = message.after_revision + len(message.deltas)
        if known_count < 0:
            return self._poll(sender, now)
        if self.log.digest_at(message.after_revision) != message.after_digest:
            return []
        if self.is_empty and not self._can_start_from(sender, end_revision):
            return []
        return [
            self._append_delta(delta) for delta in message.deltas[known_count:]
        ]

    def _can_start_from(self, sender, revision):
        is_confirmed = (
            sender in self.sources and self._min_revision is not None
        )
        return is_confirmed and revision >= self._min_revision

    def _append_delta(self, delta):
        self.log.append(delta)
        return _commands.Activate(
            self.log.published, self.log.digest, delta, b""
        )

    @_receive.register
    def _on_chunk(self, message: messages.ConfigurationChunk, sender, now):
        transfer = self._transfer
        if transfer is None or transfer.source != sender:
            return []
        commands = transfer.add_chunk(message, now)
        if not transfer.is_complete():
            return commands
        self._transfer = None
        return self._load_copy(transfer)

    def _load_copy(self, transfer):
        is_too_old = self.is_empty and transfer.revision < self._min_revision
        if is_too_old or transfer.revision <= self.log.revision:
            return []
        copy = transfer.join_chunks()
        if schema.unpack(copy).revision != transfer.revision:
            return []
        self.log.load(copy)
        return [
            _commands.Activate(self.log.published, self.log.digest, b"", copy)
        ]
