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
    lost is not resumed.

    :param shared_state: the ``SharedState``.
    :param links: the ``transport.PlainLinks``.
    """

    def __init__(self, shared_state, links):
        self.settings = shared_state.settings
        self.registry = shared_state.registry
        self.clock = shared_state.clock
        self.links = links
        self.store = resumption.OriginStore(self.clock.monotonic())
        self._lookups = resumption.OriginLookups()
        self._futures = {}
        self._unsent = {}
        self._woken = asyncio.Event()
        self._log = events.EventLog("resumption")

    def record(self, request_id, origin):
        """Record where a stream of this entry VM begins.

        :param request_id: id of the client attempt.
        :param origin: its ``resumption.StreamOrigin``.
        """
        key = resumption.derive_key(request_id)
        _record(self.store, key, origin, self.clock.monotonic(), self._log)
        self._unsent[key] = origin
        self._woken.set()

    async def run(self):
        """Send new origins until cancelled."""
        while True:
            await self._woken.wait()
            self._woken.clear()
            unsent, self._unsent = self._unsent, {}
            groups = resumption.group_origins(unsent.items())
            for node_id in self._choose_holders():
                self.links.send(node_id, messages.StreamOrigins(groups))
            await self.clock.sleep(SEND_INTERVAL)

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
        key = resumption.derive_key(request_id)
        origin = self.store.find(key)
        if origin is None and request_id:
            origin = await self._ask(key)
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

    :param links: the ``transport.PlainLinks``.
    :param clock: source of time.
    """

    def __init__(self, links, clock):
        self.links = links
        self.clock = clock
        self.store = resumption.OriginStore(clock.monotonic())
        self._log = events.EventLog("resumption")

    def on_origins(self, message):
        """Keep the origins of new streams.

        :param message: ``StreamOrigins``.
        """
        now = self.clock.monotonic()
        for key, origin in resumption.ungroup_origins(message.groups):
            _record(self.store, key, origin, now, self._log)

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


def _record(store, key, origin, now, log):
    store.record(key, origin, now)
    cuts = store.take_cuts()
    if cuts:
        log.write(resumption.ORIGINS_CUT, generations=cuts)
