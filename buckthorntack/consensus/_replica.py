"""Decisions of one replica: messages and time in, commands out."""

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
from buckthorntack.consensus import _reads
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _snapshots
from buckthorntack.consensus import _state
from buckthorntack.consensus import _status
from buckthorntack.schema import messages

#: Messages between the replicas of a group.
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
    """Decisions of one replica of a group.

    Inputs are handed over by the other methods; :meth:`collect` then tells
    what has to be done, in that order.  Many inputs before one collection
    share its writes and messages.

    :param group: id of the group.
    :param node_id: this replica's node.
    :param first_voters: voters of the group when it was first started.
    :param recovered: ``storage.Recovered``, what was found on the disk.
    :param timing: times and limits.
    :param rng: source of randomness.
    """

    def __init__(self, group, node_id, first_voters, recovered, timing, rng):
        self.state = _state.State(
            group, node_id, first_voters, recovered, timing, rng
        )
        self._confirmed = set()

    def tick(self, now):
        """Look at the deadlines.

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
        _snapshots.tick(state)
        _members.advance_transfer(state)
        if now >= state.heartbeat_due:
            _reads.ask(state)
            _replication.heartbeat(state)

    def receive(self, sender, message, now):
        """Take a message.

        :param sender: authenticated node that sent it.
        :param message: a message of the group.
        :param now: monotonic time.
        """
        self.state.now = now
        if message.group == self.state.group:
            self._receive(message, sender)

    def propose(self, proposal_id, command, now):
        """Add a command to the log, or hand it to the leader.

        :param proposal_id: names it for who waits.
        :param command: bytes for the state machine.
        :param now: monotonic time.
        :returns: ``Result`` of None; an error if it was refused.
        """
        state = self.state
        state.now = now
        if state.is_leader:
            return self._add(proposal_id, command)
        if not state.leader:
            detail = f"no leader of {state.group} is known"
            return Error(_errors.NotLeaderError(detail))
        message = messages.ForwardedProposal(
            state.group, state.term, proposal_id, command
        )
        _state.send(state, state.leader, message)
        return Ok(None)

    def read(self, read_id, now):
        """Begin a linearizable read.

        :param read_id: names it; never used before, also by earlier runs.
        :param now: monotonic time.
        """
        self.state.now = now
        _reads.start(self.state, _reads.Read(self.state.node_id, read_id))

    def add_learner(self, proposal_id, node, now):
        """Let a node receive the log without a vote.

        :param proposal_id: names the change for who waits.
        :param node: the node.
        :param now: monotonic time.
        :returns: ``Result`` of None.
        """
        self.state.now = now
        return _members.add_learner(self.state, proposal_id, node)

    def promote(self, proposal_id, node, now):
        """Give a learner that has caught up a vote.

        :param proposal_id: names the change for who waits.
        :param node: the learner.
        :param now: monotonic time.
        :returns: ``Result`` of None.
        """
        self.state.now = now
        return _members.promote(self.state, proposal_id, node)

    def remove(self, proposal_id, node, now):
        """Remove a voter or learner; its id may not return.

        :param proposal_id: names the change for who waits.
        :param node: the node.
        :param now: monotonic time.
        :returns: ``Result`` of None.
        """
        self.state.now = now
        return _members.remove(self.state, proposal_id, node)

    def transfer_leadership(self, now, node=""):
        """Hand the leadership to another voter.

        :param now: monotonic time.
        :param node: the voter; empty for the one that has most of the log.
        :returns: ``Result`` of the voter's node id.
        """
        self.state.now = now
        result = _members.transfer(self.state, node)
        _members.advance_transfer(self.state)
        return result

    def provide_snapshot(self, node, snapshot, now):
        """Hand over the snapshot that was wanted.

        :param node: replica that it is for.
        :param snapshot: the newest ``storage.Snapshot``.
        :param now: monotonic time.
        """
        self.state.now = now
        _snapshots.begin(self.state, node, snapshot)

    def snapshot_saved(self, index):
        """Forget entries before a durable snapshot, but for a few.

        :param index: index of the snapshot.
        """
        state = self.state
        state.snapshot_index = index
        kept = index - state.timing.kept_entries
        state.log.compact(kept)
        base = _state.configuration_at(state, index)
        later = [item for item in state.history if item[0] > index]
        state.history = [(index, base), *later]

    def snapshot_info(self, index):
        """Place for a snapshot of the state after an applied entry.

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
        """What has to be done, in order.

        :returns: list of commands.
        """
        state = self.state
        _state.persist_entries(state)
        if state.is_leader:
            _replication.advance_commit(state)
            _members.step_down_if_removed(state)
        if state.is_leader:
            _replication.send_entries(state)
            _replication.tell_commit(state)
            _reads.advance(state)
        collected = state.commands
        state.commands = []
        return collected

    def status(self, now, applied_index, failure):
        """What this replica knows.

        :param now: monotonic time.
        :param applied_index: newest index that the shell has applied.
        :param failure: why the shell stopped; empty if it has not.
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
            may_vote=_elections.may_stand(state),
            last_index=state.log.last_index,
            commit_index=state.commit_index,
            applied_index=applied_index,
            snapshot_index=state.snapshot_index,
            voters=list(members.voters),
            learners=members.learners,
            retired=members.retired,
            peers=[self._peer(node, now) for node in state.progress],
            failure=failure,
        )

    def _peer(self, node, now):
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

    def _add(self, proposal_id, command):
        state = self.state
        if state.transfer_to:
            detail = "the leadership is handed over"
            return Error(_errors.ProposalRefusedError(detail))
        if state.uncommitted_bytes >= state.timing.uncommitted_bytes:
            detail = "too many bytes wait to be committed"
            return Error(_errors.ProposalRefusedError(detail))
        kind = configurations.KIND_COMMAND
        _replication.append(state, kind, proposal_id, command)
        return Ok(None)

    @functools.singledispatchmethod
    def _receive(self, message, sender):
        raise TypeError(f"no message of a group: {type(message).__name__}")

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
        _enrolment.on_request(self.state, sender, message)

    @_receive.register
    def _(self, message: messages.EnrolResponse, sender):
        _enrolment.on_response(self.state, sender, message, self._confirmed)

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
        """Add it, or refuse it if this leader never did nor will.

        A duplicate is neither added nor answered.
        """
        state = self.state
        if message.term != state.proposals_term:
            return
        if not state.proposals_seen.add(message.proposal_id):
            return
        if state.is_leader and state.term == message.term:
            added = self._add(message.proposal_id, message.command).is_ok()
            if added:
                return
        refused = messages.ProposalRefused(state.group, message.proposal_id)
        _state.send(state, sender, refused)
