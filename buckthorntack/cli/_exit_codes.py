"""Exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """What a command tells the shell."""

    #: Done.
    OK = 0
    #: Objects or settings have findings, or ``diff`` found differences.
    FINDINGS = 1
    #: The command line is wrong, or a file it names cannot be used.
    USAGE = 2
    #: No control VM answered, or the outcome of a change is not known.
    UNREACHABLE = 3
    #: Another change came first.
    CONFLICT = 4
    #: A control VM refused the call.
    REFUSED = 5
