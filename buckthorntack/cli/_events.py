"""Events of the command line, as told by its errors."""

import logbook

from buckthorntack import events

COMMAND_FAILED = events.declare(
    1700,
    "command_failed",
    logbook.ERROR,
    "A command failed.",
    "see the remedy that the message gives",
)
USAGE = events.declare(
    1701,
    "usage",
    logbook.ERROR,
    "Options or files named on the command line cannot be used.",
    "see 'buckthorntack <command> --help'",
)
UNREACHABLE = events.declare(
    1702,
    "unreachable",
    logbook.ERROR,
    "No control VM answered a command in time.",
    "name other control VMs with --server; after apply, run apply again",
)
REFUSED = events.declare(
    1703,
    "refused",
    logbook.ERROR,
    "A control VM refused a call of a command.",
    "see the event number and the remedy in the message",
)
