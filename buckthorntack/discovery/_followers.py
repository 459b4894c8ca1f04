"""Followers of a registry, and the changes sent to each of them."""

import datetime
from typing import NamedTuple


class _Follower(NamedTuple):
    role: str
    sent_stamp: int
    reported_at: datetime.timedelta


class Followers:
    """Nodes that follow one registry.

    Each report of a follower carries the newest stamp that it has received.
    Changes that were lost on the way are sent again after the next report.

    :param registry: the ``Registry``.
    :param timing: the ``Timing``.
    """

    def __init__(self, registry, timing):
        self.registry = registry
        self.timing = timing
        self._followers = {}

    def on_report(self, report, now):
        """Update a follower's position from its report.

        :param report: ``PresenceReport``; changes after its stamp are sent
            again.
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

    def take_due_changes(self, now):
        """Return the changes to send now and mark them as sent.

        A follower is dropped if its last report is too old.

        :param now: monotonic time.
        :returns: list of pairs of node id and ``RegistryChanges``.
        """
        sent = []
        changes_by_stamp = {}
        for node_id, follower in list(self._followers.items()):
            if now - follower.reported_at > self.timing.node_silence_timeout:
                del self._followers[node_id]
                continue
            if follower.sent_stamp >= self.registry.stamp:
                continue
            stamp = follower.sent_stamp
            if stamp not in changes_by_stamp:
                changes_by_stamp[stamp] = self.registry.changes_since(
                    stamp, now
                )
            changes = changes_by_stamp[stamp]
            self._followers[node_id] = follower._replace(
                sent_stamp=changes.stamp
            )
            sent.append((node_id, changes))
        return sent

    def __contains__(self, node_id):
        return node_id in self._followers
