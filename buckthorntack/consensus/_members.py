"""Membership changes, one at a time, and leadership transfer."""

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
    voters = {
        node: identity or known.get(node, "")
        for node, identity in state.configuration.voters.items()
    }
    return state.configuration._replace(voters=voters)


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
    members = state.configuration
    refusal = _find_refusal(state)
    if refusal is not None:
        return Error(refusal)
    if node not in members.learners:
        return Error(_errors.MemberChangeError(f"{node} is not a learner"))
    if not has_caught_up(state, node):
        return Error(_errors.LearnerBehindError(f"{node} lacks log entries"))
    learners = [name for name in members.learners if name != node]
    identity = state.progress[node].identity
    voters = {**members.voters, node: identity}
    changed = members._replace(voters=voters, learners=learners)
    return _append_change(state, proposal_id, changed)


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
    if state.node_id in members.voters or state.commit_index < index:
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
    if state.history[-1][0] > state.commit_index:
        return _errors.ChangeInProgressError(f"group {state.group}")
    return None


def _append_change(state, proposal_id, members):
    data = configurations.encode(members)
    kind = configurations.KIND_CONFIGURATION
    _replication.append(state, kind, proposal_id, data)
    return Ok(None)
