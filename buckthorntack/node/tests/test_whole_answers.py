"""Test of a response without streaming that outlasts ``progress_ms``.

The gateway must wait for such a response and must not run the request again.
"""

import asyncio
import pathlib

from buckthorntack import standins

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "hoardline"
TIMEOUT_SECONDS = 120
TOKEN_COUNT = 60
#: Idle timeout, shorter than the generation of TOKEN_COUNT tokens.
TIMING = {"progress_ms": 600}


async def request_slow_response(folder):
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
            max_tokens=TOKEN_COUNT,
        )
    return answer, runs


def test_a_slow_whole_answer_is_awaited_and_run_once(tmp_path):
    async def run():
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await request_slow_response(tmp_path)

    answer, runs = asyncio.run(run())
    assert answer.status == 200
    assert len(runs) == 1
