"""What follows a failed attempt."""

import datetime
import functools
import random

from buckthorntack import errors
from buckthorntack.retries import _budget
from buckthorntack.retries import _errors
from buckthorntack.retries import _limiter
from buckthorntack.retries import _types

_NOW = datetime.timedelta()


class RetryPolicy:
    """Decides the step after each kind of failure.

    :param settings: ``RetrySettings``.
    :param rng: source of randomness for backoff.
    :param limiter: counts failed attempts over all entry VMs.
    """

    def __init__(
        self,
        settings: _types.RetrySettings,
        rng: random.Random,
        limiter: _limiter.AttemptLimiter,
    ):
        self.settings = settings
        self.rng = rng
        self.limiter = limiter
        self.budget = _budget.RetryBudget(
            settings.budget_share,
            settings.budget_burst,
            settings.budget_per_second,
        )

    def first_attempt(self) -> None:
        """Note the first attempt of a request; it feeds the budget."""
        self.budget.first_attempt()

    def next_step(
        self,
        failure: _types.Failure,
        context: _types.AttemptContext,
        now: datetime.timedelta,
    ) -> _types.Step:
        """Decide what follows.

        :param failure: what happened to the attempt.
        :param context: the context that the last step gave, with
            ``last_event`` brought up to date.
        :param now: the time.
        :returns: the step.
        """
        if now >= context.deadline:
            return self.give_up(_assume(failure, context), "deadline passed")
        return _after(failure, self, context, now)

    def retry(self, server_id, context, now):
        """Start another attempt, if bounds allow.

        :param server_id: server to leave out.
        :param context: ``AttemptContext``, its present attempt judged.
        :param now: the time.
        :returns: the step.
        """
        settings = self.settings
        if context.current_unknown:
            self.limiter.failed(context.fingerprint, now)
        delay = self._delay(context.attempts - 1)
        if context.last_event >= 0:
            return self.give_up(context, "part of an answer was delivered")
        if context.current_unknown and not context.idempotent:
            return self.give_up(context, "it may have run")
        if context.attempts >= settings.attempts:
            return self.give_up(context, "too many attempts")
        if self.limiter.check(context.fingerprint, now) is not None:
            return self.give_up(context, "equal requests failed too often")
        if now + delay >= context.deadline:
            return self.give_up(context, "deadline too near")
        if not self.budget.take(now.total_seconds()):
            return self.give_up(context, "retry budget used up")
        excluded = context.excluded | {server_id}
        following = context._replace(
            attempts=context.attempts + 1,
            resumes=0,
            questions=0,
            excluded=excluded,
            current_unknown=False,
            may_have_run=context.may_have_run or context.current_unknown,
        )
        return _types.Retry(excluded, delay, following)

    def resume(self, server_id, context, now):
        """Resume the attempt's answer, if bounds allow.

        :param server_id: server that runs it.
        :param context: ``AttemptContext``.
        :param now: the time.
        :returns: the step.
        """
        if not context.resumable:
            return self.ask(server_id, context, now)
        if context.resumes >= self.settings.resumes:
            return self.ask(server_id, context, now)
        delay = self._delay(context.resumes) if context.resumes else _NOW
        following = context._replace(resumes=context.resumes + 1)
        return _types.Resume(context.last_event, delay, following)

    def ask(self, server_id, context, now):
        """Ask what became of the attempt, if bounds allow.

        :param server_id: server that it was sent to.
        :param context: ``AttemptContext``.
        :param now: the time.
        :returns: the step.
        """
        if context.questions >= self.settings.questions:
            return self.retry(server_id, context, now)
        delay = self._delay(context.questions)
        following = context._replace(questions=context.questions + 1)
        return _types.AskOutcome(delay, following)

    def _delay(self, exponent):
        settings = self.settings
        most_ms = min(
            settings.backoff_ms * 2.0**exponent, settings.longest_backoff_ms
        )
        delay_ms = self.rng.uniform(0.0, most_ms)
        return datetime.timedelta(milliseconds=delay_ms)

    def give_up(self, context, why):
        """End with the strongest answer that is true.

        :param context: ``AttemptContext``, its present attempt judged.
        :param why: why no further attempt is made.
        :returns: the step.
        """
        what = f"{context.request_id} after {context.attempts} attempts"
        detail = f"{what}: {why}"
        if context.ran:
            return _types.GiveUp(_errors.AnswerLostError(detail))
        if context.current_unknown or context.may_have_run:
            return _types.GiveUp(_errors.OutcomeUnknownError(detail))
        error = _errors.AttemptsFailedError(
            detail, self.settings.retry_after_ms
        )
        return _types.GiveUp(error)


