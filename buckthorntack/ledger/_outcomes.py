"""What a claim comes to on an entry VM."""

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


def _replay(reply):
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
    "Replay": _replay,
}


def verdict_of(reply):
    """Verdict that a reply carries.

    :param reply: a ``LedgerReply``.
    :returns: the verdict, or ``None`` if another replica is to be asked.
    """
    if reply.verdict in _VERDICTS:
        return _VERDICTS[reply.verdict](reply)
    error = _REFUSALS.get(reply.verdict)
    if error is None:
        return None
    return _verdicts.Refused(error(reply.detail, reply.retry_after_ms or None))


@functools.singledispatch
def outcome_of(verdict, reply):
    """What the claiming entry VM is told.

    :param verdict: the verdict.
    :param reply: the ``LedgerReply`` that carried it.
    :returns: ``Result`` of ``Granted``, ``Replay`` or ``Resolve``.
    """
    return expression.Ok(verdict)


@outcome_of.register
def _refused_outcome(verdict: _verdicts.Refused, reply):
    return expression.Error(verdict.error)


@outcome_of.register
def _replay_outcome(verdict: _verdicts.Replay, reply):
    if verdict.answer_stored:
        return expression.Ok(verdict)
    detail = f"attempt {verdict.attempt_id} ran with status {verdict.status}"
    return expression.Error(_errors.AnswerNotStoredError(detail))


@outcome_of.register
def _progress_outcome(verdict: _verdicts.InProgress, reply):
    detail = f"attempt {verdict.attempt_id} holds the claim"
    error = _errors.AttemptInProgressError(detail, reply.retry_after_ms)
    return expression.Error(error)


@outcome_of.register
def _unknown_outcome(verdict: _verdicts.Unknown, reply):
    detail = f"attempt {verdict.attempt_id} was started, its end is unknown"
    return expression.Error(_errors.OutcomeUnknownError(detail))


@outcome_of.register
def _released_outcome(verdict: _verdicts.Released, reply):
    detail = f"attempt {verdict.attempt_id} was given up"
    return expression.Error(_errors.AttemptInProgressError(detail))
