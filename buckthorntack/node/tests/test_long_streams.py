"""Test that a stream can be resumed after the deadline of its first byte."""

import asyncio
import pathlib

from buckthorntack import standins

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "hoardline"
TIMEOUT_SECONDS = 120
TOKEN_COUNT = 100
#: Number of events before the connection is cut, after the deadline.
CUT_AFTER_EVENTS = 80
TIMING = {"request_deadline_ms": 1000}


async def receive_interrupted_stream(folder):
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
            max_tokens=TOKEN_COUNT,
        )


def test_a_stream_cut_after_its_deadline_is_resumed(tmp_path):
    async def run():
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await receive_interrupted_stream(tmp_path)

    answer = asyncio.run(run())
    assert answer.whole
    assert answer.events == TOKEN_COUNT + 1
