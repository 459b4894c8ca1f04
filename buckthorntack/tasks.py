"""Tasks that last as long as a context, or as the process."""

import asyncio
import contextlib

from buckthorntack import signals


def run(work):
    """Run a coroutine as the whole work of the process.

    Signals that the event loop handles are pending from its end on, so that
    they don't change the exit code.

    :param work: the coroutine.
    :returns: its result.
    """
    with asyncio.Runner() as runner:
        try:
            return runner.run(work)
        finally:
            # Closing the loop restores the default actions.
            signals.hold()


@contextlib.asynccontextmanager
async def running(work):
    """Run a coroutine beside the context, and cancel it at its end.

    :param work: the coroutine.
    """
    task = asyncio.create_task(work)
    try:
        yield task
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
