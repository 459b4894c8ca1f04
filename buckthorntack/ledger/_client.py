"""Ledger client of an entry VM, free of I/O."""

import collections
import datetime
import enum
import functools
from typing import Any
from typing import NamedTuple

import expression

from buckthorntack import errors
from buckthorntack import events
from buckthorntack.ledger import _commands
from buckthorntack.ledger import _errors
from buckthorntack.ledger import _events
from buckthorntack.ledger import _outcomes
from buckthorntack.ledger import _verdicts
from buckthorntack.schema import messages

#: Time without reply after which the next replica of the home is tried.
REPLICA_TIMEOUT = datetime.timedelta(milliseconds=700)
#: Delay before the next try after a replica could not commit a message.
UNAVAILABLE_RETRY_DELAY = datetime.timedelta(milliseconds=100)
#: Upper bound of the growing delay between sends of an outcome.
MAX_RESEND_DELAY = datetime.timedelta(seconds=10)
#: Default time after which a claim without reply is abandoned.
CLAIM_TIMEOUT = datetime.timedelta(seconds=5)
#: Abandoned attempts kept to answer probes; the oldest are dropped.
MAX_ABANDONED_ATTEMPTS = 10_000
#: Unconfirmed outcomes that are kept with their response in memory.  Further
#: outcomes are sent without the response.
MAX_PENDING_RESPONSES = 1000

_LOG = events.EventLog("ledger")


class AttemptState(enum.StrEnum):
    """State of an attempt in this process, as sent in probe replies."""

    RUNNING = "running"
    ABANDONED = "abandoned"
    NOT_KNOWN = "not_known"


class _ClaimTarget(NamedTuple):
    """Key that an attempt of this process claims, and its home."""

    home: Any
    organisation: str
    key: str


class _PendingCall:
    """A message to a home that has no final reply yet."""

    def __init__(self, home, message, now, deadline):
        self.home = home
        self.message = message
        self.replica = None
        self.send_count = 0
        self.send_at = now
        self.deadline = deadline

    @property
    def is_claim(self) -> bool:
        """Whether the message is a claim, not an outcome."""
        return isinstance(self.message, messages.LedgerClaim)


