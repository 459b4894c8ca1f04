"""Probes of servers that cannot be reached, and checks of lost links."""

import asyncio
import contextlib
import datetime

from buckthorntack import events
from buckthorntack import http1
from buckthorntack.gateway import _events

_MS = datetime.timedelta(milliseconds=1)
#: Period of the search for due probes while connects fail.
PROBE_CHECK_PERIOD = 100 * _MS
#: Servers that are connected to at once to tell a lost link from a crash.
CHECKED_SERVERS = 4
#: Time for which the result of such a check stands for other requests.
CHECK_VALIDITY = 250 * _MS
#: Time for which a check of a silent server stands for other requests.
SILENCE_VALIDITY = 2000 * _MS
#: Longest time of such a check; connects within a region take a few
#: milliseconds.  The quarantine gathers the records of a crash for twice as
#: long before it draws conclusions from them.
MAX_CHECK_TIME = 50 * _MS


class ReachabilityTask:
    """Connects to servers on behalf of all requests of an entry VM.

    :param shared_state: the ``SharedState``.
    :param on_services_changed: called with the names of the services of the
        region that cannot be reached, when they change.
    """

    def __init__(self, shared_state, on_services_changed):
        self.shared_state = shared_state
        self.reachability = shared_state.dispatcher.reachability
        self.clock = shared_state.clock
        self.on_services_changed = on_services_changed
        self._services = []
        self._probes = set()
        #: Times of the last checks of silent servers.
        self._silent_servers = {}
        self._check = None
        self._checked_at = None
        self._log = events.EventLog("gateway")

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        probes = list(self._probes)
        for task in probes:
            task.cancel()
        for task in probes:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def run(self):
        """Probe servers until cancelled."""
        while True:
            self._update_services()
            if not self.reachability.has_suspects:
                await self.shared_state.wait_until_unreachable()
            for server_id in self.reachability.take_due_probes(self._now_s()):
                self._start(self._probe(server_id))
            await self.clock.sleep(PROBE_CHECK_PERIOD)

    def _now_s(self):
        return self.clock.monotonic().total_seconds()

    def _start(self, work):
        task = asyncio.create_task(work)
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)
        return task

    async def _probe(self, server_id):
        """Open a connection to a server; return whether that succeeds."""
        view = self.shared_state.registry.servers.get(server_id)
        if view is None:
            self.reachability.remove_server(server_id)
            return False
        try:
            connection = await self.shared_state.open_connection(
                server_id, view.record.address
            )
        except http1.ConnectError:
            return False
        self.shared_state.pool.release(server_id, connection)
        self._update_services()
        return True

    def is_unreachable(self, server_id):
        """Whether connects to a server fail.

        :param server_id: the server.
        """
        return self.reachability.is_unreachable(server_id)

    def check_silent_server(self, server_id):
        """Connect to a server that a request waits for, unless one did lately.

        :param server_id: the server.
        """
        now = self.clock.monotonic()
        checked_at = self._silent_servers.get(server_id)
        if checked_at is not None and now - checked_at < SILENCE_VALIDITY:
            return
        self._silent_servers = {
            name: at
            for name, at in self._silent_servers.items()
            if now - at < SILENCE_VALIDITY
        }
        self._silent_servers[server_id] = now
        self._start(self._probe(server_id))

    def _update_services(self):
        services = self.shared_state.list_unreachable_services()
        if services == self._services:
            return
        self._services = services
        self._log.write(
            _events.SERVICES_UNREACHABLE,
            services=",".join(services),
            servers=",".join(sorted(self.reachability.list_unreachable())),
        )
        self.on_services_changed(services)

    async def call_unless_cut_off(self, server_id, callback):
        """Call a function once it is known that another server is reachable.

        A crash of one server does not end the links to the others.  Without
        another server that is announced nothing is known, and the function
        is called.  It is called although the caller is cancelled.

        :param server_id: the server whose connection broke.
        :param callback: function without arguments.
        """
        check = self._start_check(server_id)
        if check is None:
            callback()
            return
        await asyncio.shield(self._start(self._call_if(check, callback)))

    async def _call_if(self, check, callback):
        if await asyncio.shield(check):
            callback()

    def _start_check(self, server_id):
        """Return a task whose result is whether another server is reached."""
        now = self.clock.monotonic()
        if self._check is not None and (
            not self._check.done() or now - self._checked_at < CHECK_VALIDITY
        ):
            return self._check
        others = self.shared_state.list_region_servers()
        others = [name for name in others if name != server_id]
        if not others:
            return None
        self.shared_state.rng.shuffle(others)
        others.sort(key=self.reachability.is_suspect)
        chosen = others[:CHECKED_SERVERS]
        self._checked_at = now
        self._check = self._start(self._reach_any(chosen))
        return self._check

    async def _reach_any(self, server_ids):
        probes = [self._start(self._probe(name)) for name in server_ids]
        timeout_s = MAX_CHECK_TIME.total_seconds()
        try:
            for probe in asyncio.as_completed(probes, timeout=timeout_s):
                if await probe:
                    return True
        except TimeoutError:
            self._log.write(
                _events.LINK_CHECK_EXPIRED, servers=",".join(server_ids)
            )
        return False
