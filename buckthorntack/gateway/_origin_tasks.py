"""Origins of streams: sent to control VMs, kept there, and asked for."""

import asyncio
import datetime

from buckthorntack import events
from buckthorntack import resumption
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)
#: Delay between two messages with new origins; a few inter-domain round trips,
#: so that few origins are lost with an entry VM that is killed.
SEND_INTERVAL = 20 * _MS
#: Longest wait for the replies of control VMs; a few inter-region round trips.
LOOKUP_TIMEOUT = 500 * _MS
#: Period of dropping old origins at a control VM without new ones.
EXPIRE_PERIOD = 5000 * _MS


class OriginTask:
    """Origins of streams at an entry VM.

    An origin is recorded before the first event leaves, and sent to two
    control VMs at once.  Nothing waits for them: a stream whose origin is
    lost is not resumed.  This entry VM itself asks them too, as they refuse
    an origin by an old record of the server.

    :param shared_state: the ``SharedState``.
    :param links: the ``transport.PlainLinks``.
    """

    def __init__(self, shared_state, links):
        self.settings = shared_state.settings
        self.registry = shared_state.registry
        self.clock = shared_state.clock
        self.links = links
        self._lookups = resumption.OriginLookups()
        self._futures = {}
        self._unsent = {}
        self._woken = asyncio.Event()
        self._log = events.EventLog("resumption")

    def record(self, request_id, beginning):
        """Record where a stream of this entry VM begins.

        :param request_id: id of the client attempt.
        :param beginning: its ``resumption.Beginning``.
        """
        self._unsent[resumption.derive_key(request_id)] = beginning
        self._woken.set()

    async def run(self):
        """Send new origins until cancelled."""
        while True:
            await self._woken.wait()
            self._woken.clear()
            self._send()
            await self.clock.sleep(SEND_INTERVAL)

    def _send(self):
        unsent, self._unsent = self._unsent, {}
        if not unsent:
            return
        groups = resumption.group_beginnings(unsent.items())
        for node_id in self._choose_holders():
            self.links.send(node_id, messages.StreamOrigins(groups))

    def _choose_holders(self):
        settings = self.settings
        return resumption.choose_holders(
            self.registry.nodes_with_role("control"),
            settings.service_address,
            settings.region,
            settings.failure_domain,
        )

    async def find(self, request_id):
        """Find where a stream began.

        :param request_id: id of the client attempt that brought its first
            event.
        :returns: ``resumption.StreamOrigin``; None if it is not known.
        """
        origin = None
        if request_id:
            # A question must not overtake what it asks for.
            self._send()
            origin = await self._ask(resumption.derive_key(request_id))
        if origin is None:
            self._log.write(
                resumption.ORIGIN_UNKNOWN,
                resumes=request_id.decode("latin-1"),
            )
        return origin

    async def _ask(self, key):
        asked = [
            record.node_id
            for record in self.registry.nodes_with_role("control")
            if not record.silent
        ]
        query = messages.OriginQuery(key)
        reached = [
            node_id
            for node_id in asked or self.settings.seeds
            if self.links.send(node_id, query)
        ]
        if not reached:
            return None
        future = self._futures.get(key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._futures[key] = future
        self._lookups.begin(key, reached)
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT.total_seconds()):
                return await asyncio.shield(future)
        except TimeoutError:
            return None
        finally:
            if self._futures.get(key) is future:
                del self._futures[key]
                self._lookups.end(key)

    def on_reply(self, sender, reply):
        """Process the reply of a control VM.

        :param sender: its id.
        :param reply: ``OriginReply``.
        """
        answers = self._lookups.on_reply(
            sender,
            resumption.ungroup_origins(reply.groups),
            resumption.split_keys(reply.unknown),
        )
        for answer in answers:
            future = self._futures.get(answer.key)
            if future is not None and not future.done():
                future.set_result(answer.origin)


class OriginKeeper:
    """Origins of streams that entry VMs began, at a control VM.

    :param registry: the ``discovery.Registry``.
    :param links: the ``transport.PlainLinks``.
    :param clock: source of time.
    """

    def __init__(self, registry, links, clock):
        self.registry = registry
        self.links = links
        self.clock = clock
        self.store = resumption.OriginStore(clock.monotonic())
        self._log = events.EventLog("resumption")

    def on_origins(self, message):
        """Keep the origins of new streams.

        :param message: ``StreamOrigins``.
        """
        now = self.clock.monotonic()
        groups = [group for group in message.groups if self._believes(group)]
        for key, origin in resumption.ungroup_origins(groups):
            self.store.record(key, origin, now)
        cuts = self.store.take_cuts()
        if cuts:
            self._log.write(resumption.ORIGINS_CUT, generations=cuts)

    def _believes(self, group):
        view = self.registry.servers.get(group.server_id)
        born_ms = None if view is None else view.record.born_ms
        if resumption.is_credible(group, born_ms):
            return True
        self._log.write(
            resumption.ORIGIN_REFUSED,
            server=group.server_id,
            software_version=group.software_version,
            born_ms=group.born_ms,
            known_born_ms=born_ms,
            streams=len(resumption.split_keys(group.keys)),
        )
        return False

    def on_query(self, sender, query):
        """Answer where streams began.

        :param sender: id of the entry VM.
        :param query: ``OriginQuery``.
        """
        known, unknown = [], []
        for key in resumption.split_keys(query.keys):
            origin = self.store.find(key)
            if origin is None:
                unknown.append(key)
            else:
                known.append((key, origin))
        reply = messages.OriginReply(
            resumption.group_origins(known), b"".join(unknown)
        )
        self.links.send(sender, reply)

    async def run(self):
        """Drop old origins until cancelled."""
        while True:
            await self.clock.sleep(EXPIRE_PERIOD)
            self.store.expire(self.clock.monotonic())
