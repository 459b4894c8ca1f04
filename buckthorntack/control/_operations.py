"""Operators' calls, carried out by the configuration group."""

import datetime
import functools

import expression

from buckthorntack import configuration
from buckthorntack import consensus
from buckthorntack.schema import documents

#: Silence after which the leader no longer counts a voter as there.
_VOTER_SILENCE_MS = 5000
#: How long an added replica is awaited before it gets its vote later.
_CATCH_UP_TIMEOUT = datetime.timedelta(seconds=5)
_CATCH_UP_PAUSE = datetime.timedelta(milliseconds=200)


class Operations:
    """The calls of :class:`control.Administration`.

    :param administration: the :class:`configuration.Administration`.
    :param replica: the :class:`consensus.ReplicaTask` of the group.
    :param clock: the clock.
    """

    def __init__(self, administration, replica, clock):
        self.administration = administration
        self.replica = replica
        self.clock = clock

    async def apply(self, change: documents.Change, operator: str):
        """Have a change accepted or refused, once for each change id.

        :param change: the change.
        :param operator: name of the operator who asks.
        :returns: ``Result`` of a ``ChangeResult``.
        """
        return await self.administration.apply(change, operator)

    async def objects(self, kind, name, linearizable):
        """Objects of the present revision.

        :param kind: only those of this kind, if given.
        :param name: only the one of this name, if given.
        :param linearizable: whether all accepted changes must be in.
        :returns: ``Result`` of an ``ObjectList``.
        """
        found = await self.administration.objects(kind, name, linearizable)
        return found.map(_object_list)

    async def history(self, after):
        """Accepted changes.

        :param after: only those of a later revision.
        :returns: ``Result`` of a ``History``.
        """
        barrier = await self.replica.read_barrier()
        return barrier.map(lambda _: self._history(after))

    def _history(self, after):
        records = self.administration.history(after)
        changes = [_change_record(one) for one in records if one.accepted]
        return {"changes": changes}

    async def status(self):
        """State of the configuration, as this control VM sees it.

        :returns: ``Result`` of a ``Status``.
        """
        group = self.replica.status()
        found = self.administration.status()
        status: documents.Status = {
            "node_id": group.node_id,
            "revision": found.revision,
            "has_quorum": has_quorum(group),
            "replicas": replica_list(group),
            "regions": region_list(found),
        }
        if group.leader:
            status["leader"] = group.leader
        for change in found.changes:
            if change.pending:
                status["pending"] = _pending(change)
        return expression.Ok(status)

    async def replicas(self):
        """Replicas of the configuration group.

        :returns: ``Result`` of a ``ReplicaList``.
        """
        return expression.Ok({"replicas": replica_list(self.replica.status())})

    async def add_replica(self, node_id):
        """Add a replica, which gets its vote once it has caught up.

        If it does not catch up soon, it stays a learner; the same call again
        gives it its vote.

        :param node_id: a known control VM.
        :returns: ``Result`` of a ``ReplicaList``.
        """
        group = self.replica.status()
        if node_id not in [*group.voters, *group.learners]:
            added = await self.replica.add_learner(node_id)
            if added.is_error():
                return added
        if node_id not in group.voters:
            promoted = await self._promote(node_id)
            behind = consensus.LearnerBehindError
            if promoted.is_error() and not isinstance(promoted.error, behind):
                return promoted
        return await self.replicas()

    async def _promote(self, node_id):
        deadline = self.clock.monotonic() + _CATCH_UP_TIMEOUT
        while True:
            promoted = await self.replica.promote(node_id)
            is_behind = promoted.is_error() and isinstance(
                promoted.error, consensus.LearnerBehindError
            )
            if not is_behind or self.clock.monotonic() >= deadline:
                return promoted
            await self.clock.sleep(_CATCH_UP_PAUSE)

    async def remove_replica(self, node_id):
        """Remove a replica; done already if it is no member.

        :param node_id: the replica.
        :returns: ``Result`` of a ``ReplicaList``.
        """
        group = self.replica.status()
        if node_id in [*group.voters, *group.learners]:
            removed = await self.replica.remove(node_id)
            if removed.is_error():
                return removed
        return await self.replicas()


def _object_list(found) -> documents.ObjectList:
    revision, named_objects = found
    return {"revision": revision, "objects": named_objects}


def _change_record(record) -> documents.ChangeRecord:
    accepted_at = datetime.datetime.fromtimestamp(
        record.proposed_at_ms / 1000, datetime.UTC
    )
    return {
        "revision": record.revision,
        "change_id": record.change_id,
        "operator": record.operator,
        "accepted_at": accepted_at.isoformat(timespec="milliseconds"),
        "note": record.note,
    }


def _pending(change) -> documents.PendingChange:
    waiting = [
        node_id
        for region in change.regions
        for node_id in (*region.behind, *region.out_of_contact)
    ]
    return {
        "change_id": change.change_id,
        "revision": change.revision,
        "waiting_for": waiting,
    }


def has_quorum(group: consensus.ReplicaStatus) -> bool:
    """Whether a group can accept changes, as far as one replica knows.

    :param group: what the replica tells of itself.
    """
    if group.role != "leader":
        return bool(group.leader)
    heard = {
        peer.node_id
        for peer in group.peers
        if peer.heard_ms_ago is not None
        and peer.heard_ms_ago <= _VOTER_SILENCE_MS
    }
    present = [
        node_id
        for node_id in group.voters
        if node_id in heard or node_id == group.node_id
    ]
    return len(present) > len(group.voters) // 2


def replica_list(group) -> list[documents.ReplicaStatus]:
    """All members of a group.

    :param group: what a replica tells of itself and its group.
    """
    peers = {peer.node_id: peer for peer in group.peers}
    members = [*group.voters, *group.learners]
    return [_replica(group, peers.get(name), name) for name in members]


def _replica(group, peer, node_id) -> documents.ReplicaStatus:
    voter = node_id in group.voters
    if node_id == group.node_id:
        role = group.role
    elif node_id == group.leader:
        role = "leader"
    else:
        role = "follower" if voter else "learner"
    status: documents.ReplicaStatus = {
        "node_id": node_id,
        "role": role,
        "voter": voter,
    }
    if peer is not None:
        status["match_index"] = peer.match_index
        status["caught_up"] = peer.caught_up
        if peer.heard_ms_ago is not None:
            status["heard_ms_ago"] = peer.heard_ms_ago
    return status


def region_list(
    found: configuration.ConfigurationStatus,
) -> list[documents.RegionStatus]:
    """How far each region follows.

    :param found: state of the configuration.
    """
    regions = {}
    for entry in found.entry_vms:
        regions.setdefault(entry.region, []).append(entry)
    make = functools.partial(_region, found.revision)
    return [make(region, regions[region]) for region in sorted(regions)]


def _region(revision, region, entries) -> documents.RegionStatus:
    heard = [one.revision for one in entries if one.last_heard_ms >= 0]
    fresh = [one for one in entries if one.revision >= revision]
    rest = [one for one in entries if one.revision < revision]
    return {
        "region": region,
        "revision": min(heard, default=-1),
        "in_force": [one.node_id for one in fresh],
        "behind": [one.node_id for one in rest if one.in_contact],
        "out_of_contact": [one.node_id for one in rest if not one.in_contact],
    }
