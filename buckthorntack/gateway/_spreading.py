"""The task by which a control VM spreads directives to entry VMs."""

import asyncio
import contextlib
import datetime

from buckthorntack.gateway import _following
from buckthorntack.schema import messages

#: Time after which an entry VM that follows another control VM, and still
#: lacks a directive, is sent it: its own control VM then has failed to.
#: Time during which a control VM tries to have its copy confirmed for an
#: entry VM that starts; then that gets one that may be older, as serving is
#: better than not while a region is cut off.
CONFIRM_S = 1.5
CONFIRM_PAUSE_S = 0.1
OTHERS_AFTER = datetime.timedelta(milliseconds=1200)


class SpreadingTask:
    """Sends copies of the directives to entry VMs that lack them.

    :param links: ``transport.PlainLinks``.
    :param clock: source of time.
    """

    def __init__(self, links, clock):
        self.links = links
        self.clock = clock
        self.replica = None
        self.machine = None
        self._known = {}
        self._followers = set()
        self._changed_at = None
        self._push_due = False
        self._packed = (-1, b"")
        self._confirming = None
        self._unconfirmed = set()

    def changed(self, directives):
        """Send newer directives to the entry VMs that follow this VM.

        :param directives: ``Directives``.
        """
        self._changed_at = self.clock.monotonic()
        if not self._push_due:
            self._push_due = True
            asyncio.get_running_loop().call_soon(self._push)

    def _push(self):
        """Send the newest state, after all that was applied in one go.

        Entry VMs that hold nothing yet are left out: what a replica applies
        while it catches up may be old.
        """
        self._push_due = False
        for node_id in list(self._followers):
            if self._known.get(node_id, (-1, -1))[1] >= 0:
                self._send(node_id, True)

    def reported(self, report, follows, now):
        """Take note of what an entry VM has, and send what it lacks.

        :param report: its ``PresenceReport``.
        :param follows: whether it follows this control VM.
        :param now: monotonic time.
        """
        node_id = report.node.node_id
        self._known[node_id] = (report.directives_index, report.version)
        if follows:
            self._followers.add(node_id)
        else:
            self._followers.discard(node_id)
        if report.version < 0:
            self._unconfirmed.add(node_id)
            self._confirm()
            return
        directives = self.machine.directives
        if report.directives_index >= directives.index:
            return
        if follows or self._is_overdue(now):
            self._send(node_id, True)

    def _is_overdue(self, now):
        changed_at = self._changed_at
        return changed_at is not None and now - changed_at > OTHERS_AFTER

    def _confirm(self):
        """Make sure that the copy for entry VMs that start is the newest."""
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.create_task(self._confirm_and_send())

    async def _confirm_and_send(self):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + CONFIRM_S
        confirmed = False
        while not confirmed and loop.time() < until_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until_s):
                    read = await self.replica.read_barrier()
                    confirmed = read.is_ok()
            if not confirmed:
                await asyncio.sleep(CONFIRM_PAUSE_S)
        waiting, self._unconfirmed = self._unconfirmed, set()
        for node_id in waiting:
            self._send(node_id, confirmed)

    def _send(self, node_id, confirmed):
        directives = self.machine.directives
        index, version = self._known.get(node_id, (-1, -1))
        if index >= directives.index or directives.version < 0:
            return
        content = b""
        if version < directives.version:
            content = self._content()
        copy = messages.DirectivesCopy(
            index=directives.index,
            version=directives.version,
            content=content,
            evacuated=directives.evacuated,
            confirmed=confirmed,
        )
        self.links.send(node_id, copy)

    def _content(self):
        directives = self.machine.directives
        if self._packed[0] != directives.version:
            packed = _following.pack(directives.content)
            self._packed = (directives.version, packed)
        return self._packed[1]
