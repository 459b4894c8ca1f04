"""Conversion of replies of a home into results of calls."""

import functools

import expression

from buckthorntack.ledger import _errors
from buckthorntack.ledger import _verdicts

_REFUSALS = {
    error.kind: error
    for error in (
        _errors.KeyReusedError,
        _errors.KeyExpiredError,
        _errors.LedgerFullError,
        _errors.InvalidKeyError,
        _errors.KeyPrefixNeededError,
    )
}


def _parse_replay(reply):
    return _verdicts.Replay(
        reply.attempt_id,
        reply.status,
        reply.headers,
        reply.body,
        reply.answer_stored,
    )


_VERDICTS = {
    "Granted": lambda reply: _verdicts.Granted(reply.attempt_id),
    "Released": lambda reply: _verdicts.Released(reply.attempt_id),
    "InProgress": lambda reply: _verdicts.InProgress(reply.attempt_id, ""),
    "Unknown": lambda reply: _verdicts.Unknown(reply.attempt_id),
    "Resolve": lambda reply: _verdicts.Resolve(reply.attempt_id),
    "Settled": lambda reply: _verdicts.Settled(reply.attempt_id),
    "Replay": _parse_replay,
}


def parse_verdict(reply):
    """Return the verdict in a reply.

    :param reply: a ``LedgerReply``.
    :returns: the verdict, or ``None`` if another replica must be tried.
    """
    if reply.verdict in _VERDICTS:
        return _VERDICTS[reply.verdict](reply)
    error = _REFUSALS.get(reply.verdict)
    if error is None:
        return None
    return _verdicts.Refused(error(reply.detail, reply.retry_after_ms or None))


@functools.singledispatch
def claim_result(verdict, reply):
    """Return the result of a claim for its caller.

    :param verdict: the verdict on the claim.
    :param reply: the ``LedgerReply`` with the verdict.
    :returns: ``Result`` of ``Granted``, ``Replay`` or ``Resolve``.
    """
    return expression.Ok(verdict)


@claim_result.register
def _refused_result(verdict: _verdicts.Refused, reply):
    return expression.Error(verdict.error)


@claim_result.register
def _replay_result(verdict: _verdicts.Replay, reply):
    if verdict.answer_stored:
        return expression.Ok(verdict)
    detail = f"attempt {verdict.attempt_id} ran with status {verdict.status}"
    return expression.Error(_errors.AnswerNotStoredError(detail))


@claim_result.register
def _in_progress_result(verdict: _verdicts.InProgress, reply):
    detail = f"attempt {verdict.attempt_id} holds the claim"
    error = _errors.AttemptInProgressError(detail, reply.retry_after_ms)
    return expression.Error(error)


@claim_result.register
def _unknown_result(verdict: _verdicts.Unknown, reply):
    detail = (
        f"attempt {verdict.attempt_id} was started; its outcome is unknown"
    )
    return expression.Error(_errors.OutcomeUnknownError(detail))


@claim_result.register
def _released_result(verdict: _verdicts.Released, reply):
    detail = f"attempt {verdict.attempt_id} was abandoned"
    return expression.Error(_errors.AttemptInProgressError(detail))
