"""An entry VM: its listeners, its tasks and its stop."""

import asyncio
import datetime

from buckthorntack import discovery
from buckthorntack import transport
from buckthorntack.gateway import _events
from buckthorntack.gateway import _following
from buckthorntack.gateway import _handling
from buckthorntack.gateway import _knowledge
from buckthorntack.gateway import _loops
from buckthorntack.gateway import _metrics
from buckthorntack.gateway import _node
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Pause between two reports of requests at servers: short against the time
#: that an engine works on one.
USE_PERIOD = 75 * _MS
#: Shortest such pause, when others should hear of a large prompt at once.
LEAST_USE_PAUSE = 4 * _MS
#: Pause between two reports of a region's load to other regions: some times
#: of the way there and back, which counts in any case.
REGION_PERIOD = 300 * _MS
EXPIRE_PERIOD = 250 * _MS
#: Silence after which the next entry VM speaks for the region: some reports.
SPEAKER_SILENCE_S = 1.0
#: Crashes told to others in one message; one crash notes all requests that
#: were running on the server.
MOST_CRASH_NOTICES = 64
#: Time after the signal to stop during which connections are still taken:
#: as long as callers use an answer of the directory that named this VM.
ACCEPT_TIME = 2000 * _MS
#: Time kept free at the end of the grace time.
STOP_MARGIN = 700 * _MS
STOP_POLL = 50 * _MS
#: Addresses in one answer of the directory.
MOST_ADDRESSES = 64


