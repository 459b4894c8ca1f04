"""Base class of entry VMs and control VMs."""

import abc
import contextlib
import datetime

import prometheus_client

from buckthorntack import discovery
from buckthorntack import events
from buckthorntack import http1
from buckthorntack import shutdown
from buckthorntack import transport
from buckthorntack.gateway import _events
from buckthorntack.gateway import _memory
from buckthorntack.gateway import _metrics_endpoint

_MS = datetime.timedelta(milliseconds=1)
#: Period of the checks for pending requests while stopping.
STOP_POLL_PERIOD = 50 * _MS


class Node(abc.ABC):
    """One node; an asynchronous context manager.

    :param settings: ``NodeSettings``.
    :param dialect: the ``Dialect``.
    :param clock: source of time.
    :param rng: source of randomness.
    :param make_handlers: function that returns the platform's HTTP handlers
        for this node, by name.
    :param listeners: sockets that are already bound, by name; the node binds
        the others.
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
        #: ``http1.MemoryWatch``; None if the settings bound nothing.
        self.memory_watch = None
        self._log = events.EventLog("gateway")
        self._stack = contextlib.AsyncExitStack()
        self._all_listeners = []
        self._connection_limit = http1.ConnectionLimit()

    async def __aenter__(self):
        await self._stack.__aenter__()
        try:
            self._start_memory_watch()
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        self._log_node_event(_events.NODE_STARTED, **self._start_log_fields())
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()
        self._log_node_event(_events.NODE_STOPPED)

    @abc.abstractmethod
    async def _start(self):
        """Start all tasks and listeners."""

    @abc.abstractmethod
    def _start_log_fields(self):
        """Return further fields of the ``node_started`` log event."""

    def _log_node_event(self, event, **fields):
        settings = self.settings
        self._log.write(
            event, node=settings.node_name, role=settings.role, **fields
        )

    def _start_memory_watch(self):
        self.memory_watch = _memory.create_watch(self.settings)
        if self.memory_watch is not None:
            self._stack.enter_context(self.memory_watch)

    async def _listen(
        self,
        name,
        address,
        handle,
        limits=http1.Limits,
        memory=None,
        is_client_checked=False,
    ):
        """Accept connections at an address until the node stops.

        :param name: key of a bound socket in ``listeners``.
        :param address: address to bind if there is no such socket.
        :param handle: handler of requests.
        :param limits: function that returns the ``http1.Limits``.
        :param memory: ``http1.ListenerMemory``; None if its callers have no
            organisations.
        :param is_client_checked: as of ``http1.Listener``.
        :returns: ``http1.Listener``.
        """
        sock = self.listeners.get(name)
        if sock is None:
            sock = transport.bind_listener(
                self.settings.to_bind_address(address)
            )
        if memory is None:
            memory = _memory.build_listener_memory(
                self.memory_watch, self.dialect
            )
        id_header = self.dialect.request_id_header
        listener = http1.Listener(
            sock,
            handle,
            limits,
            memory,
            id_header,
            is_client_checked,
            self._connection_limit,
        )
        self._all_listeners.append(listener)
        return await self._stack.enter_async_context(listener)

    async def _wait_until_answered(self, listeners, deadline):
        """Wait until no request is in progress, at the other listeners too.

        Those accept requests until ``listeners`` have responded to all.

        What clients have not read by then is left to the kernel.

        :param listeners: ``http1.Listener`` that accept no more.
        :param deadline: monotonic time of the end of the wait.
        """
        others = [one for one in self._all_listeners if one not in listeners]
        for listener in others:
            listener.disable_keep_alive()
        open_listeners = others
        while self.clock.monotonic() < deadline:
            # Connections that were just accepted are not counted before.
            await self.clock.sleep(STOP_POLL_PERIOD)
            is_answered = not _count_active_connections(listeners)
            left = deadline - self.clock.monotonic()
            is_ending = left <= shutdown.DELIVERY_TIME
            if open_listeners and (is_answered or is_ending):
                for listener in open_listeners:
                    listener.stop_accepting()
                open_listeners = []
            elif is_answered and not _count_active_connections(others):
                break
        for listener in listeners:
            await listener.hand_over()

    async def _serve_metrics(self):
        settings = self.settings
        address = f"{settings.ip_address}:{settings.metrics_port}"
        handle = _metrics_endpoint.make_metrics_handler(self.metrics_registry)
        await self._listen("metrics", address, handle)


def _count_active_connections(listeners):
    return sum(listener.count_active_connections() for listener in listeners)
