"""Where recent changes are in force."""

import datetime
from typing import NamedTuple

from buckthorntack.configuration import _source

#: Changes told in a status.
RECENT_CHANGES = 20


class RegionStatus(NamedTuple):
    """Entry VMs of a region, by what they have of a change."""

    region: str
    in_force: list[str]
    behind: list[str]
    out_of_contact: list[str]


class ChangeStatus(NamedTuple):
    """Where an accepted or pending change is in force."""

    change_id: str
    revision: int
    pending: bool
    regions: list[RegionStatus]


class ConfigurationStatus(NamedTuple):
    """State of the configuration as seen by a control VM."""

    revision: int
    changes: list[ChangeStatus]
    entry_vms: list["EntryStatus"]


class EntryStatus(NamedTuple):
    """What an entry VM had in force when last heard."""

    node_id: str
    region: str
    failure_domain: str
    revision: int
    last_heard_ms: int
    in_contact: bool


def entry_statuses(machine, reports, now):
    """Status of each registered entry VM.

    :param machine: the :class:`ConfigurationMachine`.
    :param reports: reports by node id.
    :param now: monotonic time.
    """
    statuses = []
    for node_id, entry_vm in sorted(machine.entry_vms.items()):
        report = reports.get(node_id)
        silence = None if report is None else now - report.heard_at
        statuses.append(
            EntryStatus(
                node_id=node_id,
                region=entry_vm.region,
                failure_domain=entry_vm.failure_domain,
                revision=0 if report is None else report.revision,
                last_heard_ms=_milliseconds(silence),
                in_contact=silence is not None
                and silence < _source.CONTACT_TIMEOUT,
            )
        )
    return statuses


def _milliseconds(duration):
    if duration is None:
        return -1
    return duration // datetime.timedelta(milliseconds=1)


def status(machine, reports, now):
    """Status of the configuration.

    :param machine: the :class:`ConfigurationMachine`.
    :param reports: reports by node id.
    :param now: monotonic time.
    :returns: a :class:`ConfigurationStatus`.
    """
    entries = entry_statuses(machine, reports, now)
    accepted = [one for one in machine.answers.records() if one.accepted]
    changes = [
        _change_status(one, False, entries)
        for one in accepted[-RECENT_CHANGES:]
    ]
    if machine.pending is not None:
        changes.append(_change_status(machine.pending, True, entries))
    return ConfigurationStatus(machine.revision, changes, entries)


def _change_status(change, pending, entries):
    regions = sorted({entry.region for entry in entries})
    return ChangeStatus(
        change_id=change.change_id,
        revision=change.revision,
        pending=pending,
        regions=[
            _region_status(region, change.revision, entries)
            for region in regions
        ],
    )


def _region_status(region, revision, entries):
    result = RegionStatus(region, [], [], [])
    for entry in entries:
        if entry.region != region:
            continue
        if entry.revision >= revision:
            result.in_force.append(entry.node_id)
        elif entry.in_contact:
            result.behind.append(entry.node_id)
        else:
            result.out_of_contact.append(entry.node_id)
    return result
