"""Entry VM: listeners, background tasks and graceful stop."""

import asyncio
import collections
import datetime

from buckthorntack import discovery
from buckthorntack import http1
from buckthorntack import shutdown
from buckthorntack import transport
from buckthorntack.gateway import _events
from buckthorntack.gateway import _following
from buckthorntack.gateway import _incarnation_tasks
from buckthorntack.gateway import _memory
from buckthorntack.gateway import _metrics
from buckthorntack.gateway import _node
from buckthorntack.gateway import _origin_tasks
from buckthorntack.gateway import _quarantine_task
from buckthorntack.gateway import _reachability_task
from buckthorntack.gateway import _records
from buckthorntack.gateway import _request_handler
from buckthorntack.gateway import _shared_state
from buckthorntack.gateway import _supervision
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Period of load reports to other regions: a few inter-region round trips, by
#: which the reports take effect late in any case.
REGION_LOAD_PERIOD = 300 * _MS
#: Period of dropping old reports.
EXPIRE_PERIOD = 250 * _MS
#: Time without a report, several report periods, after which the next entry VM
#: by id sends the load reports of the region.
REGION_REPORTER_TIMEOUT_S = 1.0
#: Maximum number of addresses in one directory response.
MAX_DIRECTORY_ADDRESSES = 64
#: Scopes of directory answers that keep callers in their region.
_LOCAL_SCOPES = (
    discovery.AddressScope.FAILURE_DOMAIN,
    discovery.AddressScope.REGION,
)


