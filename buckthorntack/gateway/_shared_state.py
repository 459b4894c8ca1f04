"""State of an entry VM that its requests share."""

import asyncio
import contextlib
import enum

from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack import events
from buckthorntack import http1
from buckthorntack import quarantine
from buckthorntack.gateway import _addresses
from buckthorntack.gateway import _events
from buckthorntack.gateway import _memory
from buckthorntack.gateway import _own_capacity
from buckthorntack.gateway import _quota_charge

#: Connect timeout for servers, which are in the same region.
CONNECT_TIMEOUT_S = 0.6
#: Connect timeout for entry VMs of other regions.
FORWARD_CONNECT_TIMEOUT_S = 0.8


class ConnectionFailure(enum.StrEnum):
    """How a connection to a server failed."""

    BROKEN = "broken"
    #: Closed while it was idle.
    IDLE = "idle"
    REFUSED = "refused"
    NOT_OPENED = "not_opened"
    #: Seen by another entry VM.
    TOLD = "told"
    #: None failed, but the server told of a start that it has not announced.
    RESTARTED = "restarted"
    #: None failed, but the server was evacuated, and may be cold since.
    EVACUATED = "evacuated"


class SharedState:
    """Configuration, servers, load and connections; a context manager.

    :param settings: ``NodeSettings``.
    :param dialect: the ``Dialect``.
    :param registry: the ``discovery.Registry``.
    :param clock: source of time.
    :param rng: source of randomness.
    :param dispatch_settings: ``dispatch.DispatchSettings``; None for the
        defaults.
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
        dispatch_parameters = dispatch_settings or dispatch.DispatchSettings()
        self.fleet = dispatch.Fleet(dispatch_parameters, self._is_known_server)
        self.exchange = dispatch.UsageExchange(
            self.fleet,
            settings.service_address,
            settings.failure_domain,
            settings.link_mbps,
        )
        self.rates = dispatch.ServerRates(
            settings.service_address, dispatch_parameters
        )
        self.dispatcher = dispatch.Dispatcher(
            settings.region,
            self.fleet,
            self.rates,
            dispatch_parameters,
            rng,
        )
        self.exchange.organisations.add_listener(
            self.dispatcher.ranked_limits.shares
        )
        self.budgets = dispatch.RetryBudgets(
            settings.repeat_ratio,
            settings.repeat_slack,
            dispatch_parameters.retry_budget_share,
        )
        self.quota_charger = _quota_charge.QuotaCharger(
            settings,
            self.find_organisation,
            self.exchange.organisations,
            rng,
            clock.monotonic().total_seconds(),
        )
        self.hedging = dispatch.Hedging(settings.hedge_share)
        self.quarantine = quarantine.Quarantine(settings.service_address)
        receive_buffer_bytes = _memory.compute_receive_buffer_bytes(settings)
        self.pool = http1.ConnectionPool(
            CONNECT_TIMEOUT_S, dialect.request_id_header, receive_buffer_bytes
        )
        self.forward_pool = http1.ConnectionPool(
            FORWARD_CONNECT_TIMEOUT_S,
            dialect.request_id_header,
            receive_buffer_bytes,
        )
        self.capacity = _own_capacity.CapacityMeter(
            settings.processor_cores, settings.link_mbps
        )
        #: ``http1.MemoryWatch``; None if what is held is not bounded.
        self.memory_watch = None
        self.directives_index = -1
        self._evacuations_index = -1
        self.started_at = clock.monotonic()
        self._log = events.EventLog("gateway")
        self._changed = asyncio.Event()
        self._urgent = asyncio.Event()
        self._has_suspects = asyncio.Event()
        self._by_service = {}
        self._incarnations = {}
        #: Called with a server's id, the ``ConnectionFailure`` and whether a
        #: sound server may cause it, once it is suspected to have started
        #: again.
        self.on_restart_suspected = lambda server_id, failure, is_mild: None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.pool.__exit__(*exc_info)
        self.forward_pool.__exit__(*exc_info)

    @property
    def version(self):
        """Version of the active configuration; -1 if there is none."""
        if self.table is None:
            return -1
        return self.table.configuration.version

    def find_organisation(self, name):
        """Return an organisation of the active configuration.

        :param name: its name.
        :returns: the ``directives.Organisation``, or None.
        """
        return (
            None if self.table is None else self.table.find_organisation(name)
        )

    def apply_directives(self, index, configuration, evacuated):
        """Apply directives unless they are outdated.

        :param index: their index in the control group's log.
        :param configuration: ``directives.Configuration``; None if it did
            not change.
        :param evacuated: failure domains that receive no requests.
        :returns: whether they were applied.
        """
        if index <= self.directives_index:
            return False
        self.directives_index = index
        if configuration is not None and configuration.version > self.version:
            self.table = directives.RouteTable(configuration)
            self.dispatcher.set_configuration(configuration)
        self.apply_evacuations(index, evacuated)
        self.notify_change()
        return True

    def apply_evacuations(self, index, evacuated):
        """Apply the evacuations of directives unless they are outdated.

        :param index: index of the directives in the control group's log.
        :param evacuated: failure domains that receive no requests.
        """
        if index <= self._evacuations_index:
            return
        self._evacuations_index = index
        ended = self.dispatcher.evacuated.difference(evacuated)
        self.dispatcher.set_evacuated(
            frozenset(evacuated), self.clock.monotonic()
        )
        self._suspect_evacuated(ended)
        self.notify_change()

    def _suspect_evacuated(self, failure_domains):
        """Let servers be asked for how long they are cold.

        :param failure_domains: those whose evacuations have ended.
        """
        now_s = self.clock.monotonic().total_seconds()
        for server_id, view in self.registry.servers.items():
            record = view.record
            service = self.find_service_of(server_id)
            if (
                record.failure_domain not in failure_domains
                or record.region != self.settings.region
                or record.state != "ready"
                or service is None
                or service.warmup_per_s <= 0
            ):
                continue
            asks = self.rates.may_ask(server_id, service.warmup_per_s, now_s)
            if self.fleet.restarts.on_evacuation_ended(
                server_id, now_s, self._unix_ms(), asks is not None
            ):
                self.log_suspected_restart(
                    server_id, ConnectionFailure.EVACUATED
                )
                self._has_suspects.set()

    def notify_change(self):
        """Wake the requests that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s):
        """Wait for a change of the directives or servers, or the timeout.

        :param timeout_s: longest wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def wake_if_urgent(self):
        """Wake the sender of usage reports if a report is urgent."""
        if self.exchange.is_urgent:
            self._urgent.set()

    async def wait_until_urgent(self, max_wait):
        """Wait until a usage report is urgent, or for the longest wait.

        :param max_wait: longest wait; a ``timedelta``.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_wait.total_seconds()):
                await self._urgent.wait()
        self._urgent.clear()

    async def acquire_connection(self, server_id, address, request_id):
        """Return an idle connection to a server, or open a new one.

        :param server_id: the server.
        :param address: IP address and port.
        :param request_id: id of the request to be sent.
        :returns: ``http1.Connection``.
        :raises ConnectError: the connection attempt failed.
        """
        connection = self.pool.take_idle(server_id, request_id)
        if connection is None:
            connection = await self.open_connection(server_id, address)
        return connection

    async def open_connection(self, server_id, address):
        """Open a new connection to a server and record whether it can be.

        :param server_id: the server.
        :param address: IP address and port.
        :returns: ``http1.Connection``.
        :raises ConnectError: the connection attempt failed.
        """
        reachability = self.dispatcher.reachability
        opened_s = self.clock.monotonic().total_seconds()
        try:
            connection = await self.pool.open(address)
        except http1.ConnectError as error:
            now_s = self.clock.monotonic().total_seconds()
            # Further timeouts, as of a link that is cut, tell nothing new.
            is_first = not reachability.is_suspect(server_id)
            if reachability.on_connect_failed(server_id, now_s):
                self._log_reachability(server_id, False)
            self._has_suspects.set()
            failure = ConnectionFailure.NOT_OPENED
            if isinstance(error, http1.ConnectRefusedError):
                failure = ConnectionFailure.REFUSED
            if is_first or failure is ConnectionFailure.REFUSED:
                self.on_server_failure(server_id, failure)
            raise
        connection.opened_s = opened_s
        self._note_connected(server_id, opened_s)
        if reachability.on_connected(server_id):
            self._log_reachability(server_id, True)
        return connection

    def on_server_failure(self, server_id, failure, idle_s=None):
        """Suspect that a server has started again, as a connection failed.

        :param server_id: the server.
        :param failure: the :class:`ConnectionFailure`.
        :param idle_s: time for which the connection was idle; None if it
            carried a request or did not open.
        """
        service = self.find_service_of(server_id)
        if service is None or service.warmup_per_s <= 0:
            return
        now_s = self.clock.monotonic().total_seconds()
        restarts = self.fleet.restarts
        is_mild = failure is ConnectionFailure.BROKEN or (
            failure is ConnectionFailure.IDLE
            and restarts.has_outlived_close(server_id)
        )
        if restarts.on_failure(
            server_id, now_s, self._unix_ms(), idle_s, is_mild
        ):
            self.log_suspected_restart(server_id, failure)
            self._has_suspects.set()
            self.on_restart_suspected(server_id, failure, is_mild)

    def tell_restart(self, server_id):
        """Tell other entry VMs that a server may have started again.

        :param server_id: the server.
        """
        if self.fleet.restarts.tell(server_id):
            self.exchange.on_restart_news()
            self.wake_if_urgent()

    def on_restart_answer(self, check, cold_left_s):
        """Record for how long a server says that it is cold.

        :param check: the ``dispatch.RestartCheck``.
        :param cold_left_s: the time in seconds; None if it did not say.
        """
        now_s = self.clock.monotonic().total_seconds()
        is_news = self.fleet.restarts.on_answer(check, cold_left_s, now_s)
        if cold_left_s is not None:
            self._tell_answer(check.server_id, cold_left_s, is_news)

    def on_request_answered(self, server_id, connection, sent_s):
        """Record an answer, which may show that a server has not restarted.

        :param server_id: the server.
        :param connection: the ``http1.Connection``.
        :param sent_s: monotonic time at which the request was sent.
        """
        now = self.clock.monotonic()
        now_s = now.total_seconds()
        view = self.registry.servers.get(server_id)
        if view is None or not self.fleet.restarts.is_suspected(
            server_id, now_s
        ):
            return
        cold_left_s = max(0.0, (view.cold_until - now).total_seconds())
        if self.fleet.restarts.on_request_answered(
            server_id, connection.opened_s, sent_s, cold_left_s, now_s
        ):
            self._tell_answer(server_id, cold_left_s, True)

    def _tell_answer(self, server_id, cold_left_s, is_news):
        self._log.write(
            _events.RESTART_CHECKED,
            server=server_id,
            cold_left_s=cold_left_s,
            is_news=is_news,
        )
        if is_news:
            self.on_restart_told(server_id)
            self.exchange.on_restart_news()
            self.wake_if_urgent()
            self.notify_change()

    def on_restart_told(self, server_id):
        """Update the rate of a server after news of its warm-up.

        :param server_id: the server.
        """
        now = self.clock.monotonic()
        view = self.registry.servers.get(server_id)
        is_doubted = self.fleet.restarts.is_in_question(
            server_id, now.total_seconds()
        )
        if view is None or is_doubted or self.dispatcher.is_cold(view, now):
            return
        self.rates.on_warm(server_id)

    def log_suspected_restart(self, server_id, failure, told_by=""):
        """Log that a server is suspected to have started again.

        :param server_id: the server.
        :param failure: the :class:`ConnectionFailure`.
        :param told_by: id of the entry VM that told it; empty for this one.
        """
        view = self.registry.servers.get(server_id)
        self._log.write(
            _events.RESTART_SUSPECTED,
            server=server_id,
            born_ms=None if view is None else view.record.born_ms,
            failure=failure.value,
            told_by=told_by,
        )

    def on_first_records(self, server_ids):
        """Suspect servers whose records may be older than this process.

        :param server_ids: ids of servers whose records changed.
        """
        if self.fleet.restarts.is_informed:
            return
        now_s = self.clock.monotonic().total_seconds()
        for server_id in server_ids:
            record = self.registry.servers[server_id].record
            is_local = record.region == self.settings.region
            if is_local and record.state == "ready":
                self.fleet.restarts.on_first_record(server_id, now_s)
                self._has_suspects.set()

    def find_service_of(self, server_id):
        """Return the service of a server by the active configuration.

        :param server_id: the server.
        :returns: ``directives.Service``; None if it is not known.
        """
        view = self.registry.servers.get(server_id)
        if view is None or self.table is None:
            return None
        return self.table.configuration.services.get(view.record.service)

    def _note_connected(self, server_id, opened_s):
        service = self.find_service_of(server_id)
        if service is None:
            return
        warmup = service.warmup or self.dispatcher.settings.presumed_cold
        if self.fleet.restarts.on_connected(
            server_id,
            opened_s,
            warmup.total_seconds(),
            self.clock.monotonic().total_seconds(),
        ):
            # Its own link is not lost, so others may be told.
            self.tell_restart(server_id)

    def _unix_ms(self):
        return int(self.clock.wall().timestamp() * 1e3)

    def _log_reachability(self, server_id, is_reachable):
        self._log.write(
            _events.REACHABILITY_CHANGED,
            server=server_id,
            reachable=is_reachable,
        )

    async def wait_until_unreachable(self):
        """Wait until a connect to a server fails."""
        self._has_suspects.clear()
        await self._has_suspects.wait()

    def wake_on_suspects(self):
        """End the wait for a connect that fails."""
        self._has_suspects.set()

    def list_unreachable_services(self):
        """List the services of this region whose servers all are unreachable.

        :returns: sorted names.
        """
        unreachable = set(self.dispatcher.reachability.list_unreachable())
        if not unreachable:
            return []
        reached, known = set(), set()
        for view in self.registry.servers.values():
            record = view.record
            if record.region == self.settings.region and (
                record.state == "ready"
            ):
                known.add(record.service)
                if record.server_id not in unreachable:
                    reached.add(record.service)
        return sorted(known - reached)

    def list_region_servers(self):
        """List the ids of the announced servers of this region."""
        return [
            server_id
            for server_id, view in self.registry.servers.items()
            if view.record.region == self.settings.region
            and view.record.state == "ready"
            and not view.record.silent
        ]

    def log_limits(self, told_by):
        """Log the changes of servers' limits.

        :param told_by: id of the server or entry VM that told them.
        """
        for stated in self.fleet.limits.take_changes():
            self._log.write(
                _events.SERVER_LIMIT,
                server=stated.server_id,
                born_ms=stated.born_ms,
                per_s=stated.per_s,
                rejections_per_s=stated.rejections_per_s,
                rejections=stated.rejections,
                stated_version=stated.version,
                told_by=told_by,
            )

    def log_speeds(self, now_s):
        """Log the servers of this region whose speed has changed.

        :param now_s: monotonic time in seconds.
        """
        for change in self.fleet.speeds.take_changes(now_s):
            view = self.registry.servers.get(change.server_id)
            if view is None or view.record.region != self.settings.region:
                continue
            self._log.write(
                _events.SERVER_SPEED,
                server=change.server_id,
                born_ms=change.born_ms,
                former=round(change.former, 2),
                slowdown=round(change.slowdown, 2),
            )

    def limits(self):
        """Return the request limits of the active configuration.

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

    def _is_known_server(self, server_id):
        view = self.registry.servers.get(server_id)
        return view is not None and view.record.state != "gone"

    def on_servers_changed(self, server_ids):
        """Update the state of servers after changes of the registry.

        :param server_ids: ids of the changed servers.
        """
        for server_id in server_ids:
            view = self.registry.servers.get(server_id)
            if view is None or view.record.state == "gone":
                self._remove_server(server_id)
                continue
            born_ms = view.record.born_ms
            if self._incarnations.setdefault(server_id, born_ms) != born_ms:
                self._incarnations[server_id] = born_ms
                self.fleet.on_server_restarted(server_id)
                self.dispatcher.reachability.remove_server(server_id)
                self.pool.close_idle(server_id)
        self._by_service = {}
        if server_ids:
            self.notify_change()

    def _remove_server(self, server_id):
        self._incarnations.pop(server_id, None)
        self.fleet.remove_server(server_id)
        self.rates.remove_server(server_id)
        self.hedging.remove_server(server_id)
        self.dispatcher.reachability.remove_server(server_id)
        self.pool.close_idle(server_id)

    def list_servers(self, service):
        """List the servers of a service that have not left.

        :param service: name of the service.
        :returns: list of ``discovery.ServerView``.
        """
        views = self.registry.servers
        server_ids = self._by_service.get(service)
        if server_ids is None:
            server_ids = [
                server_id
                for server_id, view in views.items()
                if view.record.service == service
                and view.record.state != "gone"
            ]
            self._by_service[service] = server_ids
        return [
            views[server_id] for server_id in server_ids if server_id in views
        ]

    def list_entry_vms(self, region):
        """List the entry VMs of a region that accept requests.

        :param region: name of the region.
        :returns: list of ``NodePresence``.
        """
        return [
            record
            for record in self.registry.nodes_with_role("entry")
            if record.region == region
            and record.state == "ready"
            and not record.silent
        ]

    def list_forward_targets(self, region, service):
        """List the entry VMs of a region that can serve a service.

        :param region: name of the region, also this one.
        :param service: name of the service.
        :returns: list of ``NodePresence``.
        """
        return [
            record
            for record in self.list_entry_vms(region)
            if record.node_id != self.settings.service_address
            and service not in record.unreachable_services
        ]

    def find_forward_address(self, record):
        """Return the address for requests forwarded to an entry VM.

        :param record: ``NodePresence`` of that entry VM.
        """
        host = _addresses.host_of(record.link_address)
        return f"{host}:{self.settings.forward_port}"

    def update_members(self):
        """Update the entry VMs that share retry budgets and usage reports."""
        entry_vms = self.registry.nodes_with_role("entry")
        self.budgets.set_members(len(entry_vms))
        own_address = self.settings.service_address
        local = [
            record
            for record in entry_vms
            if record.region == self.settings.region
        ]
        members = {
            record.node_id: record.failure_domain
            for record in local
            if not record.silent
        }
        self.rates.members = sorted({*members, own_address})
        local_ids = {record.node_id for record in local}
        self.rates.all_members = sorted({*local_ids, own_address})
        means = {
            record.node_id: record.means
            for record in entry_vms
            if record.node_id in members
        }
        means[own_address] = self.capacity.nominal
        self.exchange.set_members(members, means)
        self._update_quotas(entry_vms)

    def _update_quotas(self, entry_vms):
        """Tell the quotas where entry VMs are, once a copy of it came.

        Silent ones count: they may run where nobody here hears them.
        """
        regions = [
            record.region for record in entry_vms if record.state != "gone"
        ]
        if self.settings.region in regions:
            self.quota_charger.quotas.set_entry_vms(
                regions.count(self.settings.region),
                regions,
                self.clock.monotonic().total_seconds(),
            )
