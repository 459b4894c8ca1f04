"""Replication of the log from the leader to the others."""

from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _progress
from buckthorntack.consensus import _snapshots
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def append(state, kind, proposal_id, data):
    """Add an entry to the leader's log.

    :param state: the replica's state.
    :param kind: kind of entry.
    :param proposal_id: who waits for it; empty if nobody.
    :param data: its data.
    """
    entry = messages.LogEntry(
        index=state.log.last_index + 1,
        term=state.term,
        kind=kind,
        proposal_id=proposal_id,
        data=data,
    )
    state.log.append(entry)
    state.uncommitted_bytes += len(data)
    _state.note_configuration(state, entry)
    if kind == configurations.KIND_CONFIGURATION:
        follow_members(state)


def follow_members(state):
    """Keep progress of just the other members.

    :param state: the replica's state.
    """
    members = [
        node for node in state.configuration.members() if node != state.node_id
    ]
    state.progress = {
        node: state.progress.get(node)
        or _progress.Progress(state.log.last_index + 1)
        for node in members
    }


def send_entries(state):
    """Send what the windows allow.

    :param state: the replica's state.
    """
    for node, progress in state.progress.items():
        while _has_news(state, progress):
            if not _send_next(state, node, progress):
                break


def tell_commit(state):
    """Tell what is newly committed where no entries carry it.

    :param state: the replica's state.
    """
    for node, progress in state.progress.items():
        matched = progress.next_index > state.commit_index
        told = progress.commit_index >= state.commit_index
        if matched and not told and not progress.probing:
            _send_heartbeat(state, node, progress)


def heartbeat(state):
    """Begin a round of heartbeats.

    :param state: the replica's state.
    """
    state.round += 1
    state.heartbeat_due = state.now + state.timing.heartbeat
    for node, progress in state.progress.items():
        progress.paused = False
        if state.log.term_at(progress.next_index - 1) is None:
            progress.step_back()
        _send_heartbeat(state, node, progress)


def on_append_request(state, sender, request):
    """Take entries or a heartbeat from the leader.

    :param state: the replica's state.
    :param sender: the leader.
    :param request: its entries.
    """
    if request.voter_identity not in ("", state.identity):
        _state.retire(state)
        return
    if request.term < state.term:
        _refuse(state, sender, request, 0)
        return
    hear_leader(state, sender, request.term)
    hint_index = _mismatch_hint(state, request)
    if hint_index is not None:
        _refuse(state, sender, request, hint_index)
        return
    _store(state, request.entries)
    _state.persist_entries(state)
    match_index = request.previous_index + len(request.entries)
    commit(state, min(request.commit_index, match_index))
    response = messages.AppendResponse(
        group=state.group,
        term=state.term,
        identity=state.identity,
        accepted=True,
        match_index=match_index,
        previous_index=request.previous_index,
        round=request.round,
    )
    _state.send(state, sender, response)


def on_append_response(state, sender, response):
    """Note how far a replica has got.

    :param state: the replica's state.
    :param sender: the replica.
    :param response: its answer.
    """
    if response.term > state.term:
        _state.follow(state, response.term)
        return
    progress = heard_progress(state, sender, response)
    if progress is None:
        return
    progress.round = max(progress.round, response.round)
    if response.accepted:
        progress.accept(response.match_index)
    elif progress.transfer is None:
        progress.refuse(response.previous_index, response.match_index)


def heard_progress(state, sender, response):
    """Progress of a replica that answered this leader.

    :param state: the replica's state.
    :param sender: the replica.
    :param response: its answer.
    :returns: its progress, or None if the answer does not count.
    """
    if not state.is_leader or response.term != state.term:
        return None
    progress = state.progress.get(sender)
    if progress is None:
        return None
    if not _is_known_disk(state, sender, response.identity):
        state.commands.append(commands.DiskReplaced(sender))
        return None
    if progress.identity != response.identity:
        progress.restart(response.identity, state.log.last_index + 1)
    progress.heard_at = state.now
    return progress


def hear_leader(state, sender, term):
    """Follow a leader and note that it was heard.

    :param state: the replica's state.
    :param sender: the leader.
    :param term: its term.
    """
    _state.follow(state, term, sender)
    state.heard_at = state.now
    _state.reset_election_timeout(state)


def advance_commit(state):
    """Commit what a majority has, the leader's own log included.

    Entries of earlier terms are committed only along with one of this term.

    :param state: the replica's state.
    """
    matched = {
        node: progress.match_index for node, progress in state.progress.items()
    }
    matched[state.node_id] = state.persisted_index
    index = state.configuration.quorum_value(matched)
    if state.log.term_at(index) == state.term:
        commit(state, index)


def commit(state, index):
    """Apply entries up to an index.

    :param state: the replica's state.
    :param index: index known to be committed.
    """
    if index <= state.commit_index:
        return
    entries = state.log.between(state.commit_index + 1, index)
    state.commit_index = index
    if state.is_leader:
        state.uncommitted_bytes -= sum(len(entry.data) for entry in entries)
        state.uncommitted_bytes = max(0, state.uncommitted_bytes)
    state.commands.append(commands.Apply(entries))


def _has_news(state, progress):
    if not progress.may_send(state.timing.window_messages):
        return False
    return progress.next_index <= state.log.last_index


def _send_next(state, node, progress):
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        _snapshots.want(state, node, progress)
        return False
    entries = state.log.read(progress.next_index, state.timing.message_bytes)
    _send_append(state, node, previous_index, previous_term, entries)
    progress.sent(entries[-1].index)
    return True


def _send_heartbeat(state, node, progress):
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        previous_index, previous_term = 0, 0
    _send_append(state, node, previous_index, previous_term, [])


def _send_append(state, node, previous_index, previous_term, entries):
    request = messages.AppendRequest(
        group=state.group,
        term=state.term,
        previous_index=previous_index,
        previous_term=previous_term,
        entries=entries,
        commit_index=state.commit_index,
        round=state.round,
        voter_identity=state.configuration.voters.get(node, ""),
    )
    state.progress[node].commit_index = state.commit_index
    _state.send(state, node, request)


def _refuse(state, sender, request, hint_index):
    response = messages.AppendResponse(
        group=state.group,
        term=state.term,
        identity=state.identity,
        accepted=False,
        match_index=hint_index,
        previous_index=request.previous_index,
        round=request.round,
    )
    _state.send(state, sender, response)


def _mismatch_hint(state, request):
    """Newest index that may match, or None if the entries fit."""
    index = request.previous_index
    if index <= state.commit_index:
        return None
    term = state.log.term_at(index)
    if term == request.previous_term:
        return None
    if term is None:
        return state.log.last_index
    while index > state.commit_index and state.log.term_at(index) == term:
        index -= 1
    return index


def _store(state, entries):
    for entry in entries:
        if entry.index <= state.commit_index:
            continue
        term = state.log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            _state.truncate(state, entry.index)
        state.log.append(entry)
        _state.note_configuration(state, entry)


def _is_known_disk(state, node, identity):
    recorded = state.configuration.voters.get(node)
    if recorded is None:
        return True
    return identity == (recorded or state.peers.get(node, identity))
