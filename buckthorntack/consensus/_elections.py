"""Elections: trial rounds, votes, and leaders without a majority."""

from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _members
from buckthorntack.consensus import _proposals
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def tick(state):
    """Start an election if the leader was silent for too long.

    :param state: the replica's state.
    """
    if state.election_due is None:
        _state.reset_election_timeout(
            state, state.timing.first_election_timeout
        )
        if _is_alone(state):
            state.election_due = state.now
    if state.is_leader or state.now < state.election_due:
        return
    _state.retry_election_soon(state)
    if may_stand(state):
        stand(state, trial=True)


def may_stand(state):
    """Whether this replica may ask for votes.

    A voter whose removal may not be committed still may, as nobody else may
    have the entries that it has.

    :param state: the replica's state.
    """
    identity = state.configuration.voters.get(state.node_id)
    if identity is None and state.history[-1][0] > state.commit_index:
        members = _state.configuration_at(state, state.history[-1][0] - 1)
        identity = members.voters.get(state.node_id)
    if identity is None:
        return False
    return may_vote(state, identity)


def may_vote(state, voter_identity):
    """Whether the disk of this replica is the one that was given the vote.

    :param state: the replica's state.
    :param voter_identity: identity by the members of the group; empty if no
        leader has recorded it yet.
    """
    if state.replaced:
        return False
    if voter_identity:
        return voter_identity == state.identity
    return state.enrolled


def stand(state, trial, transfer=False):
    """Ask for votes.

    :param state: the replica's state.
    :param trial: whether only to ask how others would vote.
    :param transfer: whether the leader asked for it.
    """
    if trial:
        _state.change_role(state, _state.Role.PRE_CANDIDATE)
    else:
        state.term += 1
        state.vote = state.node_id
        _state.persist_hard_state(state)
        _state.change_role(state, _state.Role.CANDIDATE)
    state.votes = {state.node_id}
    for node, identity in state.configuration.voters.items():
        if node == state.node_id:
            continue
        message = messages.VoteRequest(
            group=state.group,
            term=state.term + 1 if trial else state.term,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            voter_identity=identity,
            trial=trial,
            transfer=transfer,
        )
        _state.send(state, node, message)
    _count_votes(state)


def on_vote_request(state, sender, request):
    """Answer a request for a vote.

    A replica that hears its leader does not even answer, so that one which
    was cut off can't disturb the group.

    :param state: the replica's state.
    :param sender: the candidate.
    :param request: its request.
    """
    if not request.transfer and _state.hears_leader(state):
        return
    if not request.trial and request.term > state.term:
        _state.follow(state, request.term)
    granted = grants(state, sender, request)
    if granted and not request.trial:
        state.vote = sender
        _state.persist_hard_state(state)
        _state.reset_election_timeout(state)
    answered_term = request.term if granted else state.term
    response = messages.VoteResponse(
        state.group, answered_term, granted, request.trial
    )
    _state.send(state, sender, response)


def grants(state, sender, request):
    """Whether a vote is granted.

    :param state: the replica's state.
    :param sender: the candidate.
    :param request: its request.
    """
    if not may_vote(state, request.voter_identity):
        return False
    if not _is_up_to_date(state, request):
        return False
    if request.trial:
        return request.term > state.term and _gives_way(state, sender, request)
    return request.term == state.term and state.vote in ("", sender)


def on_vote_response(state, sender, response):
    """Count a vote.

    :param state: the replica's state.
    :param sender: the voter.
    :param response: its answer.
    """
    if not response.granted:
        if response.term > state.term:
            _state.follow(state, response.term)
        return
    expected = state.term + 1 if response.trial else state.term
    role = _state.Role.CANDIDATE
    if response.trial:
        role = _state.Role.PRE_CANDIDATE
    if state.role is not role or response.term != expected:
        return
    state.votes.add(sender)
    _count_votes(state)


def on_transfer_request(state, sender, request):
    """Stand at once, as the leader asked for it.

    :param state: the replica's state.
    :param sender: the leader.
    :param request: its request.
    """
    if request.term != state.term or sender != state.leader:
        return
    if may_stand(state):
        stand(state, trial=False, transfer=True)


def step_down_without_quorum(state):
    """Stop leading if a majority was not heard for an election timeout.

    :param state: the replica's state.
    """
    if state.now - state.elected_at < state.timing.election_timeout:
        return
    if not state.configuration.has_quorum(recently_heard(state)):
        _state.follow(state, state.term)


def recently_heard(state):
    """Nodes that a leader heard within the election timeout, and itself.

    :param state: the replica's state.
    """
    oldest = state.now - state.timing.election_timeout
    heard = {
        node
        for node, progress in state.progress.items()
        if progress.heard_at is not None and progress.heard_at >= oldest
    }
    return heard | {state.node_id}


def _is_alone(state):
    return list(state.configuration.voters) == [state.node_id]


def _is_up_to_date(state, request):
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def _gives_way(state, sender, request):
    """Of two that stand with equal logs, only one goes on."""
    if state.role is not _state.Role.PRE_CANDIDATE:
        return True
    own = (state.log.last_term, state.log.last_index)
    if (request.last_term, request.last_index) != own:
        return True
    return sender > state.node_id


def _count_votes(state):
    if not state.configuration.has_quorum(state.votes):
        return
    if state.role is _state.Role.PRE_CANDIDATE:
        stand(state, trial=False)
    elif state.role is _state.Role.CANDIDATE:
        _lead(state)


def _lead(state):
    _state.change_role(state, _state.Role.LEADER, state.node_id)
    state.progress = {}
    state.elected_at = state.now
    state.heartbeat_due = state.now
    state.uncommitted_bytes = 0
    state.transfer_to = ""
    state.proposals_term = state.term
    state.proposals_seen = _proposals.SeenProposals()
    _replication.follow_members(state)
    _append_first_entry(state)
    state.term_start_index = state.log.last_index


def _append_first_entry(state):
    """Let an entry of this term commit those of earlier ones."""
    members = _members.with_identities(state)
    if members == state.configuration:
        _replication.append(state, configurations.KIND_NO_OP, "", b"")
        return
    data = configurations.encode(members)
    _replication.append(state, configurations.KIND_CONFIGURATION, "", data)
