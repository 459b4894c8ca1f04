"""Work that goes on as long as a node, whatever fails in between."""

import asyncio

from buckthorntack import events
from buckthorntack import tasks
from buckthorntack.gateway import _events

#: Pause before work that has failed is begun again.
RESTART_S = 0.5


def keep_running(make_work):
    """Run work beside a context; begin it again if it fails.

    :param make_work: coroutine function without arguments that never ends by
        itself.
    :returns: asynchronous context manager.
    """
    return tasks.running(_restarted(make_work))


async def _restarted(make_work):
    log = events.EventLog("gateway")
    while True:
        try:
            await make_work()
        except Exception as error:
            log.write(
                _events.TASK_FAILED,
                task=make_work.__qualname__,
                error=repr(error),
            )
        await asyncio.sleep(RESTART_S)