class LedgerClient:
    """Sends claims and outcomes and replies to probes for one entry VM.

    Each attempt id is used by one process only.  An attempt whose claim was
    abandoned never runs; if the claim is granted later, it is released.

    :param rng: random source.
    """

    def __init__(self, rng):
        self.rng = rng
        self._pending_calls: dict[str, _PendingCall] = {}
        self._active_attempts: dict[str, Any] = {}
        self._abandoned_attempts = collections.OrderedDict()
        self._preferred_replicas = {}
        self._call_count = 0

    def attempt_state(self, attempt_id):
        """Return the state of an attempt in this process.

        :param attempt_id: id of the attempt.
        :returns: an :class:`AttemptState`.
        """
        if attempt_id in self._active_attempts:
            return AttemptState.RUNNING
        if attempt_id in self._abandoned_attempts:
            return AttemptState.ABANDONED
        return AttemptState.NOT_KNOWN

    def claim(
        self,
        home,
        organisation,
        key,
        body_hash,
        attempt_id,
        store_answer,
        now,
        claim_timeout,
    ):
        """Request the exclusive right to run a request.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param body_hash: digest of the request.
        :param attempt_id: unique id of the attempt.
        :param store_answer: whether the home may store the response.
        :param now: monotonic time.
        :param claim_timeout: time after which the claim is abandoned.
        :returns: call id and commands.
        """
        message = messages.LedgerClaim(
            home_id=home["home_id"],
            call_id=self._new_call_id(),
            organisation=organisation,
            key=key,
            body_hash=body_hash,
            attempt_id=attempt_id,
            store_answer=store_answer,
        )
        if self.attempt_state(attempt_id) != AttemptState.NOT_KNOWN:
            error = _errors.AttemptIdReusedError(attempt_id)
            completion = _commands.CompleteCall(
                message.call_id, expression.Error(error)
            )
            return message.call_id, [completion]
        self._active_attempts[attempt_id] = _ClaimTarget(
            home, organisation, key
        )
        return self._start_call(home, message, now, now + claim_timeout)

    def report_outcome(
        self,
        home,
        organisation,
        key,
        attempt_id,
        run_state,
        now,
        status=0,
        headers=(),
        body=b"",
        answer_known=False,
    ):
        """Send the outcome of an attempt until the home confirms it.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: id of the attempt.
        :param run_state: a ``RunState``.
        :param now: monotonic time.
        :param status: HTTP status of the response.
        :param headers: ``LedgerHeader`` list of the response.
        :param body: body of the response.
        :param answer_known: whether status, headers and body are the whole
            response.
        :returns: call id and commands.
        """
        message = messages.LedgerSettle(
            home_id=home["home_id"],
            call_id=self._new_call_id(),
            organisation=organisation,
            key=key,
            attempt_id=attempt_id,
            run_state=run_state,
            status=status,
            headers=list(headers),
            body=body,
            answer_known=answer_known,
        )
        if run_state == errors.RunState.NOT_RUN:
            self._abandon_attempt(attempt_id)
        if self._count_pending_responses() >= MAX_PENDING_RESPONSES:
            message = message._replace(
                headers=[], body=b"", answer_known=False
            )
        return self._start_call(home, message, now, None)

    def _count_pending_responses(self):
        calls = self._pending_calls.values()
        return sum(not c.is_claim and c.message.answer_known for c in calls)

    def _new_call_id(self):
        self._call_count += 1
        return f"{self.rng.getrandbits(64):016x}-{self._call_count}"

    def _start_call(self, home, message, now, deadline):
        call = _PendingCall(home, message, now, deadline)
        self._pending_calls[message.call_id] = call
        return message.call_id, self._send_call(call, now)

    def _send_call(self, call, now):
        call.replica = self._next_replica(call)
        call.send_count += 1
        delay = REPLICA_TIMEOUT
        if call.deadline is None:
            delay = min(REPLICA_TIMEOUT * call.send_count, MAX_RESEND_DELAY)
        call.send_at = now + delay
        return [_commands.Send(call.replica, call.message)]

    def _next_replica(self, call):
        replicas = call.home["replicas"]
        preferred = self._preferred_replicas.get(call.home["home_id"])
        if call.replica is None and preferred in replicas:
            return preferred
        if call.replica is None:
            return self.rng.choice(replicas)
        index = replicas.index(call.replica) + 1
        return replicas[index % len(replicas)]

    def _abandon_attempt(self, attempt_id):
        self._abandoned_attempts[attempt_id] = self._active_attempts.pop(
            attempt_id, None
        )
        while len(self._abandoned_attempts) > MAX_ABANDONED_ATTEMPTS:
            self._abandoned_attempts.popitem(last=False)

    def abandon_claim(self, call_id):
        """Abandon a claim whose caller no longer waits.

        :param call_id: call id of the claim.
        :returns: commands that release the claim in case it was granted.
        """
        call = self._pending_calls.pop(call_id, None)
        if call is None or not call.is_claim:
            return []
        attempt_id = call.message.attempt_id
        self._abandon_attempt(attempt_id)
        return self._send_release(attempt_id, call.replica)

    def release_attempt(self, attempt_id, now):
        """Release the claim of an attempt whose caller no longer waits.

        :param attempt_id: id of the attempt, which has not run.
        :param now: monotonic time.
        :returns: commands.
        """
        target = self._active_attempts.get(attempt_id)
        if target is None:
            return []
        _, commands = self.report_outcome(
            target.home,
            target.organisation,
            target.key,
            attempt_id,
            errors.RunState.NOT_RUN,
            now,
        )
        return commands

    def _send_release(self, attempt_id, replica):
        target = self._abandoned_attempts[attempt_id]
        if target is None:
            return []
        release = messages.LedgerSettle(
            home_id=target.home["home_id"],
            call_id="",
            organisation=target.organisation,
            key=target.key,
            attempt_id=attempt_id,
            run_state=errors.RunState.NOT_RUN,
            status=0,
            headers=[],
            body=b"",
            answer_known=False,
        )
        return [_commands.Send(replica, release)]

    def receive(self, sender, message, now):
        """Handle a received message.

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
    def _on_probe(self, message: messages.LedgerProbe, sender, now):
        reply = messages.LedgerProbeReply(
            *message, holding=self.attempt_state(message.attempt_id)
        )
        return [_commands.Send(sender, reply)]

    @_receive.register
    def _on_reply(self, message: messages.LedgerReply, sender, now):
        verdict = _outcomes.parse_verdict(message)
        call = self._pending_calls.get(message.call_id)
        if call is None:
            return self._on_late_reply(sender, verdict)
        if verdict is None:
            call.send_at = min(call.send_at, now + UNAVAILABLE_RETRY_DELAY)
            return []
        self._preferred_replicas[call.home["home_id"]] = sender
        del self._pending_calls[message.call_id]
        if call.is_claim:
            return self._complete_claim(call, verdict, message)
        self._active_attempts.pop(call.message.attempt_id, None)
        result = expression.Ok(verdict)
        return [_commands.CompleteCall(message.call_id, result)]

    def _on_late_reply(self, sender, verdict):
        if not isinstance(verdict, _verdicts.Granted):
            return []
        if verdict.attempt_id not in self._abandoned_attempts:
            return []
        _LOG.write(_events.LATE_GRANT, attempt_id=verdict.attempt_id)
        return self._send_release(verdict.attempt_id, sender)

    def _complete_claim(self, call, verdict, reply):
        attempt_id = call.message.attempt_id
        if not isinstance(verdict, _verdicts.Granted):
            self._abandon_attempt(attempt_id)
        result = _outcomes.claim_result(verdict, reply)
        return [_commands.CompleteCall(reply.call_id, result)]

    def tick(self, now):
        """Resend messages to the next replica and expire claims.

        :param now: monotonic time.
        :returns: commands.
        """
        commands = []
        for call_id, call in list(self._pending_calls.items()):
            if call.deadline is not None and now >= call.deadline:
                commands += self._on_claim_timeout(call_id, call)
            elif now >= call.send_at:
                commands += self._send_call(call, now)
        return commands

    def _on_claim_timeout(self, call_id, call):
        commands = self.abandon_claim(call_id)
        detail = f"home {call.home['home_id']} did not reply in time"
        error = _errors.HomeUnreachableError(detail)
        completion = _commands.CompleteCall(call_id, expression.Error(error))
        return [*commands, completion]
