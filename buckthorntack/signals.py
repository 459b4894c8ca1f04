"""Signals that arrive before a process handles them, or after."""

import signal

#: Signals that a process handles until its event loop is closed.
HANDLED = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


def hold(numbers=HANDLED):
    """Keep signals pending for the calling thread.

    Threads that it starts later keep them pending too.

    :param numbers: the signals.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


def release(numbers):
    """Deliver signals again, first those that are pending.

    :param numbers: the signals.
    """
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
