"""Decision of a home's replica: batches, replies and probes of holders."""

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

#: Most operations that wait; beyond it senders try another replica.
MAX_QUEUED = 10_000
MAX_BATCH_OPERATIONS = 2048
MAX_BATCH_BYTES = 1 << 20
#: How long the holder of a claim is awaited.
PROBE_TIMEOUT = datetime.timedelta(milliseconds=500)
#: Probes without reply after which the backend server is asked instead.
MAX_SILENCES = 3
#: When callers are told to come back while an attempt runs.
RETRY_AFTER_MS = 1000
#: Kind of a reply that makes the client try another replica.
UNAVAILABLE = "unavailable"


class _Operation(NamedTuple):
    sender: str
    message: Any
    name: str
    payload: bytes


class _Waiting(NamedTuple):
    sender: str
    claim: messages.LedgerClaim
    deadline: datetime.timedelta


class LedgerHome:
    """Collects operations into batches and answers their senders.

    A claim that meets the claim of another attempt waits while the holder
    of that attempt is asked what it does with it.

    :param home_id: the home.
    :param retention: how long records are kept.
    :param answer_bytes: largest answer that is stored whole.
    :param capacity_bytes: most memory that records may take.
    """

    def __init__(self, home_id, retention, answer_bytes, capacity_bytes):
        self.home_id = home_id
        self.retention = retention
        self.answer_bytes = answer_bytes
        self.capacity_bytes = capacity_bytes
        self._queue = collections.deque()
        self._in_flight = []
        self._waiting = collections.defaultdict(list)
        self._silences = collections.Counter()

    def receive(self, sender, message, now):
        """Take a message.

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
    def _claim(self, message: messages.LedgerClaim, sender, now):
        return self._enqueue(sender, message)

    @_receive.register
    def _settle(self, message: messages.LedgerSettle, sender, now):
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
        """Move what waits into the next batch.

        :param at_ms: wall time.
        :returns: a ``LedgerBatch``, or ``None`` if nothing waits or a batch
            is on its way.
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
            messages.LedgerOperation(one.name, one.payload, one.sender)
            for one in self._in_flight
        ]
        return messages.LedgerBatch(
            at_ms=at_ms,
            retention_ms=self.retention // datetime.timedelta(milliseconds=1),
            capacity_bytes=self.capacity_bytes,
            operations=operations,
        )

    def committed(self, verdicts, now):
        """Answer the batch on its way.

        :param verdicts: verdict of each operation.
        :param now: monotonic time.
        :returns: commands.
        """
        batch, self._in_flight = self._in_flight, []
        commands = []
        for operation, verdict in zip(batch, verdicts, strict=True):
            commands += self._answer(verdict, operation, now)
        return commands

    def failed(self):
        """Note that the batch on its way may not be committed.

        :returns: commands that send its senders to another replica.
        """
        batch, self._in_flight = self._in_flight, []
        commands = []
        for one in batch:
            commands += self._reply(one.sender, one.message, UNAVAILABLE)
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

    def _answer(self, verdict, operation, now):
        if isinstance(verdict, _verdicts.InProgress):
            return self._probe(verdict, operation, now)
        return self._tell(verdict, operation.sender, operation.message)

    @functools.singledispatchmethod
    def _tell(self, verdict, to, message):
        """Reply with a verdict that needs nothing but its attempt."""
        name = type(verdict).__name__
        return self._reply(to, message, name, verdict.attempt_id)

    @_tell.register
    def _tell_replay(self, verdict: _verdicts.Replay, to, message):
        name = type(verdict).__name__
        return self._reply(to, message, name, **verdict._asdict())

    @_tell.register
    def _tell_refusal(self, verdict: _verdicts.Refused, to, message):
        error = verdict.error
        return self._reply(
            to,
            message,
            error.kind,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms or 0,
        )

    @_tell.register
    def _tell_progress(self, verdict: _verdicts.InProgress, to, message):
        name = type(verdict).__name__
        return self._reply(
            to,
            message,
            name,
            verdict.attempt_id,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _probe(self, verdict, operation, now):
        claim = operation.message
        if len(self._waiting) >= MAX_QUEUED:
            return self._tell(verdict, operation.sender, claim)
        key = (claim.organisation, claim.key, verdict.attempt_id)
        deadline = now + PROBE_TIMEOUT
        self._waiting[key].append(_Waiting(operation.sender, claim, deadline))
        probe = messages.LedgerProbe(self.home_id, *key)
        return [_commands.Send(verdict.holder, probe)]

    @_receive.register
    def _probe_reply(self, message: messages.LedgerProbeReply, sender, now):
        key = (message.organisation, message.key, message.attempt_id)
        waiting = self._waiting.pop(key, [])
        self._silences.pop(key, None)
        if not waiting:
            return []
        if message.holding == "abandoned":
            return self._release(sender, message, waiting)
        if message.holding == "not_known":
            return self._resolve(message.attempt_id, waiting)
        return self._progress(message.attempt_id, waiting)

    def _release(self, holder, message, waiting):
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
        for one in waiting:
            commands += self._enqueue(one.sender, one.claim)
        return commands

    def _resolve(self, attempt_id, waiting):
        first, *others = waiting
        resolve = _verdicts.Resolve(attempt_id)
        commands = self._tell(resolve, first.sender, first.claim)
        return commands + self._progress(attempt_id, others)

    def _progress(self, attempt_id, waiting):
        commands = []
        for one in waiting:
            verdict = _verdicts.InProgress(attempt_id, "")
            commands += self._tell(verdict, one.sender, one.claim)
        return commands

    def _unanswered(self, key, waiting):
        """A holder that stays silent may be gone for good."""
        if len(self._silences) >= MAX_QUEUED:
            self._silences.clear()
        self._silences[key] += 1
        if self._silences[key] < MAX_SILENCES:
            return self._progress(key[2], waiting)
        return self._resolve(key[2], waiting)

    def tick(self, now):
        """Answer claims whose holder did not reply.

        :param now: monotonic time.
        :returns: commands.
        """
        commands = []
        for key, waiting in list(self._waiting.items()):
            late = [one for one in waiting if one.deadline <= now]
            if not late:
                continue
            kept = [one for one in waiting if one.deadline > now]
            commands += self._unanswered(key, late)
            if kept:
                self._waiting[key] = kept
            else:
                del self._waiting[key]
        return commands
