"""Commands that the client and the home return to their tasks."""

from typing import Any
from typing import NamedTuple

from buckthorntack import interfaces


class Send(NamedTuple):
    """Send a message to a node."""

    to: interfaces.NodeId
    message: Any


class CompleteCall(NamedTuple):
    """Complete a call of the client with a ``Result``."""

    call_id: str
    result: Any
