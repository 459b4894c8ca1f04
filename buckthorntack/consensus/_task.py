"""Asynchronous task that runs one replica with its storage and callers."""

import asyncio
import datetime
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
from buckthorntack.consensus import _pending_calls
from buckthorntack.consensus import _proposals
from buckthorntack.consensus import _replica
from buckthorntack.consensus import _timing

_DURABLE_COMMANDS = (
    commands.PersistHardState,
    commands.PersistEntries,
    commands.RestoreSnapshot,
)


class ReplicaTask:
    """One replica of a group; an asynchronous context manager.

    Inputs that arrive while the disk is busy are processed together, with one
    sync; calls whose callers have left by then are not begun.  After a disk
    failure the replica stops before it sends a message or answers a caller.
    While the disk is full the replica waits for room: it refuses calls and
    passes over messages, as if it were cut off.

    :param group: id of the group.
    :param node_id: node id of this replica.
    :param initial_voters: voters of the group when it is first started; empty
        for a replica that joins as a learner.
    :param folder: path of the data folder, used by this replica only.
    :param state_machine: an empty ``interfaces.StateMachine``.
    :param sender: an ``interfaces.Sender``.
    :param clock: source of time.
    :param rng: source of randomness with a different seed in each run.
    :param timing: a ``Timing``; the default one if None.
    :param files: ``storage.Files``; the file system if None.
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
        self._proposals = _pending_calls.PendingCalls(
            self.timing.request_timeout
        )
        self._reads = _pending_calls.PendingCalls(self.timing.request_timeout)
        self._barriers = []
        self._inputs = []
        self._wake = asyncio.Event()
        self._transfers = []
        self._stopping = False
        self._failure = None
        self._tasks = []
        self._store = None
        self._snapshot_write = None
        self._replica = None
        self._proposer = ""
        self._sequence = 0
        self._read_id = 0
        self._applied_index = 0
        self._bytes_since_snapshot = 0
        self._snapshot_bytes = 0
        self._snapshot_retry_at = datetime.timedelta()
        self._lacks_room = False
        self._replaced_disks = set()

    async def __aenter__(self):
        self._proposer = f"{self.node_id}/{self._random_id()}"
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
        self._enqueue(inputs.Tick())
        return self

    async def __aexit__(self, *exception):
        runner, ticker = self._tasks
        self._stopping = True
        self._wake.set()
        ticker.cancel()
        await asyncio.gather(runner, ticker, return_exceptions=True)
        self._fail_pending_calls()
        if self._snapshot_write is not None:
            await asyncio.wait([self._snapshot_write])
        await asyncio.to_thread(self._store.__exit__, None, None, None)

    def deliver(self, sender, message):
        """Queue a message from another replica, without blocking.

        :param sender: authenticated id of the node that sent it.
        :param message: a message of the group.
        """
        if isinstance(message, _replica.MESSAGE_TYPES):
            self._enqueue(inputs.Delivered(sender, message))

    async def propose(self, command):
        """Wait until a command is committed and applied on this replica.

        :param command: bytes for the state machine.
        :returns: ``Result`` of what ``apply`` returned.  The run state of an
            error is NOT_RUN only if the command is in no log and will not be
            appended to one.
        """
        return await self._submit(inputs.Propose, command)

    async def read_barrier(self):
        """Wait until this replica has applied all earlier commits.

        These are the entries that were committed before the call.

        :returns: ``Result`` of the applied index.
        """
        if self._has_ended():
            return Error(self._stopped_error())
        if self._lacks_room:
            return Error(self._disk_full_error())
        self._read_id += 1
        future = asyncio.get_running_loop().create_future()
        now = self.clock.monotonic()
        self._reads.add(self._read_id, future, now)
        self._enqueue(inputs.Read(self._read_id))
        return await future

    async def add_learner(self, node):
        """Add a node that receives the log but has no vote.

        Only the leader can do this.

        :param node: id of the node.
        :returns: ``Result`` of None.
        """
        return await self._submit(inputs.AddLearner, node)

    async def promote(self, node):
        """Make a learner that has caught up a voter.

        Only the leader can do this.

        :param node: id of the learner.
        :returns: ``Result`` of None.
        """
        return await self._submit(inputs.Promote, node)

    async def replace(self, node, successor, retire):
        """Replace a voter by a learner that has caught up.

        Only the leader can do this.  The voter goes on deciding for a short
        time after this returns.

        :param node: id of the voter.
        :param successor: id of the learner.
        :param retire: whether the voter is removed permanently; otherwise it
            becomes a learner.
        :returns: ``Result`` of None.
        """
        return await self._submit(inputs.Replace, node, successor, retire)

    async def remove(self, node):
        """Remove a member permanently.

        Only the leader can do this.

        :param node: id of the member.
        :returns: ``Result`` of None.
        """
        return await self._submit(inputs.Remove, node)

    async def transfer_leadership(self, node=""):
        """Transfer the leadership to another voter, before a planned stop.

        A replica that is not the leader does nothing.

        :param node: id of the voter; empty for the active voter with the most
            complete log.
        :returns: ``Result`` of the leader's node id, empty if it is unknown.
        """
        if self._has_ended():
            return Error(self._stopped_error())
        if self._lacks_room:
            return Error(self._disk_full_error())
        if not self.is_leader():
            return Ok(self._replica.state.leader)
        future = asyncio.get_running_loop().create_future()
        self._enqueue(inputs.Transfer(node, future))
        return await future

    def is_leader(self):
        """Whether this replica believes that it is the leader."""
        can_act = not self._has_ended() and not self._lacks_room
        return self._replica.state.is_leader and can_act

    def leader(self):
        """Node id of the leader known here; empty if none is known."""
        return self._replica.state.leader

    def is_in_step(self):
        """Whether this replica lately had all that its leader had committed.

        A leader counts while it acts.
        """
        return self._replica.is_in_step(self.clock.monotonic())

    def voters(self):
        """List the voters of the newest configuration known here."""
        return list(self._replica.state.configuration.voters)

    def may_be_voter(self):
        """Whether this replica is a voter of members that may be in force."""
        return self._replica.may_be_voter()

    def status(self):
        """Status of this replica.

        :returns: ``ReplicaStatus``.
        """
        failure = str(self._failure or "")
        return self._replica.status(
            self.clock.monotonic(), self._applied_index, failure
        )

    async def wait_until_stopped(self):
        """Wait until the replica has stopped, on request or on an error.

        :returns: the error that stopped it, or None.
        """
        await asyncio.wait(self._tasks[:1])
        return self._failure

    def _open(self):
        store = storage.ReplicaStore(
            self.files, self.folder, self.group, self.node_id
        )
        new_identity = self._random_id()
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

    def _random_id(self):
        started_us = int(self.clock.wall().timestamp() * 1_000_000)
        mixed = f"{started_us} {self.rng.getrandbits(128)}".encode()
        return xxhash.xxh3_64_hexdigest(mixed)

    def _enqueue(self, item):
        # Without room, inputs could pile up for as long as the disk is full.
        if not self._has_ended() and not self._lacks_room:
            self._inputs.append(item)
            self._wake.set()

    def _has_ended(self):
        return self._stopping or self._failure is not None

    def _stopped_error(self):
        detail = f"{self.node_id} in {self.group}"
        return _errors.ReplicaStoppedError(detail)

    def _disk_full_error(self):
        detail = f"{self.node_id} in {self.group}"
        return _errors.ReplicaDiskFullError(detail)

    async def _submit(self, kind, *arguments):
        if self._has_ended():
            return Error(self._stopped_error())
        if self._lacks_room:
            return Error(self._disk_full_error())
        if len(self._proposals) >= self.timing.waiting_proposals:
            detail = (
                f"the limit of waiting proposals at {self.node_id} is reached"
            )
            return Error(_errors.ProposalRefusedError(detail))
        self._sequence += 1
        proposal = _proposals.proposal_id(self._proposer, self._sequence)
        future = asyncio.get_running_loop().create_future()
        self._proposals.add(proposal, future, self.clock.monotonic())
        self._enqueue(kind(proposal, *arguments))
        return await future

    async def _tick(self):
        while True:
            await self.clock.sleep(self.timing.tick)
            self._expire(self.clock.monotonic())
            self._enqueue(inputs.Tick())

    async def _run(self):
        try:
            while not self._stopping:
                await self._wake.wait()
                self._wake.clear()
                await self._process_inputs()
        except Exception as error:
            self._failure = error
            self._events.write(
                _events.REPLICA_FAILED,
                group=self.group,
                node_id=self.node_id,
                error=error,
            )
            self._fail_pending_calls()

    async def _process_inputs(self):
        # Calls expire here too, as after a pause the ticker may run later.
        self._expire(self.clock.monotonic())
        for item in self._take_inputs():
            self._handle_input(item)
        collected = self._replica.collect()
        durable = [
            step for step in collected if isinstance(step, _DURABLE_COMMANDS)
        ]
        if any(isinstance(s, commands.RestoreSnapshot) for s in durable):
            await self._await_snapshot_write()
        if not await self._persist(durable):
            return
        for command in collected:
            self._execute(command)
        self._check_transfer()
        self._load_snapshots(collected)
        await self._advance_snapshots()

    def _take_inputs(self):
        """Take the inputs, without those whose call no longer waits."""
        taken = self._inputs
        self._inputs = []
        wanted = [item for item in taken if self._is_wanted(item)]
        if len(wanted) < len(taken):
            self._events.write(
                _events.CALLS_WITHDRAWN,
                group=self.group,
                node_id=self.node_id,
                calls=len(taken) - len(wanted),
            )
        return wanted

    def _is_wanted(self, item):
        if isinstance(item, (inputs.Tick, inputs.Delivered)):
            return True
        if isinstance(item, inputs.Read):
            return self._reads.is_waiting(item.read_id)
        if isinstance(item, inputs.Transfer):
            return not item.future.done()
        return self._proposals.is_waiting(item.proposal_id)

    async def _persist(self, steps):
        """Write commands to storage, with one sync unless one is a snapshot.

        :param steps: commands of the types in ``_DURABLE_COMMANDS``.
        :returns: whether all are durable; if not, the replica is stopping.
        """
        for write in self._join_steps(steps):
            if not await self._write_when_room(write):
                return False
        return True

    def _join_steps(self, steps):
        """List the writes of commands: batches and received snapshots."""
        writes = []
        batch = storage.Batch()
        for step in steps:
            if isinstance(step, commands.PersistHardState):
                batch = batch._replace(hard_state=step.hard_state)
            elif isinstance(step, commands.PersistEntries):
                batch = batch._replace(entries=batch.entries + step.entries)
            else:
                writes += [batch, step.snapshot]
                batch = storage.Batch()
        writes.append(batch)
        return [write for write in writes if write != storage.Batch()]

    async def _write_when_room(self, write):
        """Write once the disk has room; nothing is told before.

        :param write: a ``storage.Batch`` or ``storage.Snapshot``.
        :returns: whether it is durable; if not, the replica is stopping.
        """
        while True:
            try:
                await asyncio.to_thread(self._write, write)
            except storage.DiskFullError as error:
                self._note_disk_full(error)
            else:
                self._note_room()
                return True
            if self._stopping:
                return False
            await self.clock.sleep(self.timing.disk_full_retry)

    def _write(self, write):
        if isinstance(write, storage.Snapshot):
            self._store.install_snapshot(write)
        else:
            self._store.append(write)

    def _note_disk_full(self, error):
        if self._lacks_room:
            return
        self._lacks_room = True
        self._events.write(
            _events.DISK_FULL,
            group=self.group,
            node_id=self.node_id,
            error=error,
        )
        self._finish_transfers(Error(self._disk_full_error()))

    def _note_room(self):
        if not self._lacks_room:
            return
        self._lacks_room = False
        self._events.write(
            _events.DISK_HAS_ROOM, group=self.group, node_id=self.node_id
        )

    def _load_snapshots(self, collected):
        receivers = [
            step.to
            for step in collected
            if isinstance(step, commands.LoadSnapshot)
        ]
        if not receivers:
            return
        # The one on the disk is older, by many large entries at times.
        snapshot = self._take_snapshot()
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

    async def _await_snapshot_write(self):
        """Wait for the snapshot write to end.

        A snapshot from the leader must not be stored while one of this
        replica is being written.
        """
        if self._snapshot_write is not None:
            await self._snapshot_write
            self._snapshot_write = None

    def _is_snapshot_due(self):
        entries = self._applied_index - self._replica.state.snapshot_index
        many = entries >= self.timing.snapshot_entries
        large = self._bytes_since_snapshot >= self.timing.snapshot_bytes
        if self.clock.monotonic() < self._snapshot_retry_at:
            return False
        return self._snapshot_write is None and entries and (many or large)

    def _take_snapshot(self):
        info = self._replica.snapshot_info(self._applied_index)
        return storage.Snapshot(info, self.state_machine.snapshot())

    def _start_snapshot(self):
        snapshot = self._take_snapshot()
        self._snapshot_bytes = self._bytes_since_snapshot
        self._bytes_since_snapshot = 0
        self._snapshot_write = asyncio.create_task(
            self._write_snapshot(snapshot)
        )
        self._snapshot_write.add_done_callback(lambda _: self._wake.set())

    async def _write_snapshot(self, snapshot):
        """Write a snapshot.

        :returns: its ``SnapshotInfo``; None if the disk has no room for it.
        """
        try:
            await asyncio.to_thread(self._store.write_snapshot, snapshot)
        except storage.DiskFullError as error:
            self._events.write(
                _events.SNAPSHOT_DELAYED,
                group=self.group,
                node_id=self.node_id,
                error=error,
            )
            return None
        return snapshot.info

    async def _finish_snapshot(self):
        """Wait for the snapshot write and remove the log that it covers."""
        info = await self._snapshot_write
        self._snapshot_write = None
        if info is None:
            retry = self.timing.snapshot_retry
            self._snapshot_retry_at = self.clock.monotonic() + retry
            self._bytes_since_snapshot += self._snapshot_bytes
            return
        await asyncio.to_thread(self._store.compact, info)
        self._replica.on_snapshot_saved(info.index)

    async def _advance_snapshots(self):
        if self._snapshot_write is not None and self._snapshot_write.done():
            await self._finish_snapshot()
        if self._is_snapshot_due():
            self._start_snapshot()

    def _check_transfer(self):
        state = self._replica.state
        if not state.is_leader:
            self._finish_transfers(Ok(state.leader))
        elif not state.transfer_to:
            detail = f"no voter of {self.group} took over the leadership"
            error = _errors.NoTransferTargetError(detail)
            self._finish_transfers(Error(error))

    def _finish_transfers(self, result):
        for future in self._transfers:
            if not future.done():
                future.set_result(result)
        self._transfers = []

    def _fail_pending_calls(self):
        unknown = _errors.CommitUnknownError(f"replica {self.node_id} stopped")
        self._proposals.resolve_all(Error(unknown))
        self._reads.resolve_all(Error(self._stopped_error()))
        self._finish_transfers(Error(self._stopped_error()))

    @functools.singledispatchmethod
    def _handle_input(self, item):
        raise TypeError(type(item).__name__)

    @_handle_input.register
    def _(self, item: inputs.Tick):
        now = self.clock.monotonic()
        self._replica.tick(now)

    @_handle_input.register
    def _(self, item: inputs.Delivered):
        now = self.clock.monotonic()
        self._replica.receive(item.sender, item.message, now)

    @_handle_input.register
    def _(self, item: inputs.Propose):
        now = self.clock.monotonic()
        result = self._replica.propose(item.proposal_id, item.command, now)
        self._resolve_if_refused(item, result)

    @_handle_input.register
    def _(self, item: inputs.Read):
        self._replica.read(item.read_id, self.clock.monotonic())

    @_handle_input.register
    def _(self, item: inputs.AddLearner):
        now = self.clock.monotonic()
        result = self._replica.add_learner(item.proposal_id, item.node, now)
        self._resolve_if_refused(item, result)

    @_handle_input.register
    def _(self, item: inputs.Promote):
        now = self.clock.monotonic()
        result = self._replica.promote(item.proposal_id, item.node, now)
        self._resolve_if_refused(item, result)

    @_handle_input.register
    def _(self, item: inputs.Replace):
        now = self.clock.monotonic()
        result = self._replica.replace(*item, now)
        self._resolve_if_refused(item, result)

    @_handle_input.register
    def _(self, item: inputs.Remove):
        now = self.clock.monotonic()
        result = self._replica.remove(item.proposal_id, item.node, now)
        self._resolve_if_refused(item, result)

    @_handle_input.register
    def _(self, item: inputs.Transfer):
        now = self.clock.monotonic()
        self._transfers.append(item.future)
        result = self._replica.transfer_leadership(now, item.node)
        if result.is_error():
            self._finish_transfers(result)

    def _expire(self, now):
        """Fail calls whose timeout has passed, even while the disk hangs."""
        if not len(self._proposals) and not len(self._reads):
            return
        detail = f"no majority of {self.group} responded in time"
        self._proposals.expire(now, Error(_errors.CommitUnknownError(detail)))
        self._reads.expire(now, Error(_errors.ReadTimeoutError(detail)))

    def _resolve_if_refused(self, item, result):
        if result.is_error():
            self._proposals.resolve(item.proposal_id, result)

    @functools.singledispatchmethod
    def _execute(self, command):
        """Execute a command that needs no waiting.

        Other methods execute the remaining types of commands.
        """

    @_execute.register
    def _(self, command: commands.Send):
        self.sender.send(command.to, command.message)

    @_execute.register
    def _(self, command: commands.Apply):
        for entry in command.entries:
            self._apply(entry)
        self._resolve_reached_barriers()

    @_execute.register
    def _(self, command: commands.RestoreSnapshot):
        snapshot = command.snapshot
        self.state_machine.restore(snapshot.data)
        self._applied_index = snapshot.info.index
        self._bytes_since_snapshot = 0
        self._resolve_reached_barriers()
        self._events.write(
            _events.SNAPSHOT_RESTORED,
            group=self.group,
            index=snapshot.info.index,
        )

    @_execute.register
    def _(self, command: commands.ReadReady):
        self._barriers.append(command)
        self._resolve_reached_barriers()

    @_execute.register
    def _(self, command: commands.ReadRefused):
        detail = f"no leader of {self.group} confirms reads of {self.node_id}"
        error = _errors.NotLeaderError(detail)
        self._reads.resolve(command.read_id, Error(error))

    @_execute.register
    def _(self, command: commands.ProposalDropped):
        detail = f"the leader of {self.group} refused the proposal"
        error = _errors.ProposalRefusedError(detail)
        self._proposals.resolve(command.proposal_id, Error(error))

    @_execute.register
    def _(self, command: commands.MessageRefused):
        self._events.write(
            _events.MESSAGE_REFUSED,
            group=self.group,
            peer=command.sender,
            kind=command.kind,
            fault=command.fault,
        )

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
            self._log_members(entry)
        self._applied_index = entry.index
        self._bytes_since_snapshot += len(entry.data)
        if entry.proposal_id:
            self._proposals.resolve(entry.proposal_id, Ok(value))

    def _log_members(self, entry):
        members = configurations.decode(entry.data)
        self._events.write(
            _events.MEMBERS_CHANGED,
            group=self.group,
            index=entry.index,
            voters=",".join(members.voters),
            outgoing=",".join(members.outgoing),
            learners=",".join(members.learners),
        )

    def _resolve_reached_barriers(self):
        waiting = []
        for barrier in self._barriers:
            if barrier.index > self._applied_index:
                waiting.append(barrier)
            else:
                self._reads.resolve(barrier.read_id, Ok(self._applied_index))
        self._barriers = waiting
