"""Print objects in force, or write all of them into a folder."""

import json

from buckthorntack.cli import _errors
from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _folders
from buckthorntack.cli import _output
from buckthorntack.cli import _servers

NAME = "get"
HELP = "print objects in force"


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    parser.add_argument("kind", nargs="?", help="such as Organisation")
    parser.add_argument("name", nargs="?", help="name of one object")
    parser.add_argument(
        "--folder", help="write all objects into this new folder"
    )
    parser.add_argument(
        "--stale",
        action="store_true",
        help="accept what one control VM knows, also when it is cut off",
    )
    _servers.add_server_options(parser)
    _output.add_output_option(parser)


async def run(arguments, context):
    """Print or write the objects.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    if arguments.folder and arguments.kind:
        raise _errors.UsageError("--folder takes all objects; name no kind")
    async with _servers.make_client(context, arguments) as client:
        found = _servers.unwrap(
            await client.objects(
                arguments.kind, arguments.name, not arguments.stale
            )
        )
    if arguments.folder:
        _folders.write_objects(arguments.folder, found)
    _output.write(context, arguments, found, _lines(arguments, found))
    return _exit_codes.ExitCode.OK


def _lines(arguments, found):
    entries = found["objects"]
    if arguments.name:
        return [json.dumps(entries[0], indent=2, ensure_ascii=False)]
    rows = [[entry["kind"], entry["object"]["name"]] for entry in entries]
    lines = _output.table(["kind", "name"], rows)
    return [*lines, f"{len(rows)} objects of revision {found['revision']}"]
