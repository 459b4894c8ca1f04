"""Whole answers that take longer than the longest silence of a server."""

import asyncio
import pathlib

from buckthorntack import standins

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "hoardline"
PATIENCE_SECONDS = 120
TOKENS = 60
#: Silence that is over before so many tokens are generated.
TIMING = {"progress_ms": 600}


async def ask_for_whole_answer(folder):
    engine = standins.EngineProfile(token_ms=25.0)
    layout = standins.Layout(
        entries_per_domain=1, engine=engine, timing=TIMING
    )
    runs = []
    async with (
        standins.Deployment(
            EXAMPLES, folder, layout, on_run=lambda *run: runs.append(run)
        ) as deployment,
        standins.Caller("demo-fukuoka-council") as caller,
    ):
        answer = await caller.chat(
            deployment.caller_url("fukuoka"),
            "pitchwriter",
            "A pitch line",
            max_tokens=TOKENS,
        )
    return answer, runs


def test_a_slow_whole_answer_is_awaited_and_run_once(tmp_path):
    async def run():
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await ask_for_whole_answer(tmp_path)

    answer, runs = asyncio.run(run())
    assert answer.status == 200
    assert len(runs) == 1
