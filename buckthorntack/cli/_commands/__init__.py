"""Subcommands, one module each.

A module has ``NAME`` and ``HELP``, ``add_arguments(parser)``, and
``run(arguments, context)``, which returns an exit code or a coroutine that
does, and raises ``CommandError``.  Modules that a command needs beyond the
common ones are imported in ``run``, so that other commands start quickly.
"""

from buckthorntack.cli._commands import apply
from buckthorntack.cli._commands import check
from buckthorntack.cli._commands import control
from buckthorntack.cli._commands import diff
from buckthorntack.cli._commands import entry
from buckthorntack.cli._commands import explain
from buckthorntack.cli._commands import get
from buckthorntack.cli._commands import history
from buckthorntack.cli._commands import keys
from buckthorntack.cli._commands import load
from buckthorntack.cli._commands import replicas
from buckthorntack.cli._commands import settings_schema
from buckthorntack.cli._commands import status
from buckthorntack.cli._commands import version

#: All subcommands, in the order of the help.
COMMANDS = (
    entry,
    control,
    check,
    apply,
    diff,
    explain,
    get,
    history,
    status,
    replicas,
    keys,
    load,
    settings_schema,
    version,
)
