"""Parser of the command line, and what it starts."""

import argparse
import asyncio
import contextlib
import inspect

from buckthorntack import errors
from buckthorntack.cli import _commands
from buckthorntack.cli import _context
from buckthorntack.cli import _events  # noqa: F401
from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output

_EPILOG = """exit codes: 0 done; 1 findings or differences; 2 wrong usage;
3 no answer, or outcome unknown; 4 another change came first; 5 refused"""

#: Exit code after an interrupt from the keyboard, as shells give it.
_INTERRUPTED = 130


def make_parser() -> argparse.ArgumentParser:
    """Parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="buckthorntack",
        description="Multi-region inference gateway.",
        epilog=_EPILOG,
    )
    subparsers = parser.add_subparsers(
        dest="command", metavar="command", required=True
    )
    for command in _commands.COMMANDS:
        subparser = subparsers.add_parser(
            command.NAME,
            help=command.HELP,
            description=command.__doc__,
            epilog=_EPILOG,
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def run(argv, context: _context.Context) -> int:
    """Carry out a command line.

    :param argv: arguments after the program's name.
    :param context: what it uses of the process.
    :returns: an exit code.
    """
    try:
        with (
            contextlib.redirect_stdout(context.stdout),
            contextlib.redirect_stderr(context.stderr),
        ):
            arguments = make_parser().parse_args(argv)
    except SystemExit as stop:
        return stop.code or 0
    try:
        outcome = arguments.run(arguments, context)
        if inspect.isawaitable(outcome):
            outcome = asyncio.run(_wait(outcome))
    except KeyboardInterrupt:
        return _INTERRUPTED
    except errors.GatewayError as error:
        _output.write_error(context, arguments, error)
        return getattr(error, "exit_code", _exit_codes.ExitCode.USAGE)
    return outcome


async def _wait(outcome):
    return await outcome


def main(argv=None) -> int:
    """Run the program.

    :param argv: arguments after the program's name; those of the process
        if ``None``.
    :returns: an exit code.
    """
    return int(run(argv, _context.process_context()))
