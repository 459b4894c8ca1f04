"""Ports for the listeners of a trial."""

import contextlib
import os
import socket


def _own_host():
    """Loopback address of this process, so that none takes another's ports."""
    high, low = divmod(os.getpid() % 2**16, 2**8)
    return f"127.{high // 2 + 1}.{low}.{high % 2 + 1}"


HOST = _own_host()


class FreePorts:
    """Ports of this process's address, each given out once.

    A port is held by a socket that does not listen until the context ends,
    so that nobody else is given it, and a listener that reuses addresses can
    take it.
    """

    def __init__(self):
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def take(self):
        """Take a free port.

        :returns: its number.
        """
        holder = self._stack.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((HOST, 0))
        return holder.getsockname()[1]
