"""Where recent changes are in force, for the administration API."""

import datetime
from typing import NamedTuple

from buckthorntack.configuration import _source
from buckthorntack.schema import documents

#: Changes told in a status.
RECENT_CHANGES = 20


class EntryStatus(NamedTuple):
    """What an entry VM had in force when last heard."""

    node_id: str
    region: str
    revision: int
    in_contact: bool


def entry_statuses(machine, reports, now):
    """Status of each registered entry VM.

    :param machine: the :class:`ConfigurationMachine`.
    :param reports: reports by node id.
    :param now: monotonic time.
    :returns: list of :class:`EntryStatus`, by node id.
    """
    return [
        _entry_status(node_id, entry_vm.region, reports.get(node_id), now)
        for node_id, entry_vm in sorted(machine.entry_vms.items())
    ]


def _entry_status(node_id, region, report, now):
    if report is None:
        return EntryStatus(node_id, region, 0, False)
    in_contact = now - report.heard_at < _source.CONTACT_TIMEOUT
    return EntryStatus(node_id, region, report.revision, in_contact)


def region_statuses(machine, entries) -> list[documents.RegionStatus]:
    """How far each region follows.

    :param machine: the :class:`ConfigurationMachine`.
    :param entries: what :func:`entry_statuses` gave.
    """
    result = []
    for region in _regions(entries):
        found = [one for one in entries if one.region == region]
        held = [one.revision for one in found if one.revision]
        lacking = [one for one in found if one.revision < machine.revision]
        status: documents.RegionStatus = {
            "region": region,
            "revision": min(held, default=0),
            "in_force": [one.node_id for one in found if one not in lacking],
            "behind": [one.node_id for one in lacking if one.in_contact],
            "out_of_contact": [
                one.node_id for one in lacking if not one.in_contact
            ],
        }
        result.append(status)
    return result


def _regions(entries):
    return sorted({entry.region for entry in entries})


def change_statuses(machine, entries) -> list[documents.ChangeStatus]:
    """Where the last accepted changes, and a pending one, are in force.

    :param machine: the :class:`ConfigurationMachine`.
    :param entries: what :func:`entry_statuses` gave.
    """
    accepted = [one for one in machine.answers.records() if one.accepted]
    changes = [
        _change_status(one, False, entries)
        for one in accepted[-RECENT_CHANGES:]
    ]
    if machine.pending is not None:
        changes.append(_change_status(machine.pending, True, entries))
    return changes


def _change_status(change, pending, entries):
    return {
        "change_id": change.change_id,
        "revision": change.revision,
        "pending": pending,
        "regions": [
            _change_region(region, change.revision, entries)
            for region in _regions(entries)
        ],
    }


def _change_region(region, revision, entries):
    found = [one for one in entries if one.region == region]
    lacking = [one for one in found if one.revision < revision]
    return {
        "region": region,
        "in_force": len(found) - len(lacking),
        "behind": [one.node_id for one in lacking if one.in_contact],
        "out_of_contact": [
            one.node_id for one in lacking if not one.in_contact
        ],
    }


def iso_time(wall_ms):
    """Time as the administration API writes it.

    :param wall_ms: wall time.

    >>> iso_time(0)
    '1970-01-01T00:00:00+00:00'
    """
    seconds = wall_ms / 1000
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat()


def change_record(record) -> documents.ChangeRecord:
    """An accepted change for the history.

    :param record: a ``ChangeRecord`` of the log.
    """
    return {
        "revision": record.revision,
        "change_id": record.change_id,
        "operator": record.operator,
        "accepted_at": iso_time(record.proposed_at_ms),
        "note": record.note,
    }


def replica_statuses(status) -> list[documents.ReplicaStatus]:
    """Replicas of the group.

    :param status: ``ReplicaStatus`` of the consensus package.
    """
    peers = {peer.node_id: peer for peer in status.peers}
    return [
        _replica_status(node_id, status, peers.get(node_id))
        for node_id in sorted({*status.voters, *status.learners})
    ]


def _replica_status(node_id, status, peer):
    result: documents.ReplicaStatus = {
        "node_id": node_id,
        "role": _role(node_id, status),
        "voter": node_id in status.voters,
    }
    if node_id == status.node_id:
        result["match_index"] = status.last_index
        result["caught_up"] = True
    elif peer is not None:
        result["match_index"] = peer.match_index
        result["caught_up"] = peer.caught_up
        if peer.heard_ms_ago is not None:
            result["heard_ms_ago"] = peer.heard_ms_ago
    return result


def _role(node_id, status):
    if node_id == status.node_id:
        return str(status.role)
    if node_id == status.leader:
        return "leader"
    if node_id in status.learners:
        return "learner"
    return "follower" if status.leader else "unknown"
