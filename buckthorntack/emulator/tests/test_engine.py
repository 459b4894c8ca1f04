"""The model engine against what its figures say."""

import pytest

from buckthorntack import dispatch
from buckthorntack import emulator


def _prompt(own="own", tokens=1000, pack=None):
    parts = (dispatch.Part(own, tokens),)
    if pack:
        parts = (dispatch.Part(pack, 13_300), *parts)
    total = sum(part.tokens for part in parts)
    return dispatch.Prompt(parts, total, 50)


def _play(engine, now_ms=0.0):
    """Run an engine until it has nothing to do."""
    while (next_ms := engine.next_ms(now_ms)) is not None:
        now_ms = engine.step(next_ms)[0]
    return now_ms


def test_alone_a_stream_takes_setup_reading_and_steps():
    figures = emulator.EngineFigures(
        context_ms_per_thousand=0.0, pairs_ms_per_million=0.0
    )
    engine = emulator.Engine(figures)
    run = emulator.Run("r", _prompt(), 50, 0)
    assert engine.submit(run, 0.0)
    end_ms = _play(engine)
    read_ms = 1000 / figures.prefill_tokens_per_ms
    assert end_ms == pytest.approx(80.0 + read_ms + 50 * figures.step_ms)
    assert len(run.event_times_ms) == 5


def test_a_cached_part_is_not_read_again():
    engine = emulator.Engine(emulator.EngineFigures())
    for number in range(2):
        prompt = _prompt(f"own{number}", pack="pack")
        engine.submit(emulator.Run(number, prompt, 10, 0), 0.0)
        _play(engine)
    assert engine.tokens_read == 13_300 + 2 * 1000


def test_a_long_prompt_stalls_other_streams():
    engine = emulator.Engine(emulator.EngineFigures())
    short = emulator.Run("short", _prompt("a", 100), 200, 0)
    engine.submit(short, 0.0)
    engine.submit(emulator.Run("long", _prompt("b", 40_000), 10, 1), 200.0)
    _play(engine)
    times = short.event_times_ms
    pauses = [times[n + 1] - times[n] for n in range(len(times) - 1)]
    assert max(pauses) > 300 > 5 * min(pauses)


def test_more_urgent_requests_are_admitted_first():
    engine = emulator.Engine(emulator.EngineFigures(slots=1))
    runs = [
        emulator.Run(f"r{number}", _prompt(f"own{number}"), 20, priority)
        for number, priority in enumerate((1, 1, 0))
    ]
    for run in runs:
        engine.submit(run, 0.0)
    _play(engine)
    ends = [run.event_times_ms[-1] for run in runs]
    assert ends[2] < ends[0] < ends[1]


def test_requests_beyond_the_queue_are_refused():
    engine = emulator.Engine(emulator.EngineFigures(queue=2))
    taken = [
        engine.submit(emulator.Run(n, _prompt(), 5, 0), 0.0) for n in range(3)
    ]
    assert taken == [True, True, False]


@pytest.mark.parametrize(("priority", "put_back"), [(0, 1), (1, 0)])
def test_a_full_engine_puts_less_urgent_requests_back(priority, put_back):
    engine = emulator.Engine(emulator.EngineFigures(slots=1))
    long = emulator.Run("long", _prompt("a", 20_000), 50, 1)
    engine.submit(long, 0.0)
    engine.submit(
        emulator.Run("short", _prompt("b", 100), 10, priority), 300.0
    )
    _play(engine)
    assert engine.preempted == put_back
