"""Member changes of the control group: growth, lost disks, absent voters.

A control VM whose disk was lost returns at the same address under another
node id.  A voter is replaced in one change, so that no majority ever counts a
lost disk and no loss during the change leaves the group without one.
"""

import datetime
from typing import NamedTuple

#: Separates a control VM's address from the id of its disk in a node id.
DISK_ID_SEPARATOR = "~"
#: Silence of a voter after which a learner takes its place.  This costs the
#: voter little: it stays a learner, and can be promoted with its disk.
VOTER_ABSENCE_TIMEOUT = datetime.timedelta(milliseconds=1500)
#: Absence of a learner after which it is removed permanently, so that members
#: of VMs that are gone do not accumulate.
LEARNER_ABSENCE_TIMEOUT = datetime.timedelta(seconds=120)


class AddLearner(NamedTuple):
    """Add a node as a learner, which receives the log but has no vote."""

    node_id: str


class Promote(NamedTuple):
    """Make a learner a voter."""

    node_id: str


class Replace(NamedTuple):
    """Replace a voter by a learner."""

    node_id: str
    successor: str
    #: Whether the voter is removed permanently; otherwise it becomes a
    #: learner.
    retire: bool


class Remove(NamedTuple):
    """Remove a member permanently."""

    node_id: str


class ControlVms(NamedTuple):
    """Control VMs that report to the leader.

    ``present`` maps the node id of each that takes part to its region and
    failure domain; ``stopping`` has the node ids of those about to end.
    """

    present: dict[str, tuple[str, str]]
    stopping: frozenset[str] = frozenset()


def address_of(node_id):
    """Address of a control VM, which is the same for each of its disks.

    :param node_id: node id of the control VM.

    >>> address_of("10.0.0.1:80~3f")
    '10.0.0.1:80'
    """
    return node_id.partition(DISK_ID_SEPARATOR)[0]


class MemberChangePlanner:
    """Decides on the next member change of a group; runs on the leader.

    :param max_voters: number of voters that the group grows to.
    """

    def __init__(self, max_voters):
        self.max_voters = max_voters
        self._started_at = None
        self._absent_since = {}

    def next_change(self, status, control_vms, now):
        """Return the next member change, if any is needed.

        :param status: ``consensus.ReplicaStatus`` of the leader.
        :param control_vms: :class:`ControlVms`.
        :param now: monotonic time.
        :returns: :class:`AddLearner`, :class:`Promote`, :class:`Replace`,
            :class:`Remove` or None.
        """
        present = control_vms.present
        if self._started_at is None:
            self._started_at = now
        self._record_absences(status.learners, present, now)
        if status.outgoing:
            return None
        members = [*status.voters, *status.learners]
        for node_id in sorted(present):
            if node_id not in members and node_id not in status.retired:
                return AddLearner(node_id)
        caught_up = _list_caught_up(status, present)
        unresponsive = self._list_unresponsive_voters(status, now)
        return (
            _replace_voter_of_lost_disk(status, caught_up)
            or _replace_first(status, control_vms.stopping, present, caught_up)
            or _replace_first(status, unresponsive, present, caught_up)
            or self._promote_learner(status, present, caught_up)
            or _spread_voters(status, unresponsive, present, caught_up)
            or self._remove_absent_learner(status, present, now)
        )

    def _record_absences(self, learners, present, now):
        for node_id in learners:
            if node_id in present:
                self._absent_since.pop(node_id, None)
            else:
                self._absent_since.setdefault(node_id, now)

    def _list_unresponsive_voters(self, status, now):
        """List the voters whose last response to the leader is too old.

        A voter that never responded counts from the start of the leadership.
        """
        unresponsive = []
        for peer in status.peers:
            silence = now - self._started_at
            if peer.heard_ms_ago is not None:
                silence = datetime.timedelta(milliseconds=peer.heard_ms_ago)
            if silence > VOTER_ABSENCE_TIMEOUT:
                unresponsive.append(peer.node_id)
        return [node for node in status.voters if node in unresponsive]

    def _promote_learner(self, status, present, caught_up):
        if len(status.voters) >= self.max_voters or not caught_up:
            return None
        return Promote(_least_crowded(caught_up, status.voters, present))

    def _remove_absent_learner(self, status, present, now):
        addresses = {address_of(node_id) for node_id in present}
        for learner in status.learners:
            if learner in present:
                continue
            is_replaced = address_of(learner) in addresses
            if is_replaced or self._is_long_absent(learner, now):
                return Remove(learner)
        return None

    def _is_long_absent(self, node_id, now):
        since = self._absent_since.get(node_id)
        return since is not None and now - since > LEARNER_ABSENCE_TIMEOUT


def _list_caught_up(status, present):
    peers = {peer.node_id: peer for peer in status.peers}
    return [
        node_id
        for node_id in status.learners
        if node_id in present and node_id in peers and peers[node_id].caught_up
    ]


def _replace_voter_of_lost_disk(status, caught_up):
    learners = {address_of(node_id): node_id for node_id in caught_up}
    for voter in status.voters:
        learner = learners.get(address_of(voter))
        if learner is not None:
            return Replace(voter, learner, retire=True)
    return None


def _replace_first(status, nodes, present, caught_up):
    """Replace the first voter among some nodes, other than the leader."""
    if not caught_up:
        return None
    for voter in status.voters:
        if voter in nodes and voter != status.node_id:
            others = [other for other in status.voters if other != voter]
            successor = _least_crowded(caught_up, others, present)
            return Replace(voter, successor, retire=False)
    return None


def _spread_voters(status, unresponsive, present, caught_up):
    """Replace a voter by a learner whose location has fewer voters.

    The leader stays, as its replacement would need an election.
    """
    is_whole = all(voter in present for voter in status.voters)
    if unresponsive or not caught_up or not is_whole:
        return None
    for voter in status.voters:
        others = [other for other in status.voters if other != voter]
        successor = _least_crowded(caught_up, others, present)
        is_better = _crowding(successor, others, present) < _crowding(
            voter, others, present
        )
        if is_better and voter != status.node_id:
            return Replace(voter, successor, retire=False)
    return None


def _least_crowded(learners, voters, present):
    def sort_key(node_id):
        return (*_crowding(node_id, voters, present), node_id)

    return min(learners, key=sort_key)


def _crowding(node_id, voters, present):
    """Numbers of other voters in a node's region and failure domain."""
    region, domain = present[node_id]
    locations = [present[voter] for voter in voters if voter in present]
    return (
        sum(location[0] == region for location in locations),
        sum(location[1] == domain for location in locations),
    )
