"""Decision of a node that gives the configuration to entry VMs."""

import collections
import datetime
import functools
from typing import NamedTuple

from buckthorntack.configuration import _commands
from buckthorntack.schema import messages

CHUNK_BYTES = 32 * 1024
#: Most bytes of deltas in one message; beyond it a full copy is cheaper.
MAX_DELTAS_BYTES = 64 * 1024
#: Rate at which all full copies together are sent.
COPY_BYTES_PER_SECOND = 1 << 20
#: Chunks that may be sent at once after a pause.
COPY_BURST_BYTES = 8 * CHUNK_BYTES
#: Most requests for chunks that wait.
MAX_WAITING_CHUNKS = 1024
#: Age from which an encoded copy is made anew if the revision has moved.
COPY_LIFETIME = datetime.timedelta(seconds=10)
#: Silence after which an entry VM counts as out of contact.
CONTACT_TIMEOUT = datetime.timedelta(seconds=5)
#: Silence after which an entry VM's report is forgotten.
REPORT_LIFETIME = datetime.timedelta(hours=1)
#: Period in which control VMs pass on all their reports.
FULL_REPORTS_PERIOD = datetime.timedelta(seconds=10)

_MILLISECOND = datetime.timedelta(milliseconds=1)


class Report(NamedTuple):
    """What an entry VM had in force when it was last heard."""

    region: str
    failure_domain: str
    revision: int
    heard_at: datetime.timedelta


