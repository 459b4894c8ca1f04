"""Versions of the messages between nodes, and who understands which.

See docs/design/compatibility.md.
"""

import collections

from buckthorntack.discovery import _registry

#: Newest version of messages between nodes that this build understands. It
#: grows with each feature that nodes may only use once all understand it.
PROTOCOL_VERSION = 2


def can_all_follow(registry, version, role=None):
    """Whether all known members understand a version.

    Silent ones count, since they may come back; those that have deregistered
    do not. With no member known the answer is no.

    :param registry: the ``Registry``.
    :param version: the version.
    :param role: ``entry`` or ``control``; None for all nodes.
    """
    known = [
        record.protocol_version
        for record in _members(registry)
        if role in (None, record.role)
    ]
    return bool(known) and min(known) >= version


def can_members_follow(registry, version, node_ids):
    """Whether all members of a group understand a version.

    One that is not known may be of an older build.

    :param registry: the ``Registry``.
    :param version: the version.
    :param node_ids: ids of the members.
    """
    views = [registry.nodes.get(node_id) for node_id in node_ids]
    return bool(views) and all(
        view is not None and view.record.protocol_version >= version
        for view in views
    )


def count_protocol_versions(registry):
    """Number of known members by the newest version that they understand.

    :param registry: the ``Registry``.
    """
    return dict(
        collections.Counter(
            record.protocol_version for record in _members(registry)
        )
    )


def _members(registry):
    for view in registry.nodes.values():
        if view.record.state != _registry.GONE:
            yield view.record
