"""Tests of each failure at each step of a request."""

import asyncio
import contextlib
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from buckthorntack import errors
from buckthorntack import ledger
from buckthorntack.entry import _runner
from buckthorntack.entry.tests import fakes

RUN_FAULTS = (
    "refused",
    "lost before run",
    "silent before run",
    "lost",
    "silent",
    "lost midway",
    "silent midway",
    "ends early",
    "crossed",
    "crossed events",
    "not run",
    "error",
)
RESUME_FAULTS = (
    "ok",
    "refused",
    "gone",
    "lost",
    "silent",
    "lost midway",
    "silent midway",
    "crossed",
    "crossed events",
)
QUERY_FAULTS = ("ok", "lost", "silent", "unknown", "crossed", "nonsense")
KINDS = ("stream", "whole", "booking")


def run_scenario(kind, run, resume=(), ask=()):
    """Run a request against scripted servers and check the invariants."""

    async def scenario():
        backend = fakes.ScriptedBackend(run, resume, ask)
        components = fakes.make_components(backend)
        sink, error = await fakes.run_request(
            components, fakes.make_request(kind)
        )
        return backend, components, sink, error

    backend, components, sink, error = fakes.run(scenario())
    check(kind, backend, components, sink, error)
    return backend, sink, error


def check(kind, backend, components, sink, error):
    """Check the invariants that hold after any failures."""
    assert not components.admission_task.running
    assert sink.finished == (error is None)
    if error is None:
        assert sink.status == 200
        assert sink.body == expected(kind, sink.attempt_id)
        assert sink.attempt_id in backend.runs
    elif error.run_state is errors.RunState.NOT_RUN:
        assert not backend.runs
    elif error.run_state is errors.RunState.RAN:
        assert backend.runs
    if kind == "stream" and sink.started:
        assert expected(kind, sink.attempt_id).startswith(sink.body)
    if kind == "booking":
        check_booking(backend, components, error)


def check_booking(backend, components, error):
    """Check that a booking ran at most once and its report is correct."""
    assert len(backend.runs) <= 1
    home = components.idempotency.client
    assert not home.holder
    outcome = home.outcomes.get("k1")
    if outcome is errors.RunState.NOT_RUN:
        assert not backend.runs
    if error is None:
        assert home.answers["k1"].body == fakes.BODY
    elif outcome is not None:
        assert outcome is error.run_state


def expected(kind, attempt_id):
    if kind == "stream":
        return b"".join(fakes.build_stream(attempt_id))
    return fakes.BODY


@pytest.mark.parametrize("kind", KINDS)
def test_without_fault(kind):
    backend, _, error = run_scenario(kind, ["ok"])
    assert error is None
    assert len(backend.runs) == 1


# Guards against a whole answer that a caller without chunks, as in HTTP/1.0,
# can't tell from one that was cut.
@pytest.mark.parametrize("kind", ["whole", "booking"])
def test_whole_answer_states_its_length(kind):
    _, sink, _ = run_scenario(kind, ["ok"])
    assert sink.headers.count(("content-length", str(len(fakes.BODY)))) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", RUN_FAULTS)
def test_failure_of_the_first_attempt(kind, fault):
    run_scenario(kind, [fault])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", RUN_FAULTS)
def test_failure_of_all_attempts(kind, fault):
    run_scenario(kind, [fault] * 9, ["gone"] * 40, ["unknown"] * 40)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["silent", "silent midway"])
@pytest.mark.parametrize("resume", RESUME_FAULTS)
def test_connection_silent_for_good(kind, fault, resume):
    run_scenario(kind, [fault], [resume])


@pytest.mark.parametrize("kind", KINDS)
def test_silent_connection_is_made_up_for_on_a_new_one(kind):
    backend, _, error = run_scenario(kind, ["silent"])
    assert error is None
    if kind != "whole":
        assert len(backend.sent) == 1


@pytest.mark.parametrize("kind", ["stream", "booking"])
def test_lost_answer_is_resumed_and_not_run_again(kind):
    backend, _, error = run_scenario(kind, ["lost midway"])
    assert error is None
    assert len(backend.runs) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["crossed", "crossed events"])
def test_crossed_answer_is_not_handed_on(kind, fault):
    _, sink, _ = run_scenario(kind, [fault] * 9, [fault] * 40)
    assert b"another" not in sink.body


def test_pairs_of_faults_and_answers():
    pairs = itertools.product(KINDS, RUN_FAULTS, RESUME_FAULTS, QUERY_FAULTS)
    for kind, fault, resume, ask in pairs:
        run_scenario(kind, [fault], [resume] * 9, [ask] * 9)


@hypothesis.settings(
    max_examples=400, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    strategies.sampled_from(KINDS),
    strategies.lists(strategies.sampled_from(("ok", *RUN_FAULTS))),
    strategies.lists(strategies.sampled_from(RESUME_FAULTS)),
    strategies.lists(strategies.sampled_from(QUERY_FAULTS)),
)
def test_any_failures(kind, run, resume, ask):
    run_scenario(kind, run, resume, ask)


@pytest.mark.parametrize(
    "refusal",
    [
        ledger.AttemptInProgressError("a0"),
        ledger.OutcomeUnknownError("a0"),
        ledger.HomeUnreachableError("cut off"),
    ],
    ids=lambda error: error.kind,
)
def test_booking_that_its_home_refuses_is_not_sent(refusal):
    async def scenario():
        backend = fakes.ScriptedBackend()
        components = fakes.make_components(backend)
        components.idempotency.client.refusals = [refusal]
        request = fakes.make_request("booking")
        _, error = await fakes.run_request(components, request)
        assert error.run_state is refusal.run_state
        assert backend.sent == []

    fakes.run(scenario())


def test_booking_resent_after_a_lost_answer_is_replayed():
    async def scenario():
        backend = fakes.ScriptedBackend()
        components = fakes.make_components(backend)
        request = fakes.make_request("booking")
        for _ in range(3):
            sink, error = await fakes.run_request(components, request)
            assert error is None
            assert sink.body == fakes.BODY
        assert len(backend.runs) == 1

    fakes.run(scenario())


async def disconnect_midway(components, kind, after_s=1.0):
    """Disconnect the caller while its request is running."""
    runner = _runner.Runner(components)
    request = fakes.make_request(kind)
    work = asyncio.create_task(runner.run(request, fakes.RecordingSink()))
    await asyncio.sleep(after_s)
    work.cancel()
    with contextlib.suppress(asyncio.CancelledError, errors.GatewayError):
        await work
    await runner.drain()
    await asyncio.sleep(0)


@pytest.mark.parametrize("fault", ["silent", "silent midway"])
@pytest.mark.parametrize("kind", ["stream", "whole"])
def test_caller_that_leaves_cancels_its_attempt(kind, fault):
    async def scenario():
        backend = fakes.ScriptedBackend([fault])
        components = fakes.make_components(backend)
        await disconnect_midway(components, kind)
        assert backend.cancelled == backend.runs
        assert not components.admission_task.running

    fakes.run(scenario())


@pytest.mark.parametrize("fault", RUN_FAULTS)
def test_booking_whose_caller_leaves_is_settled(fault):
    async def scenario():
        backend = fakes.ScriptedBackend([fault])
        components = fakes.make_components(backend)
        await disconnect_midway(components, "booking")
        assert backend.cancelled == []
        assert len(backend.runs) <= 1
        assert not components.idempotency.client.holder
        assert not components.admission_task.running

    fakes.run(scenario())
