"""The clock that shells read and decisions are told."""

import asyncio
import datetime
import time
from typing import Protocol

_BOOTTIME = getattr(time, "CLOCK_BOOTTIME", None)


def milliseconds(duration: datetime.timedelta) -> int:
    """Whole milliseconds of a duration, rounded down.

    :param duration: the duration.

    >>> milliseconds(datetime.timedelta(seconds=1.5))
    1500
    """
    return duration // datetime.timedelta(milliseconds=1)


class Clock(Protocol):
    """Source of time, passed in wherever time is needed."""

    def monotonic(self) -> datetime.timedelta:
        """Time since an arbitrary start; never goes back.

        It may stand still while the machine is suspended, as timers do.
        """

    def boottime(self) -> datetime.timedelta:
        """Time since an arbitrary start that also counts suspension.

        Leases from other machines count it, since their time goes on.
        """

    def wall(self) -> datetime.datetime:
        """Time of day in UTC; may be wrong or jump."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait.

        :param duration: how long to wait.
        """


class SystemClock:
    """The clock of the machine."""

    def monotonic(self):
        """Time since an arbitrary start; never goes back."""
        return datetime.timedelta(seconds=time.monotonic())

    def boottime(self):
        """Time since an arbitrary start that also counts suspension.

        Platforms without such a clock get the monotonic one.
        """
        if _BOOTTIME is None:
            return self.monotonic()
        return datetime.timedelta(seconds=time.clock_gettime(_BOOTTIME))

    def wall(self):
        """Time of day in UTC; may be wrong or jump."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration):
        """Wait.

        :param duration: how long to wait.
        """
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock for tests that moves only when told to.

    :param start: time of day at which it starts.

    >>> clock = ManualClock()
    >>> clock.advance(datetime.timedelta(seconds=2))
    >>> clock.monotonic()
    datetime.timedelta(seconds=2)
    """

    EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def __init__(self, start=EPOCH):
        self.start = start
        self._elapsed = datetime.timedelta()
        self._suspended = datetime.timedelta()
        self._sleepers = []

    def monotonic(self):
        """Time since the clock was made, suspensions left out."""
        return self._elapsed

    def boottime(self):
        """Time since the clock was made."""
        return self._elapsed + self._suspended

    def wall(self):
        """Time of day in UTC."""
        return self.start + self.boottime()

    async def sleep(self, duration):
        """Wait until the clock was advanced far enough.

        :param duration: how long to wait.
        """
        woken = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._elapsed + duration, woken))
        await woken

    def advance(self, duration):
        """Move on and wake who waited for it.

        :param duration: how far to move.
        """
        self._elapsed += duration
        due = [entry for entry in self._sleepers if entry[0] <= self._elapsed]
        self._sleepers = [
            entry for entry in self._sleepers if entry[0] > self._elapsed
        ]
        for _, woken in due:
            if not woken.done():
                woken.set_result(None)

    def suspend(self, duration):
        """Let time pass that neither the monotonic reading nor sleeps count.

        :param duration: how long the machine is suspended.
        """
        self._suspended += duration


async def completes(future, clock, within):
    """Wait for a future, but not for ever.

    :param future: what to wait for; it is left alone if time runs out.
    :param clock: the :class:`Clock`.
    :param within: how long to wait.
    :returns: whether the future is done.
    """
    pause = asyncio.ensure_future(clock.sleep(within))
    try:
        await asyncio.wait(
            {future, pause}, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        pause.cancel()
    return future.done()
