"""The entry role: owns the tasks and listeners of an entry VM."""

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
from buckthorntack import tasks
from buckthorntack import transport
from buckthorntack.entry import _accepting
from buckthorntack.entry import _admitting
from buckthorntack.entry import _attempt
from buckthorntack.entry import _backends
from buckthorntack.entry import _callers
from buckthorntack.entry import _events
from buckthorntack.entry import _forwarding
from buckthorntack.entry import _metrics
from buckthorntack.entry import _once
from buckthorntack.entry import _parts
from buckthorntack.entry import _runner
from buckthorntack.entry import _watching
from buckthorntack.schema import messages

#: Requests admitted for each slot: engines queue a little themselves.
ADMITTED_PER_SLOT = 2.0
ORDER_SECONDS = 2.0
CAPACITY_PERIOD = datetime.timedelta(milliseconds=250)
TO_FORWARDING = (
    messages.ForwardHead,
    messages.ForwardChunk,
    messages.ForwardEnd,
    messages.ForwardAlive,
)
TO_ACCEPTING = (
    messages.ForwardRequest,
    messages.ForwardBody,
    messages.ForwardCancel,
    messages.ForwardCredit,
)
TO_FOLLOWER = (
    messages.ConfigurationPoll,
    messages.ConfigurationPresent,
    messages.ConfigurationDeltas,
    messages.ConfigurationChunkRequest,
    messages.ConfigurationChunk,
)
TO_LEDGER = (messages.LedgerReply, messages.LedgerProbe)


