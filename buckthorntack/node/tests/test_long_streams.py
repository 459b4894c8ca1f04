"""Streams that run past the deadline of their first byte."""

import asyncio
import pathlib

from buckthorntack import standins

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "hoardline"
PATIENCE_SECONDS = 120
TOKENS = 100
#: The connection is cut at this event, after the deadline.
CUT_AFTER_EVENTS = 80
TIMING = {"request_deadline_ms": 1000}


async def stream_with_a_cut(folder):
    engine = standins.EngineProfile(token_ms=25.0)
    layout = standins.Layout(
        entries_per_domain=1, engine=engine, timing=TIMING
    )
    async with (
        standins.Deployment(EXAMPLES, folder, layout) as deployment,
        standins.Caller("demo-fukuoka-council") as caller,
    ):
        for server in deployment.servers.values():
            if server.service == "pitchwriter":
                server.fake.faults.cut_after_events = CUT_AFTER_EVENTS
        return await caller.chat(
            deployment.caller_url("fukuoka"),
            "pitchwriter",
            "A pitch line",
            stream=True,
            max_tokens=TOKENS,
        )


def test_a_stream_cut_after_its_deadline_is_resumed(tmp_path):
    async def run():
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await stream_with_a_cut(tmp_path)

    answer = asyncio.run(run())
    assert answer.whole
    assert answer.events == TOKENS + 1
