"""Linearizable reads: an index that a majority confirmed after asking."""

from typing import NamedTuple

from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _replication
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


class Read(NamedTuple):
    """A read that waits for its index."""

    origin: str
    read_id: int


def start(state, read):
    """Begin a read here.

    :param state: the replica's state.
    :param read: the read.
    """
    if state.is_leader:
        state.reads_waiting.append(read)
    elif state.leader:
        request = messages.ReadRequest(state.group, read.read_id)
        _state.send(state, state.leader, request)
    else:
        _state.refuse_read(state, read)


def on_read_request(state, sender, request):
    """Begin a read for another replica.

    :param state: the replica's state.
    :param sender: the replica.
    :param request: its request.
    """
    read = Read(sender, request.read_id)
    if state.is_leader:
        state.reads_waiting.append(read)
    else:
        _state.refuse_read(state, read)


def on_read_response(state, sender, response):
    """Take the index of a read that was begun here.

    :param state: the replica's state.
    :param sender: the leader.
    :param response: its answer.
    """
    if response.index < 0:
        state.commands.append(commands.ReadRefused(response.read_id))
        return
    ready = commands.ReadReady(response.read_id, response.index)
    state.commands.append(ready)


def advance(state):
    """Begin a round for waiting reads and answer the confirmed ones.

    :param state: the replica's state.
    """
    _answer(state)
    if state.reads_asked or not state.reads_waiting:
        return
    if state.commit_index < state.term_start_index:
        return
    ask(state)
    _replication.heartbeat(state)
    _answer(state)


def ask(state):
    """Let the next heartbeat round confirm the waiting reads.

    :param state: the replica's state.
    """
    if state.commit_index < state.term_start_index:
        return
    next_round = state.round + 1
    for read in state.reads_waiting:
        state.reads_asked.append((next_round, state.commit_index, read))
    state.reads_waiting = []


def _answer(state):
    if not state.reads_asked:
        return
    rounds = {
        node: progress.round for node, progress in state.progress.items()
    }
    rounds[state.node_id] = state.round
    confirmed = state.configuration.quorum_value(rounds)
    ready = [entry for entry in state.reads_asked if entry[0] <= confirmed]
    state.reads_asked = state.reads_asked[len(ready) :]
    for _, index, read in ready:
        _tell(state, index, read)


def _tell(state, index, read):
    if read.origin == state.node_id:
        state.commands.append(commands.ReadReady(read.read_id, index))
        return
    message = messages.ReadResponse(state.group, read.read_id, index)
    _state.send(state, read.origin, message)
