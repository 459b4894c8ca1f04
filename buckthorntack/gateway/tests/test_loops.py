"""Tests of the supervision of background tasks."""

import asyncio

import logbook

from buckthorntack.gateway import _supervision


def test_work_that_fails_is_begun_again(monkeypatch):
    monkeypatch.setattr(_supervision, "RESTART_DELAY_S", 0.0)
    begun = []

    async def scenario():
        again = asyncio.Event()

        async def work():
            begun.append(len(begun))
            if len(begun) < 3:
                raise LookupError("fault")
            again.set()
            await asyncio.Event().wait()

        async with _supervision.supervise(work), asyncio.timeout(20):
            await again.wait()

    with logbook.TestHandler() as log:
        asyncio.run(scenario())
    assert begun == [0, 1, 2]
    lines = [r.extra for r in log.records if r.extra.get("event") == 2223]
    assert [line["error"] for line in lines] == ["LookupError('fault')"] * 2
