"""Who follows the registry of a control VM, and what each has been sent."""

import datetime
from typing import NamedTuple


class _Follower(NamedTuple):
    role: str
    sent_stamp: int
    reported_at: datetime.timedelta


class Followers:
    """Followers of one registry.

    :param registry: the ``Registry``.
    :param timing: the ``Timing``.
    """

    def __init__(self, registry, timing):
        self.registry = registry
        self.timing = timing
        self._followers = {}

    def reported(self, report, now):
        """Take a report; what the follower lacks is due again.

        :param report: ``PresenceReport``.
        :param now: monotonic time.
        """
        stamp = 0
        if report.registry_epoch == self.registry.epoch:
            stamp = report.registry_stamp
        node = report.node
        if node.state == "gone":
            self._followers.pop(node.node_id, None)
            return
        self._followers[node.node_id] = _Follower(node.role, stamp, now)

    def due(self, now):
        """Changes to be sent now.

        :param now: monotonic time.
        :returns: pairs of node id and ``RegistryChanges``.
        """
        sent = []
        for node_id, follower in list(self._followers.items()):
            if now - follower.reported_at > self.timing.node_silence:
                del self._followers[node_id]
                continue
            if follower.sent_stamp >= self.registry.stamp:
                continue
            changes = self.registry.changes_since(follower.sent_stamp, now)
            self._followers[node_id] = follower._replace(
                sent_stamp=changes.stamp
            )
            sent.append((node_id, changes))
        return sent

    def __contains__(self, node_id):
        return node_id in self._followers
