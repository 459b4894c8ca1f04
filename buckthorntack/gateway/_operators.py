"""Operators whose orders a control VM carries out."""

from collections.abc import Callable
from typing import NamedTuple

#: Age from which an order counts as given up: operators then turn to another
#: control VM, and give newer orders there.
ORDER_PATIENCE_MS = 1000


class Operator(NamedTuple):
    """Who gave an order."""

    #: IP address and port.
    peer: str
    #: Whether the operator has closed the connection.
    has_left: Callable[[], bool]
    #: Time since the order has arrived at this VM, read or not.
    measure_age_ms: Callable[[], int]

    def is_waiting(self):
        """Whether the operator still waits for the outcome.

        One who does not may have got the order, and newer ones, acknowledged
        by another control VM.
        """
        return not self.has_left() and (
            self.measure_age_ms() < ORDER_PATIENCE_MS
        )
