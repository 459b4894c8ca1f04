"""Reloads of settings, and the stop after them."""

import asyncio
import os
import signal

import pytest

from buckthorntack import gateway

TEST_TIMEOUT_S = 20


class FakeNode:
    """A node that records what it is told.

    :param error: raised by the first settings that are applied; None for none.
    """

    def __init__(self, error=None):
        self.error = error
        self.applied = []
        self.is_stopped = False
        self.reloads = asyncio.Semaphore(0)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        pass

    def apply_settings(self, settings):
        self.reloads.release()
        error, self.error = self.error, None
        if error is not None:
            raise error
        self.applied.append(settings)

    async def stop(self):
        self.is_stopped = True


async def reload_and_stop(node, load_settings, path, reloads):
    """Run a node, tell it to reload its settings and then to stop."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        running = asyncio.create_task(
            gateway.run(node, load_settings, str(path))
        )
        await asyncio.sleep(0.05)
        for _ in range(reloads):
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)
        os.kill(os.getpid(), signal.SIGTERM)
        return await running


# Guards against a stop that drops all requests, as the task that reloads the
# settings had ended with an error before.
@pytest.mark.parametrize(
    "error",
    [OverflowError("too large"), RecursionError("too deep"), KeyError("x")],
)
@pytest.mark.parametrize("place", ["load", "apply"])
def test_settings_that_fail_end_neither_reloads_nor_the_stop(
    error, place, tmp_path
):
    errors = [error]

    def load_settings(path):
        if place == "load" and errors:
            raise errors.pop()
        return "settings"

    async def scenario():
        node = FakeNode(error if place == "apply" else None)
        code = await reload_and_stop(node, load_settings, tmp_path, 2)
        assert code == 0
        assert node.is_stopped
        assert node.applied == ["settings"]

    asyncio.run(scenario())