class EntryRole:
    """Serves callers and backend servers on one VM.

    :param settings: settings of the process, with defaults.
    :param links: ``LinkTask`` of the process.
    :param members: ``MembershipTask`` of the process.
    :param listeners: bound sockets by name: callers, backends.
    :param clock: source of time.
    :param rng: source of randomness.
    :param registry: where metrics are registered.
    :param make_router: makes the routing policy of a region, failure domain
        and source of randomness; the ``Router`` if ``None``.
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
        self.make_router = make_router or _make_router
        self.parts = _parts.EntryParts(settings, links, clock, rng)
        self.callers = None
        self.backends = None
        self.issuer = None
        self._services_seen = set()
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

    async def _start(self):
        settings, parts = self.settings, self.parts
        progress = datetime.timedelta(
            milliseconds=settings["timing"]["progress_ms"]
        )
        lease_ms = settings["timing"]["server_lease_ms"]
        parts.settled_at = self.clock.monotonic() + datetime.timedelta(
            milliseconds=lease_ms
        )
        parts.members = self.members
        parts.metrics = _metrics.EntryMetrics(self.registry)
        parts.metrics.watch(
            "callers_requests_in_progress",
            "Callers' requests in progress.",
            lambda: self.callers.in_progress if self.callers else 0,
        )
        parts.metrics.watch(
            "backend_servers",
            "Live backend servers of this region.",
            lambda: len(self.members.servers()),
        )
        parts.metrics.watch(
            "configuration_revision",
            "Revision of the configuration in force; -1 if there is none.",
            self._revision,
        )
        parts.metrics.watch(
            "link_bytes_sent",
            "Bytes sent to other nodes since the start.",
            lambda: self.links.sent_bytes,
        )
        parts.metrics.watch(
            "link_messages_dropped",
            "Messages to other nodes dropped for want of a link.",
            lambda: self.links.dropped_messages,
        )
        parts.signer = _loaded(
            security.load_attempt_signer(settings["keys"]["token_key_file"])
        )
        self._make_decisions()
        enter = self._stack.enter_async_context
        parts.configuration = await enter(self._follower())
        parts.configuration.add_listener(self._configured)
        parts.attempts = await enter(
            _attempt.AttemptClient(self.clock, progress)
        )
        client = await enter(self._ledger_client())
        parts.once = _once.Once(client, parts.attempts, parts.locate)
        self.ledger_client = client
        parts.admitting = await enter(self._admitting())
        parts.watching = await enter(self._watching())
        parts.forwarding = _forwarding.ForwardingTask(
            parts.region, self.links, self.clock, progress
        )
        self.runner = _runner.Runner(parts)
        self.accepting = await enter(
            _accepting.AcceptingTask(parts, self.runner, progress)
        )
        self._listen_to_members()
        await self._start_issuer(enter)
        await self._stack.enter_async_context(
            tasks.running(self._keep_capacity())
        )
        await self._serve(enter)

    def _revision(self):
        current = self.parts.configuration.current()
        return -1 if current is None else current.revision

    def _make_decisions(self):
        parts = self.parts
        parts.router = self.make_router(
            parts.region, parts.failure_domain, self.rng
        )
        retry_settings = retries.RetrySettings()
        self._limiter = retries.AttemptLimiter(
            self.settings["node_id"], retry_settings
        )
        parts.retry_policy = retries.RetryPolicy(
            retry_settings, self.rng, self._limiter
        )

    def _follower(self):
        settings = self.settings
        return configuration.ConfigurationFollowerTask(
            settings["node_id"],
            settings["region"],
            settings["failure_domain"],
            f"{settings['data_folder']}/entry/configuration",
            settings["control"],
            self._peers,
            self.links,
            self.clock,
            self.rng,
        )

    def _peers(self):
        domain = self.settings["failure_domain"]
        entries = self.members.entries_of(self.settings["region"])
        return [
            record.node_id
            for record in entries
            if record.failure_domain == domain
        ]

    def _ledger_client(self):
        return ledger.LedgerClientTask(
            self.settings["node_id"],
            self.settings["ledger_homes"],
            self.links,
            self.clock,
            self.rng,
        )

    def _admitting(self):
        limits = self.settings["limits"]
        controller = admission.AdmissionController(
            self.settings["node_id"],
            self.members.view.own.incarnation,
            admission.AdmissionSettings(
                queue_requests=limits["queue_requests"]
            ),
            self.rng,
        )
        return _admitting.AdmittingTask(
            controller, self._quota_peers, self.links, self.clock
        )

    def _quota_peers(self):
        """Entry VMs of all regions that quotas are shared with."""
        regions = {self.parts.region}
        regions |= {summary.region for summary in self.members.summaries()}
        own = self.settings["node_id"]
        return [
            record.node_id
            for region in sorted(regions)
            for record in self.members.entries_of(region)
            if record.node_id != own
        ]

    def _watching(self):
        quarantine = retries.Quarantine(
            self.settings["node_id"], retries.QuarantineSettings()
        )
        return _watching.WatchingTask(
            quarantine, self._limiter, self.members, self.clock
        )

    async def _serve(self, enter):
        limits = self.settings["limits"]
        self.callers = _callers.CallersApp(self.parts, self.runner, limits)
        self.backends = _backends.BackendsApp(self.parts)
        self.backend_listener = await enter(
            self._listener("backends", self.backends.asgi())
        )
        self.caller_listener = await enter(
            self._listener("callers", self.callers.asgi())
        )

    def _listener(self, name, app):
        document = self.settings[name]
        return transport.HttpListener(
            app,
            self.listeners[name],
            document.get("certificate_file"),
            document.get("private_key_file"),
        )

    async def _start_issuer(self, enter):
        """Issue engine orders, if the settings name a weight store."""
        client = await enter(httpx.AsyncClient(timeout=ORDER_SECONDS))
        issuer = placement.build_placement_task(
            self.settings,
            self.members.view.own.incarnation,
            self.links,
            client,
            self.clock,
            self.members,
            self.parts.configuration.current,
            dict,
        )
        if issuer is not None:
            self.issuer = await enter(issuer)

    def _listen_to_members(self):
        now = self.clock.monotonic()
        for node in self.settings["nodes"]:
            if "entry" in node["roles"]:
                self._roster.record_member(node["node_id"], now)
        listen = self.members.listen
        listen(membership.ServerChanged, self._server_changed)
        listen(membership.ServerRemoved, self._server_removed)
        listen(membership.EntryChanged, self._entry_changed)
        listen(membership.EntryRemoved, self._entry_removed)
        listen(membership.ItemChanged, self._item_changed)
        listen(membership.SummaryChanged, self._summary_changed)
        for record in self.members.servers():
            self._take_server(record)
        for summary in self.members.summaries():
            self._take_summary(summary)

    def _server_changed(self, change):
        self._take_server(change.record)

    def _take_server(self, record):
        self.parts.servers[record.server_id] = record
        if record.server_id in self._drained():
            record = record._replace(state="draining")
        self.parts.router.update_server(record, self.clock.monotonic())

    def _drained(self):
        """Engines that get no new work until they have carried out orders."""
        items = self.members.items(placement.DRAIN_KIND)
        return placement.drained_servers(items) if items else ()

    def _server_removed(self, change):
        self.parts.router.remove_server(
            change.server_id, self.clock.monotonic()
        )

    def _entry_removed(self, change):
        if change.record.state == "stopped":
            self._roster.remove(change.record.node_id)

    def _item_changed(self, change):
        if change.item.kind == placement.DRAIN_KIND:
            for record in self.members.servers():
                self._take_server(record)

    def _entry_changed(self, change):
        self._roster.record_member(
            change.record.node_id, self.clock.monotonic()
        )
        self.links.learn(change.record.node_id, change.record.link_address)

    def _summary_changed(self, change):
        self._take_summary(change.summary)

    def _take_summary(self, summary):
        for record in summary.entries:
            self._roster.record_member(record.node_id, self.clock.monotonic())
            self.links.learn(record.node_id, record.link_address)
            self.links.connect(record.node_id)
        self.parts.router.update_summary(summary, self.clock.monotonic())

    def _configured(self, published):
        self.members.set_revision(published.revision)
        for named in published.named_objects():
            self._take_object(named["kind"], named["object"], published)

    def _take_object(self, kind, document, published):
        if kind == "Service":
            name = document["name"]
            self.parts.router.set_terms(name, published.terms(name))
        elif kind == "BackendServerPool":
            self.parts.router.set_pool_cost(
                document["name"], document["cost_per_hour"]
            )

    async def _keep_capacity(self):
        while True:
            self._set_capacity()
            await self.clock.sleep(CAPACITY_PERIOD)

    def _set_capacity(self):
        """Share the slots known here among the region's entry VMs."""
        slots = {}
        for record in self.members.servers():
            slots[record.service] = slots.get(record.service, 0) + record.slots
        for summary in self.members.summaries():
            if summary.region != self.parts.region:
                for service in summary.services:
                    free = max(0, service.slots - service.running)
                    name = service.service
                    slots[name] = slots.get(name, 0) + free
        sharing = max(1, len(self.members.entries_of(self.parts.region)))
        self.parts.slots = slots
        gone = self._services_seen - slots.keys()
        self._services_seen |= slots.keys()
        for service in gone:
            self.parts.admitting.set_capacity(service, 0)
        for service, total in slots.items():
            share = int(total * ADMITTED_PER_SLOT / sharing) + 1
            self.parts.admitting.set_capacity(service, share)
        count = self._roster.count(self.clock.monotonic())
        self.parts.admitting.controller.set_entry_count(count)

    def deliver(self, sender, message):
        """Take a message for this role.

        :param sender: node that sent it.
        :param message: the message.
        :returns: whether the role handles this kind of message.
        """
        if isinstance(message, TO_FORWARDING):
            self.parts.forwarding.deliver(sender, message)
        elif isinstance(message, TO_ACCEPTING):
            self.accepting.deliver(message, sender)
        elif isinstance(message, TO_FOLLOWER):
            self.parts.configuration.deliver(sender, message)
        elif isinstance(message, TO_LEDGER):
            self.ledger_client.deliver(sender, message)
        elif isinstance(message, messages.LeaseGrant):
            if self.issuer is not None:
                self.issuer.deliver(sender, message)
        elif isinstance(message, messages.UsageReport):
            self.parts.admitting.deliver(sender, message)
        else:
            return False
        return True

    def is_ready(self):
        """Whether new requests are welcome."""
        return not self._stopping and (
            self.parts.configuration.current() is not None
        )

    async def stop(self):
        """Leave callers' lists, then finish all requests."""
        self._stopping = True
        self._log.write(_events.ENTRY_STOPPING)
        self.members.set_entry_state("stopping")
        notice_ms = self.settings["timing"]["stop_notice_ms"]
        await self.clock.sleep(datetime.timedelta(milliseconds=notice_ms))
        drain_ms = self.settings["timing"]["drain_ms"]
        try:
            async with asyncio.timeout(drain_ms / 1e3 or None):
                await self._drain()
        except TimeoutError:
            self._log.write(_events.DRAIN_CUT_SHORT, drain_ms=drain_ms)
            await self.caller_listener.kill()

    async def _drain(self):
        await self.caller_listener.stop()
        await self.runner.drain()
        await self.accepting.drain()

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()
        self._log.write(_events.ENTRY_STOPPED)


def _make_router(region, failure_domain, rng):
    settings = routing.RouterSettings()
    return routing.Router(region, failure_domain, settings, rng)


def _loaded(result):
    if result.is_error():
        raise result.error
    return result.ok
