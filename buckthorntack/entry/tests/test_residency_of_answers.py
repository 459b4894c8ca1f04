"""Tests that answers stay within the residency of an organisation."""

import random

import pytest

from buckthorntack import errors
from buckthorntack import ledger
from buckthorntack import retries
from buckthorntack.entry import _attempt
from buckthorntack.entry import _idempotency
from buckthorntack.entry.tests import fakes
from buckthorntack.schema import messages

HOME = {"home_id": "h1", "region": "fukuoka", "replicas": ["c1"]}
HEADERS = [("x-booked", "roundabout 7")]
ANSWER = _attempt.Completed(201, HEADERS, fakes.BODY, 0)


class _HomeThatAsksForALostAttempt(fakes.FakeSender):
    """Sender to a home that holds the claim of a lost entry VM."""

    client = None
    verdict = "Resolve"

    def send(self, node_id, message):
        self.sent.append(message)
        is_claim = isinstance(message, messages.LedgerClaim)
        reply = messages.LedgerReply(
            home_id=message.home_id,
            call_id=message.call_id,
            verdict=self.verdict if is_claim else "Settled",
            attempt_id="lost" if is_claim else message.attempt_id,
            status=0,
            headers=[],
            body=b"",
            answer_stored=False,
            detail="",
            retry_after_ms=0,
        )
        self.verdict = "Granted"
        self.client.deliver(node_id, reply)
        return True


class _ServerThatRanIt:
    """Client of the backend server of a lost attempt."""

    async def query_outcome(self, target):
        return retries.OutcomeTold("s1", errors.RunState.RAN, False)

    async def fetch(self, target):
        return ANSWER


def _report(act, region):
    """Return what a home is sent of the answer by an action of a guard.

    :param act: called with the guard and the request.
    :param region: the only region that the organisation allows.
    """

    async def scenario():
        sender = _HomeThatAsksForALostAttempt()
        sender.client = ledger.LedgerClientTask(
            "e1", [HOME], sender, fakes.LoopClock(), random.Random(4)
        )
        guard = _idempotency.IdempotencyGuard(
            sender.client,
            _ServerThatRanIt(),
            lambda attempt_id, organisation: _attempt.Target(
                attempt_id, "s1", "http://s1"
            ),
        )
        request = fakes.make_request(
            "booking", allowed_regions=frozenset([region])
        )
        await act(guard, request)
        [settle] = [
            message
            for message in sender.sent
            if isinstance(message, messages.LedgerSettle)
        ]
        return settle

    return fakes.run(scenario())


async def _report_own_answer(guard, request):
    await guard.report_outcome(request, "a1", ANSWER)


async def _resolve_lost_attempt(guard, request):
    await guard.claim(request, "a2")


ACTIONS = [_report_own_answer, _resolve_lost_attempt]


# The whole answer was sent to a ledger home outside the organisation's
# residency, and written to the log of its replicas.
@pytest.mark.parametrize("act", ACTIONS)
def test_answer_is_not_sent_to_a_home_outside_the_residency(act):
    settle = _report(act, "kumamoto")
    assert (settle.run_state, settle.status) == ("ran", 201)
    assert settle.headers == []
    assert settle.body == ledger.body_digest(fakes.BODY)
    assert not settle.answer_known


@pytest.mark.parametrize("act", ACTIONS)
def test_answer_is_sent_to_a_home_within_the_residency(act):
    settle = _report(act, "fukuoka")
    assert (settle.run_state, settle.status) == ("ran", 201)
    assert settle.headers == [messages.LedgerHeader(*HEADERS[0])]
    assert settle.body == fakes.BODY
    assert settle.answer_known
