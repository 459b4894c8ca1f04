"""Tests of the steps after each failure, and of the final run state."""

import datetime
import random

import hypothesis
from hypothesis import given
from hypothesis import strategies
import pytest

from buckthorntack import errors
from buckthorntack import retries

NOT_RUN = errors.RunState.NOT_RUN
RAN = errors.RunState.RAN
UNKNOWN = errors.RunState.UNKNOWN


def at(seconds):
    return datetime.timedelta(seconds=seconds)


def make_policy(**fields):
    settings = retries.RetrySettings(**fields)
    limiter = retries.AttemptLimiter("entry-1", settings)
    return retries.RetryPolicy(settings, random.Random(3), limiter)


def make_context(**fields):
    values = {
        "request_id": "r1",
        "fingerprint": "f1",
        "idempotent": True,
        "deadline": at(30),
    }
    return retries.AttemptContext(**(values | fields))


@pytest.mark.parametrize(
    ("failure", "idempotent", "kind"),
    [
        (retries.ConnectRefused("s1"), False, retries.Retry),
        (retries.SaidNotRun("s1"), False, retries.Retry),
        (retries.LostBeforeHead("s1"), False, retries.AskOutcome),
        (retries.LostBeforeHead("s1"), True, retries.AskOutcome),
        (retries.Silent("s1"), False, retries.Resume),
        (retries.LostMidStream("s1"), False, retries.Resume),
        (retries.CrossedAnswer("s1"), False, retries.AskOutcome),
        (retries.EngineError("s1", 500), True, retries.Retry),
        (retries.EngineError("s1", 500), False, retries.GiveUp),
        (retries.EngineError("s1", 500, RAN), True, retries.GiveUp),
        (retries.EngineError("s1", 503, NOT_RUN), False, retries.Retry),
        (retries.OutcomeTold("s1", NOT_RUN, False), False, retries.GiveUp),
        (retries.OutcomeTold("s1", NOT_RUN, False), True, retries.Retry),
        (retries.OutcomeTold("s1", RAN, False), False, retries.Resume),
        (retries.OutcomeTold("s1", UNKNOWN, True), False, retries.Resume),
        (retries.OutcomeTold("s1", UNKNOWN, False), False, retries.GiveUp),
        (retries.OutcomeTold("s1", UNKNOWN, False), True, retries.Retry),
        (retries.ResumeFailed("s1"), False, retries.AskOutcome),
    ],
)
def test_first_step(failure, idempotent, kind):
    context = make_context(idempotent=idempotent)
    step = make_policy().next_step(failure, context, at(1))
    assert isinstance(step, kind)


def test_retry_leaves_out_the_failed_server():
    context = make_context(excluded=frozenset({"s0"}))
    step = make_policy().next_step(
        retries.ConnectRefused("s1"), context, at(1)
    )
    assert step.excluded == {"s0", "s1"}
    assert step.context.attempts == 2


def test_a_delivered_part_is_never_joined_to_another_run():
    context = make_context(last_event=5)
    failure = retries.OutcomeTold("s1", UNKNOWN, False)
    step = make_policy().next_step(failure, context, at(1))
    assert step.error.run_state is UNKNOWN


def test_resume_continues_after_the_last_event():
    context = make_context(last_event=7, idempotent=False)
    step = make_policy().next_step(retries.Silent("s1"), context, at(1))
    assert step.after_event == 7


def test_no_step_after_the_deadline():
    step = make_policy().next_step(
        retries.SaidNotRun("s1"), make_context(), at(30)
    )
    assert step.error.run_state is NOT_RUN


def test_budget_survives_a_storm():
    policy = make_policy(budget_burst=20, budget_per_second=1.0)
    retried = 0
    for number in range(10_000):
        policy.record_first_attempt()
        now = at(number / 1000)
        failure = retries.SaidNotRun("s1")
        context = make_context(deadline=now + at(30))
        for _ in range(4):
            step = policy.next_step(failure, context, now)
            if isinstance(step, retries.GiveUp):
                break
            retried += 1
            context = step.context
    assert retried <= 0.1 * 10_000 + 20 + 10 + 1
    assert retried >= 0.1 * 10_000


