"""Protocol of a replica of a ledger home, free of I/O."""

import collections
import datetime
import functools
from typing import Any
from typing import NamedTuple

from buckthorntack import errors
from buckthorntack import schema
from buckthorntack.ledger import _commands
from buckthorntack.ledger import _keys
from buckthorntack.ledger import _verdicts
from buckthorntack.schema import messages

#: Operations in the queue of a replica, beyond which senders are told to try
#: another replica.  The same number limits the attempts that are probed and
#: the counters of missed probes.
MAX_QUEUED = 10_000
#: Operations in one batch.
MAX_BATCH_OPERATIONS = 2048
#: Encoded operations in one batch; a larger operation is sent alone.
MAX_BATCH_BYTES = 1 << 20
#: Time after which a probe of the holder of a claim counts as missed.
PROBE_TIMEOUT = datetime.timedelta(milliseconds=500)
#: Missed probes after which the claimant asks the backend server instead.
MAX_MISSED_PROBES = 3
#: Delay after which a caller may retry while another attempt runs.
RETRY_AFTER_MS = 1000
#: Verdict in a reply that makes the client try another replica.
UNAVAILABLE = "unavailable"


class _Operation(NamedTuple):
    sender: str
    message: Any
    name: str
    payload: bytes


class _PendingClaim(NamedTuple):
    sender: str
    claim: messages.LedgerClaim
    deadline: datetime.timedelta


