"""Decision of an entry VM that claims the right to run requests once."""

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

#: Silence after which the next replica of the home is asked.
REPLICA_TIMEOUT = datetime.timedelta(milliseconds=700)
#: Pause after a replica could not commit.
UNAVAILABLE_PAUSE = datetime.timedelta(milliseconds=100)
#: Longest pause between sendings of an outcome.
MAX_PAUSE = datetime.timedelta(seconds=10)
#: How long a claim is tried before it is given up.
CLAIM_DEADLINE = datetime.timedelta(seconds=5)
#: Abandoned attempts that are remembered for probes.
MAX_ABANDONED = 10_000
#: Outcomes kept with their answer while the home is out of reach.
MAX_KEPT_ANSWERS = 1000

_LOG = events.EventLog("ledger")


class Holding(enum.StrEnum):
    """What this process does with an attempt."""

    RUNNING = "running"
    ABANDONED = "abandoned"
    NOT_KNOWN = "not_known"


class _Claimed(NamedTuple):
    """What an attempt of this process claims."""

    home: Any
    organisation: str
    key: str


class _Call:
    """A message to a home until its reply."""

    def __init__(self, home, message, now, deadline):
        self.home = home
        self.message = message
        self.replica = None
        self.tries = 0
        self.send_at = now
        self.deadline = deadline

    @property
    def is_claim(self) -> bool:
        """Whether it is a claim."""
        return isinstance(self.message, messages.LedgerClaim)


