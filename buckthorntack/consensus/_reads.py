"""Linearizable reads by the Raft read-index protocol.

The leader takes its commit index as the read index.  It answers the read
after a majority has confirmed its leadership in a later heartbeat round.
"""

from typing import NamedTuple

from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _ranges
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


class Read(NamedTuple):
    """A read that waits for its read index."""

    origin: str
    read_id: int


def start_read(state, read):
    """Start a read of this replica, through the leader if it is another.

    :param state: the replica's state.
    :param read: the read.
    """
    if state.is_leader:
        state.pending_reads.append(read)
    elif state.leader:
        request = messages.ReadRequest(state.group, read.read_id)
        _state.send(state, state.leader, request)
    else:
        _state.refuse_read(state, read)


def on_read_request(state, sender, request):
    """Start a read for another replica.

    :param state: the replica's state.
    :param sender: the other replica.
    :param request: its request.
    """
    read = Read(sender, request.read_id)
    if state.is_leader:
        state.pending_reads.append(read)
    else:
        _state.refuse_read(state, read)


def on_read_response(state, sender, response):
    """Handle the leader's read index for a read of this replica.

    :param state: the replica's state.
    :param sender: the leader.
    :param response: its response.
    """
    if response.index == _ranges.NO_READ_INDEX:
        state.commands.append(commands.ReadRefused(response.read_id))
        return
    ready = commands.ReadReady(response.read_id, response.index)
    state.commands.append(ready)


def advance_reads(state):
    """Answer confirmed reads and start a heartbeat round for pending ones.

    :param state: the state of the leader.
    """
    _answer_confirmed_reads(state)
    if state.unconfirmed_reads or not state.pending_reads:
        return
    if state.commit_index < state.term_start_index:
        return
    schedule_confirmation(state)
    _replication.send_heartbeats(state)
    _answer_confirmed_reads(state)


def schedule_confirmation(state):
    """Assign the pending reads to the next heartbeat round.

    Reads wait until an entry of this term is committed, as the commit index
    may be out of date before that.

    :param state: the state of the leader.
    """
    if state.commit_index < state.term_start_index:
        return
    next_round = state.round + 1
    for read in state.pending_reads:
        state.unconfirmed_reads.append((next_round, state.commit_index, read))
    state.pending_reads = []


def _answer_confirmed_reads(state):
    if not state.unconfirmed_reads:
        return
    rounds = {
        node: progress.round for node, progress in state.progress.items()
    }
    rounds[state.node_id] = state.round
    confirmed = state.configuration.quorum_value(rounds)
    ready = [
        entry for entry in state.unconfirmed_reads if entry[0] <= confirmed
    ]
    state.unconfirmed_reads = state.unconfirmed_reads[len(ready) :]
    for _, index, read in ready:
        _send_read_index(state, index, read)


def _send_read_index(state, index, read):
    if read.origin == state.node_id:
        state.commands.append(commands.ReadReady(read.read_id, index))
        return
    message = messages.ReadResponse(state.group, read.read_id, index)
    _state.send(state, read.origin, message)