def _unknown(context):
    return context._replace(current_unknown=True)


def _not_run(context):
    if context.ran or context.last_event >= 0:
        return _unknown(context)
    return context._replace(current_unknown=False)


def _ran(context):
    return context._replace(current_unknown=True, ran=True)


@functools.singledispatch
def _assume(failure, context):
    """What the last failure tells of the run, when nothing more is done."""
    return _unknown(context)


@_assume.register
def _(failure: _types.ConnectRefused, context):
    # Refused on a resume or a question, the attempt itself stays as it was.
    return context


@_assume.register
def _(failure: _types.SaidNotRun, context):
    return _not_run(context)


@_assume.register
def _(failure: _types.EngineError, context):
    return _told(failure.run_state, context)


@_assume.register
def _(failure: _types.OutcomeTold, context):
    return _told(_believed(failure.run_state, context), context)


def _told(run_state, context):
    if run_state is errors.RunState.NOT_RUN:
        return _not_run(context)
    if run_state is errors.RunState.RAN:
        return _ran(context)
    return _unknown(context)


@functools.singledispatch
def _after(failure, policy, context, now):
    raise TypeError(f"not a failure: {failure!r}")


@_after.register
def _(failure: _types.ConnectRefused, policy, context, now):
    return policy.retry(failure.server_id, context, now)


@_after.register
def _(failure: _types.LostBeforeHead, policy, context, now):
    return policy.ask(failure.server_id, _unknown(context), now)


@_after.register
def _(failure: _types.Silent, policy, context, now):
    return policy.resume(failure.server_id, _unknown(context), now)


@_after.register
def _(failure: _types.LostMidStream, policy, context, now):
    return policy.resume(failure.server_id, _unknown(context), now)


@_after.register
def _(failure: _types.CrossedAnswer, policy, context, now):
    return policy.ask(failure.server_id, _unknown(context), now)


@_after.register
def _(failure: _types.SaidNotRun, policy, context, now):
    return policy.retry(failure.server_id, _not_run(context), now)


@_after.register
def _(failure: _types.EngineError, policy, context, now):
    context = _told(failure.run_state, context)
    if context.ran:
        return policy.give_up(context, f"error {failure.status}")
    return policy.retry(failure.server_id, context, now)


@_after.register
def _(failure: _types.OutcomeTold, policy, context, now):
    if failure.running or failure.run_state is errors.RunState.RAN:
        ran = failure.run_state is errors.RunState.RAN
        context = _ran(context) if ran else _unknown(context)
        if failure.running:  # only the deadline bounds how long it is awaited
            context = context._replace(resumes=0, questions=0)
        return policy.resume(failure.server_id, context, now)
    context = _told(_believed(failure.run_state, context), context)
    return policy.retry(failure.server_id, context, now)


def _believed(run_state, context):
    """What a server's account of an attempt is worth.

    That it has not run an attempt yet does not show that it never will: the
    bytes may still be on their way to it.
    """
    if context.idempotent:
        return run_state
    if run_state is errors.RunState.NOT_RUN:
        return errors.RunState.UNKNOWN
    return run_state


@_after.register
def _(failure: _types.ResumeFailed, policy, context, now):
    return policy.ask(failure.server_id, _unknown(context), now)
