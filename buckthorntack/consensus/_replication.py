"""Log replication from the leader to the other members."""

from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _progress
from buckthorntack.consensus import _snapshots
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def append(state, kind, proposal_id, data):
    """Append an entry to the leader's log.

    :param state: the state of the leader.
    :param kind: kind of the entry, one of ``KIND_*``.
    :param proposal_id: id of its proposal; empty if no caller waits for it.
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
    _state.record_configuration(state, entry)
    if kind == configurations.KIND_CONFIGURATION:
        update_progress_members(state)


def update_progress_members(state):
    """Track the progress of exactly the other current members.

    :param state: the state of the leader.
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
    """Send new entries to each member as far as flow control allows.

    :param state: the state of the leader.
    """
    for node, progress in state.progress.items():
        while _can_send_entries(state, progress):
            if not _send_next_entries(state, node, progress):
                break


def send_commit_index(state):
    """Send the commit index to members that no append request informed of it.

    :param state: the state of the leader.
    """
    for node, progress in state.progress.items():
        has_entries = progress.next_index > state.commit_index
        is_informed = progress.commit_index >= state.commit_index
        if has_entries and not is_informed and not progress.probing:
            _send_heartbeat(state, node, progress)


def send_heartbeats(state):
    """Start a heartbeat round.

    :param state: the state of the leader.
    """
    state.round += 1
    state.heartbeat_due = state.now + state.timing.heartbeat
    for node, progress in state.progress.items():
        progress.probe_sent = False
        if state.log.term_at(progress.next_index - 1) is None:
            progress.reset_to_match()
        _send_heartbeat(state, node, progress)


def on_append_request(state, sender, request):
    """Handle entries or a heartbeat from the leader.

    :param state: the replica's state.
    :param sender: the leader.
    :param request: its request; a heartbeat has no entries.
    """
    if request.voter_identity not in ("", state.identity):
        _state.mark_disk_replaced(state)
        return
    if request.term < state.term:
        _refuse_append(state, sender, request, 0)
        return
    record_leader_contact(state, sender, request.term)
    hint_index = _mismatch_hint(state, request)
    if hint_index is not None:
        _refuse_append(state, sender, request, hint_index)
        return
    _append_entries(state, request.entries)
    _state.persist_entries(state)
    match_index = request.previous_index + len(request.entries)
    commit(state, min(request.commit_index, match_index))
    if state.commit_index >= request.commit_index:
        state.in_step_at = state.now
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
    """Update the progress of a replica from its response.

    :param state: the replica's state.
    :param sender: the replica that responded.
    :param response: its response.
    """
    if response.term > state.term:
        _state.become_follower(state, response.term)
        return
    progress = record_response(state, sender, response)
    if progress is None:
        return
    progress.round = max(progress.round, response.round)
    if response.accepted:
        progress.record_match(response.match_index)
    elif progress.transfer is None:
        progress.record_mismatch(response.previous_index, response.match_index)


def record_response(state, sender, response):
    """Record that a replica responded to this leader.

    :param state: the replica's state.
    :param sender: the replica that responded.
    :param response: its response.
    :returns: its progress, or None if the response must be ignored.
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
        progress.reset_for_new_disk(
            response.identity, state.log.last_index + 1
        )
    progress.heard_at = state.now
    return progress


def record_leader_contact(state, sender, term):
    """Follow a leader and restart the election timeout.

    :param state: the replica's state.
    :param sender: the leader.
    :param term: its term.
    """
    _state.become_follower(state, term, sender)
    state.heard_at = state.now
    _state.reset_election_timeout(state)


def advance_commit(state):
    """Commit the entries that a majority of the voters has stored.

    The leader's own log counts.  Entries of earlier terms are committed only
    together with an entry of this term, as a later leader might otherwise
    replace them.

    :param state: the state of the leader.
    """
    matched = {
        node: progress.match_index for node, progress in state.progress.items()
    }
    matched[state.node_id] = state.persisted_index
    index = state.configuration.quorum_value(matched)
    if state.log.term_at(index) == state.term:
        commit(state, index)


def commit(state, index):
    """Raise the commit index and have the committed entries applied.

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


def _can_send_entries(state, progress):
    if not progress.can_send(state.timing.window_messages):
        return False
    return progress.next_index <= state.log.last_index


def _send_next_entries(state, node, progress):
    first = progress.next_index
    previous_term = state.log.term_at(first - 1)
    if previous_term is None or _is_replay_too_long(state, progress):
        _snapshots.request_snapshot(state, node, progress)
        return False
    entries = state.log.read(first, state.timing.message_bytes)
    size_bytes = sum(len(entry.data) for entry in entries)
    if not progress.has_room(size_bytes, state.timing.window_bytes):
        return False
    if progress.probing and size_bytes > state.timing.probe_bytes:
        entries, size_bytes = [], 0
    _send_append(state, node, first - 1, previous_term, entries)
    progress.record_sent(first - 1 + len(entries), size_bytes)
    return True


def _is_replay_too_long(state, progress):
    """Whether a replica without entries lacks more than it is to replay."""
    if progress.next_index > 1 or not state.commit_index:
        return False
    replayed_bytes = state.log.size_bytes(1, state.commit_index)
    return replayed_bytes > state.timing.replayed_bytes


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
        voter_identity=state.configuration.all_voters().get(node, ""),
    )
    state.progress[node].commit_index = state.commit_index
    _state.send(state, node, request)


def _refuse_append(state, sender, request, hint_index):
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
    """Highest index that may match, or None if the previous entry matches."""
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


def _append_entries(state, entries):
    for entry in entries:
        if entry.index <= state.commit_index:
            continue
        term = state.log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            _state.truncate(state, entry.index)
        state.log.append(entry)
        _state.record_configuration(state, entry)


def _is_known_disk(state, node, identity):
    recorded = state.configuration.all_voters().get(node)
    if recorded is None:
        return True
    return identity == (recorded or state.peers.get(node, identity))
