"""What commands use of the process they run in."""

from collections.abc import Mapping
import os
import sys
from typing import Any
from typing import NamedTuple
from typing import TextIO

from buckthorntack import clock


class Context(NamedTuple):
    """Streams, environment and clock; tests pass their own."""

    stdout: TextIO
    stderr: TextIO
    environment: Mapping[str, str]
    clock: clock.Clock
    #: ``httpx`` transport towards the control VMs; a new one if ``None``.
    transport: Any = None


def process_context() -> Context:
    """The context of this process."""
    return Context(sys.stdout, sys.stderr, os.environ, clock.SystemClock())