class LedgerClient:
    """Claims, outcomes and answers to probes of one entry VM.

    An attempt id belongs to this process.  Once its claim was given up, the
    attempt never runs: a grant that comes later is released.

    :param rng: random source.
    """

    def __init__(self, rng):
        self.rng = rng
        self._calls: dict[str, _Call] = {}
        self._holding: dict[str, Any] = {}
        self._abandoned = collections.OrderedDict()
        self._preferred = {}
        self._next_call = 0

    def holding(self, attempt_id):
        """What this process does with an attempt.

        :param attempt_id: the attempt.
        """
        if attempt_id in self._holding:
            return Holding.RUNNING
        if attempt_id in self._abandoned:
            return Holding.ABANDONED
        return Holding.NOT_KNOWN

    def claim(
        self,
        home,
        organisation,
        key,
        body_hash,
        attempt_id,
        store_answer,
        now,
        within,
    ):
        """Ask for the right to run a request.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param body_hash: digest of the request.
        :param attempt_id: id never used before.
        :param store_answer: whether the home may hold the answer.
        :param now: monotonic time.
        :param within: how long to try.
        :returns: call id and commands.
        """
        message = messages.LedgerClaim(
            home_id=home["home_id"],
            call_id=self._call_id(),
            organisation=organisation,
            key=key,
            body_hash=body_hash,
            attempt_id=attempt_id,
            store_answer=store_answer,
        )
        if self.holding(attempt_id) != Holding.NOT_KNOWN:
            error = _errors.AttemptIdReusedError(attempt_id)
            done = _commands.Done(message.call_id, expression.Error(error))
            return message.call_id, [done]
        self._holding[attempt_id] = _Claimed(home, organisation, key)
        return self._start(home, message, now, now + within)

    def settle(
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
        """Tell the home what became of an attempt; sent until it replies.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: the attempt.
        :param run_state: a ``RunState``.
        :param now: monotonic time.
        :param status: status of the answer.
        :param headers: ``LedgerHeader`` of the answer.
        :param body: body of the answer.
        :param answer_known: whether these are the answer.
        :returns: call id and commands.
        """
        message = messages.LedgerSettle(
            home_id=home["home_id"],
            call_id=self._call_id(),
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
            self._abandon(attempt_id)
        if self._kept_answers() >= MAX_KEPT_ANSWERS:
            message = message._replace(
                headers=[], body=b"", answer_known=False
            )
        return self._start(home, message, now, None)

    def _kept_answers(self):
        calls = self._calls.values()
        return sum(not c.is_claim and c.message.answer_known for c in calls)

    def _call_id(self):
        self._next_call += 1
        return f"{self.rng.getrandbits(64):016x}-{self._next_call}"

    def _start(self, home, message, now, deadline):
        call = _Call(home, message, now, deadline)
        self._calls[message.call_id] = call
        return message.call_id, self._send(call, now)

    def _send(self, call, now):
        call.replica = self._next_replica(call)
        call.tries += 1
        pause = REPLICA_TIMEOUT
        if call.deadline is None:
            pause = min(REPLICA_TIMEOUT * call.tries, MAX_PAUSE)
        call.send_at = now + pause
        return [_commands.Send(call.replica, call.message)]

    def _next_replica(self, call):
        replicas = call.home["replicas"]
        preferred = self._preferred.get(call.home["home_id"])
        if call.replica is None and preferred in replicas:
            return preferred
        if call.replica is None:
            return self.rng.choice(replicas)
        place = replicas.index(call.replica) + 1
        return replicas[place % len(replicas)]

    def _abandon(self, attempt_id):
        self._abandoned[attempt_id] = self._holding.pop(attempt_id, None)
        while len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    def give_up(self, call_id):
        """Abandon a claim whose caller no longer waits.

        :param call_id: the call.
        :returns: commands that release a grant on its way.
        """
        call = self._calls.pop(call_id, None)
        if call is None or not call.is_claim:
            return []
        attempt_id = call.message.attempt_id
        self._abandon(attempt_id)
        return self._release_once(attempt_id, call.replica)

    def forgo(self, attempt_id, now):
        """Release an attempt that was granted to nobody that waits.

        :param attempt_id: the attempt, which has not run.
        :param now: monotonic time.
        :returns: commands.
        """
        claimed = self._holding.get(attempt_id)
        if claimed is None:
            return []
        _, commands = self.settle(
            claimed.home,
            claimed.organisation,
            claimed.key,
            attempt_id,
            errors.RunState.NOT_RUN,
            now,
        )
        return commands

    def _release_once(self, attempt_id, replica):
        claimed = self._abandoned[attempt_id]
        if claimed is None:
            return []
        release = messages.LedgerSettle(
            home_id=claimed.home["home_id"],
            call_id="",
            organisation=claimed.organisation,
            key=claimed.key,
            attempt_id=attempt_id,
            run_state=errors.RunState.NOT_RUN,
            status=0,
            headers=[],
            body=b"",
            answer_known=False,
        )
        return [_commands.Send(replica, release)]

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
    def _probe(self, message: messages.LedgerProbe, sender, now):
        reply = messages.LedgerProbeReply(
            *message, holding=self.holding(message.attempt_id)
        )
        return [_commands.Send(sender, reply)]

    @_receive.register
    def _reply(self, message: messages.LedgerReply, sender, now):
        verdict = _outcomes.verdict_of(message)
        call = self._calls.get(message.call_id)
        if call is None:
            return self._late_reply(sender, verdict)
        if verdict is None:
            call.send_at = min(call.send_at, now + UNAVAILABLE_PAUSE)
            return []
        self._preferred[call.home["home_id"]] = sender
        del self._calls[message.call_id]
        if call.is_claim:
            return self._end_claim(call, verdict, message)
        self._holding.pop(call.message.attempt_id, None)
        done = expression.Ok(verdict)
        return [_commands.Done(message.call_id, done)]

    def _late_reply(self, sender, verdict):
        if not isinstance(verdict, _verdicts.Granted):
            return []
        if verdict.attempt_id not in self._abandoned:
            return []
        _LOG.write(_events.LATE_GRANT, attempt_id=verdict.attempt_id)
        return self._release_once(verdict.attempt_id, sender)

    def _end_claim(self, call, verdict, reply):
        attempt_id = call.message.attempt_id
        if not isinstance(verdict, _verdicts.Granted):
            self._abandon(attempt_id)
        outcome = _outcomes.outcome_of(verdict, reply)
        return [_commands.Done(reply.call_id, outcome)]

    def tick(self, now):
        """Ask the next replica, give claims up.

        :param now: monotonic time.
        :returns: commands.
        """
        commands = []
        for call_id, call in list(self._calls.items()):
            if call.deadline is not None and now >= call.deadline:
                commands += self._expire(call_id, call)
            elif now >= call.send_at:
                commands += self._send(call, now)
        return commands

    def _expire(self, call_id, call):
        commands = self.give_up(call_id)
        detail = f"home {call.home['home_id']} gave no answer"
        error = _errors.HomeUnreachableError(detail)
        done = _commands.Done(call_id, expression.Error(error))
        return [*commands, done]
