"""Generated from membership.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class ServerLoad(NamedTuple):
    """
    Load of a backend server as it last reported it.
    """

    running: int
    waiting: int
    cache_used_fraction: float
    age_ms: int


class ServerRecord(NamedTuple):
    """
    A backend server as it announced itself.
    """

    server_id: str
    incarnation: int
    sequence: int
    state: str
    pool: str
    service: str
    model_versions: list[str]
    adapters: list[str]
    role: str
    region: str
    failure_domain: str
    url: str
    slots: int
    lease_ms: int
    load: ServerLoad
    limit_per_s: float
    rejections_per_s: float


class EntryRecord(NamedTuple):
    """
    An entry VM.
    """

    node_id: str
    incarnation: int
    sequence: int
    state: str
    region: str
    failure_domain: str
    caller_url: str
    link_address: str
    revision: int
    lease_ms: int
    in_flight: int


class ServiceSummary(NamedTuple):
    """
    What one failure domain can do for one service and model version.
    """

    service: str
    model_version: str
    servers: int
    slots: int
    running: int
    waiting: int


class DomainSummary(NamedTuple):
    """
    What other failure domains need to know of one.
    """

    region: str
    failure_domain: str
    reporter: str
    incarnation: int
    sequence: int
    entries: list[EntryRecord]
    services: list[ServiceSummary]
    lease_ms: int


class MessageStamp(NamedTuple):
    """
    Lets the receiver bound the age of a message without a shared clock: it echoes the receiver's own last stamp.
    """

    incarnation: int
    sent_at_ms: int
    echo_incarnation: int
    echo_sent_at_ms: int
    echo_held_ms: int


class ServerUpdate(NamedTuple):
    """
    A whole record of a backend server.
    """

    handle: int
    changed_sequence: int
    record: ServerRecord


class ServerRenewal(NamedTuple):
    """
    Renewed lease and load of a backend server whose record the receiver has.
    """

    handle: int
    sequence: int
    changed_sequence: int
    lease_ms: int
    running: int
    waiting: int
    cache_used_percent: int
    load_age_ms: int


class MembershipDelta(NamedTuple):
    """
    Changes and renewals since the sender's last delta.
    """

    stamp: MessageStamp
    entry: list[EntryRecord]
    entry_sequence: int
    in_flight: int
    updates: list[ServerUpdate]
    renewals: list[ServerRenewal]


class MembershipHello(NamedTuple):
    """
    Introduces the sender, or asks for a fresh echo.
    """

    stamp: MessageStamp
    entry: EntryRecord


class MembershipEntries(NamedTuple):
    """
    Records of entry VMs that the receiver lacks.
    """

    stamp: MessageStamp
    entries: list[EntryRecord]


class RecordKey(NamedTuple):
    """
    Names one version of a record.
    """

    kind: str
    key: str
    incarnation: int
    sequence: int


class MembershipPull(NamedTuple):
    """
    Asks for whole records.
    """

    stamp: MessageStamp
    handles: list[int]
    keys: list[RecordKey]


class MembershipDigest(NamedTuple):
    """
    Hashes of the sender's records, for anti-entropy.
    """

    stamp: MessageStamp
    scope: str
    buckets: list[int]


class MembershipDigestDetail(NamedTuple):
    """
    Keys of the records in buckets that differ.
    """

    stamp: MessageStamp
    scope: str
    count: int
    buckets: list[int]
    keys: list[RecordKey]


class MembershipSummaries(NamedTuple):
    """
    Summaries of failure domains.
    """

    stamp: MessageStamp
    summaries: list[DomainSummary]
    spread: bool


class Item(NamedTuple):
    """
    A small record of the application that all nodes shall learn.
    """

    kind: str
    key: str
    value: bytes
    version: int
    ttl_ms: int


class MembershipItems(NamedTuple):
    """
    Items that are new to the receiver.
    """

    stamp: MessageStamp
    items: list[Item]
