"""Runs a non-idempotent request at most once, by the ledger."""

from buckthorntack import errors
from buckthorntack import events
from buckthorntack import ledger
from buckthorntack.entry import _attempt
from buckthorntack.entry import _events


class Once:
    """Claims a request at its home and tells the home what became of it.

    :param client: ``ledger.LedgerClientTask``.
    :param attempts: ``AttemptClient``, to ask for outcomes.
    :param locate: gives the ``Target`` of an attempt id and an organisation
        if its server can be reached from here, else ``None``.
    """

    def __init__(self, client, attempts, locate):
        self.client = client
        self.attempts = attempts
        self.locate = locate
        self._log = events.EventLog("entry")

    async def claim(self, request, attempt_id):
        """Ask for the right to send an attempt.

        :param request: the ``GatewayRequest``.
        :param attempt_id: id of the attempt, never used before.
        :returns: ``Granted`` or ``Replay`` of ``ledger``.
        :raises GatewayError: it must not be sent.
        """
        home = self._home(request)
        result = await self._ask(home, request, attempt_id)
        if isinstance(result, ledger.Resolve):
            await self._resolve(home, request, result.attempt_id)
            result = await self._ask(home, request, attempt_id + ".r")
        if isinstance(result, ledger.Resolve):
            detail = f"attempt {result.attempt_id} cannot be asked about"
            raise ledger.OutcomeUnknownError(detail)
        return result

    def _home(self, request):
        home = self.client.find_home(
            request.idempotency_key, request.organisation
        )
        if home.is_error():
            raise home.error
        return home.ok

    async def _ask(self, home, request, attempt_id):
        result = await self.client.claim(
            home,
            request.organisation,
            request.idempotency_key,
            ledger.body_digest(_identity(request)),
            attempt_id,
            home["region"] in request.allowed_regions,
        )
        if result.is_error():
            raise result.error
        return result.ok

    async def _resolve(self, home, request, lost_attempt_id):
        """Ask the backend server about the attempt of a lost holder."""
        target = self.locate(lost_attempt_id, request.organisation)
        if target is None:
            return
        told = await self.attempts.ask_outcome(target)
        if told.running:
            return
        answer = None
        if told.run_state is errors.RunState.RAN:
            answer = await self.attempts.fetch(target)
        where = (home, request.organisation, request.idempotency_key)
        if answer is None:
            await self.client.report_server_outcome(
                *where, lost_attempt_id, told.run_state
            )
            return
        await self.client.report_server_outcome(
            *where,
            lost_attempt_id,
            told.run_state,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            answer_known=True,
        )

    async def settle(self, request, attempt_id, outcome):
        """Tell the home what became of an attempt.

        :param request: the ``GatewayRequest``.
        :param attempt_id: the attempt that was granted.
        :param outcome: :class:`Done` or a ``RunState``.
        """
        home = self._home(request)
        where = (home, request.organisation, request.idempotency_key)
        if isinstance(outcome, _attempt.Done):
            await self.client.report_response(
                *where,
                attempt_id,
                outcome.status,
                outcome.headers,
                outcome.body,
            )
        elif outcome is errors.RunState.NOT_RUN:
            await self.client.report_not_run(*where, attempt_id)
        elif outcome is errors.RunState.RAN:
            await self.client.report_server_outcome(
                *where, attempt_id, outcome
            )
        else:
            await self.client.report_unknown(*where, attempt_id)

    def replay(self, request, stored):
        """The answer that a resend is given.

        :param request: the ``GatewayRequest``.
        :param stored: ``ledger.Replay``.
        :returns: :class:`Done`.
        """
        self._log.write(
            _events.REPLAYED,
            request=request.request_id,
            attempt=stored.attempt_id,
        )
        headers = [(header.name, header.value) for header in stored.headers]
        headers.append(("x-replayed", "true"))
        return _attempt.Done(stored.status, headers, stored.body, 0)


def _identity(request):
    """Bytes that must be the same in each resend."""
    head = f"{request.method} {request.service} {request.path}\n"
    return head.encode() + request.body
