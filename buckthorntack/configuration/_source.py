"""Distribution of the configuration to entry VMs, without I/O."""

import collections
import datetime
import functools
from typing import NamedTuple

from buckthorntack.configuration import _commands
from buckthorntack.schema import messages

#: Size of a chunk of a full copy, in bytes.
CHUNK_BYTES = 32 * 1024
#: Maximum size of the deltas in one message, in bytes; beyond it a full copy
#: is cheaper.
MAX_DELTAS_MESSAGE_BYTES = 64 * 1024
#: Rate limit of all full copies together.
COPY_BYTES_PER_SECOND = 1 << 20
#: Burst of the rate limit, in bytes.
COPY_BURST_BYTES = 8 * CHUNK_BYTES
#: Maximum number of queued requests for chunks.
MAX_QUEUED_CHUNK_REQUESTS = 1024
#: Age at which an encoded copy of an older revision is replaced.
COPY_LIFETIME = datetime.timedelta(seconds=10)
#: Time without a poll after which an entry VM is out of contact.
CONTACT_TIMEOUT = datetime.timedelta(seconds=5)
#: Age at which a report of an entry VM is deleted.
REPORT_LIFETIME = datetime.timedelta(hours=1)
#: Period at which control VMs share all their current reports.
FULL_REPORTS_PERIOD = datetime.timedelta(seconds=10)

_MILLISECOND = datetime.timedelta(milliseconds=1)


class EntryVmReport(NamedTuple):
    """Active revision of an entry VM when it was last heard."""

    region: str
    failure_domain: str
    revision: int
    heard_at: datetime.timedelta


