"""Choice of the step that follows a failed attempt."""

import datetime
import functools
import random

from buckthorntack import errors
from buckthorntack.retries import _budget
from buckthorntack.retries import _errors
from buckthorntack.retries import _limiter
from buckthorntack.retries import _types

_NO_DELAY = datetime.timedelta()


class RetryPolicy:
    """Policy that chooses a step after each kind of failure.

    :param settings: ``RetrySettings``.
    :param rng: source of randomness for the backoff.
    :param limiter: limiter of failed attempts across all entry VMs.
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

    def record_first_attempt(self) -> None:
        """Add the first attempt of a request to the retry budget."""
        self.budget.record_first_attempt()

    def next_step(
        self,
        failure: _types.Failure,
        context: _types.AttemptContext,
        now: datetime.timedelta,
    ) -> _types.Step:
        """Choose the step after a failure.

        :param failure: the failure of the attempt.
        :param context: the context from the last step, with ``last_event``
            updated.
        :param now: current monotonic time.
        :returns: the step.
        """
        if now >= context.deadline:
            return self.give_up(
                _assess_final_failure(failure, context), "deadline passed"
            )
        return _choose_step(failure, self, context, now)

    def retry(self, server_id, context, now):
        """Start another attempt if no limit is reached.

        :param server_id: server to exclude.
        :param context: ``AttemptContext``; tells whether the current attempt
            may have run.
        :param now: current monotonic time.
        :returns: the step.
        """
        settings = self.settings
        if context.current_may_have_run:
            self.limiter.record_failure(context.fingerprint, now)
        delay = self._draw_delay(context.attempts - 1)
        if context.last_event >= 0:
            return self.give_up(context, "part of an answer was delivered")
        if context.current_may_have_run and not context.idempotent:
            return self.give_up(context, "it may have run")
        if context.attempts >= settings.max_attempts:
            return self.give_up(context, "too many attempts")
        if self.limiter.check(context.fingerprint, now) is not None:
            return self.give_up(context, "equal requests failed too often")
        if now + delay >= context.deadline:
            return self.give_up(context, "deadline too near")
        if not self.budget.try_acquire(now.total_seconds()):
            return self.give_up(context, "retry budget used up")
        excluded = context.excluded | {server_id}
        next_context = context._replace(
            attempts=context.attempts + 1,
            resumes=0,
            outcome_queries=0,
            excluded=excluded,
            current_may_have_run=False,
            earlier_may_have_run=context.earlier_may_have_run
            or context.current_may_have_run,
        )
        return _types.Retry(excluded, delay, next_context)

    def resume(self, server_id, context, now):
        """Resume the answer of the attempt if no limit is reached.

        :param server_id: server that runs the attempt.
        :param context: ``AttemptContext``.
        :param now: current monotonic time.
        :returns: the step.
        """
        if not context.resumable:
            return self.query_outcome(server_id, context, now)
        if context.resumes >= self.settings.max_resumes:
            return self.query_outcome(server_id, context, now)
        delay = (
            self._draw_delay(context.resumes) if context.resumes else _NO_DELAY
        )
        next_context = context._replace(resumes=context.resumes + 1)
        return _types.Resume(context.last_event, delay, next_context)

    def query_outcome(self, server_id, context, now):
        """Query the outcome of the attempt if no limit is reached.

        :param server_id: server to which the attempt was sent.
        :param context: ``AttemptContext``.
        :param now: current monotonic time.
        :returns: the step.
        """
        if context.outcome_queries >= self.settings.max_outcome_queries:
            return self.retry(server_id, context, now)
        delay = self._draw_delay(context.outcome_queries)
        next_context = context._replace(
            outcome_queries=context.outcome_queries + 1
        )
        return _types.AskOutcome(delay, next_context)

    def _draw_delay(self, exponent):
        settings = self.settings
        max_delay_ms = min(
            settings.backoff_ms * 2.0**exponent, settings.max_backoff_ms
        )
        delay_ms = self.rng.uniform(0.0, max_delay_ms)
        return datetime.timedelta(milliseconds=delay_ms)

    def give_up(self, context, reason):
        """End the request with the strongest error that is known to be true.

        :param context: ``AttemptContext``; tells whether the current attempt
            may have run.
        :param reason: why no further attempt is made.
        :returns: the step.
        """
        summary = f"{context.request_id} after {context.attempts} attempts"
        detail = f"{summary}: {reason}"
        if context.ran:
            return _types.GiveUp(_errors.AnswerLostError(detail))
        if context.current_may_have_run or context.earlier_may_have_run:
            return _types.GiveUp(_errors.OutcomeUnknownError(detail))
        error = _errors.AttemptsFailedError(
            detail, self.settings.retry_after_ms
        )
        return _types.GiveUp(error)


def _mark_unknown(context):
    return context._replace(current_may_have_run=True)


def _mark_not_run(context):
    if context.ran or context.last_event >= 0:
        return _mark_unknown(context)
    return context._replace(current_may_have_run=False)


def _mark_ran(context):
    return context._replace(current_may_have_run=True, ran=True)


@functools.singledispatch
def _assess_final_failure(failure, context):
    """Return the context after a failure that no step follows."""
    return _mark_unknown(context)


@_assess_final_failure.register
def _(failure: _types.ConnectRefused, context):
    # A refused resume or outcome query tells nothing about the attempt.
    return context


@_assess_final_failure.register
def _(failure: _types.SaidNotRun, context):
    return _mark_not_run(context)


@_assess_final_failure.register
def _(failure: _types.EngineError, context):
    return _apply_run_state(failure.run_state, context)


@_assess_final_failure.register
def _(failure: _types.OutcomeTold, context):
    return _apply_run_state(
        _trusted_run_state(failure.run_state, context), context
    )


def _apply_run_state(run_state, context):
    if run_state is errors.RunState.NOT_RUN:
        return _mark_not_run(context)
    if run_state is errors.RunState.RAN:
        return _mark_ran(context)
    return _mark_unknown(context)


@functools.singledispatch
def _choose_step(failure, policy, context, now):
    raise TypeError(f"not a failure: {failure!r}")


@_choose_step.register
def _(failure: _types.ConnectRefused, policy, context, now):
    return policy.retry(failure.server_id, context, now)


@_choose_step.register
def _(failure: _types.LostBeforeHead, policy, context, now):
    return policy.query_outcome(failure.server_id, _mark_unknown(context), now)


@_choose_step.register
def _(failure: _types.Silent, policy, context, now):
    return policy.resume(failure.server_id, _mark_unknown(context), now)


@_choose_step.register
def _(failure: _types.LostMidStream, policy, context, now):
    return policy.resume(failure.server_id, _mark_unknown(context), now)


@_choose_step.register
def _(failure: _types.CrossedAnswer, policy, context, now):
    return policy.query_outcome(failure.server_id, _mark_unknown(context), now)


@_choose_step.register
def _(failure: _types.SaidNotRun, policy, context, now):
    return policy.retry(failure.server_id, _mark_not_run(context), now)


@_choose_step.register
def _(failure: _types.EngineError, policy, context, now):
    context = _apply_run_state(failure.run_state, context)
    if context.ran:
        return policy.give_up(context, f"error {failure.status}")
    return policy.retry(failure.server_id, context, now)


@_choose_step.register
def _(failure: _types.OutcomeTold, policy, context, now):
    if failure.running or failure.run_state is errors.RunState.RAN:
        ran = failure.run_state is errors.RunState.RAN
        context = _mark_ran(context) if ran else _mark_unknown(context)
        if (
            failure.running
        ):  # only the deadline limits the wait for a running attempt
            context = context._replace(resumes=0, outcome_queries=0)
        return policy.resume(failure.server_id, context, now)
    context = _apply_run_state(
        _trusted_run_state(failure.run_state, context), context
    )
    return policy.retry(failure.server_id, context, now)


def _trusted_run_state(run_state, context):
    """Return the part of a reported run state that can be relied on.

    A server that has not run an attempt yet may still run it, as the request
    may still be in transit.  For a request that is not idempotent, "not run"
    therefore counts as unknown.
    """
    if context.idempotent:
        return run_state
    if run_state is errors.RunState.NOT_RUN:
        return errors.RunState.UNKNOWN
    return run_state


@_choose_step.register
def _(failure: _types.ResumeFailed, policy, context, now):
    return policy.query_outcome(failure.server_id, _mark_unknown(context), now)
