"""Task that owns the quarantine, crash detection and attempt counts."""

import contextlib
import datetime
import functools

from buckthorntack import events
from buckthorntack import membership
from buckthorntack import retries
from buckthorntack import schema
from buckthorntack import tasks
from buckthorntack.schema import messages

TICK = datetime.timedelta(milliseconds=100)
KIND = "quarantine"
ITEM_TTL_MS = 600_000


class WatchingTask:
    """Spreads what is known of crashes and failed attempts.

    :param quarantine: ``retries.Quarantine``.
    :param limiter: ``retries.AttemptLimiter``.
    :param members: ``MembershipTask``, which spreads the items.
    :param clock: source of time.
    """

    def __init__(self, quarantine, limiter, members, clock):
        self.quarantine = quarantine
        self.limiter = limiter
        self.members = members
        self.clock = clock
        self.detector = retries.CrashDetector()
        self._versions = {}
        self._log = events.EventLog("retries")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.members.listen(membership.ItemChanged, self._item_changed)
        self.members.listen(membership.ServerChanged, self._server_changed)
        self.members.listen(membership.ServerRemoved, self._server_removed)
        await self._stack.enter_async_context(tasks.running(self._run()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def check(self, request):
        """Judge a request before each of its attempts.

        :param request: the ``GatewayRequest``.
        :returns: the verdict: ``Clean``, or ``Suspect`` to be run alone.
        :raises GatewayError: it is convicted, or failed too often.
        """
        now = self.clock.monotonic()
        refusal = self.limiter.check(request.fingerprint, now)
        if refusal is not None:
            raise refusal
        verdict = self.quarantine.verdict(request.fingerprint, now)
        if isinstance(verdict, retries.Convicted):
            raise verdict.error
        return verdict

    async def claim(self, request, server_id):
        """Wait until a suspect may run alone on a server.

        :param request: the ``GatewayRequest``.
        :param server_id: the server.
        :raises GatewayError: it was convicted meanwhile, or waited too long.
        """
        fingerprint = request.fingerprint
        try:
            while isinstance(self.check(request), retries.Suspect):
                now = self.clock.monotonic()
                if now >= request.deadline:
                    raise retries.SuspectWaitsError(fingerprint)
                claim = self.quarantine.claim(fingerprint, server_id, now)
                self.spread()
                if isinstance(claim, retries.RunAlone):
                    return
                await self.clock.sleep(claim.duration)
        except BaseException:
            self.release(fingerprint)
            raise

    def release(self, fingerprint):
        """Give up the claim of a suspect that does not run.

        :param fingerprint: the request's fingerprint.
        """
        self.quarantine.release_claim(fingerprint, self.clock.monotonic())
        self.spread()

    def started(self, fingerprint, server_id):
        """Note an attempt that was sent to a server.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        """
        self.quarantine.on_attempt_started(fingerprint, server_id)

    def stopped(self, fingerprint, server_id, finished):
        """Note the end of an attempt.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        :param finished: whether it ran to its end.
        """
        now = self.clock.monotonic()
        if finished:
            was_suspect = self.quarantine.on_attempt_completed(
                fingerprint, server_id, now
            )
            if was_suspect:
                self._log.write(retries.ACQUITTED, fingerprint=fingerprint)
        else:
            self.quarantine.on_attempt_failed(fingerprint, server_id)
        self.spread()

    def connection_lost(self, record, fingerprint, closed):
        """Note a connection lost in the middle of a request.

        :param record: ``ServerRecord`` at the time it was sent.
        :param fingerprint: the request's fingerprint.
        :param closed: whether the other side closed or reset it.
        """
        now = self.clock.monotonic()
        self.detector.on_connection_lost(
            record.server_id, record.incarnation, fingerprint, closed, now
        )

    def connect_refused(self, server_id):
        """Note that a new connection was refused.

        :param server_id: the server.
        """
        now = self.clock.monotonic()
        self._crashed(self.detector.on_connect_refused(server_id, now))

    def _server_changed(self, change):
        record = change.record
        now = self.clock.monotonic()
        if record.state == "draining":
            return
        self._crashed(
            self.detector.on_announced(
                record.server_id, record.incarnation, now
            )
        )

    def _server_removed(self, change):
        now = self.clock.monotonic()
        if "withdrawn" in change.reason:
            self.detector.on_withdrawn(change.server_id)
        else:
            self._crashed(
                self.detector.on_lease_expired(change.server_id, now)
            )

    def _crashed(self, crash):
        if crash is None:
            return
        now = self.clock.monotonic()
        suspects = self.quarantine.on_server_crashed(*crash, now)
        for fingerprint in suspects:
            self._log.write(
                retries.SUSPECTED,
                fingerprint=fingerprint,
                server=crash.server_id,
            )
        self.spread()

    def spread(self):
        """Have the news spread to all entry VMs."""
        news = [*self.quarantine.take_items(), *self.limiter.take_items()]
        for item in news:
            key = retries.item_key(item)
            version = max(self._versions.get(key, 0) + 1, self._wall_ms())
            self._versions[key] = version
            name, payload = schema.encode(item)
            value = name + b"\0" + payload
            self.members.publish(
                messages.Item(KIND, key, value, version, ITEM_TTL_MS)
            )
        if len(self._versions) > self.quarantine.settings.max_items:
            self._versions.clear()

    def _wall_ms(self):
        return int(self.clock.wall().timestamp() * 1e3)

    def _item_changed(self, change):
        if change.item.kind != KIND:
            return
        name, _, payload = change.item.value.partition(b"\0")
        try:
            item = schema.decode(name, payload)
        except schema.MalformedMessageError:
            return
        self._merge(item)

    @functools.singledispatchmethod
    def _merge(self, item):
        self.quarantine.merge(item, self.clock.monotonic())

    @_merge.register
    def _(self, item: messages.FailedAttempts):
        self.limiter.merge(item, self.clock.monotonic())

    async def _run(self):
        while True:
            await self.clock.sleep(TICK)
            now = self.clock.monotonic()
            self.quarantine.tick(now)
            self.detector.expire(now)
            self.spread()
