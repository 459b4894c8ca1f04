"""Enrolment of the first voters of a group.

A replica with an empty data folder can't distinguish the group's first start
from the loss of its own disk.  It therefore votes only after every other
first voter has durably recorded the identity of its disk.  A voter records
only one identity for each node.
"""

from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _state
from buckthorntack.schema import messages


def tick(state):
    """Ask the other first voters to record this replica's identity.

    :param state: the replica's state.
    """
    if state.enrolled or state.node_id not in state.first_voters:
        return
    if state.now < state.enrol_due:
        return
    state.enrol_due = state.now + state.timing.heartbeat
    for node in _other_first_voters(state):
        request = messages.EnrolRequest(state.group, state.identity)
        _state.send(state, node, request)
    enrol_if_confirmed(state, set())


def on_enrol_request(state, sender, request):
    """Record a first voter's identity and respond with the recorded one.

    :param state: the replica's state.
    :param sender: the first voter.
    :param request: request with its identity.
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


def on_enrol_response(state, sender, response, confirmed):
    """Count a first voter that has recorded this replica's identity.

    :param state: the replica's state.
    :param sender: the first voter.
    :param response: response with the identity that it has recorded.
    :param confirmed: set of the first voters that have confirmed; the sender
        is added.
    """
    if state.enrolled or sender not in _other_first_voters(state):
        return
    if response.known_identity != state.identity:
        state.commands.append(commands.DiskReplaced(state.node_id))
        return
    if state.peers.setdefault(sender, response.identity) != response.identity:
        return
    confirmed.add(sender)
    enrol_if_confirmed(state, confirmed)


def enrol_if_confirmed(state, confirmed):
    """Enrol this replica if all other first voters have confirmed.

    :param state: the replica's state.
    :param confirmed: set of the first voters that have confirmed.
    """
    if not confirmed.issuperset(_other_first_voters(state)):
        return
    state.enrolled = True
    _state.persist_hard_state(state)
    state.commands.append(commands.Enrolled())


def _other_first_voters(state):
    return [node for node in state.first_voters if node != state.node_id]
