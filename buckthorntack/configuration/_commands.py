"""Commands that state machines return for asyncio tasks to execute."""

from typing import Any
from typing import NamedTuple

from buckthorntack import interfaces
from buckthorntack import objects


class Send(NamedTuple):
    """Send a message to a node."""

    to: interfaces.NodeId
    message: Any


class Activate(NamedTuple):
    """Write a new set durably, then make it the active set.

    Either ``delta`` (the change from the previous set) or ``copy`` (the whole
    set) is given; the other is empty.
    """

    published: objects.PublishedSet
    digest: bytes
    delta: bytes
    copy: bytes


class StoreRegistration(NamedTuple):
    """Record durably that this entry VM is registered."""


class ConfirmRevision(NamedTuple):
    """Confirm the revision with a quorum, then reply to the entry VM."""

    node_id: interfaces.NodeId


class ProposeRegistration(NamedTuple):
    """Propose that an entry VM is registered in the log or removed."""

    node_id: interfaces.NodeId
    region: str
    failure_domain: str
    registration: int
    present: bool
