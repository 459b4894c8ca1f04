"""Generated from configuration.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class ConfigurationDelta(NamedTuple):
    """
    Step from one revision to the next.
    """

    revision: int
    put: bytes
    remove: bytes


class ConfigurationCopy(NamedTuple):
    """
    All objects of a revision.
    """

    revision: int
    digest: bytes
    objects: list[bytes]


class ConfigurationPoll(NamedTuple):
    """
    An entry VM reports what it has in force and asks for more.
    """

    region: str
    failure_domain: str
    revision: int
    digest: bytes
    registered: bool
    registration: int


class ConfigurationPresent(NamedTuple):
    """
    Answer to a poll: the revision of the sender.
    """

    revision: int
    fresh: bool
    registered: bool
    copy_needed: bool


class ConfigurationDeltas(NamedTuple):
    """
    Deltas that follow each other.
    """

    after_revision: int
    after_digest: bytes
    deltas: list[bytes]


class ConfigurationChunkRequest(NamedTuple):
    """
    Asks for a part of a full copy.
    """

    revision: int
    index: int


class ConfigurationChunk(NamedTuple):
    """
    Part of a full copy.
    """

    revision: int
    index: int
    chunks: int
    data: bytes


class ConfigurationLeave(NamedTuple):
    """
    An entry VM stops for good and will not serve from its durable copy.
    """

    region: str
    failure_domain: str
    registration: int


class ConfigurationReport(NamedTuple):
    """
    What an entry VM had in force when last heard.
    """

    node_id: str
    region: str
    failure_domain: str
    revision: int
    age_ms: int


class ConfigurationReports(NamedTuple):
    """
    Reports passed on between control VMs.
    """

    reports: list[ConfigurationReport]


class ConfigurationProposal(NamedTuple):
    """
    Log command: a change of the published objects.
    """

    change_id: str
    fingerprint: bytes
    base_revision: int
    put: bytes
    remove: bytes
    replace_all: bool
    operator: str
    note: str
    stopped_entry_vms: list[str]
    proposed_at_ms: int


class ConfigurationSettlement(NamedTuple):
    """
    Log command: ends a pending change.
    """

    change_id: str
    revision: int
    confirmed: bool
    unconfirmed: list[str]
    proposed_at_ms: int


class ConfigurationRegistration(NamedTuple):
    """
    Log command: an entry VM joins or has left.
    """

    node_id: str
    region: str
    failure_domain: str
    registration: int
    present: bool


class ChangeRecord(NamedTuple):
    """
    What became of a change.
    """

    change_id: str
    fingerprint: bytes
    accepted: bool
    conflict: bool
    revision: int
    findings: bytes
    operator: str
    note: str
    proposed_at_ms: int


class PendingChange(NamedTuple):
    """
    A change that awaits confirmation.
    """

    change_id: str
    fingerprint: bytes
    stopped_entry_vms: list[str]
    operator: str
    note: str
    proposed_at_ms: int
    revision: int
    regions: list[str]
    restore: ConfigurationDelta
    complete: ConfigurationDelta


class ConfigurationStep(NamedTuple):
    """
    A delta in a snapshot.
    """

    delta: bytes
    digest: bytes


class ConfigurationSnapshot(NamedTuple):
    """
    Replicated state of the configuration group.
    """

    copy: bytes
    steps: list[ConfigurationStep]
    history: list[ChangeRecord]
    pending: list[PendingChange]
    entry_vms: list[ConfigurationRegistration]
    log_time_ms: int
