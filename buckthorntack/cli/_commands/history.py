"""Print accepted changes."""

from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output
from buckthorntack.cli import _servers

NAME = "history"
HELP = "print accepted changes"

_COLUMNS = ("revision", "accepted_at", "operator", "change_id", "note")


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    parser.add_argument(
        "--after",
        type=int,
        default=0,
        metavar="N",
        help="only changes after this revision",
    )
    _servers.add_server_options(parser)
    _output.add_output_option(parser)


async def run(arguments, context):
    """Print the changes.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    async with _servers.make_client(context, arguments) as client:
        found = _servers.unwrap(await client.history(arguments.after))
    rows = [
        [change.get(column, "") for column in _COLUMNS]
        for change in found["changes"]
    ]
    lines = _output.table(_COLUMNS, rows)
    _output.write(context, arguments, found, lines)
    return _exit_codes.ExitCode.OK
