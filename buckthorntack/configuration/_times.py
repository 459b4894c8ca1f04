"""Wall time in the unit of the log."""

import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime.fromtimestamp(0, datetime.UTC)


def wall_time_ms(clock):
    """Return the wall time as whole milliseconds since 1970.

    :param clock: the clock.
    """
    return (clock.wall() - _EPOCH) // _MILLISECOND