class LedgerHome:
    """Collects operations into batches and replies to their senders.

    If another attempt holds the claim on a key, the home first probes the
    holder of that attempt, then replies to the new claim.

    :param home_id: id of the home.
    :param retention: time for which records are kept.
    :param answer_bytes: size of the largest response body that is stored; a
        larger body is replaced by its digest.
    :param capacity_bytes: size of the records from which new keys are
        refused.
    """

    def __init__(self, home_id, retention, answer_bytes, capacity_bytes):
        self.home_id = home_id
        self.retention = retention
        self.answer_bytes = answer_bytes
        self.capacity_bytes = capacity_bytes
        self._queue = collections.deque()
        self._in_flight = []
        self._pending_claims = collections.defaultdict(list)
        self._missed_probes = collections.Counter()

    def receive(self, sender, message, now):
        """Handle a received message.

        :param sender: node that sent it.
        :param message: a message of the schema.
        :param now: monotonic time.
        :returns: commands.
        """
        if message.home_id != self.home_id:
            return []
        return self._receive(message, sender, now)

    @functools.singledispatchmethod
    def _receive(self, message, sender, now):
        return []

    @_receive.register
    def _on_claim(self, message: messages.LedgerClaim, sender, now):
        return self._enqueue(sender, message)

    @_receive.register
    def _on_settle(self, message: messages.LedgerSettle, sender, now):
        if len(message.body) > self.answer_bytes:
            message = message._replace(
                headers=[],
                body=_keys.body_digest(message.body),
                answer_known=False,
            )
        return self._enqueue(sender, message)

    def _enqueue(self, sender, message):
        if len(self._queue) >= MAX_QUEUED:
            return self._reply(sender, message, UNAVAILABLE)
        name, payload = schema.encode(message)
        operation = _Operation(sender, message, name.decode(), payload)
        self._queue.append(operation)
        return []

    def take_batch(self, at_ms):
        """Move queued operations into the next batch.

        :param at_ms: wall time in milliseconds since the epoch.
        :returns: a ``LedgerBatch``, or ``None`` if the queue is empty or a
            batch is in flight.
        """
        if self._in_flight or not self._queue:
            return None
        size = 0
        while self._queue and len(self._in_flight) < MAX_BATCH_OPERATIONS:
            size += len(self._queue[0].payload)
            if self._in_flight and size > MAX_BATCH_BYTES:
                break
            self._in_flight.append(self._queue.popleft())
        operations = [
            messages.LedgerOperation(
                operation.name, operation.payload, operation.sender
            )
            for operation in self._in_flight
        ]
        return messages.LedgerBatch(
            at_ms=at_ms,
            retention_ms=self.retention // datetime.timedelta(milliseconds=1),
            capacity_bytes=self.capacity_bytes,
            operations=operations,
        )

    def on_batch_committed(self, verdicts, now):
        """Reply to the senders of the batch in flight.

        :param verdicts: verdict on each operation, in order.
        :param now: monotonic time.
        :returns: commands.
        """
        batch, self._in_flight = self._in_flight, []
        commands = []
        for operation, verdict in zip(batch, verdicts, strict=True):
            commands += self._on_verdict(verdict, operation, now)
        return commands

    def on_batch_failed(self):
        """Tell the senders of the batch in flight to try another replica.

        The batch may still be committed.

        :returns: commands.
        """
        batch, self._in_flight = self._in_flight, []
        commands = []
        for operation in batch:
            commands += self._reply(
                operation.sender, operation.message, UNAVAILABLE
            )
        return commands

    def _reply(self, to, message, verdict, attempt_id="", **fields):
        if not message.call_id:
            return []
        reply = messages.LedgerReply(
            home_id=self.home_id,
            call_id=message.call_id,
            verdict=verdict,
            attempt_id=attempt_id,
            status=0,
            headers=[],
            body=b"",
            answer_stored=False,
            detail="",
            retry_after_ms=0,
        )
        return [_commands.Send(to, reply._replace(**fields))]

    def _on_verdict(self, verdict, operation, now):
        if isinstance(verdict, _verdicts.InProgress):
            return self._probe_holder(verdict, operation, now)
        return self._reply_verdict(
            verdict, operation.sender, operation.message
        )

    @functools.singledispatchmethod
    def _reply_verdict(self, verdict, to, message):
        """Reply with a verdict whose only field is the attempt id."""
        name = type(verdict).__name__
        return self._reply(to, message, name, verdict.attempt_id)

    @_reply_verdict.register
    def _reply_replay(self, verdict: _verdicts.Replay, to, message):
        name = type(verdict).__name__
        return self._reply(to, message, name, **verdict._asdict())

    @_reply_verdict.register
    def _reply_refusal(self, verdict: _verdicts.Refused, to, message):
        error = verdict.error
        return self._reply(
            to,
            message,
            error.kind,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms or 0,
        )

    @_reply_verdict.register
    def _reply_in_progress(self, verdict: _verdicts.InProgress, to, message):
        name = type(verdict).__name__
        return self._reply(
            to,
            message,
            name,
            verdict.attempt_id,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _probe_holder(self, verdict, operation, now):
        claim = operation.message
        if len(self._pending_claims) >= MAX_QUEUED:
            return self._reply_verdict(verdict, operation.sender, claim)
        key = (claim.organisation, claim.key, verdict.attempt_id)
        deadline = now + PROBE_TIMEOUT
        self._pending_claims[key].append(
            _PendingClaim(operation.sender, claim, deadline)
        )
        probe = messages.LedgerProbe(self.home_id, *key)
        return [_commands.Send(verdict.holder, probe)]

    @_receive.register
    def _on_probe_reply(self, message: messages.LedgerProbeReply, sender, now):
        key = (message.organisation, message.key, message.attempt_id)
        claims = self._pending_claims.pop(key, [])
        self._missed_probes.pop(key, None)
        if not claims:
            return []
        if message.holding == "abandoned":
            return self._release_attempt(sender, message, claims)
        if message.holding == "not_known":
            return self._reply_resolve(message.attempt_id, claims)
        return self._reply_in_progress_to_all(message.attempt_id, claims)

    def _release_attempt(self, holder, message, claims):
        settle = messages.LedgerSettle(
            home_id=self.home_id,
            call_id="",
            organisation=message.organisation,
            key=message.key,
            attempt_id=message.attempt_id,
            run_state=errors.RunState.NOT_RUN,
            status=0,
            headers=[],
            body=b"",
            answer_known=False,
        )
        commands = self._enqueue(holder, settle)
        for pending in claims:
            commands += self._enqueue(pending.sender, pending.claim)
        return commands

    def _reply_resolve(self, attempt_id, claims):
        first, *others = claims
        resolve = _verdicts.Resolve(attempt_id)
        commands = self._reply_verdict(resolve, first.sender, first.claim)
        return commands + self._reply_in_progress_to_all(attempt_id, others)

    def _reply_in_progress_to_all(self, attempt_id, claims):
        commands = []
        for pending in claims:
            verdict = _verdicts.InProgress(attempt_id, "")
            commands += self._reply_verdict(
                verdict, pending.sender, pending.claim
            )
        return commands

    def _on_probe_timeout(self, key, claims):
        """Reply to claims whose holder missed a probe.

        After MAX_MISSED_PROBES in a row the holder may be lost for good, so a
        claimant is asked to resolve the outcome.
        """
        if len(self._missed_probes) >= MAX_QUEUED:
            self._missed_probes.clear()
        self._missed_probes[key] += 1
        if self._missed_probes[key] < MAX_MISSED_PROBES:
            return self._reply_in_progress_to_all(key[2], claims)
        return self._reply_resolve(key[2], claims)

    def tick(self, now):
        """Reply to claims whose holder did not answer the probe in time.

        :param now: monotonic time.
        :returns: commands.
        """
        commands = []
        for key, claims in list(self._pending_claims.items()):
            overdue = [claim for claim in claims if claim.deadline <= now]
            if not overdue:
                continue
            remaining = [claim for claim in claims if claim.deadline > now]
            commands += self._on_probe_timeout(key, overdue)
            if remaining:
                self._pending_claims[key] = remaining
            else:
                del self._pending_claims[key]
        return commands