class ConfigurationSource:
    """Gives deltas and full copies, and keeps the reports.

    :param log: the :class:`PublishedLog` that is given out.
    :param is_registered: tells of a node id and the number of its
        registration whether the log has it; ``None`` on an entry VM, which
        gives only deltas.
    """

    def __init__(self, log, is_registered=None):
        self.log = log
        self.is_registered = is_registered
        self.reports = {}
        self._direct = {}
        self._polls = {}
        self._unsent = set()
        self._full_at = datetime.timedelta()
        self._pushed = log.revision
        self._copy = b""
        self._copy_revision = 0
        self._copy_at = None
        self._credit_bytes = COPY_BURST_BYTES
        self._credit_at = None
        self._waiting = collections.deque()

    def receive(self, sender, message, now):
        """Take a message.

        :param sender: node that sent it.
        :param message: a message of the schema.
        :param now: monotonic time.
        :returns: commands.
        """
        return self._receive(message, sender, now)

    @functools.singledispatchmethod
    def _receive(self, message, sender, now):
        return []

    @_receive.register
    def _poll(self, message: messages.ConfigurationPoll, sender, now):
        self._note(sender, message, now)
        if self.is_registered is None:
            return self._deltas(sender, message.revision, message.digest)
        commands = []
        if not self.is_registered(sender, message.registration):
            commands.append(_registration(sender, message, True))
        if message.revision == 0 or not message.registered:
            return [*commands, _commands.ConfirmFresh(sender)]
        return commands + self._answer(sender, message, False)

    def _note(self, sender, poll, now):
        known = self.reports.get(sender)
        if known is None or known.revision != poll.revision:
            self._unsent.add(sender)
        self.reports[sender] = Report(
            poll.region, poll.failure_domain, poll.revision, now
        )
        self._direct[sender] = now
        self._polls[sender] = poll

    def confirmed(self, node_id):
        """Answer an entry VM after a quorum confirmed the revision.

        :param node_id: the entry VM.
        :returns: commands.
        """
        poll = self._polls.get(node_id)
        if poll is None:
            return []
        return self._answer(node_id, poll, True)

    def _answer(self, node_id, poll, fresh):
        revision = poll.revision
        deltas = self._deltas(node_id, revision, poll.digest)
        present = messages.ConfigurationPresent(
            revision=self.log.revision,
            fresh=fresh,
            registered=self.is_registered(node_id, poll.registration),
            copy_needed=not deltas and self.log.revision > revision,
        )
        return [_commands.Send(node_id, present), *deltas]

    def _deltas(self, node_id, revision, digest):
        deltas = self.log.deltas_after(revision)
        if not deltas or self.log.digest_at(revision) != digest:
            return []
        fitting, size = [], 0
        for delta in deltas:
            size += len(delta)
            if size > MAX_DELTAS_BYTES:
                break
            fitting.append(delta)
        if not fitting:
            return []
        message = messages.ConfigurationDeltas(revision, digest, fitting)
        return [_commands.Send(node_id, message)]

    def changed(self, now):
        """Push what is new to all entry VMs in contact.

        :param now: monotonic time.
        :returns: commands.
        """
        after, self._pushed = self._pushed, self.log.revision
        digest = self.log.digest_at(after)
        if after >= self.log.revision or digest is None:
            return []
        commands = []
        for node_id, heard_at in self._direct.items():
            if now - heard_at < CONTACT_TIMEOUT:
                commands += self._deltas(node_id, after, digest)
        return commands

    @_receive.register
    def _chunk_request(
        self, message: messages.ConfigurationChunkRequest, sender, now
    ):
        if self.is_registered is None:
            return []
        asked = (sender, message.revision, message.index)
        has_room = len(self._waiting) < MAX_WAITING_CHUNKS
        if has_room and asked not in self._waiting:
            self._waiting.append(asked)
        return self._send_chunks(now)

    def _send_chunks(self, now):
        self._refill(now)
        commands = []
        while self._waiting and self._credit_bytes >= CHUNK_BYTES:
            node_id, revision, index = self._waiting.popleft()
            self._credit_bytes -= CHUNK_BYTES
            commands.append(self._chunk(node_id, revision, index, now))
            if revision != self._copy_revision:
                self._drop_outdated(node_id)
        return commands

    def _drop_outdated(self, node_id):
        """Forget what a node still asks of an older copy than it now gets."""
        kept = [
            asked
            for asked in self._waiting
            if asked[0] != node_id or asked[1] == self._copy_revision
        ]
        self._waiting.clear()
        self._waiting.extend(kept)

    def _refill(self, now):
        elapsed = now - (self._credit_at or now)
        self._credit_at = now
        earned = int(elapsed.total_seconds() * COPY_BYTES_PER_SECOND)
        credit = self._credit_bytes + earned
        self._credit_bytes = min(credit, COPY_BURST_BYTES)

    def _chunk(self, node_id, revision, index, now):
        self._refresh_copy(now)
        chunks = -(-len(self._copy) // CHUNK_BYTES)
        if revision != self._copy_revision or index >= chunks:
            index = 0
        start = index * CHUNK_BYTES
        chunk = messages.ConfigurationChunk(
            revision=self._copy_revision,
            index=index,
            chunks=chunks,
            data=self._copy[start : start + CHUNK_BYTES],
        )
        return _commands.Send(node_id, chunk)

    def _refresh_copy(self, now):
        if self._copy_revision == self.log.revision:
            return
        has_deltas = self.log.deltas_after(self._copy_revision) is not None
        young = self._copy and now - self._copy_at < COPY_LIFETIME
        if young and has_deltas:
            return
        self._copy = self.log.copy()
        self._copy_revision = self.log.revision
        self._copy_at = now

    @_receive.register
    def _leave(self, message: messages.ConfigurationLeave, sender, now):
        if self.is_registered is None:
            return []
        if not self.is_registered(sender, message.registration):
            return []
        self._forget(sender)
        return [_registration(sender, message, False)]

    @_receive.register
    def _reports(self, message: messages.ConfigurationReports, sender, now):
        for one in message.reports:
            heard_at = now - one.age_ms * _MILLISECOND
            known = self.reports.get(one.node_id)
            if known is None or known.heard_at < heard_at:
                self.reports[one.node_id] = Report(
                    one.region, one.failure_domain, one.revision, heard_at
                )
        return []

    def tick(self, now, controls):
        """Send waiting chunks and pass reports on.

        :param now: monotonic time.
        :param controls: the other control VMs.
        :returns: commands.
        """
        commands = self._send_chunks(now)
        if now - self._full_at >= FULL_REPORTS_PERIOD:
            self._full_at = now
            self._forget_silent(now)
            self._unsent |= {
                node_id
                for node_id, heard_at in self._direct.items()
                if now - heard_at < CONTACT_TIMEOUT
            }
        if self._unsent:
            commands += self._pass_on(now, controls)
        return commands

    def _forget_silent(self, now):
        for node_id, report in list(self.reports.items()):
            if now - report.heard_at >= REPORT_LIFETIME:
                self._forget(node_id)

    def _forget(self, node_id):
        self.reports.pop(node_id, None)
        self._direct.pop(node_id, None)
        self._polls.pop(node_id, None)

    def _pass_on(self, now, controls):
        reports = [
            messages.ConfigurationReport(
                node_id=node_id,
                region=report.region,
                failure_domain=report.failure_domain,
                revision=report.revision,
                age_ms=(now - report.heard_at) // _MILLISECOND,
            )
            for node_id, report in sorted(self.reports.items())
            if node_id in self._unsent
        ]
        self._unsent.clear()
        message = messages.ConfigurationReports(reports)
        return [_commands.Send(control, message) for control in controls]


def _registration(node_id, message, present):
    return _commands.Register(
        node_id,
        message.region,
        message.failure_domain,
        message.registration,
        present,
    )
