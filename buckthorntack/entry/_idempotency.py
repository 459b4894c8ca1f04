"""At-most-once execution of non-idempotent requests by the ledger."""

from buckthorntack import errors
from buckthorntack import events
from buckthorntack import ledger
from buckthorntack.entry import _attempt
from buckthorntack.entry import _events


class IdempotencyGuard:
    """Client that claims keys at the ledger home and reports outcomes.

    :param client: the ``ledger.LedgerClientTask``.
    :param attempt_client: the ``AttemptClient`` for outcome queries.
    :param find_target: function that returns the ``Target`` of an attempt id
        and an organisation, or ``None`` if its server is not of this region.
    """

    def __init__(self, client, attempt_client, find_target):
        self.client = client
        self.attempt_client = attempt_client
        self.find_target = find_target
        self._log = events.EventLog("entry")

    async def claim(self, request, attempt_id):
        """Claim the idempotency key of a request for an attempt.

        :param request: the ``GatewayRequest``.
        :param attempt_id: id of the attempt, never used before.
        :returns: ``ledger.Granted`` or ``ledger.Replay``.
        :raises GatewayError: the attempt must not be sent.
        """
        home = self._find_home(request)
        result = await self._request_claim(home, request, attempt_id)
        if isinstance(result, ledger.Resolve):
            await self._resolve_lost_attempt(home, request, result.attempt_id)
            result = await self._request_claim(
                home, request, attempt_id + ".r"
            )
        if isinstance(result, ledger.Resolve):
            detail = (
                f"outcome of attempt {result.attempt_id} cannot be queried"
            )
            raise ledger.OutcomeUnknownError(detail)
        return result

    def _find_home(self, request):
        home = self.client.find_home(
            request.idempotency_key, request.organisation
        )
        if home.is_error():
            raise home.error
        return home.ok

    async def _request_claim(self, home, request, attempt_id):
        result = await self.client.claim(
            home,
            request.organisation,
            request.idempotency_key,
            ledger.body_digest(_encode_identity(request)),
            attempt_id,
            home["region"] in request.allowed_regions,
        )
        if result.is_error():
            raise result.error
        return result.ok

    async def _resolve_lost_attempt(self, home, request, lost_attempt_id):
        """Report the outcome of an attempt whose entry VM was lost.

        The outcome comes from the backend server of the attempt.
        """
        target = self.find_target(lost_attempt_id, request.organisation)
        if target is None:
            return
        outcome = await self.attempt_client.query_outcome(target)
        if outcome.running:
            return
        response = None
        if outcome.run_state is errors.RunState.RAN:
            response = await self.attempt_client.fetch(target)
        if response is None:
            await self.client.report_server_outcome(
                home,
                request.organisation,
                request.idempotency_key,
                lost_attempt_id,
                outcome.run_state,
            )
            return
        await self._report_answer(home, request, lost_attempt_id, response)

    async def _report_answer(self, home, request, attempt_id, answer):
        """Report that an attempt ran.

        A home outside the organisation's residency gets the digest of the
        answer only, as its replicas write to their logs what they get.
        """
        call_key = (home, request.organisation, request.idempotency_key)
        if home["region"] in request.allowed_regions:
            await self.client.report_response(
                *call_key,
                attempt_id,
                answer.status,
                answer.headers,
                answer.body,
            )
            return
        await self.client.report_server_outcome(
            *call_key,
            attempt_id,
            errors.RunState.RAN,
            status=answer.status,
            body=ledger.body_digest(answer.body),
        )

    async def report_outcome(self, request, attempt_id, outcome):
        """Report the outcome of an attempt to the ledger home.

        :param request: the ``GatewayRequest``.
        :param attempt_id: id of the attempt that holds the claim.
        :param outcome: :class:`Completed` or a ``RunState``.
        """
        home = self._find_home(request)
        call_key = (home, request.organisation, request.idempotency_key)
        if isinstance(outcome, _attempt.Completed):
            await self._report_answer(home, request, attempt_id, outcome)
        elif outcome is errors.RunState.NOT_RUN:
            await self.client.report_not_run(*call_key, attempt_id)
        elif outcome is errors.RunState.RAN:
            await self.client.report_server_outcome(
                *call_key, attempt_id, outcome
            )
        else:
            await self.client.report_unknown(*call_key, attempt_id)

    def build_replay(self, request, stored):
        """Build the result of a retried request from the stored response.

        :param request: the ``GatewayRequest``.
        :param stored: the ``ledger.Replay``.
        :returns: :class:`Completed`.
        """
        self._log.write(
            _events.REPLAYED,
            request=request.request_id,
            attempt=stored.attempt_id,
        )
        headers = [(header.name, header.value) for header in stored.headers]
        headers.append(("x-replayed", "true"))
        return _attempt.Completed(stored.status, headers, stored.body, 0)


def _encode_identity(request):
    """Return the bytes that all requests with one key must have in common."""
    head = f"{request.method} {request.service} {request.path}\n"
    return head.encode() + request.body
