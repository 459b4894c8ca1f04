"""Brings one process up and down."""

import contextlib

import prometheus_client

from buckthorntack import control
from buckthorntack import entry
from buckthorntack import events
from buckthorntack import membership
from buckthorntack import security
from buckthorntack import transport
from buckthorntack.node import _metrics
from buckthorntack.schema import messages
from buckthorntack.transport import _events as link_events

LISTENERS = ("callers", "backends", "admin", "metrics")


class Node:
    """One process of the deployment.

    :param settings: settings, checked and with defaults.
    :param clock: source of time.
    :param rng: source of randomness.
    :param listeners: sockets bound already, by name; others are bound here.
    :param shaping: delays and losses imposed on links, for trials.
    :param make_router: makes another routing policy, for trials.
    """

    def __init__(
        self,
        settings,
        clock,
        rng,
        listeners=None,
        shaping=None,
        make_router=None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.listeners = dict(listeners or {})
        self.shaping = shaping
        self.make_router = make_router
        self.entry = None
        self.control = None
        self.links = None
        self.members = None
        self.monitor = None
        self.registry = prometheus_client.CollectorRegistry()
        self._log = events.EventLog("node")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _start(self):
        enter = self._stack.enter_async_context
        for name in LISTENERS:
            if name in self.settings and name not in self.listeners:
                address = self.settings[name]["listen_address"]
                self.listeners[name] = transport.bind_listener(address)
        self.links = await enter(self._make_links())
        self.members = await enter(self._make_members())
        if "control" in self.settings["roles"]:
            self.control = await enter(self._make_control())
        if "entry" in self.settings["roles"]:
            self.entry = await enter(self._make_entry())
        if "metrics" in self.settings:
            app = _metrics.MonitorApp(self.registry, self.is_ready)
            self.monitor = await enter(
                transport.HttpListener(app.asgi(), self.listeners["metrics"])
            )

    def _make_links(self):
        settings = self.settings
        keys = security.load_link_keys(settings["keys"]["link_keys_file"])
        if keys.is_error():
            raise keys.error
        addresses = {
            node["node_id"]: node["link_address"]
            for node in settings["nodes"]
            if node["node_id"] != settings["node_id"]
        }
        return transport.LinkTask(
            settings["node_id"],
            settings["links"]["listen_address"],
            keys.ok,
            addresses,
            self._deliver,
            self.clock,
            self.shaping,
            settings["links"]["queue_messages"],
        )

    def _make_members(self):
        settings = self.settings
        timing = membership.build_timing(settings)
        view = membership.MembershipView(
            self._own_record(), settings["nodes"], timing, self.rng
        )
        return membership.MembershipTask(view, self.links, self.clock, timing)

    def _own_record(self):
        settings = self.settings
        wall_ms = int(self.clock.wall().timestamp() * 1000)
        return messages.EntryRecord(
            node_id=settings["node_id"],
            incarnation=wall_ms,
            sequence=0,
            state="ready",
            region=settings["region"],
            failure_domain=settings["failure_domain"],
            caller_url=self._caller_url(),
            link_address=self._own_address(),
            revision=0,
            lease_ms=0,
            in_flight=0,
        )

    def _own_address(self):
        for node in self.settings["nodes"]:
            if node["node_id"] == self.settings["node_id"]:
                return node["link_address"]
        return self.links.address

    def _caller_url(self):
        if "entry" not in self.settings["roles"]:
            return ""
        document = self.settings["callers"]
        if "public_url" in document:
            return document["public_url"]
        scheme = "https" if "certificate_file" in document else "http"
        return transport.listener_url(self.listeners["callers"], scheme)

    def _make_control(self):
        return control.ControlRole(
            self.settings,
            self.links,
            self.listeners.get("admin"),
            self.clock,
            self.rng,
        )

    def _make_entry(self):
        return entry.EntryRole(
            self.settings,
            self.links,
            self.members,
            self.listeners,
            self.clock,
            self.rng,
            self.registry,
            self.make_router,
        )

    def _deliver(self, sender, message):
        for role in (self.control, self.entry):
            if role is not None and role.deliver(sender, message):
                return
        kind = type(message).__name__
        if kind in MEMBERSHIP_KINDS:
            self.members.deliver(sender, message)
        elif self.entry is not None or self.control is not None:
            self._log.write(
                link_events.MESSAGE_UNHANDLED, sender=sender, kind=kind
            )

    def is_ready(self):
        """Whether the node takes requests."""
        if self.entry is None:
            return True
        return self.entry.is_ready()

    async def stop(self):
        """Graceful shutdown: finish all requests, hand leadership on."""
        if self.entry is not None:
            await self.entry.stop()
        if self.control is not None:
            await self.control.stop()

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()


MEMBERSHIP_KINDS = frozenset(
    name
    for name in messages.__all__
    if name.startswith("Membership") or name == "DomainSummary"
)
