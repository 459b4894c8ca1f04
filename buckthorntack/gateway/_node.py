"""What entry VMs and control VMs have in common."""

import abc
import contextlib

import prometheus_client

from buckthorntack import discovery
from buckthorntack import events
from buckthorntack import http1
from buckthorntack import transport
from buckthorntack.gateway import _events
from buckthorntack.gateway import _monitor


class Node(abc.ABC):
    """One node; an asynchronous context manager.

    :param settings: ``NodeSettings``.
    :param dialect: the ``Dialect``.
    :param clock: source of time.
    :param rng: source of randomness.
    :param make_handlers: gives the handlers of the platform's calls, by name,
        for this node.
    :param listeners: bound sockets by name; others are bound here.
    """

    def __init__(
        self, settings, dialect, clock, rng, make_handlers, listeners=None
    ):
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.rng = rng
        self.make_handlers = make_handlers
        self.listeners = dict(listeners or {})
        self.timing = discovery.Timing()
        self.registry = discovery.Registry(
            rng.getrandbits(40) + 1, self.timing, clock.monotonic()
        )
        self.metrics_registry = prometheus_client.CollectorRegistry()
        self._log = events.EventLog("gateway")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        self._note(_events.NODE_STARTED, **self._described())
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()
        self._note(_events.NODE_STOPPED)

    @abc.abstractmethod
    async def _start(self):
        """Start all tasks and listeners."""

    @abc.abstractmethod
    def _described(self):
        """Fields that the log line of the start has besides the usual."""

    def _note(self, event, **fields):
        settings = self.settings
        self._log.write(
            event, node=settings.node_name, role=settings.role, **fields
        )

    async def _listen(self, name, address, handle, limits=http1.Limits):
        """Take connections at an address until the node ends.

        :returns: ``http1.Listener``.
        """
        sock = self.listeners.get(name)
        if sock is None:
            sock = transport.bind_listener(self.settings.bound(address))
        listener = http1.Listener(sock, handle, limits)
        return await self._stack.enter_async_context(listener)

    async def _serve_metrics(self):
        settings = self.settings
        address = f"{settings.ip_address}:{settings.metrics_port}"
        handle = _monitor.metrics_handler(self.metrics_registry)
        await self._listen("metrics", address, handle)
