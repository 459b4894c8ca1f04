"""Check a folder of objects as a whole, without any control VM."""

from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output

NAME = "check"
HELP = "check a folder of objects, offline"


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    parser.add_argument("folder", help="folder of *.json files")
    _output.add_output_option(parser)


def run(arguments, context):
    """Check the folder and print all findings.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    from buckthorntack import objects

    loaded = objects.check_folder(arguments.folder)
    count = len(loaded.named_objects)
    lines = [objects.format_finding(found) for found in loaded.findings]
    lines.append(f"{count} objects, {len(lines)} findings")
    document = {"objects": count, "findings": loaded.findings}
    _output.write(context, arguments, document, lines)
    if loaded.findings:
        return _exit_codes.ExitCode.FINDINGS
    return _exit_codes.ExitCode.OK
