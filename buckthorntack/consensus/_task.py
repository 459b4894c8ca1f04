"""The task that owns one replica: its folder, its decisions, its callers."""

import asyncio
import functools

from expression import Error
from expression import Ok
import xxhash

from buckthorntack import events
from buckthorntack import storage
from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _errors
from buckthorntack.consensus import _events
from buckthorntack.consensus import _inputs as inputs
from buckthorntack.consensus import _proposals
from buckthorntack.consensus import _replica
from buckthorntack.consensus import _timing
from buckthorntack.consensus import _waiters

_DURABLE = (
    commands.PersistHardState,
    commands.PersistEntries,
    commands.RestoreSnapshot,
)


class ReplicaTask:
    """One replica of a group; an asynchronous context manager.

    All that is queued while the disk is busy is handled together, with one
    sync.  After a failure of the disk the replica stops before it sends or
    tells anything more.

    :param group: id of the group.
    :param node_id: this replica's node.
    :param initial_voters: voters of the group when it is first started; empty
        for a replica that joins as a learner.
    :param folder: data folder of this replica of this group alone.
    :param state_machine: replicated state, empty.
    :param sender: sends messages to other nodes.
    :param clock: source of time.
    :param rng: source of randomness, seeded anew for each run.
    :param timing: times and limits.
    :param files: file operations.
    """

    def __init__(
        self,
        group,
        node_id,
        initial_voters,
        folder,
        state_machine,
        sender,
        clock,
        rng,
        timing=None,
        files=None,
    ):
        self.group = group
        self.node_id = node_id
        self.initial_voters = tuple(initial_voters)
        self.folder = str(folder)
        self.state_machine = state_machine
        self.sender = sender
        self.clock = clock
        self.rng = rng
        self.timing = timing or _timing.Timing()
        self.files = files or storage.SystemFiles()
        self._events = events.EventLog("consensus")
        self._proposals = _waiters.Waiters(self.timing.request_timeout)
        self._reads = _waiters.Waiters(self.timing.request_timeout)
        self._barriers = []
        self._inputs = []
        self._wake = asyncio.Event()
        self._transfers = []
        self._stopping = False
        self._failure = None
        self._tasks = []
        self._store = None
        self._writing = None
        self._replica = None
        self._proposer = ""
        self._sequence = 0
        self._read_id = 0
        self._applied_index = 0
        self._unsaved_bytes = 0
        self._replaced_disks = set()

    async def __aenter__(self):
        self._proposer = f"{self.node_id}/{self._unique_name()}"
        self._read_id = self.rng.getrandbits(62)
        recovered = await asyncio.to_thread(self._open)
        try:
            self._restore(recovered)
        except BaseException:
            self._store.__exit__(None, None, None)
            raise
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._tick()),
        ]
        self._put(inputs.Tick())
        return self

    async def __aexit__(self, *exception):
        runner, ticker = self._tasks
        self._stopping = True
        self._wake.set()
        ticker.cancel()
        await asyncio.gather(runner, ticker, return_exceptions=True)
        self._release_callers()
        if self._writing is not None:
            await asyncio.wait([self._writing])
        await asyncio.to_thread(self._store.__exit__, None, None, None)

    def deliver(self, sender, message):
        """Take a message of another replica; does not block.

        :param sender: authenticated node that sent it.
        :param message: a message of the group.
        """
        if isinstance(message, _replica.MESSAGE_TYPES):
            self._put(inputs.Delivered(sender, message))

    async def propose(self, command):
        """Have a command committed and applied here.

        :param command: bytes for the state machine.
        :returns: ``Result`` of what ``apply`` returned.  The run state of an
            error is NOT_RUN only if the command is in no log.
        """
        return await self._proposed(inputs.Propose, command)

    async def read_barrier(self):
        """Wait until all is applied here that was committed before the call.

        :returns: ``Result`` of the index that is applied.
        """
        if self._has_ended():
            return Error(self._stopped())
        self._read_id += 1
        future = asyncio.get_running_loop().create_future()
        now = self.clock.monotonic()
        self._reads.add(self._read_id, future, now)
        self._put(inputs.Read(self._read_id))
        return await future

    async def add_learner(self, node):
        """Let a node receive the log without a vote; only on the leader.

        :param node: id of the node.
        :returns: ``Result`` of None.
        """
        return await self._proposed(inputs.AddLearner, node)

    async def promote(self, node):
        """Give a learner that has caught up a vote; only on the leader.

        :param node: id of the node.
        :returns: ``Result`` of None.
        """
        return await self._proposed(inputs.Promote, node)

    async def remove(self, node):
        """Remove a member for good; only on the leader.

        :param node: id of the node.
        :returns: ``Result`` of None.
        """
        return await self._proposed(inputs.Remove, node)

    async def transfer_leadership(self, node=""):
        """Hand the leadership over, before a planned stop.

        :param node: voter to take over; empty for the best one.
        :returns: ``Result`` of the new leader's node id.
        """
        if self._has_ended():
            return Error(self._stopped())
        if not self.is_leader():
            return Ok(self._replica.state.leader)
        future = asyncio.get_running_loop().create_future()
        self._put(inputs.Transfer(node, future))
        return await future

    def is_leader(self):
        """Whether this replica leads, as far as it knows."""
        return self._replica.state.is_leader and not self._has_ended()

    def leader(self):
        """Node id of the leader, as far as known; else empty."""
        return self._replica.state.leader

    def voters(self):
        """Nodes that vote in the group, as far as this replica knows."""
        return list(self._replica.state.configuration.voters)

    def status(self):
        """What this replica knows.

        :returns: ``ReplicaStatus``.
        """
        failure = str(self._failure or "")
        return self._replica.status(
            self.clock.monotonic(), self._applied_index, failure
        )

    async def ended(self):
        """Wait until the replica has stopped, by itself or when told.

        :returns: the error that stopped it, or None.
        """
        await asyncio.wait(self._tasks[:1])
        return self._failure

    def _open(self):
        store = storage.ReplicaStore(
            self.files, self.folder, self.group, self.node_id
        )
        new_identity = self._unique_name()
        store.__enter__()
        try:
            recovered = store.recover(new_identity)
        except BaseException:
            store.__exit__(None, None, None)
            raise
        self._store = store
        return recovered

    def _restore(self, recovered):
        self._replica = _replica.Replica(
            self.group,
            self.node_id,
            self.initial_voters,
            recovered,
            self.timing,
            self.rng,
        )
        if recovered.snapshot is not None:
            self.state_machine.restore(recovered.snapshot.data)
            self._applied_index = recovered.snapshot.info.index

    def _unique_name(self):
        started_us = int(self.clock.wall().timestamp() * 1_000_000)
        mixed = f"{started_us} {self.rng.getrandbits(128)}".encode()
        return xxhash.xxh3_64_hexdigest(mixed)

    def _put(self, item):
        if not self._has_ended():
            self._inputs.append(item)
            self._wake.set()

    def _has_ended(self):
        return self._stopping or self._failure is not None

    def _stopped(self):
        detail = f"{self.node_id} in {self.group}"
        return _errors.ReplicaStoppedError(detail)

    async def _proposed(self, kind, argument):
        if self._has_ended():
            return Error(self._stopped())
        if len(self._proposals) >= self.timing.waiting_proposals:
            detail = f"too many proposals wait at {self.node_id}"
            return Error(_errors.ProposalRefusedError(detail))
        self._sequence += 1
        name = _proposals.proposal_id(self._proposer, self._sequence)
        future = asyncio.get_running_loop().create_future()
        self._proposals.add(name, future, self.clock.monotonic())
        self._put(kind(name, argument))
        return await future

    async def _tick(self):
        while True:
            await self.clock.sleep(self.timing.tick)
            self._expire(self.clock.monotonic())
            self._put(inputs.Tick())

    async def _run(self):
        try:
            while not self._stopping:
                await self._wake.wait()
                self._wake.clear()
                await self._turn()
        except Exception as error:
            self._failure = error
            self._events.write(
                _events.REPLICA_FAILED,
                group=self.group,
                node_id=self.node_id,
                error=error,
            )
            self._release_callers()

    async def _turn(self):
        taken = self._inputs
        self._inputs = []
        for item in taken:
            self._take(item)
        wanted = self._replica.collect()
        durable = [step for step in wanted if isinstance(step, _DURABLE)]
        if any(isinstance(s, commands.RestoreSnapshot) for s in durable):
            await self._await_writing()
        if durable:
            await asyncio.to_thread(self._persist, durable)
        for command in wanted:
            self._execute(command)
        self._watch_transfer()
        await self._load_snapshots(wanted)
        await self._care_for_snapshots()

    def _persist(self, steps):
        """Make all steps last, with one sync where no snapshot comes."""
        hard_state = None
        entries = []
        for step in steps:
            if isinstance(step, commands.PersistHardState):
                hard_state = step.hard_state
            elif isinstance(step, commands.PersistEntries):
                entries += step.entries
            else:
                self._append(hard_state, entries)
                hard_state, entries = None, []
                self._store.replace(step.snapshot)
        self._append(hard_state, entries)

    def _append(self, hard_state, entries):
        if hard_state is not None or entries:
            batch = storage.Batch(hard_state=hard_state, entries=entries)
            self._store.append(batch)

    async def _load_snapshots(self, wanted):
        receivers = [
            step.to
            for step in wanted
            if isinstance(step, commands.SnapshotWanted)
        ]
        if not receivers:
            return
        snapshot = await asyncio.to_thread(self._store.load_snapshot)
        now = self.clock.monotonic()
        for receiver in receivers:
            self._replica.provide_snapshot(receiver, snapshot, now)
            self._events.write(
                _events.SNAPSHOT_SENT,
                group=self.group,
                to=receiver,
                index=snapshot.info.index,
            )
        self._wake.set()

    async def _await_writing(self):
        """Let no snapshot be written beside one from the leader."""
        if self._writing is not None:
            await self._writing
            self._writing = None

    def _is_snapshot_due(self):
        entries = self._applied_index - self._replica.state.snapshot_index
        many = entries >= self.timing.snapshot_entries
        large = self._unsaved_bytes >= self.timing.snapshot_bytes
        return self._writing is None and entries and (many or large)

    def _begin_snapshot(self):
        info = self._replica.snapshot_info(self._applied_index)
        snapshot = storage.Snapshot(info, self.state_machine.snapshot())
        self._unsaved_bytes = 0
        self._writing = asyncio.create_task(self._write_snapshot(snapshot))
        self._writing.add_done_callback(lambda _: self._wake.set())

    async def _write_snapshot(self, snapshot):
        await asyncio.to_thread(self._store.write_snapshot, snapshot)
        return snapshot.info

    async def _finish_snapshot(self):
        """Wait for the snapshot being written and release the log."""
        info = await self._writing
        self._writing = None
        await asyncio.to_thread(self._store.release, info)
        self._replica.snapshot_saved(info.index)

    async def _care_for_snapshots(self):
        if self._writing is not None and self._writing.done():
            await self._finish_snapshot()
        if self._is_snapshot_due():
            self._begin_snapshot()

    def _watch_transfer(self):
        state = self._replica.state
        if not state.is_leader:
            self._finish_transfers(Ok(state.leader))
        elif not state.transfer_to:
            detail = f"no voter of {self.group} took over"
            error = _errors.NoTransferTargetError(detail)
            self._finish_transfers(Error(error))

    def _finish_transfers(self, result):
        for future in self._transfers:
            if not future.done():
                future.set_result(result)
        self._transfers = []

    def _release_callers(self):
        unknown = _errors.CommitUnknownError(f"{self.node_id} stopped")
        self._proposals.resolve_all(Error(unknown))
        self._reads.resolve_all(Error(self._stopped()))
        self._finish_transfers(Error(self._stopped()))

    @functools.singledispatchmethod
    def _take(self, item):
        raise TypeError(type(item).__name__)

    @_take.register
    def _(self, item: inputs.Tick):
        now = self.clock.monotonic()
        self._replica.tick(now)

    @_take.register
    def _(self, item: inputs.Delivered):
        now = self.clock.monotonic()
        self._replica.receive(item.sender, item.message, now)

    @_take.register
    def _(self, item: inputs.Propose):
        now = self.clock.monotonic()
        result = self._replica.propose(item.proposal_id, item.command, now)
        self._tell_refusal(item, result)

    @_take.register
    def _(self, item: inputs.Read):
        self._replica.read(item.read_id, self.clock.monotonic())

    @_take.register
    def _(self, item: inputs.AddLearner):
        now = self.clock.monotonic()
        result = self._replica.add_learner(item.proposal_id, item.node, now)
        self._tell_refusal(item, result)

    @_take.register
    def _(self, item: inputs.Promote):
        now = self.clock.monotonic()
        result = self._replica.promote(item.proposal_id, item.node, now)
        self._tell_refusal(item, result)

    @_take.register
    def _(self, item: inputs.Remove):
        now = self.clock.monotonic()
        result = self._replica.remove(item.proposal_id, item.node, now)
        self._tell_refusal(item, result)

    @_take.register
    def _(self, item: inputs.Transfer):
        now = self.clock.monotonic()
        self._transfers.append(item.future)
        result = self._replica.transfer_leadership(now, item.node)
        if result.is_error():
            self._finish_transfers(result)

    def _expire(self, now):
        """Let callers go whose time is over, also while the disk hangs."""
        if not len(self._proposals) and not len(self._reads):
            return
        detail = f"no answer in time from the majority of {self.group}"
        self._proposals.expire(now, Error(_errors.CommitUnknownError(detail)))
        self._reads.expire(now, Error(_errors.ReadTimeoutError(detail)))

    def _tell_refusal(self, item, result):
        if result.is_error():
            self._proposals.resolve(item.proposal_id, result)

    @functools.singledispatchmethod
    def _execute(self, command):
        """Carry out what needs no waiting; the rest was done before."""

    @_execute.register
    def _(self, command: commands.Send):
        self.sender.send(command.to, command.message)

    @_execute.register
    def _(self, command: commands.Apply):
        for entry in command.entries:
            self._apply(entry)
        self._release_barriers()

    @_execute.register
    def _(self, command: commands.RestoreSnapshot):
        snapshot = command.snapshot
        self.state_machine.restore(snapshot.data)
        self._applied_index = snapshot.info.index
        self._unsaved_bytes = 0
        self._release_barriers()
        self._events.write(
            _events.SNAPSHOT_RESTORED,
            group=self.group,
            index=snapshot.info.index,
        )

    @_execute.register
    def _(self, command: commands.ReadReady):
        self._barriers.append(command)
        self._release_barriers()

    @_execute.register
    def _(self, command: commands.ReadRefused):
        detail = f"no leader of {self.group} is known to {self.node_id}"
        error = _errors.NotLeaderError(detail)
        self._reads.resolve(command.read_id, Error(error))

    @_execute.register
    def _(self, command: commands.ProposalDropped):
        detail = f"the leader of {self.group} took no more proposals"
        error = _errors.ProposalRefusedError(detail)
        self._proposals.resolve(command.proposal_id, Error(error))

    @_execute.register
    def _(self, command: commands.RoleChanged):
        self._events.write(
            _events.ROLE_CHANGED,
            group=self.group,
            node_id=self.node_id,
            **command._asdict(),
        )

    @_execute.register
    def _(self, command: commands.DiskReplaced):
        if command.node_id in self._replaced_disks:
            return
        self._replaced_disks.add(command.node_id)
        self._events.write(
            _events.DISK_REPLACED, group=self.group, node_id=command.node_id
        )

    @_execute.register
    def _(self, command: commands.Enrolled):
        self._events.write(
            _events.ENROLLED, group=self.group, node_id=self.node_id
        )

    def _apply(self, entry):
        value = None
        if entry.kind == configurations.KIND_COMMAND:
            value = self.state_machine.apply(entry.index, entry.data)
        elif entry.kind == configurations.KIND_CONFIGURATION:
            self._tell_members(entry)
        self._applied_index = entry.index
        self._unsaved_bytes += len(entry.data)
        if entry.proposal_id:
            self._proposals.resolve(entry.proposal_id, Ok(value))

    def _tell_members(self, entry):
        members = configurations.decode(entry.data)
        self._events.write(
            _events.MEMBERS_CHANGED,
            group=self.group,
            index=entry.index,
            voters=",".join(members.voters),
            learners=",".join(members.learners),
        )

    def _release_barriers(self):
        waiting = []
        for barrier in self._barriers:
            if barrier.index > self._applied_index:
                waiting.append(barrier)
            else:
                self._reads.resolve(barrier.read_id, Ok(self._applied_index))
        self._barriers = waiting
