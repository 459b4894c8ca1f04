"""Shell of the ledger client on an entry VM."""

import asyncio
import contextlib
import datetime

import expression

from buckthorntack import clock as clocks
from buckthorntack import errors
from buckthorntack import events
from buckthorntack import tasks
from buckthorntack.ledger import _client
from buckthorntack.ledger import _commands
from buckthorntack.ledger import _errors
from buckthorntack.ledger import _events
from buckthorntack.ledger import _keys
from buckthorntack.schema import messages

TICK = datetime.timedelta(milliseconds=50)
#: How long the home's receipt of an outcome is awaited.
SETTLE_WAIT = datetime.timedelta(seconds=1)

_LOG = events.EventLog("ledger")


class LedgerClientTask:
    """Claims and settles for the requests of one entry VM.

    :param node_id: this node.
    :param homes: all ``LedgerHome`` of the settings.
    :param sender: sends messages.
    :param clock: the clock.
    :param rng: random source.
    """

    def __init__(self, node_id, homes, sender, clock, rng):
        self.node_id = node_id
        self.homes = homes
        self.sender = sender
        self.clock = clock
        self.client = _client.LedgerClient(rng)
        self._futures = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(tasks.running(self._run_ticks()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def home_of(self, key, organisation):
        """Home of a key.

        :param key: the key.
        :param organisation: name of the organisation.
        :returns: ``Result`` of the ``LedgerHome``.
        """
        return _keys.home_of(key, organisation, self.homes)

    def deliver(self, sender, message):
        """Take a message of the ledger schema.

        :param sender: authenticated node that sent it.
        :param message: the message.
        """
        now = self.clock.monotonic()
        self._execute_all(self.client.receive(sender, message, now))

    async def claim(
        self,
        home,
        organisation,
        key,
        body_hash,
        attempt_id,
        store_answer=True,
        within=_client.CLAIM_DEADLINE,
    ):
        """Ask for the right to run a request.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param body_hash: digest of the request.
        :param attempt_id: id never used before.
        :param store_answer: whether the home may hold the answer, because
            its region is allowed for the organisation.
        :param within: how long to try.
        :returns: ``Result``: ``Granted``: the attempt may run, once;
            ``Replay``: the stored answer; ``Resolve``: ask the backend
            server for the outcome of the attempt named, tell it by
            :meth:`resolved` and claim anew with another attempt id; or an
            error.
        """
        call_id, commands = self.client.claim(
            home,
            organisation,
            key,
            body_hash,
            attempt_id,
            store_answer,
            self.clock.monotonic(),
            within,
        )
        future = self._future(call_id)
        self._execute_all(commands)
        try:
            return await future
        except asyncio.CancelledError:
            now = self.clock.monotonic()
            self._execute_all(self.client.give_up(call_id))
            self._execute_all(self.client.forgo(attempt_id, now))
            raise
        finally:
            self._futures.pop(call_id, None)

    async def finish(
        self, home, organisation, key, attempt_id, status, headers, body
    ):
        """Tell that an attempt ran, with its whole answer.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: the attempt.
        :param status: status of the answer.
        :param headers: pairs of name and value.
        :param body: body of the answer.
        :returns: ``Result``; on an error the outcome is still sent on.
        """
        return await self._settle(
            home,
            organisation,
            key,
            attempt_id,
            errors.RunState.RAN,
            status=status,
            headers=headers,
            body=body,
            answer_known=True,
        )

    async def release_not_run(self, home, organisation, key, attempt_id):
        """Tell that a granted attempt did not run and never will.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: the attempt, of this process.
        :returns: ``Result``; on an error the outcome is still sent on.
        """
        return await self._settle(
            home, organisation, key, attempt_id, errors.RunState.NOT_RUN
        )

    async def report_unknown(self, home, organisation, key, attempt_id):
        """Tell that it cannot be found out whether an attempt ran.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: the attempt.
        :returns: ``Result``; on an error the outcome is still sent on.
        """
        return await self._settle(
            home, organisation, key, attempt_id, errors.RunState.UNKNOWN
        )

    async def resolved(
        self,
        home,
        organisation,
        key,
        attempt_id,
        run_state,
        status=0,
        headers=(),
        body=b"",
        answer_known=False,
    ):
        """Tell what the backend server says of an attempt of a lost holder.

        That a server has not run an attempt does not show that it never
        will: bytes may be on their way.  It counts as unknown.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: the attempt.
        :param run_state: ``RunState`` that the server told.
        :param status: status of the answer, if it could be fetched.
        :param headers: pairs of name and value.
        :param body: body of the answer.
        :param answer_known: whether the whole answer could be fetched.
        :returns: ``Result``; on an error the outcome is still sent on.
        """
        if run_state != errors.RunState.RAN:
            run_state = errors.RunState.UNKNOWN
            _LOG.write(_events.OUTCOME_UNKNOWN, attempt_id=attempt_id)
        return await self._settle(
            home,
            organisation,
            key,
            attempt_id,
            run_state,
            status=status,
            headers=headers,
            body=body,
            answer_known=answer_known,
        )

    async def _settle(
        self, home, organisation, key, attempt_id, run_state, **answer
    ):
        pairs = answer.pop("headers", ())
        call_id, commands = self.client.settle(
            home,
            organisation,
            key,
            attempt_id,
            run_state,
            self.clock.monotonic(),
            headers=[messages.LedgerHeader(*pair) for pair in pairs],
            **answer,
        )
        future = self._future(call_id)
        self._execute_all(commands)
        return await self._receipt(call_id, future, attempt_id)

    async def _receipt(self, call_id, future, attempt_id):
        try:
            await clocks.completes(future, self.clock, SETTLE_WAIT)
        finally:
            self._futures.pop(call_id, None)
        if future.done():
            return future.result()
        _LOG.write(_events.SETTLEMENT_KEPT, attempt_id=attempt_id)
        detail = f"outcome of attempt {attempt_id} is not received yet"
        return expression.Error(_errors.HomeUnreachableError(detail))

    def _future(self, call_id):
        future = asyncio.get_running_loop().create_future()
        self._futures[call_id] = future
        return future

    def _execute_all(self, commands):
        for command in commands:
            if isinstance(command, _commands.Send):
                self.sender.send(command.to, command.message)
            else:
                self._done(command)

    def _done(self, command):
        future = self._futures.get(command.call_id)
        if future is not None and not future.done():
            future.set_result(command.result)

    async def _run_ticks(self):
        while True:
            self._execute_all(self.client.tick(self.clock.monotonic()))
            await self.clock.sleep(TICK)
