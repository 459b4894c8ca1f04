"""What an entry VM knows when it decides on a request."""

import asyncio
import contextlib

from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack import http1
from buckthorntack.gateway import _addresses

#: Longest wait for a connection to a server of the same region.
CONNECT_TIMEOUT_S = 0.6
#: Longest wait for a connection to an entry VM of another region.
FORWARD_CONNECT_TIMEOUT_S = 0.8


class Knowledge:
    """State that requests at an entry VM share; a context manager.

    :param settings: ``NodeSettings``.
    :param dialect: the ``Dialect``.
    :param registry: the ``discovery.Registry``.
    :param clock: source of time.
    :param rng: source of randomness.
    :param dispatch_settings: ``dispatch.DispatchSettings``.
    """

    def __init__(
        self,
        settings,
        dialect,
        registry,
        clock,
        rng,
        dispatch_settings=None,
    ):
        self.settings = settings
        self.dialect = dialect
        self.registry = registry
        self.clock = clock
        self.rng = rng
        self.table = None
        figures = dispatch_settings or dispatch.DispatchSettings()
        self.fleet = dispatch.Fleet(figures)
        self.exchange = dispatch.UsageExchange(
            self.fleet, settings.service_address, settings.failure_domain
        )
        self.warmup_limiter = dispatch.WarmupLimiter(
            settings.service_address,
            figures.cold_senders,
            figures.cold_rate_share,
        )
        self.dispatcher = dispatch.Dispatcher(
            settings.region, self.fleet, self.warmup_limiter, figures, rng
        )
        self.budgets = dispatch.RetryBudgets(
            settings.repeat_ratio,
            settings.repeat_slack,
            figures.retry_budget_share,
        )
        self.crashes = dispatch.CrashTracker()
        self.pool = http1.ConnectionPool(CONNECT_TIMEOUT_S, dialect.id_name)
        self.forward_pool = http1.ConnectionPool(
            FORWARD_CONNECT_TIMEOUT_S, dialect.id_name
        )
        self.directives_index = -1
        self.started_at = clock.monotonic()
        self._changed = asyncio.Event()
        self._urgent = asyncio.Event()
        self._by_service = {}
        self._incarnations = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.pool.__exit__(*exc_info)
        self.forward_pool.__exit__(*exc_info)

    @property
    def version(self):
        """Version of the configuration in force; -1 if there is none."""
        if self.table is None:
            return -1
        return self.table.configuration.version

    def put_in_force(self, index, configuration, evacuated):
        """Take newer directives; older ones are passed over.

        :param index: their index in the control group's log.
        :param configuration: ``directives.Configuration``; None if it did
            not change.
        :param evacuated: failure domains that get no work.
        :returns: whether they were taken.
        """
        if index <= self.directives_index:
            return False
        self.directives_index = index
        if configuration is not None and configuration.version > self.version:
            self.table = directives.RouteTable(configuration)
        self.dispatcher.set_evacuated(
            frozenset(evacuated), self.clock.monotonic()
        )
        self._tell_change()
        return True

    def _tell_change(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self, timeout_s):
        """Wait until something else is known, but not for ever.

        :param timeout_s: longest wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def tell_if_urgent(self):
        """Wake whoever waits for news that others should hear at once."""
        if self.exchange.is_urgent:
            self._urgent.set()

    async def urgent_news(self, longest):
        """Wait until others should hear of something, but not for ever.

        :param longest: longest wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest.total_seconds()):
                await self._urgent.wait()
        self._urgent.clear()

    def limits(self):
        """Limits of requests now.

        :returns: ``http1.Limits``.
        """
        if self.table is None:
            return http1.Limits()
        limits = self.table.configuration.limits
        return http1.Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout.total_seconds(),
            limits.idle_timeout.total_seconds(),
        )

    def servers_changed(self, server_ids):
        """Take in changes of the registry.

        :param server_ids: servers that have changed.
        """
        for server_id in server_ids:
            view = self.registry.servers.get(server_id)
            if view is None or view.record.state == "gone":
                self._forget(server_id)
                continue
            born_ms = view.record.born_ms
            if self._incarnations.setdefault(server_id, born_ms) != born_ms:
                self._incarnations[server_id] = born_ms
                self.fleet.on_server_restarted(server_id)
                self.pool.forget(server_id)
        self._by_service = {}
        if server_ids:
            self._tell_change()

    def _forget(self, server_id):
        self._incarnations.pop(server_id, None)
        self.fleet.remove_server(server_id)
        self.warmup_limiter.remove_server(server_id)
        self.pool.forget(server_id)

    def servers_of(self, service):
        """Servers of a service that have not left.

        :param service: its name.
        :returns: list of ``discovery.ServerView``.
        """
        views = self.registry.servers
        ids = self._by_service.get(service)
        if ids is None:
            ids = [
                server_id
                for server_id, view in views.items()
                if view.record.service == service
                and view.record.state != "gone"
            ]
            self._by_service[service] = ids
        return [views[server_id] for server_id in ids if server_id in views]

    def entries_of(self, region):
        """Entry VMs of a region that take requests.

        :param region: the region.
        :returns: list of ``NodePresence``.
        """
        return [
            record
            for record in self.registry.nodes_with_role("entry")
            if record.region == region
            and record.state == "ready"
            and not record.silent
        ]

    def forward_address_of(self, record):
        """Where an entry VM takes requests of others.

        :param record: its ``NodePresence``.
        """
        host = _addresses.host_of(record.link_address)
        return f"{host}:{self.settings.forward_port}"

    def set_members(self):
        """Take in which entry VMs there are."""
        entries = self.registry.nodes_with_role("entry")
        self.budgets.set_members(len(entries))
        own = self.settings.service_address
        members = {
            record.node_id: record.failure_domain
            for record in entries
            if record.region == self.settings.region and not record.silent
        }
        self.dispatcher.members = sorted({*members, own})
        self.exchange.set_members(members)
