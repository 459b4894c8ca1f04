"""Waiting with a clock that is passed in."""

import asyncio


async def wait_until(future, clock, within):
    """Wait for a future, but not for ever.

    :param future: what to wait for; it is left alone on a timeout.
    :param clock: the clock.
    :param within: how long to wait.
    :returns: whether the future is done.
    """
    sleep = asyncio.ensure_future(clock.sleep(within))
    try:
        await asyncio.wait(
            {future, sleep}, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        sleep.cancel()
    return future.done()
