"""Time that calls at a control VM get, also while it stops."""

import asyncio
import contextlib

from buckthorntack import shutdown


class CallTimes:
    """Timeouts of calls; a planned stop shortens them.

    :param clock: source of time.
    """

    def __init__(self, clock):
        self.clock = clock
        #: The ``shutdown.StopWindow``; None while no stop is planned.
        self.window = None
        self._timeouts = set()

    def begin_stop(self, window):
        """Respond to all calls before a planned stop ends.

        :param window: the ``shutdown.StopWindow``.
        """
        self.window = window
        ends_s = asyncio.get_running_loop().time() + self.left_s()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), ends_s))

    def left_s(self):
        """Seconds for which a planned stop still responds to calls."""
        left = self.window.answers_until - self.clock.monotonic()
        return left.total_seconds()

    def may_begin(self, longest):
        """Whether a planned stop leaves time for a call.

        :param longest: longest duration of the call.
        """
        now = self.clock.monotonic()
        # Operators have other control VMs, so that estimates do not count.
        work = shutdown.Work(now + longest, None, False)
        return shutdown.may_begin(self.window, now, work)

    @contextlib.asynccontextmanager
    async def limit(self, longest):
        """Raise ``TimeoutError`` when the time of a call is over.

        :param longest: longest duration of the call.
        """
        timeout_s = longest.total_seconds()
        if self.window is not None:
            timeout_s = min(timeout_s, self.left_s())
        async with asyncio.timeout(timeout_s) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)
