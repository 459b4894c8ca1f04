"""Print a request's way through the logs of several processes."""

import pathlib

from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _explain
from buckthorntack.cli import _output

NAME = "explain"
HELP = "print a request's way from logs"


def add_arguments(parser):
    """Declare the arguments.

    :param parser: parser of the subcommand.
    """
    parser.add_argument("--request", required=True, help="id of the request")
    parser.add_argument("logs", nargs="+", help="log files, one JSON a line")
    _output.add_output_option(parser)


def run(arguments, context):
    """Print the request's way, then what was believed meanwhile.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code; ``FINDINGS`` if no log names the request.
    """
    lines = []
    for name in arguments.logs:
        path = pathlib.Path(name)
        text = path.read_text(errors="replace")
        lines += _explain.read_lines(text, path.stem)
    explanation = _explain.explain(lines, arguments.request)
    document = {
        "request": arguments.request,
        "way": [line.fields | {"node": line.node} for line in explanation.way],
        "beliefs": [
            line.fields | {"node": line.node} for line in explanation.beliefs
        ],
    }
    shown = [line.text() for line in explanation.way]
    if explanation.beliefs:
        shown += ["believed then:"]
        shown += [f"  {line.text()}" for line in explanation.beliefs]
    if not shown:
        shown = [f"no log names request {arguments.request}"]
    _output.write(context, arguments, document, shown)
    if not explanation.way:
        return _exit_codes.ExitCode.FINDINGS
    return _exit_codes.ExitCode.OK