class ConfigurationSource:
    """Sends deltas and full copies, and keeps the reports of entry VMs.

    :param log: the :class:`PublishedLog` to distribute.
    :param is_registered: function of a node id and a registration number
        that returns whether they are registered in the log; ``None`` on an
        entry VM, which sends only deltas.
    """

    def __init__(self, log, is_registered=None):
        self.log = log
        self.is_registered = is_registered
        self.reports = {}
        self._last_poll_at = {}
        self._last_polls = {}
        self._unsent_node_ids = set()
        self._full_reports_at = datetime.timedelta()
        self._pushed_revision = log.revision
        self._copy = b""
        self._copy_revision = 0
        self._copy_at = None
        self._available_bytes = COPY_BURST_BYTES
        self._refilled_at = None
        self._queued_requests = collections.deque()

    def receive(self, sender, message, now):
        """Handle a message.

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
    def _on_poll(self, message: messages.ConfigurationPoll, sender, now):
        self._record_poll(sender, message, now)
        if self.is_registered is None:
            return self._build_deltas_message(
                sender, message.revision, message.digest
            )
        commands = []
        if not self.is_registered(sender, message.registration):
            commands.append(_propose_registration(sender, message, True))
        if message.revision == 0 or not message.registered:
            return [*commands, _commands.ConfirmRevision(sender)]
        return commands + self._respond_to_poll(sender, message, False)

    def _record_poll(self, sender, poll, now):
        known = self.reports.get(sender)
        if known is None or known.revision != poll.revision:
            self._unsent_node_ids.add(sender)
        self.reports[sender] = EntryVmReport(
            poll.region, poll.failure_domain, poll.revision, now
        )
        self._last_poll_at[sender] = now
        self._last_polls[sender] = poll

    def on_revision_confirmed(self, node_id):
        """Reply to an entry VM after a quorum confirmed the revision.

        :param node_id: the entry VM.
        :returns: commands.
        """
        poll = self._last_polls.get(node_id)
        if poll is None:
            return []
        return self._respond_to_poll(node_id, poll, True)

    def _respond_to_poll(self, node_id, poll, fresh):
        revision = poll.revision
        deltas = self._build_deltas_message(node_id, revision, poll.digest)
        present = messages.ConfigurationPresent(
            revision=self.log.revision,
            fresh=fresh,
            registered=self.is_registered(node_id, poll.registration),
            copy_needed=not deltas and self.log.revision > revision,
        )
        return [_commands.Send(node_id, present), *deltas]

    def _build_deltas_message(self, node_id, revision, digest):
        deltas = self.log.deltas_after(revision)
        if not deltas or self.log.digest_at(revision) != digest:
            return []
        fitting, size = [], 0
        for delta in deltas:
            size += len(delta)
            if size > MAX_DELTAS_MESSAGE_BYTES:
                break
            fitting.append(delta)
        if not fitting:
            return []
        message = messages.ConfigurationDeltas(revision, digest, fitting)
        return [_commands.Send(node_id, message)]

    def push_new_deltas(self, now):
        """Send new deltas to all entry VMs in contact.

        :param now: monotonic time.
        :returns: commands.
        """
        pushed_revision, self._pushed_revision = (
            self._pushed_revision,
            self.log.revision,
        )
        digest = self.log.digest_at(pushed_revision)
        if pushed_revision >= self.log.revision or digest is None:
            return []
        commands = []
        for node_id, heard_at in self._last_poll_at.items():
            if now - heard_at < CONTACT_TIMEOUT:
                commands += self._build_deltas_message(
                    node_id, pushed_revision, digest
                )
        return commands

    @_receive.register
    def _on_chunk_request(
        self, message: messages.ConfigurationChunkRequest, sender, now
    ):
        if self.is_registered is None:
            return []
        request = (sender, message.revision, message.index)
        has_room = len(self._queued_requests) < MAX_QUEUED_CHUNK_REQUESTS
        if has_room and request not in self._queued_requests:
            self._queued_requests.append(request)
        return self._send_chunks(now)

    def _send_chunks(self, now):
        self._refill(now)
        commands = []
        while self._queued_requests and self._available_bytes >= CHUNK_BYTES:
            node_id, revision, index = self._queued_requests.popleft()
            self._available_bytes -= CHUNK_BYTES
            commands.append(self._build_chunk(node_id, revision, index, now))
            if revision != self._copy_revision:
                self._drop_outdated_requests(node_id)
        return commands

    def _drop_outdated_requests(self, node_id):
        """Drop requests of a node for chunks of an outdated copy."""
        kept = [
            request
            for request in self._queued_requests
            if request[0] != node_id or request[1] == self._copy_revision
        ]
        self._queued_requests.clear()
        self._queued_requests.extend(kept)

    def _refill(self, now):
        elapsed = now - (self._refilled_at or now)
        self._refilled_at = now
        added_bytes = int(elapsed.total_seconds() * COPY_BYTES_PER_SECOND)
        available_bytes = self._available_bytes + added_bytes
        self._available_bytes = min(available_bytes, COPY_BURST_BYTES)

    def _build_chunk(self, node_id, revision, index, now):
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
        is_recent = self._copy and now - self._copy_at < COPY_LIFETIME
        if is_recent and has_deltas:
            return
        self._copy = self.log.encode_copy()
        self._copy_revision = self.log.revision
        self._copy_at = now

    @_receive.register
    def _on_leave(self, message: messages.ConfigurationLeave, sender, now):
        if self.is_registered is None:
            return []
        if not self.is_registered(sender, message.registration):
            return []
        self._remove_entry_vm(sender)
        return [_propose_registration(sender, message, False)]

    @_receive.register
    def _on_reports(self, message: messages.ConfigurationReports, sender, now):
        for one in message.reports:
            heard_at = now - one.age_ms * _MILLISECOND
            known = self.reports.get(one.node_id)
            if known is None or known.heard_at < heard_at:
                self.reports[one.node_id] = EntryVmReport(
                    one.region, one.failure_domain, one.revision, heard_at
                )
        return []

    def tick(self, now, control_vms):
        """Send queued chunks and share reports with other control VMs.

        :param now: monotonic time.
        :param control_vms: ids of the other control VMs.
        :returns: commands.
        """
        commands = self._send_chunks(now)
        if now - self._full_reports_at >= FULL_REPORTS_PERIOD:
            self._full_reports_at = now
            self._expire_reports(now)
            self._unsent_node_ids |= {
                node_id
                for node_id, heard_at in self._last_poll_at.items()
                if now - heard_at < CONTACT_TIMEOUT
            }
        if self._unsent_node_ids:
            commands += self._share_reports(now, control_vms)
        return commands

    def _expire_reports(self, now):
        for node_id, report in list(self.reports.items()):
            if now - report.heard_at >= REPORT_LIFETIME:
                self._remove_entry_vm(node_id)

    def _remove_entry_vm(self, node_id):
        self.reports.pop(node_id, None)
        self._last_poll_at.pop(node_id, None)
        self._last_polls.pop(node_id, None)

    def _share_reports(self, now, control_vms):
        reports = [
            messages.ConfigurationReport(
                node_id=node_id,
                region=report.region,
                failure_domain=report.failure_domain,
                revision=report.revision,
                age_ms=(now - report.heard_at) // _MILLISECOND,
            )
            for node_id, report in sorted(self.reports.items())
            if node_id in self._unsent_node_ids
        ]
        self._unsent_node_ids.clear()
        message = messages.ConfigurationReports(reports)
        return [
            _commands.Send(control_vm, message) for control_vm in control_vms
        ]


def _propose_registration(node_id, message, present):
    return _commands.ProposeRegistration(
        node_id,
        message.region,
        message.failure_domain,
        message.registration,
        present,
    )
