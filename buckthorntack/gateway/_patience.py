"""Waiting for data of a server that may not be reachable any more."""

import asyncio

#: Time without data after which it is checked whether the server can be
#: reached, and period of looking at the result.
SILENCE_CHECK_S = 1.0
SILENCE_CHECK_PERIOD_S = 0.2


async def read(handler, incarnation, read_data, timeout_s, deadline_s):
    """Read from a server, or give up if it cannot be reached.

    :param handler: the ``RequestHandler``.
    :param incarnation: ``quarantine.Incarnation`` of the server; None if it
        is in another region.
    :param read_data: coroutine function without arguments; it is called again
        after a cancelled call.
    :param timeout_s: longest time in seconds; None to wait without end.
    :param deadline_s: monotonic time at which the request ends.
    :returns: result of the read.
    :raises TimeoutError: nothing came in time.
    """
    if timeout_s is None or incarnation is None:
        async with asyncio.timeout(timeout_s):
            return await read_data()

    def now_s():
        return handler.clock.monotonic().total_seconds()

    ends_s = now_s() + timeout_s
    slice_s = SILENCE_CHECK_S
    server_id = incarnation.server_id
    reachability = handler.reachability
    while True:
        left_s = ends_s - now_s()
        try:
            async with asyncio.timeout(min(slice_s, left_s)):
                return await read_data()
        except TimeoutError:
            is_over = left_s <= slice_s or now_s() >= deadline_s
            if is_over or reachability.is_unreachable(server_id):
                raise
        reachability.check_silent_server(server_id)
        slice_s = SILENCE_CHECK_PERIOD_S
