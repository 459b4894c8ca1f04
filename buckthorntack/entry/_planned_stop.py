"""Requests that a planned stop with a time limit may begin, and their end."""

import asyncio
import contextlib
import datetime

from buckthorntack import shutdown
from buckthorntack.entry import _errors

#: Retry-After of refused requests; other entry VMs serve them at once.
RETRY_AFTER_MS = 1000


class PlannedStop:
    """Planned stop of an entry VM.

    :param clock: source of time.
    """

    def __init__(self, clock):
        self.clock = clock
        self.durations = shutdown.RecentDurations()
        self.is_stopping = False
        #: Whether requests are cut off now; others may resume their streams.
        self.is_over = False
        #: The ``shutdown.StopWindow``; None without a stop or a time limit.
        self.window = None
        #: Sinks of requests in progress, by their ``asyncio.Timeout``.
        self._sinks = {}

    def begin(self, window):
        """Begin to stop.

        :param window: the ``shutdown.StopWindow``; None without a time limit.
        """
        self.is_stopping = True
        self.window = window

    def check(self, request, is_retry=False):
        """Refuse a request that the stop leaves no time for.

        :param request: the ``GatewayRequest``.
        :param is_retry: whether an earlier attempt has failed.
        :raises StoppingError: no attempt may begin.
        """
        now = self.clock.monotonic()
        # The deadline is that of the first byte; a stream may go on.
        is_bounded = not request.streamed
        work = shutdown.Work(
            request.deadline if is_bounded else datetime.timedelta.max,
            self.durations.longest(request.service, now),
            request.idempotent,
            is_forwarded=request.origin_region is not None,
            is_retry=is_retry,
        )
        if not shutdown.may_begin(self.window, now, work):
            raise build_refusal()

    def record_duration(self, service, started_at):
        """Record how long a request took that was responded to.

        :param service: name of its service.
        :param started_at: monotonic time of its receipt.
        """
        now = self.clock.monotonic()
        self.durations.record(service, now - started_at, now)

    @contextlib.asynccontextmanager
    async def limit(self, sink):
        """Let the stop end a request in progress.

        :param sink: sink of its response.
        :raises StoppedError: the stop has ended the request.
        """
        try:
            async with asyncio.timeout(None) as timeout:
                self._sinks[timeout] = sink
                try:
                    yield
                finally:
                    del self._sinks[timeout]
        except TimeoutError:
            if not timeout.expired():
                raise
            detail = "the entry VM stops before the response"
            raise _errors.StoppedError(detail, RETRY_AFTER_MS) from None

    def end_requests(self):
        """End the requests whose responses have not begun."""
        now_s = asyncio.get_running_loop().time()
        for timeout, sink in self._sinks.items():
            is_ending = timeout.when() is not None
            if not sink.started and not is_ending:
                timeout.reschedule(now_s)


def build_refusal():
    """Return the error for requests that were not begun."""
    return _errors.StoppingError("the entry VM stops", RETRY_AFTER_MS)
