"""Show how a folder of objects differs from the set in force."""

from buckthorntack.cli import _differences
from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _folders
from buckthorntack.cli import _output
from buckthorntack.cli import _servers

NAME = "diff"
HELP = "compare a folder of objects with the set in force"


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    parser.add_argument("folder", help="folder of *.json files")
    _servers.add_server_options(parser)
    _output.add_output_option(parser)


async def run(arguments, context):
    """Print the differences.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code; findings if there is a difference.
    """
    named_objects = _folders.read_checked(arguments, context)
    if named_objects is None:
        return _exit_codes.ExitCode.FINDINGS
    async with _servers.make_client(context, arguments) as client:
        in_force = _servers.unwrap(await client.objects())
    found = _differences.find_differences(named_objects, in_force["objects"])
    lines = _differences.format_differences(found)
    lines.append(f"{len(lines)} differences from {in_force['revision']}")
    document = {"revision": in_force["revision"], **found._asdict()}
    _output.write(context, arguments, document, lines)
    if any(found):
        return _exit_codes.ExitCode.FINDINGS
    return _exit_codes.ExitCode.OK
