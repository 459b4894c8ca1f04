"""Commands that the decisions of this package give to their shells."""

from typing import Any
from typing import NamedTuple

from buckthorntack import interfaces
from buckthorntack import objects


class Send(NamedTuple):
    """Send a message to a node."""

    to: interfaces.NodeId
    message: Any


class Adopt(NamedTuple):
    """Make a new set durable, then put it in force.

    ``copy`` is empty if ``delta`` leads to the set from the one before.
    """

    published: objects.PublishedSet
    digest: bytes
    delta: bytes
    copy: bytes


class MarkRegistered(NamedTuple):
    """Remember durably that this entry VM is registered."""


class ConfirmFresh(NamedTuple):
    """Have a quorum confirm the revision, then answer the entry VM."""

    node_id: interfaces.NodeId


class Register(NamedTuple):
    """Have an entry VM registered in the log, or taken out of it."""

    node_id: interfaces.NodeId
    region: str
    failure_domain: str
    registration: int
    present: bool
