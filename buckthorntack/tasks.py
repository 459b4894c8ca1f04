"""Tasks that last as long as a context."""

import asyncio
import contextlib


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
