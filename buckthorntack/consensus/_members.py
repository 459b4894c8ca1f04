"""Membership changes, one at a time, and leadership transfer.

A voter is replaced by joint consensus: the entry of the replacement makes the
voters before and after it decide together.  Once it is committed, the leader
adds an entry by which the new voters decide alone.  No majority is lost at any
step if one of the voters, old or new, fails.
"""

from expression import Error
from expression import Ok

from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _elections
from buckthorntack.consensus import _errors
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def with_known_identities(state):
    """Configuration completed with the disk identities known here.

    :param state: the replica's state.
    :returns: a ``Configuration``.
    """
    known = {**state.peers, state.node_id: state.identity}

    def complete(voters):
        return {
            node: identity or known.get(node, "")
            for node, identity in voters.items()
        }

    members = state.configuration
    return members._replace(
        voters=complete(members.voters), outgoing=complete(members.outgoing)
    )


def add_learner(state, proposal_id, node):
    """Add a node that receives the log but has no vote.

    :param state: the replica's state.
    :param proposal_id: id of the proposal of this change.
    :param node: id of the node.
    :returns: ``Result`` of None.
    """
    members = state.configuration
    refusal = _find_refusal(state)
    if refusal is not None:
        return Error(refusal)
    if node in members.members():
        return Error(_errors.MemberChangeError(f"{node} is already a member"))
    if node in members.retired:
        return Error(_errors.RetiredNodeError(f"{node} was removed earlier"))
    learners = [*members.learners, node]
    return _append_change(
        state, proposal_id, members._replace(learners=learners)
    )


def promote(state, proposal_id, node):
    """Make a learner that has caught up a voter.

    :param state: the replica's state.
    :param proposal_id: id of the proposal of this change.
    :param node: id of the learner.
    :returns: ``Result`` of None.
    """
    refusal = _find_refusal(state) or _find_promotion_refusal(state, node)
    if refusal is not None:
        return Error(refusal)
    promoted = _with_voter(state, node)
    return _append_change(state, proposal_id, promoted)


def replace(state, proposal_id, node, successor, retire):
    """Replace a voter by a learner that has caught up.

    :param state: the replica's state.
    :param proposal_id: id of the proposal of this change.
    :param node: id of the voter.
    :param successor: id of the learner.
    :param retire: whether the voter is removed permanently; otherwise it
        becomes a learner.
    :returns: ``Result`` of None.
    """
    members = state.configuration
    refusal = _find_refusal(state) or _find_promotion_refusal(state, successor)
    if refusal is not None:
        return Error(refusal)
    if node not in members.voters:
        return Error(_errors.MemberChangeError(f"{node} is not a voter"))
    changed = _with_voter(state, successor)
    del changed.voters[node]
    (changed.retired if retire else changed.learners).append(node)
    joint = changed._replace(outgoing=dict(members.voters))
    if not joint.has_quorum(_elections.list_active_nodes(state)):
        detail = f"too few voters respond to replace {node}"
        return Error(_errors.QuorumAtRiskError(detail))
    return _append_change(state, proposal_id, joint)


def leave_joint(state):
    """Let the new voters decide alone once their replacement is committed.

    :param state: the state of the leader.
    """
    index, members = state.history[-1]
    if members.is_joint and state.commit_index >= index:
        _append_change(state, "", members._replace(outgoing={}))


def remove(state, proposal_id, node):
    """Remove a voter or learner; its node id can't be reused.

    :param state: the replica's state.
    :param proposal_id: id of the proposal of this change.
    :param node: id of the member.
    :returns: ``Result`` of None.
    """
    members = state.configuration
    refusal = _find_refusal(state)
    if refusal is not None:
        return Error(refusal)
    if node not in members.members():
        return Error(_errors.MemberChangeError(f"{node} is not a member"))
    voters = {k: v for k, v in members.voters.items() if k != node}
    learners = [name for name in members.learners if name != node]
    retired = [*members.retired, node]
    changed = configurations.Configuration(voters, learners, retired)
    active = _elections.list_active_nodes(state)
    if node in members.voters and not changed.has_quorum(active):
        detail = f"too few voters respond to keep a majority without {node}"
        return Error(_errors.QuorumAtRiskError(detail))
    return _append_change(state, proposal_id, changed)


def has_caught_up(state, node):
    """Whether a learner's log is complete enough for a promotion.

    :param state: the replica's state.
    :param node: id of the learner.
    """
    progress = state.progress.get(node)
    if progress is None or node not in _elections.list_active_nodes(state):
        return False
    needed = state.log.last_index - state.timing.promotion_lag_entries
    return progress.match_index >= max(needed, 1)


def transfer(state, node=""):
    """Start a leadership transfer.

    :param state: the replica's state.
    :param node: id of the voter to take over; empty for the active voter with
        the most complete log.
    :returns: ``Result`` of the voter's node id.
    """
    if not state.is_leader:
        return Error(
            _errors.NotLeaderError(f"{state.node_id} is not the leader")
        )
    candidates = [
        voter
        for voter in _elections.list_active_nodes(state)
        if voter in state.configuration.voters and voter != state.node_id
    ]
    if node:
        candidates = [voter for voter in candidates if voter == node]
    if not candidates:
        return Error(_errors.NoTransferTargetError(f"group {state.group}"))
    best = max(sorted(candidates), key=lambda v: state.progress[v].match_index)
    state.transfer_to = best
    state.transfer_due = state.now + state.timing.election_timeout
    return Ok(best)


def advance_transfer(state):
    """Request an election by the transfer target once its log is complete.

    The transfer is given up after its deadline.

    :param state: the replica's state.
    """
    if not state.transfer_to:
        return
    if state.now >= state.transfer_due:
        state.transfer_to = ""
        return
    progress = state.progress.get(state.transfer_to)
    if progress is None or progress.match_index < state.log.last_index:
        return
    request = messages.TransferRequest(state.group, state.term)
    _state.send(state, state.transfer_to, request)


def step_down_if_removed(state):
    """Step down once the removal of this replica is committed.

    :param state: the replica's state.
    """
    index, members = state.history[-1]
    if state.node_id in members.all_voters() or state.commit_index < index:
        return
    _state.become_follower(state, state.term)


def _find_refusal(state):
    if not state.is_leader:
        return _errors.NotLeaderError(
            f"{state.node_id} is not the leader of {state.group}; "
            f"the leader is {state.leader or 'unknown'}"
        )
    if state.transfer_to:
        return _errors.ProposalRefusedError("leadership transfer in progress")
    if state.commit_index < state.term_start_index:
        return _errors.ChangeInProgressError(
            "no entry of this term is committed"
        )
    index, members = state.history[-1]
    if index > state.commit_index or members.is_joint:
        return _errors.ChangeInProgressError(f"group {state.group}")
    return None


def _find_promotion_refusal(state, node):
    if node not in state.configuration.learners:
        return _errors.MemberChangeError(f"{node} is not a learner")
    if not has_caught_up(state, node):
        return _errors.LearnerBehindError(f"{node} lacks log entries")
    return None


def _with_voter(state, learner):
    """Copy of the configuration in which a learner is a voter."""
    members = state.configuration
    identity = state.progress[learner].identity
    return configurations.Configuration(
        voters={**members.voters, learner: identity},
        learners=[name for name in members.learners if name != learner],
        retired=list(members.retired),
    )


def _append_change(state, proposal_id, members):
    data = configurations.encode(members)
    kind = configurations.KIND_CONFIGURATION
    _replication.append(state, kind, proposal_id, data)
    return Ok(None)
