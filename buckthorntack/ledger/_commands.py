"""Commands that the decisions of this package give to their shells."""

from typing import Any
from typing import NamedTuple

from buckthorntack import interfaces


class Send(NamedTuple):
    """Send a message to a node."""

    to: interfaces.NodeId
    message: Any


class Done(NamedTuple):
    """A call of the client has ended with a ``Result``."""

    call_id: str
    result: Any
