"""End-to-end test over real sockets with faults, in one process."""

import asyncio

import pytest

from buckthorntack import standins
from buckthorntack.standins import _demo

#: Leaves room for a busy machine.
TIMEOUT_SECONDS = 180


@pytest.fixture(scope="module")
def steps():
    async def run():
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await standins.Demonstration("hoardline").run()

    return {step.name: step for step in asyncio.run(run())}


@pytest.mark.parametrize("name", _demo.STEP_NAMES)
def test_promise_is_held(steps, name):
    assert steps[name].held, steps[name].seen
