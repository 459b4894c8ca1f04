"""Distribution of the directives from a control VM to entry VMs."""

import asyncio
import collections
import contextlib
import datetime

from buckthorntack.gateway import _packing
from buckthorntack.schema import messages

#: Time to confirm with a majority that the copy for a starting entry VM is the
#: newest.  After it the entry VM gets the copy unconfirmed, because serving
#: with an older configuration is better than no service during a partition.
CONFIRM_TIMEOUT_S = 1.5
#: Delay between two attempts to confirm the copy.
CONFIRM_RETRY_DELAY_S = 0.1
#: Time after a change from which an entry VM that follows another control VM
#: is also sent the directives it lacks.  By then that control VM should have
#: sent them.
OVERDUE_AFTER = datetime.timedelta(milliseconds=1200)


class DistributionTask:
    """Sends the directives to entry VMs whose copies are outdated.

    :param links: ``transport.PlainLinks``.
    :param clock: source of time.
    """

    def __init__(self, links, clock):
        self.links = links
        self.clock = clock
        self.replica = None
        self.machine = None
        self._reported_versions = {}
        self._followers = set()
        #: Index and time of each change that is not overdue yet.
        self._recent_changes = collections.deque()
        #: Index of the newest change that entry VMs should have by now.
        self._overdue_index = -1
        self._is_send_scheduled = False
        self._compressed = (-1, b"")
        self._confirmation_task = None
        self._awaiting_confirmation = set()

    def on_directives_changed(self, directives):
        """Schedule a send of new directives to the followers of this VM.

        :param directives: the new ``Directives``.
        """
        now = self.clock.monotonic()
        self._find_overdue(now)
        self._recent_changes.append((directives.index, now))
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_to_followers)

    def _send_to_followers(self):
        """Send the newest directives once for all commands of a batch.

        Entry VMs without a configuration are skipped, as a replica that is
        catching up may apply outdated commands.
        """
        self._is_send_scheduled = False
        for node_id in list(self._followers):
            if self._reported_versions.get(node_id, (-1, -1))[1] >= 0:
                self._send(node_id, True)

    def on_presence_report(self, report, follows, now):
        """Record the version at an entry VM and send newer directives.

        :param report: ``PresenceReport`` of the entry VM.
        :param follows: whether the entry VM follows this control VM.
        :param now: monotonic time.
        """
        node_id = report.node.node_id
        self._reported_versions[node_id] = (
            report.directives_index,
            report.version,
        )
        if follows:
            self._followers.add(node_id)
        else:
            self._followers.discard(node_id)
        if report.version < 0:
            self._awaiting_confirmation.add(node_id)
            self._start_confirmation()
            return
        directives = self.machine.directives
        if report.directives_index >= directives.index:
            return
        is_overdue = report.directives_index < self._find_overdue(now)
        if follows or is_overdue:
            self._send(node_id, True)

    def _find_overdue(self, now):
        """Return the index of the newest change that all should have."""
        recent = self._recent_changes
        while recent and now - recent[0][1] > OVERDUE_AFTER:
            self._overdue_index = recent.popleft()[0]
        return self._overdue_index

    def _start_confirmation(self):
        """Start to confirm that the local directives are the newest."""
        if self._confirmation_task is None or self._confirmation_task.done():
            self._confirmation_task = asyncio.create_task(
                self._confirm_and_send()
            )

    async def _confirm_and_send(self):
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + CONFIRM_TIMEOUT_S
        confirmed = False
        while not confirmed and loop.time() < deadline_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline_s):
                    read = await self.replica.read_barrier()
                    confirmed = read.is_ok()
            if not confirmed:
                await asyncio.sleep(CONFIRM_RETRY_DELAY_S)
        node_ids, self._awaiting_confirmation = (
            self._awaiting_confirmation,
            set(),
        )
        for node_id in node_ids:
            self._send(node_id, confirmed)

    def _send(self, node_id, confirmed):
        directives = self.machine.directives
        index, version = self._reported_versions.get(node_id, (-1, -1))
        if index >= directives.index or directives.version < 0:
            return
        content = b""
        if version < directives.version:
            content = self._compressed_content()
        copy = messages.DirectivesCopy(
            index=directives.index,
            version=directives.version,
            content=content,
            evacuated=directives.evacuated,
            confirmed=confirmed,
        )
        self.links.send(node_id, copy)

    def _compressed_content(self):
        directives = self.machine.directives
        if self._compressed[0] != directives.version:
            compressed = _packing.compress_content(directives.content)
            self._compressed = (directives.version, compressed)
        return self._compressed[1]