class EntryNode(_node.Node):
    """Entry VM.

    The handlers must contain ``readiness`` and ``directory``.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.shared_state = _shared_state.SharedState(
            self.settings, self.dialect, self.registry, self.clock, self.rng
        )
        self.metrics = _metrics.EntryMetrics(self.metrics_registry)
        self.following = None
        self.front_listener = None
        self.forward_listener = None
        self.request_handler = None
        self.quarantine_task = None
        self.origin_task = None
        self.incarnation_task = None
        self.reachability_task = None
        #: Relay of usage reports at the last ``relay_changed`` event.
        self._logged_relay = ""
        #: Scope of the last directory answer, by the caller's region and its
        #: host, which is empty for hosts without routes.
        self._directory_scopes = {}

    def _start_log_fields(self):
        return {"callers": self.front_listener.address}

    async def _start(self):
        settings = self.settings
        enter = self._stack.enter_async_context
        self._stack.enter_context(self.shared_state)
        self.shared_state.fleet.restarts.on_start()
        self.links = await enter(
            transport.PlainLinks(
                settings.service_address,
                settings.to_bind_address(settings.link_address),
                self._on_message,
            )
        )
        self.following = _following.FollowingTask(
            settings,
            self.shared_state,
            self.links,
            self.timing,
            self.clock,
            self.rng,
        )
        self.following.set_capacity(self.shared_state.capacity)
        self.shared_state.update_members()
        self.quarantine_task = _quarantine_task.QuarantineTask(
            self.shared_state,
            self.links,
            self.metrics,
            self._other_entry_vms,
        )
        self.origin_task = _origin_tasks.OriginTask(
            self.shared_state, self.links
        )
        self.incarnation_task = _incarnation_tasks.IncarnationTask(
            self.shared_state, self.links
        )
        self.reachability_task = await enter(
            _reachability_task.ReachabilityTask(
                self.shared_state, self._on_unreachable_services
            )
        )
        self.request_handler = _request_handler.RequestHandler(
            self.shared_state,
            self.clock,
            self.metrics,
            self.quarantine_task.wake,
            self.origin_task,
            self.incarnation_task,
            self.reachability_task,
        )
        limits = self.shared_state.limits
        self.shared_state.memory_watch = self.memory_watch
        if self.memory_watch is not None:
            self.metrics.serve_memory(self.memory_watch)
        self.forward_listener = await self._listen(
            "forward",
            settings.forward_address,
            self.request_handler.handle_forwarded,
            limits,
            self._listener_memory(_request_handler.RUN_STATE_HEADER),
            is_client_checked=True,
        )
        self.front_listener = await self._listen(
            "front",
            settings.service_address,
            self.request_handler.handle,
            limits,
            self._listener_memory(),
            is_client_checked=True,
        )
        self.metrics.serve_links(self.links)
        self.metrics.serve_unanswered(
            {"forward": self.forward_listener, "front": self.front_listener}
        )
        handlers = self.make_handlers(self)
        addresses = {
            "readiness": settings.readiness_address,
            "directory": settings.directory_address,
        }
        for name, address in addresses.items():
            if address:
                await self._listen(name, address, handlers[name])
        await self._serve_metrics()
        for work in (
            self.following.run,
            self.quarantine_task.run,
            self.origin_task.run,
            self.reachability_task.run,
            self._expire,
            self._tell_use,
            self._tell_region_load,
        ):
            await enter(_supervision.supervise(work))

    def _listener_memory(self, run_state_header=b""):
        """Return the ``http1.ListenerMemory``; None for no bound."""
        if self.memory_watch is None:
            return None
        refusals = _memory.BodyRefusals(self.shared_state, run_state_header)
        return http1.ListenerMemory(
            self.memory_watch,
            refusals.find_owner,
            refusals.build_refusal_headers,
        )

    def _on_message(self, sender, message):
        now_s = self.clock.monotonic().total_seconds()
        if isinstance(message, messages.UseReport | messages.RegionLoad):
            message = _records.set_aside_statements(message, sender, self._log)
        if isinstance(message, messages.UseReport):
            self.shared_state.exchange.on_report(sender, message, now_s)
            self._on_restart_news(sender)
            self.shared_state.log_limits(sender)
            self.shared_state.wake_if_urgent()
        elif isinstance(message, messages.RegionLoad):
            self._on_region_load(sender, message, now_s)
        elif isinstance(message, messages.RegistryChanges):
            self.following.on_registry_changes(sender, message)
        elif isinstance(message, messages.PackedChanges):
            self.following.on_packed_changes(sender, message)
        elif isinstance(message, messages.PresenceReply):
            self.following.on_presence_reply(sender, message)
        elif isinstance(message, messages.DirectivesCopy):
            self.following.on_directives_copy(sender, message)
        elif isinstance(message, messages.OriginReply):
            self.origin_task.on_reply(sender, message)
        elif isinstance(message, messages.IncarnationReply):
            self.incarnation_task.on_reply(sender, message)
        elif isinstance(message, messages.QuarantineUpdate):
            self.quarantine_task.on_update(message)
        elif isinstance(message, messages.QuarantineDigest):
            self.quarantine_task.on_digest(sender, message)
        elif isinstance(message, messages.QuarantineTable):
            self.quarantine_task.on_table(sender, message)

    def _on_restart_news(self, sender):
        """Ask servers that others suspect to have started again."""
        server_ids = self.shared_state.exchange.take_restart_news()
        if not server_ids:
            return
        self.shared_state.notify_change()
        now_s = self.clock.monotonic().total_seconds()
        restarts = self.shared_state.fleet.restarts
        for server_id in server_ids:
            self.shared_state.on_restart_told(server_id)
            if restarts.is_suspected(server_id, now_s):
                self.shared_state.log_suspected_restart(
                    server_id, _shared_state.ConnectionFailure.TOLD, sender
                )
        self.reachability_task.wake()

    def _on_unreachable_services(self, services):
        self.following.set_unreachable_services(services)

    def is_ready(self):
        """Whether the node accepts new requests."""
        return self.following is not None and self.following.state == "ready"

    def directory(self, host, region, failure_domain):
        """Return addresses of entry VMs for a caller.

        :param host: host of the caller's requests.
        :param region: the caller's region.
        :param failure_domain: the caller's failure domain.
        """
        own_address = self.settings.service_address
        nodes = [
            record
            for record in self.registry.nodes_with_role("entry")
            if record.node_id != own_address and not self._is_lost(record)
        ]
        if self.following.state == "ready":
            nodes.append(self.following.presence())
        table = self.shared_state.table
        residency = None if table is None else table.find_host_residency(host)
        answer = discovery.select_entry_vms(
            nodes,
            region,
            failure_domain,
            residency,
            MAX_DIRECTORY_ADDRESSES,
            self.rng,
        )
        self._record_directory_answer(answer, host, region, residency, nodes)
        return answer.addresses

    def _record_directory_answer(self, answer, host, region, residency, nodes):
        """Count an answer; log it if callers are led out of their region."""
        self.metrics.record_directory_answer(answer.scope.value)
        if region not in self.settings.regions.values():
            return
        key = (region, "" if residency is None else host)
        former = self._directory_scopes.get(key)
        self._directory_scopes[key] = answer.scope
        if answer.scope is former or answer.scope in _LOCAL_SCOPES:
            return
        states = collections.Counter(
            f"{node.region}:{'silent' if node.silent else node.state}"
            for node in nodes
        )
        self._log.write(
            _events.DIRECTORY_WIDENED,
            host=host,
            region=region,
            scope=answer.scope.value,
            state=self.following.state,
            version=self.shared_state.version,
            home_regions=(
                None if residency is None else sorted(residency.any_regions)
            ),
            entry_vms=dict(sorted(states.items())),
            addresses=",".join(answer.addresses),
        )

    def _is_lost(self, record):
        """Whether an entry VM of this region has stopped reporting."""
        if record.region != self.settings.region:
            return False
        heard_s = self.shared_state.exchange.last_heard_s(record.node_id)
        if heard_s is None:
            return False
        age_s = self.clock.monotonic().total_seconds() - heard_s
        return age_s > self.timing.control_silence_timeout.total_seconds()

    async def _expire(self):
        while True:
            await self.clock.sleep(EXPIRE_PERIOD)
            now_s = self.clock.monotonic().total_seconds()
            self.shared_state.fleet.expire_reports(now_s)
            speeds = self.shared_state.fleet.speeds
            self.metrics.record_slowdowns(*speeds.spread())
            self.shared_state.log_speeds(now_s)
            self.shared_state.update_members()

    def _other_entry_vms(self):
        """List the presence records of the other live entry VMs."""
        own_address = self.settings.service_address
        return [
            record
            for record in self.registry.nodes_with_role("entry")
            if record.node_id != own_address and not record.silent
        ]

    def _region_peers(self):
        """List the ids of the other ready entry VMs of this region."""
        return [
            record.node_id
            for record in self._other_entry_vms()
            if record.region == self.settings.region
            and record.state == "ready"
        ]

    async def _tell_use(self):
        exchange = self.shared_state.exchange
        while True:
            now_s = self.clock.monotonic().total_seconds()
            former_bytes = self.links.sent_bytes
            for node_id, report in exchange.take_due_reports(now_s):
                self.links.send(node_id, report)
            exchange.record_sent(self.links.sent_bytes - former_bytes, now_s)
            if exchange.relay != self._logged_relay:
                self._log_relay_change(now_s)
            interval_s = exchange.min_interval_s
            interval = datetime.timedelta(seconds=interval_s)
            slept_at = self.clock.monotonic()
            await self.clock.sleep(interval)
            self._observe_lateness(
                self.clock.monotonic() - slept_at - interval
            )
            left_s = max(0.0, exchange.period_s - interval_s)
            await self.shared_state.wait_until_urgent(
                datetime.timedelta(seconds=left_s)
            )

    def _observe_lateness(self, lateness):
        """Report less capacity while timers of this process are late."""
        meter = self.shared_state.capacity
        now_s = self.clock.monotonic().total_seconds()
        if not meter.observe(lateness.total_seconds(), now_s):
            return
        self.following.set_capacity(meter)
        self.metrics.record_capacity(meter.reported)
        self._log.write(
            _events.CAPACITY_CHANGED,
            capacity=meter.reported,
            nominal=round(meter.nominal, 3),
        )

    def _log_relay_change(self, now_s):
        former, self._logged_relay = (
            self._logged_relay,
            self.shared_state.exchange.relay,
        )
        heard_s = self.shared_state.exchange.last_heard_s(former)
        age_ms = None if heard_s is None else round((now_s - heard_s) * 1e3)
        self._log.write(
            _events.RELAY_CHANGED,
            relay=self._logged_relay,
            former=former,
            former_age_ms=age_ms,
        )

    async def _tell_region_load(self):
        while True:
            await self.clock.sleep(REGION_LOAD_PERIOD)
            if self._is_region_reporter():
                self._send_region_load()
            else:
                self.shared_state.fleet.take_shared_parts()
                self.shared_state.exchange.take_region_updates()

    def _is_region_reporter(self):
        """Whether this is the region's ready entry VM with most means."""
        if not self.is_ready():
            return False
        seniority = self.shared_state.exchange.seniority
        own = seniority(self.settings.service_address)
        return all(
            seniority(node_id) > own or not self._has_recent_report(node_id)
            for node_id in self._region_peers()
        )

    def _has_recent_report(self, node_id):
        heard_s = self.shared_state.exchange.last_heard_s(node_id)
        now_s = self.clock.monotonic().total_seconds()
        return (
            heard_s is not None and now_s - heard_s < REGION_REPORTER_TIMEOUT_S
        )

    def _send_region_load(self):
        region = self.settings.region
        servers = [
            messages.ServerUse(
                server_id, *self.shared_state.fleet.usage(server_id)
            )
            for server_id, view in self.registry.servers.items()
            if view.record.region == region and view.record.state == "ready"
        ]
        shared = self.shared_state.fleet.take_shared_parts()
        local_ids = {
            server_id
            for server_id, view in self.registry.servers.items()
            if view.record.region == region
        }
        limits = [
            limit
            for limit in self.shared_state.fleet.limits.list_statements()
            if limit.server_id in local_ids
        ]
        sums = self.shared_state.exchange.take_region_updates()
        load = messages.RegionLoad(region, servers, shared, limits, *sums)
        for other in sorted(set(self.settings.regions.values()) - {region}):
            entry_vms = self.shared_state.list_entry_vms(other)
            if entry_vms:
                self.links.send(self.rng.choice(entry_vms).node_id, load)

    def _on_region_load(self, sender, load, now_s):
        """Record the load of another region and relay it in this region.

        The other region sends it only once, to a random entry VM.
        """
        self.shared_state.fleet.on_region_load(load, now_s)
        self.shared_state.exchange.on_region_load(load, now_s)
        self.shared_state.log_limits(sender)
        for node_id in self.shared_state.exchange.next_hops(sender, now_s):
            self.links.send(node_id, load)

    def apply_settings(self, settings):
        """Apply reloaded settings.

        :param settings: ``NodeSettings``.
        """
        self.settings = settings
        for seed in settings.seeds:
            self.following.add_seed(seed)

    async def stop(self):
        """Leave the directory, then wait for pending requests."""
        self.following.set_state("stopping")
        self._log_node_event(_events.NODE_STOPPING)
        self.front_listener.disable_keep_alive()
        window = shutdown.plan_stop(
            self.clock.monotonic(), self.settings.stop_grace
        )
        self.request_handler.begin_stop(window)
        while self.clock.monotonic() < window.accepts_until:
            await self.clock.sleep(_node.STOP_POLL_PERIOD)
        self.front_listener.stop_accepting()
        self.forward_listener.stop_accepting()
        await self._wait_until_answered(
            (self.front_listener, self.forward_listener), window.closes_at
        )
        self.following.set_state("gone")
        await asyncio.sleep(0)
