"""Probes of servers that cannot be reached, and checks of lost links.

Servers that may have started again are asked for how long they are cold.
"""

import asyncio
import contextlib
import datetime
import functools

from buckthorntack import events
from buckthorntack import http1
from buckthorntack.gateway import _events
from buckthorntack.gateway import _server_calls
from buckthorntack.gateway import _shared_state

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
#: Longest wait for the answer of a server to the question how long it is
#: cold; it may wait behind requests.
ANSWER_TIMEOUT = 1000 * _MS


#: Failures that need a packet from the machine of the server, so that the link
#: of this one is not lost.
_SEEN_FROM_SERVER = (
    _shared_state.ConnectionFailure.REFUSED,
    _shared_state.ConnectionFailure.IDLE,
)


class ReachabilityTask:
    """Connects to servers on behalf of all requests of an entry VM.

    :param shared_state: the ``SharedState``.
    :param on_services_changed: called with the names of the services of the
        region that cannot be reached, when they change.
    """

    def __init__(self, shared_state, on_services_changed):
        self.shared_state = shared_state
        self.reachability = shared_state.dispatcher.reachability
        self.restarts = shared_state.fleet.restarts
        self.clock = shared_state.clock
        self.on_services_changed = on_services_changed
        self._services = []
        self._probes = set()
        #: Times of the last checks of silent servers.
        self._silent_servers = {}
        self._check = None
        self._checked_at = None
        self._log = events.EventLog("gateway")
        shared_state.on_restart_suspected = self._on_restart_suspected
        shared_state.pool.on_early_close = self._on_early_close

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
            if not self.reachability.has_suspects and not (
                self.restarts.has_suspects(self._now_s())
            ):
                await self.shared_state.wait_until_unreachable()
            self.start_due_checks()
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
        connection = await self._connect(server_id)
        if connection is None:
            return False
        self.shared_state.pool.release(server_id, connection)
        self._update_services()
        return True

    async def _connect(self, server_id):
        """Return a new connection to a server; None if that fails."""
        view = self.shared_state.registry.servers.get(server_id)
        if view is None:
            self.reachability.remove_server(server_id)
            return None
        try:
            return await self.shared_state.open_connection(
                server_id, view.record.address
            )
        except http1.ConnectError:
            return None

    def on_connection_lost(self, server_id):
        """Suspect that a server has started again, as a connection broke.

        :param server_id: the server.
        """
        self.shared_state.on_server_failure(
            server_id, _shared_state.ConnectionFailure.BROKEN
        )

    def _on_restart_suspected(self, server_id, failure, is_mild):
        """Tell other entry VMs, unless only a link of this one may be lost.

        After a connection broke, another one shows whether the server is away;
        if it is not, others may have to ask it.
        """
        if is_mild:
            self._start(self._look_again(server_id))
            self.start_due_checks()
            return
        tell = functools.partial(self.shared_state.tell_restart, server_id)
        if failure in _SEEN_FROM_SERVER:
            tell()
        else:
            self._start(self.call_unless_cut_off(server_id, tell))
        self.start_due_checks()

    async def _look_again(self, server_id):
        if await self._probe(server_id):
            self.shared_state.tell_restart(server_id)

    def wake(self):
        """Check what other entry VMs have told of servers."""
        self.shared_state.wake_on_suspects()
        self.start_due_checks()

    def start_due_checks(self):
        """Ask the servers that may have started again, as far as due."""
        for check in self.restarts.take_due_checks(
            self._may_ask, self._now_s()
        ):
            self._start(self._check_restart(check))

    def _may_ask(self, server_id):
        service = self.shared_state.find_service_of(server_id)
        if service is None or service.warmup_per_s <= 0:
            return None
        return self.shared_state.rates.may_ask(
            server_id, service.warmup_per_s, self._now_s()
        )

    async def _check_restart(self, check):
        """Ask a server that may have started again."""
        server_id = check.server_id
        service = self.shared_state.find_service_of(server_id)
        if service is None:
            return
        if service.warmup_per_s <= 0:
            self.restarts.remove_server(server_id)
            return
        record = self.shared_state.registry.servers[server_id].record
        if record.state != "ready":
            return
        connection = await self._connect(server_id)
        if connection is not None:
            try:
                await self._ask_if_due(check, connection, service, record)
            finally:
                self.shared_state.pool.release(server_id, connection)
        self._update_services()

    async def _ask_if_due(self, check, connection, service, record):
        if not check.asks or not self.restarts.is_in_question(
            check.server_id, self._now_s()
        ):
            return
        cold_left_s = None
        if service.health_path:
            cold_left_s = await self._ask(connection, service, record)
        self.shared_state.on_restart_answer(check, cold_left_s)

    def _on_early_close(self, server_id, idle_s):
        """Suspect a server that closed an idle connection.

        It may have started again at once, so that nobody was refused.
        """
        if self.restarts.is_unusual_close(server_id, idle_s):
            self.shared_state.on_server_failure(
                server_id, _shared_state.ConnectionFailure.IDLE, idle_s
            )
        else:
            self._log.write(
                _events.USUAL_IDLE_CLOSE,
                server=server_id,
                idle_ms=round(idle_s * 1e3),
            )

    async def _ask(self, connection, service, record):
        """Return how long a server says that it is cold; None if not."""
        dialect = self.shared_state.dialect
        now_s = self._now_s()
        self.shared_state.dispatcher.on_server_asked(record, service, now_s)
        headers = dialect.build_health_headers(
            record.address, ANSWER_TIMEOUT // _MS
        )
        path = service.health_path.encode()
        try:
            head, _ = await _server_calls.get(
                connection, path, headers, ANSWER_TIMEOUT
            )
        except (TimeoutError, http1.IncompleteResponseError) as error:
            self._log.write(
                _events.RESTART_UNANSWERED,
                server=record.server_id,
                error=repr(error),
            )
            return None
        cold_left_s = dialect.parse_health(head, record.server_id)
        if cold_left_s is None:
            self._log.write(
                _events.RESTART_UNANSWERED,
                server=record.server_id,
                error=f"status {head.status} without a warm-up",
            )
        return cold_left_s

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
