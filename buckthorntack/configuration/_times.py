"""Wall time as the log records it."""

import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime.fromtimestamp(0, datetime.UTC)


def wall_ms(clock):
    """Wall time as whole milliseconds.

    :param clock: the clock.
    """
    return (clock.wall() - _EPOCH) // _MILLISECOND
