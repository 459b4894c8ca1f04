"""Operators whose orders a control VM carries out."""

from collections.abc import Callable
from typing import NamedTuple


class Operator(NamedTuple):
    """Who gave an order."""

    #: IP address and port.
    peer: str
    #: Whether the operator still waits for the outcome.  One that does not
    #: may have got the order, and newer ones, acknowledged elsewhere.
    is_waiting: Callable[[], bool]
