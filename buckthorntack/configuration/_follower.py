"""Decision of an entry VM: which configuration it holds and asks for."""

import datetime
import functools

from buckthorntack import schema
from buckthorntack.configuration import _commands
from buckthorntack.configuration import _log
from buckthorntack.configuration import _transfer
from buckthorntack.schema import messages

#: Period of polls, which are also the reports of the revision in force.
POLL_PERIOD = datetime.timedelta(seconds=1)
#: Silence after which another control VM is asked.
SOURCE_TIMEOUT = datetime.timedelta(seconds=3)


class ConfigurationFollower:
    """Follows the published set; its revision never goes down.

    A follower that holds nothing is cold: it takes a set only from a control
    VM whose revision a quorum confirmed, because it cannot know how far it
    was before.  It then holds at least that revision.  It takes only such a
    control VM's word for being registered, too.

    :param region: region of this entry VM.
    :param failure_domain: its failure domain.
    :param sources: node ids of control VMs.
    :param rng: random source.
    :param registration: number under which it registers; must be higher than
        at each start before.
    """

    def __init__(self, region, failure_domain, sources, rng, registration):
        self.region = region
        self.failure_domain = failure_domain
        self.sources = tuple(sources)
        self.rng = rng
        self.registration = registration
        self.log = _log.PublishedLog()
        self.in_force_revision = 0
        self.registered = False
        self.source = None
        self._heard_at = None
        self._poll_at = None
        self._floor = None
        self._transfer = None

    @property
    def cold(self):
        """Whether nothing is held."""
        return self.log.revision == 0

    def resume(self, copy, deltas, registered, registration):
        """Start from a durable copy, which is in force at once.

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
        self.in_force_revision = self.log.revision

    def in_force(self, revision, now):
        """Note that a revision is durable and in force.

        :param revision: the revision.
        :param now: monotonic time.
        :returns: commands, among them the report to the source.
        """
        self.in_force_revision = max(self.in_force_revision, revision)
        return self._poll(self.source, now) if self.source else []

    def tick(self, now, peers):
        """Poll, change the source, ask again for what is missing.

        :param now: monotonic time.
        :param peers: entry VMs of the same failure domain, without this.
        :returns: commands.
        """
        if self.source is None or now - self._heard_at >= SOURCE_TIMEOUT:
            self._choose_source(now)
        commands = []
        if self._poll_at is None or now >= self._poll_at:
            commands += self._poll(self.source, now)
            commands += self._poll_peer(now, peers)
        if self._transfer is not None and self._transfer.overdue(now):
            commands += self._transfer.retry(now)
        return commands

    def catch_up(self, now, peers):
        """Poll at once, because a request names a higher revision.

        :param now: monotonic time.
        :param peers: entry VMs of the same failure domain, without this.
        :returns: commands.
        """
        self._poll_at = None
        return self.tick(now, peers)

    def _choose_source(self, now):
        others = [one for one in self.sources if one != self.source]
        if self.source is None or others:
            self.source = self.rng.choice(others)
        self._heard_at = now
        self._transfer = None
        self._poll_at = None

    def _poll(self, to, now):
        self._poll_at = now + POLL_PERIOD
        poll = messages.ConfigurationPoll(
            region=self.region,
            failure_domain=self.failure_domain,
            revision=self.in_force_revision,
            digest=self.log.digest_at(self.in_force_revision) or b"",
            registered=self.registered,
            registration=self.registration,
        )
        return [_commands.Send(to, poll)]

    def _poll_peer(self, now, peers):
        out_of_contact = now - self._heard_at >= 2 * POLL_PERIOD
        if self.cold or not peers or not out_of_contact:
            return []
        return self._poll(self.rng.choice(list(peers)), now)

    def receive(self, sender, message, now):
        """Take a message.

        :param sender: node that sent it.
        :param message: a message of the schema.
        :param now: monotonic time.
        :returns: commands.
        """
        if sender == self.source:
            self._heard_at = now
        return self._receive(message, sender, now)

    @functools.singledispatchmethod
    def _receive(self, message, sender, now):
        return []

    @_receive.register
    def _present(self, message: messages.ConfigurationPresent, sender, now):
        if sender not in self.sources:
            return []
        commands = []
        if self.cold and message.fresh:
            self._floor = max(self._floor or 0, message.revision)
        if message.copy_needed and message.revision > self.log.revision:
            commands += self._start_transfer(sender, now)
        up_to_date = not self.cold and self.log.revision >= message.revision
        registered = message.fresh and message.registered
        if registered and up_to_date and not self.registered:
            self.registered = True
            commands.append(_commands.MarkRegistered())
        return commands

    def _start_transfer(self, sender, now):
        if self._transfer is not None or (self.cold and self._floor is None):
            return []
        self._transfer = _transfer.CopyTransfer(sender, now)
        return self._transfer.ask()

    @_receive.register
    def _deltas(self, message: messages.ConfigurationDeltas, sender, now):
        known = self.log.revision - message.after_revision
        end = message.after_revision + len(message.deltas)
        if known < 0:
            return self._poll(sender, now)
        if self.log.digest_at(message.after_revision) != message.after_digest:
            return []
        if self.cold and not self._may_start_with(sender, end):
            return []
        return [self._append(delta) for delta in message.deltas[known:]]

    def _may_start_with(self, sender, revision):
        trusted = sender in self.sources and self._floor is not None
        return trusted and revision >= self._floor

    def _append(self, delta):
        self.log.append(delta)
        return _commands.Adopt(self.log.published, self.log.digest, delta, b"")

    @_receive.register
    def _chunk(self, message: messages.ConfigurationChunk, sender, now):
        transfer = self._transfer
        if transfer is None or transfer.source != sender:
            return []
        commands = transfer.take(message, now)
        if not transfer.complete():
            return commands
        self._transfer = None
        return self._take_copy(transfer)

    def _take_copy(self, transfer):
        below_floor = self.cold and transfer.revision < self._floor
        if below_floor or transfer.revision <= self.log.revision:
            return []
        copy = transfer.copy()
        if schema.unpack(copy).revision != transfer.revision:
            return []
        self.log.load(copy)
        return [
            _commands.Adopt(self.log.published, self.log.digest, b"", copy)
        ]
