"""How the control group grows, shrinks and replaces lost disks.

A control VM whose disk was lost comes back under another node id at the same
address.  The old id then is removed before the new one gets a vote, so that
at no time a majority includes a disk that is gone.
"""

import datetime
from typing import NamedTuple

#: Parts the address of a control VM from the mark of a new disk in its id.
DISK_MARK = "~"


class AddLearner(NamedTuple):
    """Let a node receive the log."""

    node_id: str


class Promote(NamedTuple):
    """Give a learner a vote."""

    node_id: str


class Remove(NamedTuple):
    """Remove a member for good."""

    node_id: str


def address_of(node_id):
    """Address that a control VM has at each of its disks.

    :param node_id: its node id.

    >>> address_of("10.0.0.1:80~3f")
    '10.0.0.1:80'
    """
    return node_id.partition(DISK_MARK)[0]


class Formation:
    """Decides on the next change of members; for the leader.

    :param most_voters: voters that the group shall have where it can.
    :param replace_after: silence after which a voter is replaced by a
        learner that has caught up.
    """

    def __init__(self, most_voters, replace_after):
        self.most_voters = most_voters
        self.replace_after = replace_after
        self._absent_since = {}

    def next_change(self, status, present, now):
        """The change to be made now.

        :param status: ``consensus.ReplicaStatus`` of the leader.
        :param present: regions and failure domains of the control VMs that
            report, by node id.
        :param now: monotonic time.
        :returns: :class:`AddLearner`, :class:`Promote`, :class:`Remove` or
            None.
        """
        members = [*status.voters, *status.learners]
        self._note_absence(members, present, now)
        for node_id in sorted(present):
            if node_id not in members and node_id not in status.retired:
                return AddLearner(node_id)
        ready = self._caught_up(status, present)
        return (
            self._replace_disk(status, present, ready)
            or self._promote(status, present, ready)
            or self._replace_absent(status, ready, now)
            or self._drop_learner(status, present, now)
        )

    def _note_absence(self, members, present, now):
        for node_id in members:
            if node_id in present:
                self._absent_since.pop(node_id, None)
            else:
                self._absent_since.setdefault(node_id, now)

    def _caught_up(self, status, present):
        peers = {peer.node_id: peer for peer in status.peers}
        return [
            node_id
            for node_id in status.learners
            if node_id in present
            and node_id in peers
            and peers[node_id].caught_up
        ]

    def _replace_disk(self, status, present, ready):
        addresses = {address_of(node_id) for node_id in ready}
        for voter in status.voters:
            if voter not in present and address_of(voter) in addresses:
                return Remove(voter)
        return None

    def _promote(self, status, present, ready):
        if len(status.voters) >= self.most_voters or not ready:
            return None

        def crowding(node_id):
            region, domain = present[node_id]
            places = [present[v] for v in status.voters if v in present]
            return (
                sum(place[0] == region for place in places),
                sum(place[1] == domain for place in places),
                node_id,
            )

        return Promote(min(ready, key=crowding))

    def _replace_absent(self, status, ready, now):
        if not ready:
            return None
        for voter in status.voters:
            if self._is_long_absent(voter, now):
                return Remove(voter)
        return None

    def _drop_learner(self, status, present, now):
        addresses = {address_of(node_id) for node_id in present}
        for learner in status.learners:
            if learner in present:
                continue
            replaced = address_of(learner) in addresses
            if replaced or self._is_long_absent(learner, now):
                return Remove(learner)
        return None

    def _is_long_absent(self, node_id, now):
        since = self._absent_since.get(node_id)
        return since is not None and now - since > self.replace_after


#: Shorter would replace a control VM that only restarts.
REPLACE_AFTER = datetime.timedelta(seconds=10)
