"""Supervision of background tasks that last as long as a node."""

import asyncio

from buckthorntack import events
from buckthorntack import tasks
from buckthorntack.gateway import _events

#: Delay before a failed task is restarted.
RESTART_DELAY_S = 0.5


def supervise(work):
    """Run a background task during a context and restart it if it fails.

    :param work: coroutine function without arguments that never returns.
    :returns: asynchronous context manager.
    """
    return tasks.running(_restart_on_failure(work))


async def _restart_on_failure(work):
    log = events.EventLog("gateway")
    while True:
        try:
            await work()
        except Exception as error:
            log.write(
                _events.TASK_FAILED,
                task=work.__qualname__,
                error=repr(error),
            )
        await asyncio.sleep(RESTART_DELAY_S)
