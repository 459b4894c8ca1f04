"""Waiting for data of a server that may not be reachable any more."""

import asyncio

#: Time without data after which it is checked whether the server can be
#: reached, and period of looking at the result and for another server.
SILENCE_CHECK_S = 1.0
SILENCE_CHECK_PERIOD_S = 0.2


async def read(
    handler, incarnation, read_data, timeout_s, deadline_s, can_leave
):
    """Read from a server, or give up if another can go on with the request.

    A silence alone does not end a request: its server may go on.

    :param handler: the ``RequestHandler``.
    :param incarnation: ``quarantine.Incarnation`` of the server; None if it
        is in another region.
    :param read_data: coroutine function without arguments; it is called again
        after a cancelled call.
    :param timeout_s: time in seconds after which a silent server is left;
        None to wait without end.
    :param deadline_s: monotonic time at which the request ends.
    :param can_leave: coroutine function without arguments that returns
        whether another server would get the request at once.
    :returns: result of the read.
    :raises TimeoutError: nothing came in time.
    """
    if timeout_s is None:
        return await read_data()

    def now_s():
        return handler.clock.monotonic().total_seconds()

    ends_s = now_s() + timeout_s
    slice_s = timeout_s
    if incarnation is not None:
        slice_s = min(SILENCE_CHECK_S, timeout_s)
    reachability = handler.reachability
    while True:
        try:
            async with asyncio.timeout(slice_s):
                return await read_data()
        except TimeoutError:
            is_over = now_s() >= ends_s
            if incarnation is not None and not is_over:
                is_over = reachability.is_unreachable(incarnation.server_id)
            if now_s() >= deadline_s:
                raise
            if is_over and await can_leave():
                return await _read_at_once(read_data)
        if incarnation is not None:
            reachability.check_silent_server(incarnation.server_id)
        slice_s = SILENCE_CHECK_PERIOD_S
        left_s = ends_s - now_s()
        if left_s > 0:
            slice_s = min(slice_s, left_s)


async def _read_at_once(read_data):
    """Read what came while it was found out whether to leave the server.

    :raises TimeoutError: nothing did.
    """
    async with asyncio.timeout(0):
        return await read_data()
