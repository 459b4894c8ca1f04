"""Print the version of the program."""

import buckthorntack
from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output

NAME = "version"
HELP = "print the version"

add_arguments = _output.add_output_option


def run(arguments, context):
    """Print the version.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    version = buckthorntack.__version__
    _output.write(context, arguments, {"version": version}, [version])
    return _exit_codes.ExitCode.OK