def test_resends_through_other_entry_vms_are_bounded():
    settings = retries.RetrySettings()
    nodes = [
        retries.AttemptLimiter(f"entry-{number}", settings)
        for number in range(4)
    ]
    made = 0
    for turn in range(40):
        node = nodes[turn % 4]
        if node.check("f1", at(turn)) is not None:
            continue
        made += 1
        node.record_failure("f1", at(turn))
        for item in node.take_items():
            for other in nodes:
                other.merge(item, at(turn))
                other.merge(item, at(turn))
    assert made == settings.max_failed_attempts
    assert nodes[0].check("f1", at(200)) is None


class FakeServer:
    """Server that runs each attempt or not and fails as Hypothesis draws."""

    def __init__(self, choices):
        self.choices = choices
        self.runs = 0
        self.current_ran = False

    def attempt(self, draw):
        kind = draw(strategies.sampled_from(self.choices))
        ran = draw(strategies.booleans())
        self.current_ran = kind in NEVER_RUNS or ran
        if kind in NEVER_RUNS:
            self.current_ran = False
        self.runs += self.current_ran
        return self._failure(kind)

    def query_outcome(self, draw):
        choice = draw(strategies.sampled_from(["refused", "told", "unknown"]))
        if choice == "refused":
            return retries.ConnectRefused("s1")
        if choice == "unknown":
            return retries.OutcomeTold("s1", UNKNOWN, False)
        state = RAN if self.current_ran else NOT_RUN
        return retries.OutcomeTold("s1", state, False)

    def resume(self, draw):
        kinds = ["refused", "silent", "failed"]
        kind = draw(strategies.sampled_from(kinds))
        if kind == "refused":
            return retries.ConnectRefused("s1")
        if kind == "silent":
            return retries.Silent("s1")
        return retries.ResumeFailed("s1")

    def _failure(self, kind):
        if kind is retries.EngineError:
            state = RAN if self.current_ran else UNKNOWN
            return kind("s1", 500, state)
        return kind("s1")


NEVER_RUNS = (retries.ConnectRefused, retries.SaidNotRun)
KINDS = (
    *NEVER_RUNS,
    retries.LostBeforeHead,
    retries.Silent,
    retries.LostMidStream,
    retries.CrossedAnswer,
    retries.EngineError,
)


def run_request(policy, idempotent, draw):
    server = FakeServer(KINDS)
    context = make_context(idempotent=idempotent)
    failure = server.attempt(draw)
    for _ in range(200):
        step = policy.next_step(failure, context, at(1))
        if isinstance(step, retries.GiveUp):
            return server, step.error
        context = step.context
        if isinstance(step, retries.Retry):
            failure = server.attempt(draw)
        elif isinstance(step, retries.Resume):
            failure = server.resume(draw)
        else:
            failure = server.query_outcome(draw)
    raise AssertionError("no final step after 200 steps")


def check_run_state(policy, idempotent, draw):
    server, error = run_request(policy, idempotent, draw)
    if error.run_state is NOT_RUN:
        assert server.runs == 0
    if error.run_state is RAN:
        assert server.runs >= 1
    if not idempotent:
        assert server.runs <= 1


@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@given(data=strategies.data(), idempotent=strategies.booleans())
def test_final_answers_are_true(data, idempotent):
    check_run_state(make_policy(), idempotent, data.draw)


class ForgetsEarlierAttempts(retries.RetryPolicy):
    def retry(self, server_id, context, now):
        step = super().retry(server_id, context, now)
        if isinstance(step, retries.GiveUp):
            return step
        forgotten = step.context._replace(earlier_may_have_run=False)
        return step._replace(context=forgotten)


class RepeatsAnything(retries.RetryPolicy):
    def retry(self, server_id, context, now):
        context = context._replace(idempotent=True)
        return super().retry(server_id, context, now)


class TakesLossForNotRun(retries.RetryPolicy):
    def query_outcome(self, server_id, context, now):
        context = context._replace(current_may_have_run=False)
        return self.retry(server_id, context, now)


@pytest.mark.parametrize(
    "kind", [ForgetsEarlierAttempts, RepeatsAnything, TakesLossForNotRun]
)
def test_broken_variants_are_caught(kind):
    settings = retries.RetrySettings()

    @hypothesis.settings(
        max_examples=1000,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(hypothesis.Phase.generate,),
    )
    @given(data=strategies.data(), idempotent=strategies.booleans())
    def run(data, idempotent):
        limiter = retries.AttemptLimiter("entry-1", settings)
        policy = kind(settings, random.Random(3), limiter)
        check_run_state(policy, idempotent, data.draw)

    with pytest.raises(AssertionError):
        run()
