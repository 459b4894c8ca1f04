"""Leader election with pre-votes, and stepping down without a quorum."""

from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _members
from buckthorntack.consensus import _proposals
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def tick(state):
    """Start a pre-vote, or forget the leader, after the election timeout.

    :param state: the replica's state.
    """
    if state.election_due is None:
        _schedule_first_election(state)
    if state.is_leader or state.now < state.election_due:
        return
    _state.schedule_election_retry(state)
    if can_start_election(state):
        start_election(state, trial=True)
    else:
        # Without a vote nothing else would end the belief in a lost leader.
        _state.become_follower(state, state.term)


def _schedule_first_election(state):
    """Schedule the election after a start, in which a leader may live.

    The voters of a group that start together take turns by node id, so that
    they do not split the votes.
    """
    shortest = state.timing.first_election_timeout
    if shortest is None:
        _state.reset_election_timeout(state)
    else:
        voters = sorted(state.configuration.all_voters(), reverse=True)
        turn = len(voters)
        if state.node_id in voters:
            turn = voters.index(state.node_id)
        delay = shortest + turn * state.timing.first_election_interval
        state.election_due = state.now + delay
    if _is_only_voter(state):
        state.election_due = state.now


def can_start_election(state):
    """Whether this replica may ask for votes.

    A voter whose removal is not known to be committed may do so too: it may
    be the only one whose log is complete enough to win.

    :param state: the replica's state.
    """
    identity = state.configuration.all_voters().get(state.node_id)
    if identity is None and state.history[-1][0] > state.commit_index:
        members = _state.configuration_at(state, state.history[-1][0] - 1)
        identity = members.all_voters().get(state.node_id)
    if identity is None:
        return False
    return can_vote(state, identity)


def can_vote(state, voter_identity):
    """Whether the configuration gives the vote to this replica's disk.

    A disk that lost its data must not vote, as its earlier votes and
    acknowledged entries are gone.

    :param state: the replica's state.
    :param voter_identity: disk identity recorded in the configuration; empty
        if no leader has recorded it yet.
    """
    if state.replaced:
        return False
    if voter_identity:
        return voter_identity == state.identity
    return state.enrolled


def start_election(state, trial, transfer=False):
    """Ask the other voters for pre-votes or votes.

    :param state: the replica's state.
    :param trial: whether to ask for pre-votes, without starting a term.
    :param transfer: whether the leader transfers its leadership.
    """
    if trial:
        _state.change_role(state, _state.Role.PRE_CANDIDATE)
    else:
        state.term += 1
        state.vote = state.node_id
        _state.persist_hard_state(state)
        _state.change_role(state, _state.Role.CANDIDATE)
    state.votes = {state.node_id}
    for node, identity in state.configuration.all_voters().items():
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
    """Respond to a request for a vote or pre-vote.

    A replica with an active leader does not respond, so that a node that
    returns from a partition can't depose the leader with its higher term.

    :param state: the replica's state.
    :param sender: the candidate.
    :param request: its request.
    """
    if not request.transfer and _state.has_active_leader(state):
        return
    if not request.trial and request.term > state.term:
        _state.become_follower(state, request.term)
    granted = should_grant_vote(state, sender, request)
    if granted and not request.trial:
        state.vote = sender
        _state.persist_hard_state(state)
        _state.reset_election_timeout(state)
    response_term = request.term if granted else state.term
    response = messages.VoteResponse(
        state.group, response_term, granted, request.trial
    )
    _state.send(state, sender, response)


def should_grant_vote(state, sender, request):
    """Whether to grant a vote or pre-vote.

    :param state: the replica's state.
    :param sender: the candidate.
    :param request: its request.
    """
    if not can_vote(state, request.voter_identity):
        return False
    if not _is_up_to_date(state, request):
        return False
    if request.trial:
        return request.term > state.term and _passes_tie_break(
            state, sender, request
        )
    return request.term == state.term and state.vote in ("", sender)


def on_vote_response(state, sender, response):
    """Count a vote or pre-vote.

    :param state: the replica's state.
    :param sender: the voter.
    :param response: its response.
    """
    if not response.granted:
        if response.term > state.term:
            _state.become_follower(state, response.term)
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
    """Start an election at once, as the leader transfers its leadership.

    :param state: the replica's state.
    :param sender: the leader.
    :param request: its request.
    """
    if request.term != state.term or sender != state.leader:
        return
    if can_start_election(state):
        start_election(state, trial=False, transfer=True)


def step_down_without_quorum(state):
    """Step down if no quorum responded within the election timeout.

    :param state: the replica's state.
    """
    if state.now - state.elected_at < state.timing.election_timeout:
        return
    if not state.configuration.has_quorum(list_active_nodes(state)):
        _state.become_follower(state, state.term)


def list_active_nodes(state):
    """List the nodes that responded within the election timeout.

    :param state: the state of the leader.
    :returns: set of node ids, the leader's own included.
    """
    active_since = state.now - state.timing.election_timeout
    active = {
        node
        for node, progress in state.progress.items()
        if progress.heard_at is not None and progress.heard_at >= active_since
    }
    return active | {state.node_id}


def _is_only_voter(state):
    return list(state.configuration.all_voters()) == [state.node_id]


def _is_up_to_date(state, request):
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def _passes_tie_break(state, sender, request):
    """Whether the sender wins if both are pre-candidates with equal logs.

    The higher node id wins, so that two pre-candidates can't split the votes.
    """
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
        start_election(state, trial=False)
    elif state.role is _state.Role.CANDIDATE:
        _become_leader(state)


def _become_leader(state):
    _state.change_role(state, _state.Role.LEADER, state.node_id)
    state.progress = {}
    state.elected_at = state.now
    state.heartbeat_due = state.now
    state.uncommitted_bytes = 0
    state.transfer_to = ""
    state.proposals_term = state.term
    state.proposals_seen = _proposals.SeenProposals()
    _replication.update_progress_members(state)
    _append_first_entry_of_term(state)
    state.term_start_index = state.log.last_index


def _append_first_entry_of_term(state):
    """Append an entry of this term, which commits those of earlier terms.

    It is a configuration if this leader knows disk identities that the
    current one lacks, otherwise a no-op.
    """
    members = _members.with_known_identities(state)
    if members == state.configuration:
        _replication.append(state, configurations.KIND_NO_OP, "", b"")
        return
    data = configurations.encode(members)
    _replication.append(state, configurations.KIND_CONFIGURATION, "", data)
