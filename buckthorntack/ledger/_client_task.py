"""Asynchronous task that runs the ledger client of an entry VM."""

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

#: Interval at which timeouts and resends are checked.
TICK_INTERVAL = datetime.timedelta(milliseconds=50)
#: How long a call waits for the home to confirm an outcome.
REPORT_TIMEOUT = datetime.timedelta(seconds=1)

_LOG = events.EventLog("ledger")


class LedgerClientTask:
    """Claims requests and reports their outcomes for one entry VM.

    :param node_id: id of this node.
    :param homes: all ``LedgerHome`` of the settings.
    :param sender: an ``interfaces.Sender``.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(self, node_id, homes, sender, clock, rng):
        self.node_id = node_id
        self.homes = homes
        self.sender = sender
        self.clock = clock
        self.client = _client.LedgerClient(rng)
        self._call_futures = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(tasks.running(self._run_ticks()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def find_home(self, key, organisation):
        """Return the home that stores the record of a key.

        :param key: the key.
        :param organisation: name of the organisation.
        :returns: ``Result`` of the ``LedgerHome``.
        """
        return _keys.find_home(key, organisation, self.homes)

    def deliver(self, sender, message):
        """Handle a received message of the ledger.

        :param sender: authenticated id of the node that sent it.
        :param message: a message of the schema.
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
        claim_timeout=_client.CLAIM_TIMEOUT,
    ):
        """Request the exclusive right to run a request.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param body_hash: digest of the request.
        :param attempt_id: unique id of the attempt.
        :param store_answer: whether the home may store the response, because
            its region is allowed for the organisation.
        :param claim_timeout: time after which the claim is abandoned.
        :returns: ``Result``.  With ``Granted`` the attempt may run once;
            ``Replay`` has the stored response.  On ``Resolve``, ask the
            backend server for the outcome of the attempt that it names,
            report it with :meth:`report_server_outcome` and claim the key
            again with another attempt id.
        """
        call_id, commands = self.client.claim(
            home,
            organisation,
            key,
            body_hash,
            attempt_id,
            store_answer,
            self.clock.monotonic(),
            claim_timeout,
        )
        future = self._create_future(call_id)
        self._execute_all(commands)
        try:
            return await future
        except asyncio.CancelledError:
            now = self.clock.monotonic()
            self._execute_all(self.client.abandon_claim(call_id))
            self._execute_all(self.client.release_attempt(attempt_id, now))
            raise
        finally:
            self._call_futures.pop(call_id, None)

    async def report_response(
        self, home, organisation, key, attempt_id, status, headers, body
    ):
        """Report that an attempt ran, with its whole response.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: id of the attempt.
        :param status: HTTP status of the response.
        :param headers: pairs of name and value.
        :param body: body of the response.
        :returns: ``Result``; after an error, the client keeps sending the
            outcome.
        """
        return await self._report_outcome(
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

    async def report_not_run(self, home, organisation, key, attempt_id):
        """Report that a granted attempt did not run and never will.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: id of an attempt of this process.
        :returns: ``Result``; after an error, the client keeps sending the
            outcome.
        """
        return await self._report_outcome(
            home, organisation, key, attempt_id, errors.RunState.NOT_RUN
        )

    async def report_unknown(self, home, organisation, key, attempt_id):
        """Report that it cannot be determined whether an attempt ran.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: id of the attempt.
        :returns: ``Result``; after an error, the client keeps sending the
            outcome.
        """
        return await self._report_outcome(
            home, organisation, key, attempt_id, errors.RunState.UNKNOWN
        )

    async def report_server_outcome(
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
        """Report the outcome that a backend server gave for a lost holder.

        "Not run" from the server is reported as unknown, because the request
        may still be in transit to the server and run later.

        :param home: ``LedgerHome`` of the key.
        :param organisation: name of the organisation.
        :param key: the idempotency key.
        :param attempt_id: id of the attempt.
        :param run_state: ``RunState`` that the server reported.
        :param status: HTTP status of the response, if it was fetched.
        :param headers: pairs of name and value.
        :param body: body of the response.
        :param answer_known: whether the whole response was fetched.
        :returns: ``Result``; after an error, the client keeps sending the
            outcome.
        """
        if run_state != errors.RunState.RAN:
            run_state = errors.RunState.UNKNOWN
            _LOG.write(_events.OUTCOME_UNKNOWN, attempt_id=attempt_id)
        return await self._report_outcome(
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

    async def _report_outcome(
        self, home, organisation, key, attempt_id, run_state, **response
    ):
        pairs = response.pop("headers", ())
        call_id, commands = self.client.report_outcome(
            home,
            organisation,
            key,
            attempt_id,
            run_state,
            self.clock.monotonic(),
            headers=[messages.LedgerHeader(*pair) for pair in pairs],
            **response,
        )
        future = self._create_future(call_id)
        self._execute_all(commands)
        return await self._wait_for_confirmation(call_id, future, attempt_id)

    async def _wait_for_confirmation(self, call_id, future, attempt_id):
        try:
            await clocks.completes(future, self.clock, REPORT_TIMEOUT)
        finally:
            self._call_futures.pop(call_id, None)
        if future.done():
            return future.result()
        _LOG.write(_events.SETTLEMENT_KEPT, attempt_id=attempt_id)
        detail = f"outcome of attempt {attempt_id} is not confirmed yet"
        return expression.Error(_errors.HomeUnreachableError(detail))

    def _create_future(self, call_id):
        future = asyncio.get_running_loop().create_future()
        self._call_futures[call_id] = future
        return future

    def _execute_all(self, commands):
        for command in commands:
            if isinstance(command, _commands.Send):
                self.sender.send(command.to, command.message)
            else:
                self._complete_call(command)

    def _complete_call(self, command):
        future = self._call_futures.get(command.call_id)
        if future is not None and not future.done():
            future.set_result(command.result)

    async def _run_ticks(self):
        while True:
            self._execute_all(self.client.tick(self.clock.monotonic()))
            await self.clock.sleep(TICK_INTERVAL)
