"""Member changes of the control group: growth, shrinking, lost disks.

A control VM whose disk was lost returns at the same address under another
node id.  The old id is removed before the new one becomes a voter, so that no
majority ever counts a lost disk.
"""

import datetime
from typing import NamedTuple

#: Separates a control VM's address from the id of its disk in a node id.
DISK_ID_SEPARATOR = "~"


class AddLearner(NamedTuple):
    """Add a node as a learner, which receives the log but has no vote."""

    node_id: str


class Promote(NamedTuple):
    """Make a learner a voter."""

    node_id: str


class Remove(NamedTuple):
    """Remove a member permanently."""

    node_id: str


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
    :param absence_timeout: time without reports after which a voter is
        replaced by a learner that has caught up.
    """

    def __init__(self, max_voters, absence_timeout):
        self.max_voters = max_voters
        self.absence_timeout = absence_timeout
        self._absent_since = {}

    def next_change(self, status, present, now):
        """Return the next member change, if any is needed.

        :param status: ``consensus.ReplicaStatus`` of the leader.
        :param present: pairs of region and failure domain of the control
            VMs that report, by node id.
        :param now: monotonic time.
        :returns: :class:`AddLearner`, :class:`Promote`, :class:`Remove` or
            None.
        """
        members = [*status.voters, *status.learners]
        self._record_absences(members, present, now)
        for node_id in sorted(present):
            if node_id not in members and node_id not in status.retired:
                return AddLearner(node_id)
        caught_up = self._list_caught_up(status, present)
        return (
            self._remove_voter_of_lost_disk(status, present, caught_up)
            or self._promote_learner(status, present, caught_up)
            or self._remove_absent_voter(status, caught_up, now)
            or self._remove_absent_learner(status, present, now)
        )

    def _record_absences(self, members, present, now):
        for node_id in members:
            if node_id in present:
                self._absent_since.pop(node_id, None)
            else:
                self._absent_since.setdefault(node_id, now)

    def _list_caught_up(self, status, present):
        peers = {peer.node_id: peer for peer in status.peers}
        return [
            node_id
            for node_id in status.learners
            if node_id in present
            and node_id in peers
            and peers[node_id].caught_up
        ]

    def _remove_voter_of_lost_disk(self, status, present, caught_up):
        addresses = {address_of(node_id) for node_id in caught_up}
        for voter in status.voters:
            if voter not in present and address_of(voter) in addresses:
                return Remove(voter)
        return None

    def _promote_learner(self, status, present, caught_up):
        if len(status.voters) >= self.max_voters or not caught_up:
            return None

        def crowding_key(node_id):
            region, domain = present[node_id]
            locations = [present[v] for v in status.voters if v in present]
            return (
                sum(location[0] == region for location in locations),
                sum(location[1] == domain for location in locations),
                node_id,
            )

        return Promote(min(caught_up, key=crowding_key))

    def _remove_absent_voter(self, status, caught_up, now):
        if not caught_up:
            return None
        for voter in status.voters:
            if self._is_long_absent(voter, now):
                return Remove(voter)
        return None

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
        return since is not None and now - since > self.absence_timeout


#: A shorter timeout would replace a control VM that only restarts.
VOTER_ABSENCE_TIMEOUT = datetime.timedelta(seconds=10)
