"""Enrolment of the first voters of a group.

A replica with an empty folder can't tell a group's first start from the loss
of its disk.  It votes only when each other first voter has durably recorded
the identity of its disk; a voter records one identity for a node and no
second one.
"""

from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def tick(state):
    """Ask those first voters who have not confirmed yet.

    :param state: the replica's state.
    """
    if state.enrolled or state.node_id not in state.first_voters:
        return
    if state.now < state.enrol_due:
        return
    state.enrol_due = state.now + state.timing.heartbeat
    for node in _others(state):
        request = messages.EnrolRequest(state.group, state.identity)
        _state.send(state, node, request)
    finish(state, set())


def on_request(state, sender, request):
    """Record the identity of a first voter and tell what is recorded.

    :param state: the replica's state.
    :param sender: the first voter.
    :param request: its identity.
    """
    if sender not in state.first_voters:
        return
    recorded = state.peers.get(sender)
    if recorded is None and not state.enrolled:
        recorded = request.identity
        state.peers[sender] = recorded
        _state.persist_hard_state(state)
    response = messages.EnrolResponse(
        state.group, state.identity, recorded or ""
    )
    _state.send(state, sender, response)


def on_response(state, sender, response, confirmed):
    """Note that a first voter has recorded this replica's identity.

    :param state: the replica's state.
    :param sender: the first voter.
    :param response: what it has recorded.
    :param confirmed: first voters that confirmed so far; added to.
    """
    if state.enrolled or sender not in _others(state):
        return
    if response.known_identity != state.identity:
        state.commands.append(commands.DiskReplaced(state.node_id))
        return
    if state.peers.setdefault(sender, response.identity) != response.identity:
        return
    confirmed.add(sender)
    finish(state, confirmed)


def finish(state, confirmed):
    """Enrol once all first voters have confirmed.

    :param state: the replica's state.
    :param confirmed: first voters that confirmed so far.
    """
    if not confirmed.issuperset(_others(state)):
        return
    state.enrolled = True
    _state.persist_hard_state(state)
    state.commands.append(commands.Enrolled())


def _others(state):
    return [node for node in state.first_voters if node != state.node_id]
