"""Spread of the quarantine among the entry VMs."""

import asyncio
import contextlib
import datetime

from buckthorntack import events
from buckthorntack import quarantine
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Time for which records are gathered before they are sent to all entry VMs;
#: a crash ends many attempts at once.
SEND_DELAY = 30 * _MS
#: Period of comparisons with another entry VM.
COMPARISON_PERIOD = 500 * _MS
#: Period of forgetting old records.
EXPIRE_PERIOD = 1000 * _MS
#: Time after the start in which an entry VM asks for records though it has
#: none.
STARTUP_PERIOD = 10_000 * _MS
#: Share of comparisons with an entry VM of the same region; traffic between
#: regions is expensive.
LOCAL_SHARE = 0.75


class QuarantineTask:
    """Sends changes to all other entry VMs, and compares with one at a time.

    A comparison finds what an entry VM missed while it was down or cut off.

    :param shared_state: the ``SharedState``.
    :param links: the ``transport.PlainLinks``.
    :param metrics: the ``EntryMetrics``.
    :param list_peers: function without arguments that lists the presence
        records of the other live entry VMs.
    """

    def __init__(self, shared_state, links, metrics, list_peers):
        self.quarantine = shared_state.quarantine
        self.region = shared_state.settings.region
        self.clock = shared_state.clock
        self.rng = shared_state.rng
        self.links = links
        self.metrics = metrics
        self.list_peers = list_peers
        self._log = events.EventLog("quarantine")
        self._woken = asyncio.Event()
        self._started_at = self.clock.monotonic()
        self._compared_at = self._expired_at = self._started_at

    def wake(self):
        """Send new records soon."""
        self._woken.set()

    async def run(self):
        """Work until cancelled."""
        while True:
            await self._wait()
            while not self.quarantine.is_idle:
                await self.clock.sleep(SEND_DELAY)
                self._send_update()
            now = self.clock.monotonic()
            if now - self._compared_at >= COMPARISON_PERIOD:
                self._compared_at = now
                self._compare(now)
            if now - self._expired_at >= EXPIRE_PERIOD:
                self._expired_at = now
                self.quarantine.expire(now)
            self._report_changes()

    async def _wait(self):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(COMPARISON_PERIOD.total_seconds()):
                await self._woken.wait()
        self._woken.clear()

    def _send_update(self):
        update = self.quarantine.take_update(self.clock.monotonic())
        if update is not None:
            for record in self.list_peers():
                self.links.send(record.node_id, update)
        self._report_changes()

    def _report_changes(self):
        for change in self.quarantine.take_changes():
            quarantine.write_change(change, self._log)
        self.metrics.record_quarantine_size(len(self.quarantine.list_blamed()))

    def _compare(self, now):
        """Compare with one other entry VM, often one of this region."""
        peers = self.list_peers()
        self._set_members(peers)
        digest = self.quarantine.digest()
        is_starting = now - self._started_at < STARTUP_PERIOD
        if not peers or (not digest and not is_starting):
            return
        near = [record for record in peers if record.region == self.region]
        if near and self.rng.random() < LOCAL_SHARE:
            peers = near
        node_id = self.rng.choice(peers).node_id
        self.links.send(node_id, messages.QuarantineDigest(digest))

    def _set_members(self, peers, sender=None):
        node_ids = [record.node_id for record in peers]
        if sender is not None:
            node_ids.append(sender)
        self.quarantine.set_members(node_ids)

    def on_update(self, update):
        """Handle new records of another entry VM.

        :param update: ``QuarantineUpdate``.
        """
        self.quarantine.merge(update, self.clock.monotonic())
        self.wake()

    def on_digest(self, sender, message):
        """Answer a comparison with all blames and clears if they differ.

        :param sender: id of the other entry VM.
        :param message: ``QuarantineDigest``.
        """
        if message.digest != self.quarantine.digest():
            self._send_table(sender, False)

    def on_table(self, sender, message):
        """Merge the records of another entry VM; send it those it lacks.

        :param sender: id of the other entry VM.
        :param message: ``QuarantineTable``.
        """
        # An entry VM that starts may know of no other yet, and must not take
        # itself for the only one that may send a trial.
        self._set_members(self.list_peers(), sender)
        self.quarantine.merge(message.update, self.clock.monotonic())
        is_equal = message.digest == self.quarantine.digest()
        if not message.is_reply and not is_equal:
            self._send_table(sender, True)
        self.wake()

    def _send_table(self, node_id, is_reply):
        now = self.clock.monotonic()
        table = messages.QuarantineTable(
            self.quarantine.export(now), self.quarantine.digest(), is_reply
        )
        self.links.send(node_id, table)
