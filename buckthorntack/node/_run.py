"""Runs a process until it is told to stop."""

import asyncio
import random
import signal

from buckthorntack import clock as clocks
from buckthorntack import errors
from buckthorntack import logs
from buckthorntack.node import _node


def run(settings):
    """Run a node until SIGTERM or SIGINT, then stop gracefully.

    :param settings: settings, checked and with defaults.
    :returns: exit code.
    """
    with logs.output(settings["log"]):
        return asyncio.run(_run(settings))


async def _run(settings):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    source = clocks.SystemClock()
    rng = random.SystemRandom()
    async with _node.Node(settings, source, rng) as node:
        failure = await _wait(node, stopping)
        if failure is not None:
            raise failure
        await node.stop()
    return 0


async def _wait(node, stopping):
    """Wait for a signal, or for a replica that stopped by itself."""
    waits = [asyncio.create_task(stopping.wait())]
    if node.control is not None:
        waits.append(asyncio.create_task(node.control.failed()))
    try:
        done, _ = await asyncio.wait(
            waits, return_when=asyncio.FIRST_COMPLETED
        )
        results = [task.result() for task in done]
    finally:
        for task in waits:
            task.cancel()
    failures = [r for r in results if isinstance(r, errors.GatewayError)]
    return failures[0] if failures else None
