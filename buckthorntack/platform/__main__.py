"""Program of a node on the users' platform."""

import importlib
import signal
import sys

from buckthorntack import signals


def main():
    """Run the node until it is told to stop.

    :returns: exit code.
    """
    # By default a hang-up ends the process; the node handles it later.
    signals.hold({signal.SIGHUP})
    program = importlib.import_module(f"{__package__}._program")
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
