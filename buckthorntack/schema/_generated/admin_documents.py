"""Generated from admin.json: do not edit."""

from __future__ import annotations

from typing import Any
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
