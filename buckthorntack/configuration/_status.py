"""Status documents of the administration API."""

import datetime
from typing import NamedTuple

from buckthorntack.configuration import _source
from buckthorntack.schema import documents

#: Maximum number of accepted changes in a status.
MAX_LISTED_CHANGES = 20


class EntryStatus(NamedTuple):
    """Active revision of an entry VM when it was last heard."""

    node_id: str
    region: str
    revision: int
    in_contact: bool


def entry_statuses(machine, reports, now):
    """Return the status of each registered entry VM.

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
    """Return for each region which entry VMs have the current revision.

    :param machine: the :class:`ConfigurationMachine`.
    :param entries: statuses returned by :func:`entry_statuses`.
    """
    result = []
    for region in _regions(entries):
        members = [one for one in entries if one.region == region]
        revisions = [one.revision for one in members if one.revision]
        outdated = [one for one in members if one.revision < machine.revision]
        status: documents.RegionStatus = {
            "region": region,
            "revision": min(revisions, default=0),
            "in_force": [
                one.node_id for one in members if one not in outdated
            ],
            "behind": [one.node_id for one in outdated if one.in_contact],
            "out_of_contact": [
                one.node_id for one in outdated if not one.in_contact
            ],
        }
        result.append(status)
    return result


def _regions(entries):
    return sorted({entry.region for entry in entries})


def change_statuses(machine, entries) -> list[documents.ChangeStatus]:
    """Return for each recent or pending change where it is active.

    :param machine: the :class:`ConfigurationMachine`.
    :param entries: statuses returned by :func:`entry_statuses`.
    """
    accepted = [
        one for one in machine.change_history.records() if one.accepted
    ]
    changes = [
        _change_status(one, False, entries)
        for one in accepted[-MAX_LISTED_CHANGES:]
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
    members = [one for one in entries if one.region == region]
    outdated = [one for one in members if one.revision < revision]
    return {
        "region": region,
        "in_force": len(members) - len(outdated),
        "behind": [one.node_id for one in outdated if one.in_contact],
        "out_of_contact": [
            one.node_id for one in outdated if not one.in_contact
        ],
    }


def iso_time(wall_time_ms):
    """Return a wall time in ISO 8601 format.

    :param wall_time_ms: milliseconds since 1970.

    >>> iso_time(0)
    '1970-01-01T00:00:00+00:00'
    """
    seconds = wall_time_ms / 1000
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat()


def change_record(record) -> documents.ChangeRecord:
    """Return an accepted change as an entry of the history.

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
    """Return the status of each replica of the group.

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
