"""Snapshot transfer from the leader to replicas that lag far behind."""

from buckthorntack import storage
from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _progress
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


class IncomingSnapshot:
    """A snapshot that is partly received.

    :param index: index of the last entry that it covers.
    :param index_term: term of that entry.
    """

    def __init__(self, index, index_term):
        self.index = index
        self.index_term = index_term
        self.data = bytearray()


def request_snapshot(state, node, progress):
    """Have a snapshot taken for a replica that needs one.

    Snapshots are sent to one replica at a time, so that the total rate stays
    bounded when several lag behind.

    :param state: the state of the leader.
    :param node: the replica that needs the snapshot.
    :param progress: its progress.
    """
    if _is_sending(state) or not _is_active(state, progress):
        return
    progress.snapshot_requested = True
    state.commands.append(commands.LoadSnapshot(node))


def start_transfer(state, node, snapshot):
    """Start to send a snapshot.

    :param state: the state of the leader.
    :param node: the replica that needs it.
    :param snapshot: the newest snapshot.
    """
    progress = state.progress.get(node)
    if progress is None or not progress.snapshot_requested:
        return
    progress.snapshot_requested = False
    progress.transfer = _progress.SnapshotTransfer(snapshot, 0, None, False)
    _send_chunk(state, node, progress)


def tick(state):
    """Send the chunks that are due, and resend unacknowledged ones.

    :param state: the state of the leader.
    """
    for node, progress in state.progress.items():
        transfer = progress.transfer
        if transfer is None:
            continue
        if not _is_active(state, progress):
            progress.transfer = None
            continue
        interval = state.timing.chunk_interval
        if transfer.waiting:
            interval = 2 * state.timing.heartbeat
        if state.now - transfer.sent_at >= interval:
            _send_chunk(state, node, progress)


def on_chunk(state, sender, chunk):
    """Handle a chunk of a snapshot from the leader.

    The snapshot is installed when its last chunk has arrived.

    :param state: the replica's state.
    :param sender: the leader.
    :param chunk: the chunk.
    """
    if chunk.term < state.term:
        _respond(state, sender, chunk, 0, False)
        return
    _replication.record_leader_contact(state, sender, chunk.term)
    if _is_already_covered(state, chunk):
        _replication.commit(state, chunk.index)
        _respond(state, sender, chunk, chunk.total_bytes, True)
        return
    received_bytes = _add_chunk(state, chunk)
    complete = received_bytes == chunk.total_bytes
    if complete:
        _install(state, chunk)
    _respond(state, sender, chunk, received_bytes, complete)


def on_chunk_response(state, sender, response):
    """Continue or end a snapshot transfer after a response.

    :param state: the replica's state.
    :param sender: the replica that receives the snapshot.
    :param response: its response.
    """
    if response.term > state.term:
        _state.become_follower(state, response.term)
        return
    progress = _replication.record_response(state, sender, response)
    if progress is None or progress.transfer is None:
        return
    transfer = progress.transfer
    if transfer.snapshot.info.index != response.index:
        return
    if response.installed:
        progress.transfer = None
        progress.record_match(response.index)
        return
    progress.transfer = transfer._replace(
        offset_bytes=response.received_bytes, waiting=False
    )
    if state.now - transfer.sent_at >= state.timing.chunk_interval:
        _send_chunk(state, sender, progress)


def _is_sending(state):
    return any(
        progress.transfer is not None or progress.snapshot_requested
        for progress in state.progress.values()
    )


def _is_active(state, progress):
    if progress.heard_at is None:
        return False
    return state.now - progress.heard_at <= state.timing.election_timeout


def _send_chunk(state, node, progress):
    transfer = progress.transfer
    info = transfer.snapshot.info
    start = transfer.offset_bytes
    data = transfer.snapshot.data[start : start + state.timing.chunk_bytes]
    chunk = messages.SnapshotChunk(
        group=state.group,
        term=state.term,
        index=info.index,
        index_term=info.term,
        configuration=info.configuration,
        offset_bytes=start,
        total_bytes=len(transfer.snapshot.data),
        data=data,
    )
    _state.send(state, node, chunk)
    progress.transfer = transfer._replace(sent_at=state.now, waiting=True)


def _is_already_covered(state, chunk):
    if chunk.index <= state.commit_index:
        return True
    return state.log.term_at(chunk.index) == chunk.index_term


def _add_chunk(state, chunk):
    key = (chunk.index, chunk.index_term)
    incoming = state.incoming
    if incoming is None or (incoming.index, incoming.index_term) != key:
        incoming = IncomingSnapshot(*key)
        state.incoming = incoming
    if chunk.offset_bytes == len(incoming.data):
        incoming.data += chunk.data
    return len(incoming.data)


def _install(state, chunk):
    info = storage.SnapshotInfo(
        chunk.index, chunk.index_term, chunk.configuration
    )
    snapshot = storage.Snapshot(info, bytes(state.incoming.data))
    state.incoming = None
    state.log.restore(chunk.index, chunk.index_term)
    state.persisted_index = chunk.index
    state.commit_index = chunk.index
    state.snapshot_index = chunk.index
    members = configurations.decode(chunk.configuration)
    state.history = [(chunk.index, members)]
    state.commands.append(commands.RestoreSnapshot(snapshot))


def _respond(state, sender, chunk, received_bytes, installed):
    response = messages.SnapshotChunkResponse(
        group=state.group,
        term=state.term,
        identity=state.identity,
        index=chunk.index,
        received_bytes=received_bytes,
        installed=installed,
    )
    _state.send(state, sender, response)
