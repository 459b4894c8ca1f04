"""Raft state machine of one replica, without input or output of its own."""

import datetime
import functools

from expression import Error
from expression import Ok

from buckthorntack import storage
from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _elections
from buckthorntack.consensus import _enrolment
from buckthorntack.consensus import _errors
from buckthorntack.consensus import _members
from buckthorntack.consensus import _ranges
from buckthorntack.consensus import _reads
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _snapshots
from buckthorntack.consensus import _state
from buckthorntack.consensus import _status
from buckthorntack.schema import messages

#: Types of the messages between the replicas of a group.
MESSAGE_TYPES = (
    messages.AppendRequest,
    messages.AppendResponse,
    messages.EnrolRequest,
    messages.EnrolResponse,
    messages.ForwardedProposal,
    messages.ProposalRefused,
    messages.ReadRequest,
    messages.ReadResponse,
    messages.SnapshotChunk,
    messages.SnapshotChunkResponse,
    messages.TransferRequest,
    messages.VoteRequest,
    messages.VoteResponse,
)


class Replica:
    """Raft state machine of one replica of a group.

    The other methods take inputs; :meth:`collect` then returns the commands
    to execute, in order.  Inputs between two collections share disk writes
    and messages.

    :param group: id of the group.
    :param node_id: node id of this replica.
    :param first_voters: voters of the group when it was first started.
    :param recovered: ``storage.RecoveredState`` read from the disk.
    :param timing: a ``Timing``.
    :param rng: source of randomness.
    """

    def __init__(self, group, node_id, first_voters, recovered, timing, rng):
        self.state = _state.State(
            group, node_id, first_voters, recovered, timing, rng
        )
        self._confirmed_voters = set()

    def tick(self, now):
        """Act on the deadlines that have passed.

        :param now: monotonic time.
        """
        state = self.state
        state.now = now
        _enrolment.tick(state)
        _elections.tick(state)
        if not state.is_leader:
            return
        _elections.step_down_without_quorum(state)
        if not state.is_leader:
            return
        state.in_step_at = now
        _snapshots.tick(state)
        _members.advance_transfer(state)
        if now >= state.heartbeat_due:
            _reads.schedule_confirmation(state)
            _replication.send_heartbeats(state)

    def receive(self, sender, message, now):
        """Handle a message.

        :param sender: authenticated id of the node that sent it.
        :param message: a message; those of other groups are ignored.
        :param now: monotonic time.
        """
        self.state.now = now
        if message.group != self.state.group:
            return
        fault = _ranges.find_fault(message)
        if fault is not None:
            kind = type(message).__name__
            refused = commands.MessageRefused(sender, kind, fault)
            self.state.commands.append(refused)
            return
        self._receive(message, sender)

    def propose(self, proposal_id, command, now):
        """Append a command to the log, or forward it to the leader.

        :param proposal_id: id of the proposal.
        :param command: bytes for the replicated state machine.
        :param now: monotonic time.
        :returns: ``Result`` of None; an error if the command was refused.
        """
        state = self.state
        state.now = now
        if state.is_leader:
            return self._append_command(proposal_id, command)
        if not state.leader:
            detail = f"the leader of {state.group} is unknown"
            return Error(_errors.NotLeaderError(detail))
        message = messages.ForwardedProposal(
            state.group, state.term, proposal_id, command
        )
        _state.send(state, state.leader, message)
        return Ok(None)

    def read(self, read_id, now):
        """Start a linearizable read.

        :param read_id: id that was never used, not even by earlier runs.
        :param now: monotonic time.
        """
        self.state.now = now
        _reads.start_read(self.state, _reads.Read(self.state.node_id, read_id))

    def add_learner(self, proposal_id, node, now):
        """Add a node that receives the log but has no vote.

        :param proposal_id: id of the proposal of this change.
        :param node: id of the node.
        :param now: monotonic time.
        :returns: ``Result`` of None.
        """
        self.state.now = now
        return _members.add_learner(self.state, proposal_id, node)

    def promote(self, proposal_id, node, now):
        """Make a learner that has caught up a voter.

        :param proposal_id: id of the proposal of this change.
        :param node: id of the learner.
        :param now: monotonic time.
        :returns: ``Result`` of None.
        """
        self.state.now = now
        return _members.promote(self.state, proposal_id, node)

    def replace(self, proposal_id, node, successor, retire, now):
        """Replace a voter by a learner that has caught up.

        :param proposal_id: id of the proposal of this change.
        :param node: id of the voter.
        :param successor: id of the learner.
        :param retire: whether the voter is removed permanently; otherwise it
            becomes a learner.
        :param now: monotonic time.
        :returns: ``Result`` of None.
        """
        self.state.now = now
        return _members.replace(
            self.state, proposal_id, node, successor, retire
        )

    def remove(self, proposal_id, node, now):
        """Remove a voter or learner; its node id can't be reused.

        :param proposal_id: id of the proposal of this change.
        :param node: id of the member.
        :param now: monotonic time.
        :returns: ``Result`` of None.
        """
        self.state.now = now
        return _members.remove(self.state, proposal_id, node)

    def transfer_leadership(self, now, node=""):
        """Transfer the leadership to another voter.

        :param now: monotonic time.
        :param node: id of the voter; empty for the active voter with the most
            complete log.
        :returns: ``Result`` of the voter's node id.
        """
        self.state.now = now
        result = _members.transfer(self.state, node)
        _members.advance_transfer(self.state)
        return result

    def provide_snapshot(self, node, snapshot, now):
        """Start to send the snapshot that a ``LoadSnapshot`` asked for.

        :param node: node id of the replica that receives it.
        :param snapshot: ``storage.Snapshot`` of what is applied.
        :param now: monotonic time.
        """
        self.state.now = now
        _snapshots.start_transfer(self.state, node, snapshot)

    def on_snapshot_saved(self, index):
        """Compact the log after a snapshot became durable.

        Some entries before the snapshot are kept, for followers that are
        slightly behind.

        :param index: index of the snapshot.
        """
        state = self.state
        state.snapshot_index = index
        state.log.compact_to(
            index, state.timing.kept_entries, state.timing.kept_bytes
        )
        base = _state.configuration_at(state, index)
        later = [item for item in state.history if item[0] > index]
        state.history = [(index, base), *later]

    def snapshot_info(self, index):
        """Metadata of a snapshot that is taken after an applied entry.

        :param index: index of the entry.
        :returns: ``storage.SnapshotInfo``.
        """
        members = _state.configuration_at(self.state, index)
        return storage.SnapshotInfo(
            index,
            self.state.log.term_at(index),
            configurations.encode(members),
        )

    def collect(self):
        """Take the pending commands.

        :returns: list of commands, to be executed in order.
        """
        state = self.state
        _state.persist_entries(state)
        if state.is_leader:
            _replication.advance_commit(state)
            _members.leave_joint(state)
            _state.persist_entries(state)
            _members.step_down_if_removed(state)
        if state.is_leader:
            _replication.send_entries(state)
            _replication.send_commit_index(state)
            _reads.advance_reads(state)
        collected = state.commands
        state.commands = []
        return collected

    def may_be_voter(self):
        """Whether this replica is a voter of members that may be in force.

        These are the newest ones known to be committed, and all later ones.
        """
        state = self.state
        known = _state.configuration_at(state, state.commit_index)
        later = [
            members
            for index, members in state.history
            if index > state.commit_index
        ]
        return any(
            state.node_id in members.all_voters()
            for members in [known, *later]
        )

    def is_in_step(self, now):
        """Whether this replica lately had all that its leader had committed.

        :param now: monotonic time.
        """
        return _state.is_in_step(self.state, now)

    def status(self, now, applied_index, failure):
        """Status of this replica.

        :param now: monotonic time.
        :param applied_index: highest index applied to the state machine.
        :param failure: text of the error that stopped the replica's task;
            empty while it runs.
        :returns: ``ReplicaStatus``.
        """
        state = self.state
        members = state.configuration
        return _status.ReplicaStatus(
            group=state.group,
            node_id=state.node_id,
            identity=state.identity,
            role=state.role,
            term=state.term,
            leader=state.leader,
            can_vote=_elections.can_start_election(state),
            last_index=state.log.last_index,
            commit_index=state.commit_index,
            applied_index=applied_index,
            snapshot_index=state.snapshot_index,
            voters=list(members.voters),
            learners=members.learners,
            retired=members.retired,
            outgoing=list(members.outgoing),
            peers=[self._peer_status(node, now) for node in state.progress],
            failure=failure,
        )

    def _peer_status(self, node, now):
        progress = self.state.progress[node]
        heard_ms_ago = None
        if progress.heard_at is not None:
            silence = now - progress.heard_at
            heard_ms_ago = silence // datetime.timedelta(milliseconds=1)
        return _status.PeerStatus(
            node_id=node,
            match_index=progress.match_index,
            heard_ms_ago=heard_ms_ago,
            caught_up=_members.has_caught_up(self.state, node),
            receives_snapshot=progress.transfer is not None,
        )

    def _append_command(self, proposal_id, command):
        state = self.state
        if state.transfer_to:
            detail = "leadership transfer in progress"
            return Error(_errors.ProposalRefusedError(detail))
        if state.uncommitted_bytes >= state.timing.uncommitted_bytes:
            detail = "the size limit of uncommitted commands is reached"
            return Error(_errors.ProposalRefusedError(detail))
        kind = configurations.KIND_COMMAND
        _replication.append(state, kind, proposal_id, command)
        return Ok(None)

    @functools.singledispatchmethod
    def _receive(self, message, sender):
        raise TypeError(f"not a consensus message: {type(message).__name__}")

    @_receive.register
    def _(self, message: messages.VoteRequest, sender):
        _elections.on_vote_request(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.VoteResponse, sender):
        _elections.on_vote_response(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.TransferRequest, sender):
        _elections.on_transfer_request(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.AppendRequest, sender):
        _replication.on_append_request(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.AppendResponse, sender):
        _replication.on_append_response(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.SnapshotChunk, sender):
        _snapshots.on_chunk(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.SnapshotChunkResponse, sender):
        _snapshots.on_chunk_response(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.EnrolRequest, sender):
        _enrolment.on_enrol_request(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.EnrolResponse, sender):
        _enrolment.on_enrol_response(
            self.state, sender, message, self._confirmed_voters
        )

    @_receive.register
    def _(self, message: messages.ReadRequest, sender):
        _reads.on_read_request(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.ReadResponse, sender):
        _reads.on_read_response(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.ProposalRefused, sender):
        dropped = commands.ProposalDropped(message.proposal_id)
        self.state.commands.append(dropped)

    @_receive.register
    def _(self, message: messages.ForwardedProposal, sender):
        """Append a forwarded command, or refuse it.

        A refusal means that the command did not and will not run.  No
        response is therefore sent for a duplicate, or for a proposal of any
        term but the last that this replica led: a copy may be in a log.
        """
        state = self.state
        if message.term != state.proposals_term:
            return
        if not state.proposals_seen.add(message.proposal_id):
            return
        if state.is_leader and state.term == message.term:
            added = self._append_command(
                message.proposal_id, message.command
            ).is_ok()
            if added:
                return
        refused = messages.ProposalRefused(state.group, message.proposal_id)
        _state.send(state, sender, refused)
