"""Task for crash detection, quarantine and limits on failed attempts."""

import contextlib
import datetime
import functools

from buckthorntack import clock as clocks
from buckthorntack import events
from buckthorntack import membership
from buckthorntack import retries
from buckthorntack import schema
from buckthorntack import tasks
from buckthorntack.entry import _prompt_quarantine
from buckthorntack.schema import messages

#: Interval between updates of the quarantine and the crash detector.
TICK = datetime.timedelta(milliseconds=100)
#: Kind of the gossip items with quarantine records and attempt counts.
ITEM_KIND = "quarantine"
#: Time for which a gossip item is kept after its last version.
ITEM_TTL_MS = 600_000


class CrashMonitorTask:
    """Task that propagates crashes and failed attempts to all entry VMs.

    :param quarantine: the ``retries.Quarantine``.
    :param prompts: the ``PromptQuarantine``.
    :param limiter: the ``retries.AttemptLimiter``.
    :param members: the ``MembershipTask`` that gossips the items.
    :param clock: source of time.
    """

    def __init__(self, quarantine, prompts, limiter, members, clock):
        self.quarantine = quarantine
        self.prompts = prompts
        self.limiter = limiter
        self.members = members
        self.clock = clock
        self.detector = retries.CrashDetector()
        self._versions = {}
        self._log = events.EventLog("retries")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.members.listen(membership.ItemChanged, self._on_item_changed)
        self.members.listen(membership.ServerChanged, self._on_server_changed)
        self.members.listen(membership.ServerRemoved, self._on_server_removed)
        await self._stack.enter_async_context(tasks.running(self._run()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def check(self, request):
        """Check before an attempt whether a request may run.

        :param request: the ``GatewayRequest``.
        :returns: ``Clean``, or ``Suspect`` if the request must run isolated.
        :raises GatewayError: the request or a block of its prompt crashed
            servers, or the request failed too often.
        """
        now = self.clock.monotonic()
        refusal = self.limiter.check(request.fingerprint, now)
        if refusal is not None:
            raise refusal
        verdict = self.quarantine.verdict(request.fingerprint, now)
        if isinstance(verdict, retries.Convicted):
            raise verdict.error
        self.prompts.check(request, now)
        return verdict

    async def claim(self, request, server_id):
        """Wait until a suspect request may run isolated on a server.

        :param request: the ``GatewayRequest``.
        :param server_id: id of the server.
        :raises GatewayError: the request was convicted while it waited, or
            its deadline has passed.
        """
        fingerprint = request.fingerprint
        try:
            while isinstance(self.check(request), retries.Suspect):
                now = self.clock.monotonic()
                if now >= request.deadline:
                    raise retries.SuspectWaitsError(fingerprint)
                claim = self.quarantine.claim(fingerprint, server_id, now)
                self.propagate()
                if isinstance(claim, retries.RunAlone):
                    return
                await self.clock.sleep(claim.duration)
        except BaseException:
            self.release_claim(fingerprint)
            raise

    def release_claim(self, fingerprint):
        """Release the claim of a suspect request that does not run.

        :param fingerprint: fingerprint of the request.
        """
        self.quarantine.release_claim(fingerprint, self.clock.monotonic())
        self.propagate()

    def start_attempt(self, request):
        """Check a request directly before an attempt is sent to a server.

        :param request: the ``GatewayRequest``.
        :raises GatewayError: a block of its prompt crashes servers.
        """
        self.prompts.start_attempt(request, self.clock.monotonic())
        self.propagate()

    def on_attempt_started(self, fingerprint, server_id):
        """Record that an attempt was sent to a server.

        :param fingerprint: fingerprint of the request.
        :param server_id: id of the server.
        """
        self.quarantine.on_attempt_started(fingerprint, server_id)

    def on_answer_continued(self, request):
        """Record that an answer was completed or goes on.

        :param request: the ``GatewayRequest``.
        """
        self.prompts.on_answer_continued(request, self.clock.monotonic())

    def on_attempt_ended(self, fingerprint, server_id, is_complete):
        """Record the end of an attempt.

        :param fingerprint: fingerprint of the request.
        :param server_id: id of the server.
        :param is_complete: whether a complete response was received.
        """
        now = self.clock.monotonic()
        if is_complete:
            was_suspect = self.quarantine.on_attempt_completed(
                fingerprint, server_id, now
            )
            if was_suspect:
                self._log.write(retries.ACQUITTED, fingerprint=fingerprint)
        else:
            self.quarantine.on_attempt_failed(fingerprint, server_id)
        self.propagate()

    def on_connection_lost(self, record, request, closed, progress):
        """Record that a connection was lost during an attempt.

        :param record: ``ServerRecord`` at the time the attempt was sent.
        :param request: the ``GatewayRequest``.
        :param closed: whether the server closed or reset the connection.
        :param progress: the ``AttemptProgress``; if the answer had gone on
            for some time, no block of the prompt caused the loss.
        """
        now = self.clock.monotonic()
        subjects = ()
        if not progress.has_continued:
            subjects = _prompt_quarantine.list_subjects(request)
        lost = retries.LostRequest(
            request.fingerprint, subjects, progress.sent_at, now
        )
        self.detector.on_connection_lost(
            record.server_id, record.incarnation, lost, closed, now
        )

    def on_connect_refused(self, server_id):
        """Record that a server refused a new connection.

        :param server_id: id of the server.
        """
        now = self.clock.monotonic()
        self._on_crash(self.detector.on_connect_refused(server_id, now))

    def _on_server_changed(self, change):
        record = change.record
        now = self.clock.monotonic()
        if record.state == "draining":
            return
        self._on_crash(
            self.detector.on_announced(
                record.server_id, record.incarnation, now
            )
        )

    def _on_server_removed(self, change):
        now = self.clock.monotonic()
        if "withdrawn" in change.reason:
            self.detector.on_withdrawn(change.server_id)
        else:
            self._on_crash(
                self.detector.on_lease_expired(change.server_id, now)
            )

    def _on_crash(self, crash):
        if crash is None:
            return
        now = self.clock.monotonic()
        self.prompts.on_server_crashed(crash)
        fingerprints = frozenset(lost.fingerprint for lost in crash.requests)
        suspects = self.quarantine.on_server_crashed(
            crash.server_id, crash.incarnation, fingerprints, now
        )
        for fingerprint in suspects:
            self._log.write(
                retries.SUSPECTED,
                fingerprint=fingerprint,
                server=crash.server_id,
            )
        self.propagate()

    def propagate(self):
        """Publish changed records to all entry VMs by gossip."""
        changed_items = [
            *self.quarantine.take_items(),
            *self.limiter.take_items(),
        ]
        for item in changed_items:
            self._publish(retries.item_key(item), item, ITEM_TTL_MS)
        for key, update, ttl in self.prompts.take_items(
            self.clock.monotonic()
        ):
            self._publish(key, update, clocks.milliseconds(ttl))
        if len(self._versions) > self.quarantine.settings.max_items:
            self._versions.clear()

    def _publish(self, key, message, ttl_ms):
        version = max(self._versions.get(key, 0) + 1, self._wall_ms())
        self._versions[key] = version
        name, payload = schema.encode(message)
        value = name + b"\0" + payload
        self.members.publish(
            messages.Item(ITEM_KIND, key, value, version, ttl_ms)
        )

    def _wall_ms(self):
        return int(self.clock.wall().timestamp() * 1e3)

    def _on_item_changed(self, change):
        if change.item.kind != ITEM_KIND:
            return
        name, _, payload = change.item.value.partition(b"\0")
        try:
            message = schema.decode(name, payload)
        except schema.MalformedMessageError:
            return
        self._merge_message(message, change.item)

    @functools.singledispatchmethod
    def _merge_message(self, message, item):
        self.quarantine.merge(message, self.clock.monotonic())

    @_merge_message.register
    def _(self, message: messages.FailedAttempts, item):
        self.limiter.merge(message, self.clock.monotonic())

    @_merge_message.register
    def _(self, message: messages.QuarantineUpdate, item):
        age = _prompt_quarantine.compute_age(item, message)
        self.prompts.merge(message, self.clock.monotonic() - age)

    async def _run(self):
        while True:
            await self.clock.sleep(TICK)
            now = self.clock.monotonic()
            self.quarantine.tick(now)
            self.prompts.tick(now)
            self.detector.expire(now)
            self.propagate()
