"""Main loop of a node process."""

import asyncio
import random
import signal

from buckthorntack import clock as clocks
from buckthorntack import errors
from buckthorntack import logs
from buckthorntack import tasks
from buckthorntack.node import _node


def run(settings):
    """Run a node until SIGTERM or SIGINT, then stop gracefully.

    :param settings: validated settings, including defaults.
    :returns: exit code.
    """
    with logs.output(settings["log"]):
        return tasks.run(_run(settings))


async def _run(settings):
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    clock = clocks.SystemClock()
    rng = random.SystemRandom()
    async with _node.Node(settings, clock, rng) as node:
        failure = await _wait_for_stop(node, stop_requested)
        if failure is not None:
            raise failure
        await node.stop()
    return 0


async def _wait_for_stop(node, stop_requested):
    """Wait for a stop signal or for the failure of a replica.

    :returns: the error of the replica; None after a signal.
    """
    wait_tasks = [asyncio.create_task(stop_requested.wait())]
    if node.control is not None:
        wait_tasks.append(
            asyncio.create_task(node.control.wait_until_failed())
        )
    try:
        done, _ = await asyncio.wait(
            wait_tasks, return_when=asyncio.FIRST_COMPLETED
        )
        results = [task.result() for task in done]
    finally:
        for task in wait_tasks:
            task.cancel()
    failures = [r for r in results if isinstance(r, errors.GatewayError)]
    return failures[0] if failures else None
