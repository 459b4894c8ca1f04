"""Every failure at every step of a request, by scripted servers."""

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
ASK_FAULTS = ("ok", "lost", "silent", "unknown", "crossed", "nonsense")
KINDS = ("stream", "whole", "booking")


def play(kind, run, resume=(), ask=()):
    """Run a request against servers that fail by a script."""

    async def scenario():
        backend = fakes.Backend(run, resume, ask)
        parts = fakes.make_parts(backend)
        sink, error = await fakes.answer(parts, fakes.make_request(kind))
        return backend, parts, sink, error

    backend, parts, sink, error = fakes.run(scenario())
    check(kind, backend, parts, sink, error)
    return backend, sink, error


def check(kind, backend, parts, sink, error):
    """What must hold after any failures."""
    assert not parts.admitting.running
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
        check_booking(backend, parts, error)


def check_booking(backend, parts, error):
    """It ran at most once, and its home was told no lie."""
    assert len(backend.runs) <= 1
    home = parts.once.client
    assert not home.holder
    told = home.told.get("k1")
    if told is errors.RunState.NOT_RUN:
        assert not backend.runs
    if error is None:
        assert home.answers["k1"].body == fakes.BODY
    elif told is not None:
        assert told is error.run_state


def expected(kind, attempt_id):
    if kind == "stream":
        return b"".join(fakes.whole_stream(attempt_id))
    return fakes.BODY


@pytest.mark.parametrize("kind", KINDS)
def test_without_fault(kind):
    backend, _, error = play(kind, ["ok"])
    assert error is None
    assert len(backend.runs) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", RUN_FAULTS)
def test_failure_of_the_first_attempt(kind, fault):
    play(kind, [fault])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", RUN_FAULTS)
def test_failure_of_all_attempts(kind, fault):
    play(kind, [fault] * 9, ["gone"] * 40, ["unknown"] * 40)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["silent", "silent midway"])
@pytest.mark.parametrize("resume", RESUME_FAULTS)
def test_connection_silent_for_good(kind, fault, resume):
    play(kind, [fault], [resume])


@pytest.mark.parametrize("kind", KINDS)
def test_silent_connection_is_made_up_for_on_a_new_one(kind):
    backend, _, error = play(kind, ["silent"])
    assert error is None
    if kind != "whole":
        assert len(backend.sent) == 1


@pytest.mark.parametrize("kind", ["stream", "booking"])
def test_lost_answer_is_resumed_and_not_run_again(kind):
    backend, _, error = play(kind, ["lost midway"])
    assert error is None
    assert len(backend.runs) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", ["crossed", "crossed events"])
def test_crossed_answer_is_not_handed_on(kind, fault):
    _, sink, _ = play(kind, [fault] * 9, [fault] * 40)
    assert b"another" not in sink.body


def test_pairs_of_faults_and_answers():
    pairs = itertools.product(KINDS, RUN_FAULTS, RESUME_FAULTS, ASK_FAULTS)
    for kind, fault, resume, ask in pairs:
        play(kind, [fault], [resume] * 9, [ask] * 9)


@hypothesis.settings(
    max_examples=400, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    strategies.sampled_from(KINDS),
    strategies.lists(strategies.sampled_from(("ok", *RUN_FAULTS))),
    strategies.lists(strategies.sampled_from(RESUME_FAULTS)),
    strategies.lists(strategies.sampled_from(ASK_FAULTS)),
)
def test_any_failures(kind, run, resume, ask):
    play(kind, run, resume, ask)


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
        backend = fakes.Backend()
        parts = fakes.make_parts(backend)
        parts.once.client.refusals = [refusal]
        request = fakes.make_request("booking")
        _, error = await fakes.answer(parts, request)
        assert error.run_state is refusal.run_state
        assert backend.sent == []

    fakes.run(scenario())


def test_booking_resent_after_a_lost_answer_is_replayed():
    async def scenario():
        backend = fakes.Backend()
        parts = fakes.make_parts(backend)
        request = fakes.make_request("booking")
        for _ in range(3):
            sink, error = await fakes.answer(parts, request)
            assert error is None
            assert sink.body == fakes.BODY
        assert len(backend.runs) == 1

    fakes.run(scenario())


async def leave_midway(parts, kind, after_s=1.0):
    """Let the caller go while its request runs."""
    runner = _runner.Runner(parts)
    request = fakes.make_request(kind)
    work = asyncio.create_task(runner.run(request, fakes.Sink()))
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
        backend = fakes.Backend([fault])
        parts = fakes.make_parts(backend)
        await leave_midway(parts, kind)
        assert backend.cancelled == backend.runs
        assert not parts.admitting.running

    fakes.run(scenario())


@pytest.mark.parametrize("fault", RUN_FAULTS)
def test_booking_whose_caller_leaves_is_settled(fault):
    async def scenario():
        backend = fakes.Backend([fault])
        parts = fakes.make_parts(backend)
        await leave_midway(parts, "booking")
        assert backend.cancelled == []
        assert len(backend.runs) <= 1
        assert not parts.once.client.holder
        assert not parts.admitting.running

    fakes.run(scenario())
