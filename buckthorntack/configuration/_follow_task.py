"""Asyncio task that runs the configuration follower on an entry VM."""

import asyncio
import contextlib
import datetime
import functools

import expression
import msgspec

from buckthorntack import clock as clocks
from buckthorntack import events
from buckthorntack import schema
from buckthorntack import tasks
from buckthorntack.configuration import _commands
from buckthorntack.configuration import _copy_store
from buckthorntack.configuration import _errors
from buckthorntack.configuration import _events
from buckthorntack.configuration import _follower
from buckthorntack.configuration import _log
from buckthorntack.configuration import _source
from buckthorntack.configuration import _times
from buckthorntack.schema import messages

#: Interval of the periodic loop.
TICK = datetime.timedelta(milliseconds=100)
#: Delay before a failed write is retried.
WRITE_RETRY_INTERVAL = datetime.timedelta(seconds=1)

_LOG = events.EventLog("configuration")
#: Errors of a sound copy whose contents this build does not know.
_UNREADABLE = (
    schema.MalformedMessageError,
    msgspec.MsgspecError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
#: Messages of other entry VMs that the source of this node handles.
_SERVED_TO_PEERS = (messages.ConfigurationPoll,)


class ConfigurationFollowerTask:
    """Keeps the published set that is active on this node.

    :param node_id: this node.
    :param region: its region.
    :param failure_domain: its failure domain.
    :param folder: folder of the durable copy, or ``None`` without a disk.
    :param sources: node ids of control VMs.
    :param peers: function that returns the entry VMs of the failure domain.
    :param sender: sends messages.
    :param clock: the clock.
    :param rng: random source.
    """

    def __init__(
        self,
        node_id,
        region,
        failure_domain,
        folder,
        sources,
        peers,
        sender,
        clock,
        rng,
    ):
        self.node_id = node_id
        self.peers = peers
        self.sender = sender
        self.clock = clock
        self.folder = folder
        self._make_follower = functools.partial(
            _follower.ConfigurationFollower,
            region,
            failure_domain,
            sources,
            rng,
            registration=_times.wall_time_ms(clock),
        )
        self._set_follower(self._make_follower())
        self._current = None
        self._listeners = []
        self._waiters = []
        self._queued_writes = asyncio.Queue()
        self._stack = contextlib.AsyncExitStack()
        self._store = None

    async def __aenter__(self):
        if self.folder is not None:
            store = _copy_store.CopyStore(self.folder)
            self._store = self._stack.enter_context(store)
            self._restore(self._store.load())
        for work in (self._run_ticks(), self._run_writes()):
            await self._stack.enter_async_context(tasks.running(work))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def _restore(self, stored):
        if stored is None:
            return
        follower = self._make_follower()
        try:
            follower.restore(*stored)
        except _UNREADABLE as error:
            _copy_store.log_unreadable(self.folder, repr(error))
            self._store.discard()
            return
        self._set_follower(follower)
        self._current = self.follower.log.published

    def _set_follower(self, follower):
        self.follower = follower
        self.source = _source.ConfigurationSource(follower.log)

    def current(self):
        """Return the active published set, or ``None`` if there is none yet.

        There is none before a control VM has registered this node, because a
        change that takes an organisation out of a region waits only for
        registered entry VMs.
        """
        return self._current if self.follower.registered else None

    def add_listener(self, listener):
        """Call a function with each new active set.

        :param listener: called with the set; must not block.
        """
        self._listeners.append(listener)

    def deliver(self, sender, message):
        """Handle a message of the configuration schema.

        :param sender: authenticated node that sent it.
        :param message: the message.
        """
        now = self.clock.monotonic()
        if isinstance(message, _SERVED_TO_PEERS):
            self._execute_all(self.source.receive(sender, message, now))
        else:
            self._execute_all(self.follower.receive(sender, message, now))

    async def wait_for(self, revision, within):
        """Wait until a revision or a later one is active.

        :param revision: the revision.
        :param within: timeout.
        :returns: ``Result`` of the published set.
        """
        reached = asyncio.get_running_loop().create_future()
        self._waiters.append((revision, reached))
        self._resolve_waiters()
        if not reached.done():
            now = self.clock.monotonic()
            self._execute_all(
                self.follower.poll_immediately(now, self._list_peers())
            )
        if await clocks.completes(reached, self.clock, within):
            return expression.Ok(self.current())
        self._waiters.remove((revision, reached))
        active_revision = self.follower.active_revision
        detail = f"revision {revision} requested, {active_revision} active"
        return expression.Error(_errors.RevisionNotReachedError(detail))

    def _resolve_waiters(self):
        current = self.current()
        active_revision = -1 if current is None else current.revision
        for entry in list(self._waiters):
            revision, reached = entry
            if revision <= active_revision:
                self._waiters.remove(entry)
                reached.done() or reached.set_result(None)

    def _list_peers(self):
        return [one for one in self.peers() if one != self.node_id]

    async def _run_ticks(self):
        while True:
            now = self.clock.monotonic()
            self._execute_all(self.follower.tick(now, self._list_peers()))
            await self.clock.sleep(TICK)

    def _execute_all(self, commands):
        for command in commands:
            self._execute(command)

    @functools.singledispatchmethod
    def _execute(self, command):
        raise TypeError(f"{type(command).__name__} is not a command")

    @_execute.register
    def _send(self, command: _commands.Send):
        self.sender.send(command.to, command.message)

    @_execute.register
    def _queue_activation(self, command: _commands.Activate):
        self._queued_writes.put_nowait(command)

    @_execute.register
    def _queue_registration(self, command: _commands.StoreRegistration):
        self._queued_writes.put_nowait(command)

    async def _run_writes(self):
        while True:
            command = await self._queued_writes.get()
            await self._write_until_done(command)
            if isinstance(command, _commands.Activate):
                self._activate(command.published)
            else:
                self._notify_listeners()

    async def _write_until_done(self, command):
        while self._store is not None:
            try:
                await asyncio.to_thread(self._write, command)
                return
            except OSError as error:
                _LOG.write(_events.COPY_NOT_WRITTEN, error=error)
                await self.clock.sleep(WRITE_RETRY_INTERVAL)

    def _write(self, command):
        if isinstance(command, _commands.StoreRegistration):
            self._store.write_registration(True, self.follower.registration)
        elif command.copy:
            self._store.write_copy(command.copy)
        elif self._store.should_write_copy():
            copy = _log.encode_copy(command.published, command.digest)
            self._store.write_copy(copy)
        else:
            self._store.append(command.delta)

    def _activate(self, published):
        self._current = published
        now = self.clock.monotonic()
        revision = published.revision
        self._execute_all(self.follower.on_activated(revision, now))
        self._execute_all(self.source.push_new_deltas(now))
        _LOG.write(_events.REVISION_ACTIVATED, revision=revision)
        self._notify_listeners()

    def _notify_listeners(self):
        current = self.current()
        if current is None:
            return
        for listener in self._listeners:
            listener(current)
        self._resolve_waiters()

    async def deregister(self):
        """Deregister this node, durably and at its control VM.

        Must be called only after this node has stopped serving requests.
        """
        self.follower.registered = False
        if self._store is not None:
            await asyncio.to_thread(
                self._store.write_registration,
                False,
                self.follower.registration,
            )
        follower = self.follower
        message = messages.ConfigurationLeave(
            follower.region, follower.failure_domain, follower.registration
        )
        if follower.source is not None:
            self.sender.send(follower.source, message)
