"""Start and stop of a node process."""

import contextlib

import prometheus_client

from buckthorntack import control
from buckthorntack import entry
from buckthorntack import events
from buckthorntack import membership
from buckthorntack import security
from buckthorntack import transport
from buckthorntack.node import _monitoring
from buckthorntack.schema import messages
from buckthorntack.transport import _events as link_events

LISTENER_NAMES = ("callers", "backends", "admin", "metrics")


class Node:
    """Process that runs an entry role, a control role or both.

    :param settings: validated settings, including defaults.
    :param clock: source of time.
    :param rng: source of randomness.
    :param listeners: bound sockets by listener name; the node binds the rest.
    :param shaping: simulated delays and losses of links, for tests.
    :param make_router: factory of another routing policy, for experiments.
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
        self.monitoring_listener = None
        self._is_started = False
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
        enter_async = self._stack.enter_async_context
        for name in LISTENER_NAMES:
            if name in self.settings and name not in self.listeners:
                address = self.settings[name]["listen_address"]
                self.listeners[name] = transport.bind_listener(address)
        self.links = await enter_async(self._create_links())
        self.members = await enter_async(self._create_membership())
        if "control" in self.settings["roles"]:
            self.control = await enter_async(self._create_control_role())
        if "entry" in self.settings["roles"]:
            self.entry = await enter_async(self._create_entry_role())
        if "metrics" in self.settings:
            app = _monitoring.MonitoringApp(self.registry, self.is_ready)
            self.monitoring_listener = await enter_async(
                transport.HttpListener(app.asgi(), self.listeners["metrics"])
            )
        self._is_started = True

    def _create_links(self):
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
            self._dispatch_message,
            self.clock,
            self.shaping,
            settings["links"]["queue_messages"],
        )

    def _create_membership(self):
        settings = self.settings
        timing = membership.build_timing(settings)
        view = membership.MembershipView(
            self._build_entry_record(), settings["nodes"], timing, self.rng
        )
        return membership.MembershipTask(view, self.links, self.clock, timing)

    def _build_entry_record(self):
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
            link_address=self._find_link_address(),
            revision=0,
            lease_ms=0,
            in_flight=0,
        )

    def _find_link_address(self):
        for node in self.settings["nodes"]:
            if node["node_id"] == self.settings["node_id"]:
                return node["link_address"]
        return self.links.address

    def _caller_url(self):
        if "entry" not in self.settings["roles"]:
            return ""
        caller_settings = self.settings["callers"]
        if "public_url" in caller_settings:
            return caller_settings["public_url"]
        scheme = "https" if "certificate_file" in caller_settings else "http"
        return transport.listener_url(self.listeners["callers"], scheme)

    def _create_control_role(self):
        return control.ControlRole(
            self.settings,
            self.links,
            self.listeners.get("admin"),
            self.clock,
            self.rng,
        )

    def _create_entry_role(self):
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

    def _dispatch_message(self, sender, message):
        for role in (self.control, self.entry):
            if role is not None and role.deliver(sender, message):
                return
        kind = type(message).__name__
        if kind in MEMBERSHIP_MESSAGE_TYPES:
            self.members.deliver(sender, message)
        elif self._is_started:
            self._log.write(
                link_events.MESSAGE_UNHANDLED, sender=sender, kind=kind
            )

    def is_ready(self):
        """Return whether the node accepts requests."""
        if self.entry is None:
            return True
        return self.entry.is_ready()

    async def stop(self):
        """Shut down gracefully: finish requests, then transfer leadership."""
        if self.entry is not None:
            await self.entry.stop()
        if self.control is not None:
            await self.control.stop()

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()


MEMBERSHIP_MESSAGE_TYPES = frozenset(
    name
    for name in messages.__all__
    if name.startswith("Membership") or name == "DomainSummary"
)
