"""Watch over the write buffers that peers take slowly."""

import asyncio

from buckthorntack import events
from buckthorntack.http1 import _events

#: Period of measuring write buffers that are not empty.
MEASURE_PERIOD_S = 0.05


class MemoryWatch:
    """Measures write buffers until they are empty, as context manager.

    :param budget: the ``MemoryBudget``.
    """

    def __init__(self, budget):
        self.budget = budget
        self.log = events.EventLog("http1")
        #: Connections of callers that have not taken all that was written.
        self.slow_readers = set()
        #: Connections to servers that carry an exchange.
        self.exchanges = set()
        self._slow_servers = set()
        self._timer = None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        if self._timer is not None:
            self._timer.cancel()

    def add_reader(self, connection):
        """Measure a connection of a caller until its buffer is empty.

        :param connection: has a method ``measure``, which returns the size of
            its write buffer.
        """
        self.slow_readers.add(connection)
        self.start()

    def add_server(self, connection):
        """Measure a connection to a server until its buffer is empty.

        :param connection: as of :meth:`add_reader`.
        """
        self._slow_servers.add(connection)
        self.start()

    def remove_server(self, connection):
        """Measure a connection to a server no more.

        :param connection: as of :meth:`add_reader`.
        """
        self._slow_servers.discard(connection)

    def on_read(self):
        """Pause reading for all who hold too much, if memory is short.

        Each of them could otherwise read once more.
        """
        if self.budget.is_short:
            for connection in self.exchanges:
                connection.pause_if_full()

    def record_refusal(self):
        """Count a request that finds no room."""
        self.budget.refusals += 1
        self._report()

    def start(self):
        """Measure and wake whoever may go on, until nobody waits."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(MEASURE_PERIOD_S, self._measure)

    def _measure(self):
        self._timer = None
        measured = list(self.slow_readers)
        for connections in (self.slow_readers, self._slow_servers):
            for connection in list(connections):
                if not connection.measure():
                    connections.discard(connection)
        # Room that one gives back may let any other go on.
        for connection in measured:
            connection.wake_if_room()
        has_paused = False
        for connection in self.exchanges:
            connection.resume_if_room()
            has_paused |= connection.is_paused
        self._report()
        if self.slow_readers or self._slow_servers or has_paused:
            self.start()

    def _report(self):
        loop = asyncio.get_running_loop()
        budget = self.budget
        if not budget.take_report(loop.time()):
            return
        self.log.write(
            _events.MEMORY_SHORT,
            held_bytes=budget.held_bytes,
            total_bytes=budget.bounds.total_bytes,
            slow_readers=len(self.slow_readers),
            refusals=budget.refusals,
            **{f"{p.value}_bytes": n for p, n in budget.by_purpose.items()},
        )
