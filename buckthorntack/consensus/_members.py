"""Changes of members, one at a time, and transfer of the leadership."""

from expression import Error
from expression import Ok

from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _elections
from buckthorntack.consensus import _errors
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def with_identities(state):
    """Members with the identities that this replica knows.

    :param state: the replica's state.
    """
    known = {**state.peers, state.node_id: state.identity}
    voters = {
        node: identity or known.get(node, "")
        for node, identity in state.configuration.voters.items()
    }
    return state.configuration._replace(voters=voters)


def add_learner(state, proposal_id, node):
    """Let a node receive the log without a vote.

    :param state: the replica's state.
    :param proposal_id: who waits for the change.
    :param node: the node.
    :returns: ``Result`` of None.
    """
    members = state.configuration
    refusal = _refusal(state)
    if refusal is not None:
        return Error(refusal)
    if node in members.members():
        return Error(_errors.MemberChangeError(f"{node} is a member already"))
    if node in members.retired:
        return Error(_errors.RetiredNodeError(f"{node} was a member before"))
    learners = [*members.learners, node]
    return _change(state, proposal_id, members._replace(learners=learners))


def promote(state, proposal_id, node):
    """Give a learner that has caught up a vote.

    :param state: the replica's state.
    :param proposal_id: who waits for the change.
    :param node: the learner.
    :returns: ``Result`` of None.
    """
    members = state.configuration
    refusal = _refusal(state)
    if refusal is not None:
        return Error(refusal)
    if node not in members.learners:
        return Error(_errors.MemberChangeError(f"{node} is no learner"))
    if not has_caught_up(state, node):
        return Error(_errors.LearnerBehindError(f"{node} lacks entries"))
    learners = [name for name in members.learners if name != node]
    identity = state.progress[node].identity
    voters = {**members.voters, node: identity}
    changed = members._replace(voters=voters, learners=learners)
    return _change(state, proposal_id, changed)


def remove(state, proposal_id, node):
    """Remove a voter or learner; its id may not return.

    :param state: the replica's state.
    :param proposal_id: who waits for the change.
    :param node: the node.
    :returns: ``Result`` of None.
    """
    members = state.configuration
    refusal = _refusal(state)
    if refusal is not None:
        return Error(refusal)
    if node not in members.members():
        return Error(_errors.MemberChangeError(f"{node} is no member"))
    voters = {k: v for k, v in members.voters.items() if k != node}
    learners = [name for name in members.learners if name != node]
    retired = [*members.retired, node]
    changed = configurations.Configuration(voters, learners, retired)
    heard = _elections.recently_heard(state)
    if node in members.voters and not changed.has_quorum(heard):
        detail = f"too few voters are heard to go on without {node}"
        return Error(_errors.QuorumAtRiskError(detail))
    return _change(state, proposal_id, changed)


def has_caught_up(state, node):
    """Whether a learner has so much of the log that it may be promoted.

    :param state: the replica's state.
    :param node: the learner.
    """
    progress = state.progress.get(node)
    if progress is None or node not in _elections.recently_heard(state):
        return False
    needed = state.log.last_index - state.timing.promotion_lag_entries
    return progress.match_index >= max(needed, 1)


def transfer(state, node=""):
    """Hand the leadership to another voter.

    :param state: the replica's state.
    :param node: the voter; empty for the one that has most of the log.
    :returns: ``Result`` of the voter's node id.
    """
    if not state.is_leader:
        return Error(_errors.NotLeaderError(f"{state.node_id} does not lead"))
    candidates = [
        voter
        for voter in _elections.recently_heard(state)
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
    """Ask the successor to stand once it has the whole log.

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
    """Stop leading once the removal of this replica is committed.

    :param state: the replica's state.
    """
    place, members = state.history[-1]
    if state.node_id in members.voters or state.commit_index < place:
        return
    _state.follow(state, state.term)


def _refusal(state):
    if not state.is_leader:
        return _errors.NotLeaderError(
            f"{state.node_id} does not lead {state.group}; "
            f"the leader is {state.leader or 'not known'}"
        )
    if state.transfer_to:
        return _errors.ProposalRefusedError("the leadership is handed over")
    if state.commit_index < state.term_start_index:
        return _errors.ChangeInProgressError("the leader's term just began")
    if state.history[-1][0] > state.commit_index:
        return _errors.ChangeInProgressError(f"group {state.group}")
    return None


def _change(state, proposal_id, members):
    data = configurations.encode(members)
    kind = configurations.KIND_CONFIGURATION
    _replication.append(state, kind, proposal_id, data)
    return Ok(None)
