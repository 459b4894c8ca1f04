"""Set-up and shutdown of the entry role's tasks and HTTP listeners."""

import asyncio
import contextlib
import datetime

import httpx

from buckthorntack import admission
from buckthorntack import configuration
from buckthorntack import events
from buckthorntack import ledger
from buckthorntack import membership
from buckthorntack import placement
from buckthorntack import retries
from buckthorntack import routing
from buckthorntack import security
from buckthorntack import shutdown
from buckthorntack import tasks
from buckthorntack import transport
from buckthorntack.entry import _admission_task
from buckthorntack.entry import _attempt
from buckthorntack.entry import _backends
from buckthorntack.entry import _callers
from buckthorntack.entry import _components
from buckthorntack.entry import _crash_monitor
from buckthorntack.entry import _events
from buckthorntack.entry import _forward_receiver
from buckthorntack.entry import _forwarding
from buckthorntack.entry import _idempotency
from buckthorntack.entry import _metrics
from buckthorntack.entry import _planned_stop
from buckthorntack.entry import _prompt_quarantine
from buckthorntack.entry import _runner
from buckthorntack.entry import _server_limiter
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Time for the refusals of requests that wait for admission.
REFUSAL_TIME = 50 * _MS
#: Longest time by which a stop is prolonged for responses that are late, and
#: the interval of checks for them.
LATE_ANSWER_TIME = shutdown.DELIVERY_TIME
LATE_ANSWER_POLL = 5 * _MS
#: Requests admitted for each slot of a server.  The value is above 1 because
#: engines have a short queue of their own.
ADMITTED_PER_SLOT = 2.0
#: Timeout of the HTTP requests that send orders to engines.
ORDER_TIMEOUT_SECONDS = 2.0
#: Interval between updates of the admission capacity.
CAPACITY_PERIOD = datetime.timedelta(milliseconds=250)
#: Messages for the origin side of forwarding.
FORWARDING_MESSAGES = (
    messages.ForwardHead,
    messages.ForwardChunk,
    messages.ForwardEnd,
    messages.ForwardAlive,
)
#: Messages for the receiving side of forwarding.
FORWARD_RECEIVER_MESSAGES = (
    messages.ForwardRequest,
    messages.ForwardBody,
    messages.ForwardCancel,
    messages.ForwardCredit,
)
#: Messages for the follower of the published configuration.
FOLLOWER_MESSAGES = (
    messages.ConfigurationPoll,
    messages.ConfigurationPresent,
    messages.ConfigurationDeltas,
    messages.ConfigurationChunkRequest,
    messages.ConfigurationChunk,
)
#: Messages for the client of the idempotency ledger.
LEDGER_MESSAGES = (messages.LedgerReply, messages.LedgerProbe)


