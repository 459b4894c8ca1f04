"""Run a node with the role control, and with others its settings name."""

from buckthorntack.cli._commands import _roles

NAME = "control"
HELP = "run a node with the role control"

add_arguments = _roles.add_arguments


def run(arguments, context):
    """Run the node until it is stopped.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    return _roles.run_role(NAME, arguments, context)
