"""Print, add or remove replicas of the configuration group."""

from buckthorntack.cli import _errors
from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output
from buckthorntack.cli import _servers
from buckthorntack.cli._commands import status

NAME = "replicas"
HELP = "print, add or remove replicas of the configuration group"


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    parser.add_argument(
        "action", nargs="?", choices=("list", "add", "remove"), default="list"
    )
    parser.add_argument("node_id", nargs="?", help="a control VM")
    _servers.add_server_options(parser)
    _output.add_output_option(parser)


async def run(arguments, context):
    """Carry out the action and print the replicas.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    if (arguments.action == "list") != (arguments.node_id is None):
        raise _errors.UsageError("add and remove take the id of a control VM")
    async with _servers.make_client(context, arguments) as client:
        if arguments.action == "add":
            result = await client.add_replica(arguments.node_id)
        elif arguments.action == "remove":
            result = await client.remove_replica(arguments.node_id)
        else:
            result = await client.replicas()
    found = _servers.unwrap(result)
    lines = status.replica_lines(found["replicas"])
    _output.write(context, arguments, found, lines)
    return _exit_codes.ExitCode.OK