class EntryRole:
    """Role that serves callers and backend servers on one entry VM.

    :param settings: settings of the process, with defaults filled in.
    :param links: ``LinkTask`` of the process.
    :param members: ``MembershipTask`` of the process.
    :param listeners: bound sockets by the names ``callers`` and ``backends``.
    :param clock: source of time.
    :param rng: random number generator.
    :param registry: Prometheus registry for the metrics.
    :param make_router: function that creates the routing policy from a
        region, a failure domain and a random number generator; a ``Router``
        is created if ``None``.
    """

    def __init__(
        self,
        settings,
        links,
        members,
        listeners,
        clock,
        rng,
        registry,
        make_router=None,
    ):
        self.settings = settings
        self.links = links
        self.members = members
        self.listeners = listeners
        self.clock = clock
        self.rng = rng
        self.registry = registry
        self.make_router = make_router or self._create_router
        self.server_limiter = _server_limiter.ServerLimiter(links.node_id)
        self.components = _components.EntryComponents(
            settings, links, clock, rng
        )
        self.callers = None
        self.backends = None
        self.issuer = None
        self._known_services = set()
        self._roster = admission.EntryRoster()
        self._stopping = False
        self._log = events.EventLog("entry")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        self._log.write(
            _events.ENTRY_STARTED, callers_url=self.caller_listener.url
        )
        return self

    def _create_router(self, region, failure_domain, rng):
        settings = routing.RouterSettings()
        return routing.Router(
            region, failure_domain, settings, rng, self.server_limiter
        )

    async def _start(self):
        settings, components = self.settings, self.components
        idle_timeout = datetime.timedelta(
            milliseconds=settings["timing"]["progress_ms"]
        )
        lease_ms = settings["timing"]["server_lease_ms"]
        components.discovery_complete_at = (
            self.clock.monotonic() + datetime.timedelta(milliseconds=lease_ms)
        )
        components.members = self.members
        components.metrics = _metrics.EntryMetrics(self.registry)
        components.metrics.register_gauge(
            "callers_requests_in_progress",
            "Callers' requests in progress.",
            lambda: self.callers.in_progress if self.callers else 0,
        )
        components.metrics.register_gauge(
            "backend_servers",
            "Live backend servers of this region.",
            lambda: len(self.members.servers()),
        )
        components.metrics.register_gauge(
            "configuration_revision",
            "Revision of the active configuration; -1 if there is none.",
            self._configuration_revision,
        )
        components.metrics.register_gauge(
            "link_bytes_sent",
            "Bytes sent to other nodes since the process started.",
            lambda: self.links.sent_bytes,
        )
        components.metrics.register_gauge(
            "link_messages_dropped",
            "Messages to other nodes dropped because no link was open.",
            lambda: self.links.dropped_messages,
        )
        components.signer = _unwrap_result(
            security.load_attempt_signer(settings["keys"]["token_key_file"])
        )
        self._create_policies()
        enter = self._stack.enter_async_context
        components.configuration = await enter(self._create_follower())
        components.configuration.add_listener(self._on_configuration)
        components.attempt_client = await enter(
            _attempt.AttemptClient(self.clock, idle_timeout)
        )
        client = await enter(self._create_ledger_client())
        components.idempotency = _idempotency.IdempotencyGuard(
            client, components.attempt_client, components.find_target
        )
        self.ledger_client = client
        components.admission_task = await enter(self._create_admission_task())
        components.crash_monitor = await enter(self._create_crash_monitor())
        components.forwarding = _forwarding.ForwardingTask(
            components.region, self.links, self.clock, idle_timeout
        )
        self.runner = _runner.Runner(components)
        self.forward_receiver = await enter(
            _forward_receiver.ForwardReceiverTask(
                components, self.runner, idle_timeout
            )
        )
        self._subscribe_to_members()
        await self._start_placement(enter)
        await self._stack.enter_async_context(
            tasks.running(self._update_capacity_periodically())
        )
        await self._start_listeners(enter)

    def _configuration_revision(self):
        current = self.components.configuration.current()
        return -1 if current is None else current.revision

    def _create_policies(self):
        components = self.components
        components.router = self.make_router(
            components.region, components.failure_domain, self.rng
        )
        retry_settings = retries.RetrySettings()
        self._limiter = retries.AttemptLimiter(
            self.settings["node_id"], retry_settings
        )
        components.retry_policy = retries.RetryPolicy(
            retry_settings, self.rng, self._limiter
        )

    def _create_follower(self):
        settings = self.settings
        return configuration.ConfigurationFollowerTask(
            settings["node_id"],
            settings["region"],
            settings["failure_domain"],
            f"{settings['data_folder']}/entry/configuration",
            settings["control"],
            self._list_domain_peers,
            self.links,
            self.clock,
            self.rng,
        )

    def _list_domain_peers(self):
        domain = self.settings["failure_domain"]
        entries = self.members.entries_of(self.settings["region"])
        return [
            record.node_id
            for record in entries
            if record.failure_domain == domain
        ]

    def _create_ledger_client(self):
        return ledger.LedgerClientTask(
            self.settings["node_id"],
            self.settings["ledger_homes"],
            self.links,
            self.clock,
            self.rng,
        )

    def _create_admission_task(self):
        limits = self.settings["limits"]
        controller = admission.AdmissionController(
            self.settings["node_id"],
            self.members.view.own.incarnation,
            admission.AdmissionSettings(
                queue_requests=limits["queue_requests"]
            ),
            self.rng,
        )
        return _admission_task.AdmissionTask(
            controller, self._list_peers, self.links, self.clock
        )

    def _list_peers(self):
        """Return the ids of the other entry VMs of all regions."""
        regions = {self.components.region}
        regions |= {summary.region for summary in self.members.summaries()}
        local_id = self.settings["node_id"]
        return [
            record.node_id
            for region in sorted(regions)
            for record in self.members.entries_of(region)
            if record.node_id != local_id
        ]

    def _create_crash_monitor(self):
        node_id = self.settings["node_id"]
        settings = retries.QuarantineSettings()
        prompts = _prompt_quarantine.PromptQuarantine(
            node_id,
            self._list_peers,
            datetime.timedelta(milliseconds=settings.max_propagation_ms),
        )
        return _crash_monitor.CrashMonitorTask(
            retries.Quarantine(node_id, settings),
            prompts,
            self._limiter,
            self.members,
            self.clock,
        )

    async def _start_listeners(self, enter):
        limits = self.settings["limits"]
        self.callers = _callers.CallersApp(
            self.components, self.runner, limits
        )
        self.backends = _backends.BackendsApp(self.components)
        self.backend_listener = await enter(
            self._create_listener("backends", self.backends.asgi())
        )
        self.caller_listener = await enter(
            self._create_listener("callers", self.callers.asgi())
        )

    def _create_listener(self, name, app):
        document = self.settings[name]
        return transport.HttpListener(
            app,
            self.listeners[name],
            document.get("certificate_file"),
            document.get("private_key_file"),
        )

    async def _start_placement(self, enter):
        """Start the placement task, if the settings name a weight store."""
        client = await enter(httpx.AsyncClient(timeout=ORDER_TIMEOUT_SECONDS))
        issuer = placement.build_placement_task(
            self.settings,
            self.members.view.own.incarnation,
            self.links,
            client,
            self.clock,
            self.members,
            self.components.configuration.current,
            dict,
        )
        if issuer is not None:
            self.issuer = await enter(issuer)

    def _subscribe_to_members(self):
        now = self.clock.monotonic()
        for node in self.settings["nodes"]:
            if "entry" in node["roles"]:
                self._roster.record_member(node["node_id"], now)
        listen = self.members.listen
        listen(membership.ServerChanged, self._on_server_changed)
        listen(membership.ServerRemoved, self._on_server_removed)
        listen(membership.EntryChanged, self._on_entry_changed)
        listen(membership.EntryRemoved, self._on_entry_removed)
        listen(membership.ItemChanged, self._on_item_changed)
        listen(membership.SummaryChanged, self._on_summary_changed)
        for record in self.members.servers():
            self._update_server(record)
        for summary in self.members.summaries():
            self._update_summary(summary)
        self._update_entry_vms()

    def _on_server_changed(self, change):
        self._update_server(change.record)

    def _update_server(self, record):
        self.components.servers[record.server_id] = record
        if record.server_id in self._list_draining_servers():
            record = record._replace(state="draining")
        self.components.router.update_server(record, self.clock.monotonic())

    def _list_draining_servers(self):
        """Return ids of servers that drain until they have executed orders."""
        items = self.members.items(placement.DRAIN_KIND)
        return placement.drained_servers(items) if items else ()

    def _on_server_removed(self, change):
        self.components.router.remove_server(
            change.server_id, self.clock.monotonic()
        )

    def _update_entry_vms(self):
        entries = self.members.entries_of(self.components.region)
        self.server_limiter.set_entry_vms(record.node_id for record in entries)

    def _on_entry_removed(self, change):
        self._update_entry_vms()
        if change.record.state == "stopped":
            self._roster.remove(change.record.node_id)

    def _on_item_changed(self, change):
        if change.item.kind == placement.DRAIN_KIND:
            for record in self.members.servers():
                self._update_server(record)

    def _on_entry_changed(self, change):
        self._update_entry_vms()
        self._roster.record_member(
            change.record.node_id, self.clock.monotonic()
        )
        self.links.set_address(
            change.record.node_id, change.record.link_address
        )

    def _on_summary_changed(self, change):
        self._update_summary(change.summary)

    def _update_summary(self, summary):
        self._update_entry_vms()
        for record in summary.entries:
            self._roster.record_member(record.node_id, self.clock.monotonic())
            self.links.set_address(record.node_id, record.link_address)
            self.links.connect(record.node_id)
        self.components.router.update_summary(summary, self.clock.monotonic())

    def _on_configuration(self, published):
        self.members.set_revision(published.revision)
        for named in published.named_objects():
            self._apply_object(named["kind"], named["object"], published)

    def _apply_object(self, kind, document, published):
        if kind == "Service":
            name = document["name"]
            self.components.router.set_terms(name, published.terms(name))
        elif kind == "BackendServerPool":
            self.components.router.set_pool_cost(
                document["name"], document["cost_per_hour"]
            )

    async def _update_capacity_periodically(self):
        while True:
            self._update_capacity()
            await self.clock.sleep(CAPACITY_PERIOD)

    def _update_capacity(self):
        """Set the admission capacity to this VM's share of the known slots."""
        slots = {}
        for record in self.members.servers():
            slots[record.service] = slots.get(record.service, 0) + record.slots
        for summary in self.members.summaries():
            if summary.region != self.components.region:
                for service in summary.services:
                    free = max(0, service.slots - service.running)
                    name = service.service
                    slots[name] = slots.get(name, 0) + free
        entry_count = max(
            1, len(self.members.entries_of(self.components.region))
        )
        self.components.slots = slots
        removed_services = self._known_services - slots.keys()
        self._known_services |= slots.keys()
        for service in removed_services:
            self.components.admission_task.set_capacity(service, 0)
        for service, total in slots.items():
            share = int(total * ADMITTED_PER_SLOT / entry_count) + 1
            self.components.admission_task.set_capacity(service, share)
        count = self._roster.count(self.clock.monotonic())
        self.components.admission_task.controller.set_entry_count(count)

    def deliver(self, sender, message):
        """Pass a message to the task that handles its type.

        :param sender: node id of the sender.
        :param message: the message.
        :returns: whether the role handles this kind of message.
        """
        if isinstance(message, FORWARDING_MESSAGES):
            self.components.forwarding.deliver(sender, message)
        elif isinstance(message, FORWARD_RECEIVER_MESSAGES):
            self.forward_receiver.deliver(message, sender)
        elif isinstance(message, FOLLOWER_MESSAGES):
            self.components.configuration.deliver(sender, message)
        elif isinstance(message, LEDGER_MESSAGES):
            self.ledger_client.deliver(sender, message)
        elif isinstance(message, messages.LeaseGrant):
            if self.issuer is not None:
                self.issuer.deliver(sender, message)
        elif isinstance(message, messages.UsageReport):
            self.components.admission_task.deliver(sender, message)
        else:
            return False
        return True

    def is_ready(self):
        """Return whether the entry VM accepts new requests."""
        return not self._stopping and (
            self.components.configuration.current() is not None
        )

    async def stop(self):
        """Withdraw from the lists sent to callers, then finish all requests.

        Requests that still run after the setting ``drain_ms`` are aborted.
        """
        self._stopping = True
        self._log.write(_events.ENTRY_STOPPING)
        self.members.set_entry_state("stopping")
        notice = self.settings["timing"]["stop_notice_ms"] * _MS
        drain_ms = self.settings["timing"]["drain_ms"]
        window = self._plan_stop(notice, drain_ms * _MS)
        self.components.planned_stop.begin(window)
        await self.clock.sleep(notice)
        try:
            async with contextlib.AsyncExitStack() as stack:
                if window is not None:
                    answering = tasks.running(self._answer_in_time(window))
                    await stack.enter_async_context(answering)
                async with asyncio.timeout(drain_ms / 1e3 or None):
                    await self._drain()
        except TimeoutError:
            self._log.write(_events.DRAIN_CUT_SHORT, drain_ms=drain_ms)
            await self._answer_late()
            self.components.planned_stop.is_over = True
            self.forward_receiver.abort()
            await self.caller_listener.kill()

    def _plan_stop(self, notice, drain):
        """Return the ``shutdown.StopWindow``; None without a time limit."""
        if not drain:
            return None
        accepts_until = self.clock.monotonic() + notice
        closes_at = accepts_until + drain
        delivery = min(shutdown.DELIVERY_TIME, drain / 2)
        return shutdown.StopWindow(
            accepts_until, closes_at - delivery, closes_at
        )

    async def _answer_in_time(self, window):
        """Respond to all requests before the stop ends."""
        await self.clock.sleep(window.answers_until - self.clock.monotonic())
        await self._end_requests()

    async def _answer_late(self):
        """Respond to requests that wait, as the process stood still."""
        give_up_at = self.clock.monotonic() + LATE_ANSWER_TIME
        if self.callers.has_unanswered():
            await self._end_requests()
        while self.callers.has_unanswered():
            if self.clock.monotonic() >= give_up_at:
                return
            await self.clock.sleep(LATE_ANSWER_POLL)

    async def _end_requests(self):
        """End all requests whose responses have not begun.

        Those that wait for admission are known not to have run.
        """
        components = self.components
        refusal = _planned_stop.build_refusal()
        components.admission_task.refuse_waiting(refusal)
        await self.clock.sleep(REFUSAL_TIME)
        components.planned_stop.end_requests()

    async def _drain(self):
        await self.caller_listener.stop()
        await self.runner.drain()
        await self.forward_receiver.drain()

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()
        self._log.write(_events.ENTRY_STOPPED)


def _unwrap_result(result):
    if result.is_error():
        raise result.error
    return result.ok