class EntryNode(_node.Node):
    """One entry VM.

    The handlers name ``readiness`` and ``directory``.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.knowledge = _knowledge.Knowledge(
            self.settings, self.dialect, self.registry, self.clock, self.rng
        )
        self.metrics = _metrics.EntryMetrics(self.metrics_registry)
        self.following = None
        self.front = None
        self.forward = None
        self._crash_notices = []
        #: Relay of reports of load that the log names last.
        self._relay = ""

    def _described(self):
        return {"callers": self.front.address}

    async def _start(self):
        settings = self.settings
        enter = self._stack.enter_async_context
        self._stack.enter_context(self.knowledge)
        self.links = await enter(
            transport.PlainLinks(
                settings.service_address,
                settings.bound(settings.link_address),
                self._deliver,
            )
        )
        self.following = _following.FollowingTask(
            settings,
            self.knowledge,
            self.links,
            self.timing,
            self.clock,
            self.rng,
        )
        self.knowledge.set_members()
        serving = _handling.Serving(
            self.knowledge, self.clock, self.metrics, self._tell_crash
        )
        limits = self.knowledge.limits
        self.forward = await self._listen(
            "forward",
            settings.forward_address,
            serving.handle_forwarded,
            limits,
        )
        self.front = await self._listen(
            "front", settings.service_address, serving.handle, limits
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
            self._expire,
            self._tell_use,
            self._tell_region_load,
        ):
            await enter(_loops.keep_running(work))

    def _deliver(self, sender, message):
        now_s = self.clock.monotonic().total_seconds()
        if isinstance(message, messages.UseReport):
            self.knowledge.exchange.on_report(sender, message, now_s)
            self.knowledge.tell_if_urgent()
        elif isinstance(message, messages.RegionLoad):
            self._take_region_load(sender, message, now_s)
        elif isinstance(message, messages.RegistryChanges):
            self.following.take_changes(sender, message)
        elif isinstance(message, messages.PresenceReply):
            self.following.take_reply(sender, message)
        elif isinstance(message, messages.DirectivesCopy):
            self.following.take_directives(sender, message)
        elif isinstance(message, messages.CrashNotices):
            for notice in message.notices:
                self.knowledge.crashes.record_crash(
                    notice.fingerprint, notice.attempt
                )

    def is_ready(self):
        """Whether new requests are welcome."""
        return self.following is not None and self.following.state == "ready"

    def directory(self, host, region, failure_domain):
        """Addresses of entry VMs for a caller.

        :param host: host that it wants to send requests to.
        :param region: the caller's region.
        :param failure_domain: the caller's failure domain.
        """
        own = self.settings.service_address
        nodes = [
            record
            for record in self.registry.nodes_with_role("entry")
            if record.node_id != own and not self._is_lost(record)
        ]
        if self.following.state == "ready":
            nodes.append(self.following.presence())
        homes = frozenset()
        if self.knowledge.table is not None:
            homes = self.knowledge.table.regions_of(host)
        return discovery.select_entry_addresses(
            nodes, region, failure_domain, homes, MOST_ADDRESSES, self.rng
        )

    def _is_lost(self, record):
        """Whether an entry VM of this region has stopped to report here."""
        if record.region != self.settings.region:
            return False
        heard_s = self.knowledge.exchange.last_heard_s(record.node_id)
        if heard_s is None:
            return False
        age_s = self.clock.monotonic().total_seconds() - heard_s
        return age_s > self.timing.control_silence_timeout.total_seconds()

    async def _expire(self):
        while True:
            await self.clock.sleep(EXPIRE_PERIOD)
            now_s = self.clock.monotonic().total_seconds()
            self.knowledge.fleet.expire_reports(now_s)
            self._send_crash_notices()
            self.knowledge.set_members()

    def _other_entries(self):
        """Records of the other entry VMs that are heard of."""
        own = self.settings.service_address
        return [
            record
            for record in self.registry.nodes_with_role("entry")
            if record.node_id != own and not record.silent
        ]

    def _region_peers(self):
        """Ids of the other entry VMs of this region."""
        return [
            record.node_id
            for record in self._other_entries()
            if record.region == self.settings.region
        ]

    async def _tell_use(self):
        exchange = self.knowledge.exchange
        while True:
            now_s = self.clock.monotonic().total_seconds()
            for node_id, report in exchange.take_due_reports(now_s):
                self.links.send(node_id, report)
            if exchange.relay != self._relay:
                self._note_relay(now_s)
            await self.clock.sleep(LEAST_USE_PAUSE)
            await self.knowledge.urgent_news(USE_PERIOD - LEAST_USE_PAUSE)

    def _note_relay(self, now_s):
        former, self._relay = self._relay, self.knowledge.exchange.relay
        heard_s = self.knowledge.exchange.last_heard_s(former)
        age_ms = None if heard_s is None else round((now_s - heard_s) * 1e3)
        self._log.write(
            _events.RELAY_CHANGED,
            relay=self._relay,
            former=former,
            former_age_ms=age_ms,
        )

    async def _tell_region_load(self):
        while True:
            await self.clock.sleep(REGION_PERIOD)
            if self._speaks_for_region():
                self._send_region_load()
            else:
                self.knowledge.fleet.take_shared_parts()

    def _speaks_for_region(self):
        """Whether this is the first of the region's entry VMs by id."""
        if not self.is_ready():
            return False
        own = self.settings.service_address
        return all(
            node_id > own or not self._heard(node_id)
            for node_id in self._region_peers()
        )

    def _heard(self, node_id):
        heard_s = self.knowledge.exchange.last_heard_s(node_id)
        now_s = self.clock.monotonic().total_seconds()
        return heard_s is not None and now_s - heard_s < SPEAKER_SILENCE_S

    def _send_region_load(self):
        region = self.settings.region
        servers = [
            messages.ServerUse(
                server_id, *self.knowledge.fleet.usage(server_id)
            )
            for server_id, view in self.registry.servers.items()
            if view.record.region == region and view.record.state == "ready"
        ]
        shared = self.knowledge.fleet.take_shared_parts()
        load = messages.RegionLoad(region, servers, shared)
        for other in sorted(set(self.settings.regions.values()) - {region}):
            entries = self.knowledge.entries_of(other)
            if entries:
                self.links.send(self.rng.choice(entries).node_id, load)

    def _take_region_load(self, sender, load, now_s):
        """Take the load of another region, and pass it on in this one.

        It crosses between regions once, to an entry VM drawn by lot.
        """
        self.knowledge.fleet.on_region_load(load, now_s)
        for node_id in self.knowledge.exchange.next_hops(sender, now_s):
            self.links.send(node_id, load)

    def _tell_crash(self, fingerprint, server_id, attempt):
        if len(self._crash_notices) < MOST_CRASH_NOTICES:
            notice = messages.CrashNotice(fingerprint, server_id, attempt)
            self._crash_notices.append(notice)

    def _send_crash_notices(self):
        """Tell all entry VMs of crashes, in one message for many of them."""
        if not self._crash_notices:
            return
        told = messages.CrashNotices(self._crash_notices)
        self._crash_notices = []
        for record in self._other_entries():
            self.links.send(record.node_id, told)

    def take_settings(self, settings):
        """Take settings that were read again.

        :param settings: ``NodeSettings``.
        """
        self.settings = settings
        for seed in settings.seeds:
            self.following.learn_seed(seed)

    async def stop(self):
        """Leave the directory, then finish all requests."""
        self.following.set_state("stopping")
        self._note(_events.NODE_STOPPING)
        self.front.begin_close()
        started = self.clock.monotonic()
        accept_until = started + min(ACCEPT_TIME, self.settings.grace / 2)
        end = started + self.settings.grace - STOP_MARGIN
        while self.clock.monotonic() < accept_until:
            await self.clock.sleep(STOP_POLL)
        self.front.stop_accepting()
        self.forward.stop_accepting()
        while self.clock.monotonic() < end:
            if not self.front.busy() and not self.forward.busy():
                break
            await self.clock.sleep(STOP_POLL)
        self.following.set_state("gone")
        await asyncio.sleep(0)
