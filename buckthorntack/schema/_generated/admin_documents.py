"""Generated from admin.json: do not edit."""

from __future__ import annotations

from typing import Any
from typing import Literal
from typing import NotRequired

from typing_extensions import TypedDict


class AdminInterface(TypedDict):
    pass


class NamedObject(TypedDict, closed=True):
    """
    An object with its kind.
    """

    kind: str
    object: dict[str, Any]
    """
    The object's fields.
    """


class ObjectName(TypedDict, closed=True):
    """
    Names an object.
    """

    kind: str
    name: str


class Finding(TypedDict, closed=True):
    """
    A fault of an object or of the set.
    """

    rule: str
    """
    Name of the rule broken.
    """
    kind: str
    name: str
    path: str
    """
    Field concerned.
    """
    message: str
    remedy: str
    file: NotRequired[str]
    """
    File that the object was read from.
    """


class ObjectList(TypedDict, closed=True):
    """
    Objects of one revision.
    """

    revision: int
    """
    Revision they were read at.
    """
    objects: list[NamedObject]
    """
    By kind.
    """


class ChangeRecord(TypedDict, closed=True):
    """
    An accepted change.
    """

    revision: int
    """
    Revision it became.
    """
    change_id: str
    operator: str
    """
    Name of the operator.
    """
    accepted_at: str
    note: NotRequired[str]
    put: NotRequired[list[ObjectName]]
    """
    Objects created or replaced.
    """
    remove: NotRequired[list[ObjectName]]
    """
    Objects removed.
    """


class History(TypedDict, closed=True):
    """
    Accepted changes, oldest first.
    """

    changes: list[ChangeRecord]
    """
    Changes after the revision asked for, as far as they are kept.
    """


class RegionStatus(TypedDict, closed=True):
    """
    How far the entry VMs of a region follow the configuration.
    """

    region: str
    """
    Name of the region.
    """
    revision: int
    """
    Lowest revision in force at its entry VMs when last heard of; 0 if none was heard of.
    """
    in_force: list[str]
    """
    Entry VMs that have the present revision.
    """
    behind: list[str]
    """
    Entry VMs in contact that do not have it yet.
    """
    out_of_contact: list[str]
    """
    Entry VMs that were not heard of lately and may have an older revision.
    """


class ReplicaStatus(TypedDict, closed=True):
    """
    A replica of the configuration group.
    """

    node_id: str
    """
    Control VM that holds it.
    """
    role: str
    """
    leader, follower, candidate, learner or unknown.
    """
    voter: bool
    """
    Whether it votes.
    """
    match_index: NotRequired[int]
    """
    Last log entry that the leader knows it holds.
    """
    heard_ms_ago: NotRequired[int]
    """
    Time since the leader heard of it.
    """
    caught_up: NotRequired[bool]
    """
    Whether it holds the leader's log.
    """


class ReplicaList(TypedDict, closed=True):
    """
    Replicas of the configuration group.
    """

    replicas: list[ReplicaStatus]
    """
    All replicas.
    """


class ReplicaAddition(TypedDict, closed=True):
    """
    A replica to add; it votes once it has caught up.
    """

    node_id: str


class AdminError(TypedDict, closed=True):
    """
    Why a call was refused.
    """

    number: int
    """
    Number in the event catalogue.
    """
    type: str
    """
    Machine-readable kind.
    """
    message: str
    remedy: str
    """
    What to do about it.
    """
    run_state: Literal["not_run", "ran", "unknown"]
    """
    Whether the call may have taken effect.
    """
    retry_after_ms: NotRequired[int]
    """
    When to come back.
    """


class AdminErrorAnswer(TypedDict, closed=True):
    """
    Body of a refusal.
    """

    error: AdminError


class ChangeRegionStatus(TypedDict, closed=True):
    """
    Where in a region a change is in force.
    """

    region: str
    in_force: int
    """
    Entry VMs that have it in force.
    """
    behind: list[str]
    """
    Entry VMs in contact that do not have it in force.
    """
    out_of_contact: list[str]
    """
    Entry VMs not heard lately that were not known to have it in force.
    """


class ChangeStatus(TypedDict, closed=True):
    """
    Where a recent change is in force.
    """

    change_id: str
    """
    Its change id.
    """
    revision: int
    """
    Revision that it became, or the interim one while it is pending.
    """
    pending: bool
    """
    Whether it awaits confirmation by entry VMs and is not accepted yet.
    """
    regions: list[ChangeRegionStatus]
    """
    Where it is in force.
    """


class Change(TypedDict, closed=True):
    """
    A whole-set change that an operator asks for.
    """

    change_id: str
    """
    Chosen by the operator's tool; a resend uses the same.
    """
    base_revision: int
    """
    Revision that the change was prepared on.
    """
    put: NotRequired[list[NamedObject]]
    """
    Objects created or replaced.
    """
    remove: NotRequired[list[ObjectName]]
    """
    Objects removed.
    """
    replace_all: NotRequired[bool]
    """
    Whether objects not put are removed.
    """
    operator: NotRequired[str]
    """
    Filled in from the operator's token.
    """
    note: NotRequired[str]
    stopped_entry_vms: NotRequired[list[str]]
    """
    Node ids of entry VMs that the operator has made sure are stopped; a change that takes an organisation out of a region does not wait for them.
    """


class ChangeResult(TypedDict, closed=True):
    """
    Answer to a change; the same for each resend.
    """

    change_id: str
    accepted: bool
    revision: int
    """
    Revision it became, or the present one if refused.
    """
    conflict: NotRequired[bool]
    """
    Whether another change came first.
    """
    findings: NotRequired[list[Finding]]


class Status(TypedDict, closed=True):
    """
    State of the configuration, as one control VM sees it.
    """

    node_id: str
    """
    Control VM that answers.
    """
    revision: int
    """
    Revision in force there.
    """
    has_quorum: bool
    """
    Whether changes can be accepted, as far as is known there.
    """
    leader: NotRequired[str]
    """
    Node id of the leader, if one is known.
    """
    replicas: list[ReplicaStatus]
    """
    Replicas of the configuration group.
    """
    regions: list[RegionStatus]
    """
    Which regions have the revision in force.
    """
    changes: NotRequired[list[ChangeStatus]]
    """
    Where the last accepted changes, and a pending one, are in force.
    """
